package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/drain"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

const (
	// stopInterval is the interval at which the progress of a stop is checked.
	stopInterval = 100 * time.Millisecond
	// stopReportInterval is the interval of log messages on what a stop waits
	// for.
	stopReportInterval = 5 * time.Second
	// maxReportedRequests bounds the requests that one such report or state dump
	// lists.
	maxReportedRequests = 20
	// handoffLeadTime is the time before the deadline of a planned stop at which
	// the handoff of requests to other entry hosts begins.
	handoffLeadTime = 5 * time.Second
	// stoppingRetryAfter is the Retry-After sent to a caller whose request
	// arrives after the address answers with this host have expired.
	stoppingRetryAfter = time.Second
)

// stopState is the state of this host's stop.
type stopState struct {
	mu         sync.Mutex
	stop       drain.Stop
	reportedAt time.Time
	// drained is closed when a stop is complete.
	drained chan struct{}
	done    bool
	servers []*http.Server
	// maintenance is the maintenance window that this host currently applies.
	maintenance drain.Window
}

func newStopState(addressTTL time.Duration) *stopState {
	return &stopState{
		stop:    drain.Stop{AddressTTL: addressTTL + maxAnnounceDelay, HandoffLeadTime: handoffLeadTime},
		drained: make(chan struct{}),
	}
}

// add registers a server that a planned stop closes last.
func (s *stopState) add(server *http.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, server)
}

func (s *stopState) leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stop.Leaving()
}

// Drain begins the stop of this host, or tightens the one in progress. The host
// leaves the address answers at once and continues to serve. With a zero
// deadline it waits for the requests in progress without limit. Drained reports
// completion.
func (n *Node) Drain(reason drain.Reason, deadline time.Time) {
	cause := drain.CauseNotice
	if reason == drain.ReasonSignal {
		cause = drain.CauseSignal
	}
	n.beginStop(cause, drain.Demand{Reason: reason, Deadline: deadline})
}

func (n *Node) beginStop(cause drain.Cause, d drain.Demand) {
	n.stopping.mu.Lock()
	n.stopping.stop.Begin(time.Now(), cause, d)
	n.stopping.mu.Unlock()
	n.log.Info().Str("cause", string(cause)).Str("reason", string(d.Reason)).Time("deadline", d.Deadline).Int("open", len(n.openRequests())).Msg("stop begun")
	n.announceLeaving(true)
}

// withdrawStop withdraws one cause of the stop.
func (n *Node) withdrawStop(cause drain.Cause) {
	n.stopping.mu.Lock()
	n.stopping.stop.Withdraw(cause)
	leaving := n.stopping.stop.Leaving()
	n.stopping.mu.Unlock()
	n.log.Info().Str("cause", string(cause)).Bool("leaving", leaving).Msg("cause of the stop withdrawn")
	n.announceLeaving(leaving)
}

// Drained returns a channel that is closed when a planned stop has no request
// in progress any more.
func (n *Node) Drained() <-chan struct{} { return n.stopping.drained }

// phase returns the current phase of the stop.
func (n *Node) phase() drain.Phase {
	if !n.stopping.leaving() {
		return drain.PhaseServing
	}
	open := len(n.openRequests()) + n.activeClaims.len()
	n.stopping.mu.Lock()
	defer n.stopping.mu.Unlock()
	return n.stopping.stop.Phase(time.Now(), open)
}

// refuseStopping refuses a new request once the stop accepts none.
func (n *Node) refuseStopping(guard *problem.Guard) *problem.Problem {
	if n.phase().Accepts() {
		return nil
	}
	p := problem.Refuse(guard, http.StatusServiceUnavailable, problem.TypeStopping, "ask for addresses and use another entry host")
	return p.WithRetryAfter(stoppingRetryAfter)
}

// openRequests returns the requests that a stop waits for: those that have not
// ended and those whose answer is being read.
func (n *Node) openRequests() []*Accepted {
	var open []*Accepted
	for _, a := range n.requests.all() {
		if a.open() {
			open = append(open, a)
		}
	}
	return open
}

func (a *Accepted) open() bool {
	if a.Answer.End() == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readers > 0
}

// advanceStop continues a stop in progress; it runs periodically on the worker
// pool.
func (n *Node) advanceStop() {
	n.applyMaintenance(time.Now())
	switch n.phase() {
	case drain.PhaseServing:
		return
	case drain.PhaseHandingOver:
		n.handOffAll()
	case drain.PhaseDone:
		n.finishStop()
		return
	}
	n.repeatAnnouncement()
	n.logStopProgress()
}

// finishStop closes the listeners for callers and operators, waits until the
// last byte of each answer is written, and closes the drained channel.
func (n *Node) finishStop() {
	n.stopping.mu.Lock()
	servers, done := n.stopping.servers, n.stopping.done
	n.stopping.done = true
	n.stopping.mu.Unlock()
	if done {
		return
	}
	n.tomb.Go(func() error {
		n.handOffAll()
		for _, s := range servers {
			_ = s.Shutdown(n.context()) // fails only when the node is stopped at once meanwhile
		}
		n.log.Info().Msg("stop complete: no request in progress")
		close(n.stopping.drained)
		return nil
	})
}

// logStopProgress logs what the stop waits for.
func (n *Node) logStopProgress() {
	now := time.Now()
	n.stopping.mu.Lock()
	due := now.Sub(n.stopping.reportedAt) >= stopReportInterval
	if due {
		n.stopping.reportedAt = now
	}
	n.stopping.mu.Unlock()
	if !due {
		return
	}
	state := n.stopState()
	for _, w := range state.WaitsFor {
		n.log.Info().Str("request", w.ID).Str("service", w.Service).Str("workspace", w.Workspace).
			Int("chunks", w.Chunks).Int("readers", w.Readers).Float64("age_seconds", w.AgeSeconds).Msg("stop waits for request")
	}
	n.log.Info().Str("phase", string(state.Phase)).Int("open", state.Open).Msg("stop in progress")
}

// StopState is the state dump of a host's stop.
type StopState struct {
	Phase    drain.Phase  `json:"phase"`
	Reason   drain.Reason `json:"reason,omitempty"`
	Began    time.Time    `json:"began,omitzero"`
	Deadline time.Time    `json:"deadline,omitzero"`
	// Open is the number of requests that the stop waits for; WaitsFor lists the
	// first of them.
	Open     int              `json:"open"`
	WaitsFor []WaitingRequest `json:"waits_for,omitempty"`
	// Unconfirmed lists entry hosts that have not confirmed that this host is
	// leaving.
	Unconfirmed []string `json:"unaware,omitempty"`
}

// WaitingRequest is one request that a stop waits for.
type WaitingRequest struct {
	ID         string  `json:"id"`
	Service    string  `json:"service"`
	Workspace  string  `json:"workspace"`
	Chunks     int     `json:"chunks"`
	Readers    int     `json:"readers"`
	Ended      bool    `json:"ended"`
	AgeSeconds float64 `json:"age_seconds"`
}

func (n *Node) stopState() StopState {
	open := n.openRequests()
	n.stopping.mu.Lock()
	stop := &n.stopping.stop
	now, demand := time.Now(), stop.Demand()
	s := StopState{Phase: stop.Phase(now, len(open)), Reason: demand.Reason, Began: stop.Began, Deadline: demand.Deadline}
	leaving := stop.Leaving()
	n.stopping.mu.Unlock()
	if !leaving {
		return s
	}
	s.Open = len(open)
	s.Unconfirmed = n.unconfirmedHosts()
	for _, a := range open[:min(len(open), maxReportedRequests)] {
		s.WaitsFor = append(s.WaitsFor, a.waitingRequest(now))
	}
	return s
}

func (a *Accepted) waitingRequest(now time.Time) WaitingRequest {
	w := WaitingRequest{
		ID:         a.Request.ID.String(),
		Service:    a.Request.Service,
		Workspace:  a.Request.Workspace,
		Chunks:     a.Answer.Len(),
		Ended:      a.Answer.End() != nil,
		AgeSeconds: now.Sub(a.Request.Arrived).Seconds(),
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	w.Readers = a.readers
	return w
}

// handleOwnNotice applies a notice about this host.
func (n *Node) handleOwnNotice(notice port.Notice) {
	switch notice.Kind {
	case port.NoticeReclaim:
		n.Drain(drain.ReasonReclaim, notice.Deadline)
	case port.NoticeMaintenance:
		n.Drain(drain.ReasonMaintenance, notice.Deadline)
	case port.NoticeWithdrawn:
		n.withdrawStop(drain.CauseNotice)
	}
}

// Supervise runs the node until a stop is complete, ctx has ended or the node
// was stopped. The first signal begins a planned stop; further signals have no
// effect.
func (n *Node) Supervise(ctx context.Context, signals <-chan struct{}) error {
	for signaled := false; ; {
		select {
		case <-signals:
			if signaled {
				n.log.Info().Int("open", len(n.openRequests())).Msg("planned stop already in progress; waiting for the open requests")
			}
			signaled = true
			n.Drain(drain.ReasonSignal, time.Time{})
		case <-n.Drained():
			return n.Stop()
		case <-n.tomb.Dying():
			return n.tomb.Wait()
		case <-ctx.Done():
			return n.Stop()
		}
	}
}
