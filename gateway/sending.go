package gateway

import (
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/quarantine"
)

// sendTracker records, from the transport's calls, whether the request was sent or declined.
type sendTracker struct {
	c *call
	*endpointAttempt
	moved   bool // the attempt continues a stream that was moved
	wd      *watchdog
	attempt *problem.SentAttempt
}

// begin fails if the request must not be sent after all: opening the connection takes time, in which
// the endpoint may have asked for time or the deadline may have passed.
func (s *sendTracker) begin() error {
	now := time.Now()
	switch {
	case !now.Before(s.c.deadline):
		return errors.New("the deadline has passed")
	case !now.Before(s.c.attemptDeadline(now)):
		return errors.New("the process ends before an answer can come")
	case !s.moved && s.c.g.fleet.Paused(now, s.view.ID):
		return errors.New("the endpoint has asked for time")
	case !s.moved && s.c.evaluate(now).Verdict == quarantine.VerdictQuarantine:
		return errors.New("endpoints have ended while running the request")
	}
	if err := s.c.g.mayUse(now, s.view.Service, s.view.Version); err != nil {
		s.c.g.metrics.rolloutWithheld.Inc()
		return err
	}
	if !s.phase.CompareAndSwap(phaseOpening, phaseSent) {
		return errCutOff
	}
	if s.via.Host != "" {
		s.wd.reset(s.c.headTimeout(s.endpointAttempt))
	}
	s.c.beginInFlight(s.endpointAttempt)
	s.attempt = s.c.guard.RecordSend()
	if !s.moved {
		s.c.sent++ // a moved stream is the same run
		if s.c.sent > 1 {
			s.c.g.quota.Charge(time.Now(), s.c.workspace, s.c.cost) // retries are rare, so this host's own share is charged
		}
		s.c.mu.Lock()
		s.c.progress.sent = s.c.sent
		s.c.mu.Unlock()
	}
	return nil
}

func (s *sendTracker) declined() {
	if s.attempt != nil {
		s.attempt.RecordDeclined()
	}
}
