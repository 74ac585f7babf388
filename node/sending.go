package node

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

// sendRecorder records with the request's guard whether one attempt was sent. The
// port calls begin before the first byte may be sent; until then the attempt counts
// as not sent.
type sendRecorder struct {
	guard *problem.Guard

	mu   sync.Mutex
	sent *problem.SentAttempt
}

func (a *Accepted) newSendRecorder() *sendRecorder { return &sendRecorder{guard: &a.guard} }

func (s *sendRecorder) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent == nil {
		s.sent = s.guard.RecordSend()
	}
}

// end records how the attempt ended. It counts as sent unless the endpoint was
// unreachable; if the endpoint declined it, it is recorded as not run.
func (s *sendRecorder) end(err error) {
	if !errors.Is(err, port.ErrEndpointUnreachable) {
		s.begin()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent != nil && errors.Is(err, port.ErrDeclined) {
		s.sent.RecordDeclined()
	}
}

// isAny reports whether err matches any of the targets.
func isAny(err error, targets ...error) bool {
	for _, t := range targets {
		if errors.Is(err, t) {
			return true
		}
	}
	return false
}
