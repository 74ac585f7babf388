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
	// stopInterval is the time between two looks at a stop's progress.
	stopInterval = 100 * time.Millisecond
	// stopReport is the time between two log lines on what a stop waits for.
	stopReport = 5 * time.Second
	// reportedRequests bounds the requests that one such line or dump names.
	reportedRequests = 20
	// handoverLead is the time before the deadline of a planned stop at which
	// requests go to other entry hosts.
	handoverLead = 5 * time.Second
	// stoppingRetryAfter is the advice to a caller whose request comes after
	// the address answers that named this host.
	stoppingRetryAfter = time.Second
)

// stopState is the stop of this host.
type stopState struct {
	mu       sync.Mutex
	stop     drain.Stop
	reported time.Time
	// drained is closed when a stop is done.
	drained chan struct{}
	done    bool
	servers []*http.Server
	// maintenance is the date in the documents that is being followed.
	maintenance drain.Window
}

func newStopState(addressLifetime time.Duration) *stopState {
	return &stopState{
		stop:    drain.Stop{AcceptFor: addressLifetime + spreadLimit, Lead: handoverLead},
		drained: make(chan struct{}),
	}
}

// add books a server that a planned stop closes last.
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

// Drain begins the stop of this host, or sharpens the one under way. It leaves
// the address answers at once and goes on serving; a zero deadline waits for
// the requests in progress however long. Drained tells the end.
func (n *Node) Drain(reason drain.Reason, deadline time.Time) {
	cause := drain.CauseNotice
	if reason == drain.ReasonSignal {
		cause = drain.CauseSignal
	}
	n.drainFor(cause, drain.Demand{Reason: reason, Deadline: deadline})
}

func (n *Node) drainFor(cause drain.Cause, d drain.Demand) {
	n.stopping.mu.Lock()
	n.stopping.stop.Begin(time.Now(), cause, d)
	n.stopping.mu.Unlock()
	n.log.Info().Str("cause", string(cause)).Str("reason", string(d.Reason)).Time("deadline", d.Deadline).Int("open", len(n.openRequests())).Msg("stop begun")
	n.sayLeaving(true)
}

// withdrawStop takes one cause of the stop back.
func (n *Node) withdrawStop(cause drain.Cause) {
	n.stopping.mu.Lock()
	n.stopping.stop.Withdraw(cause)
	leaving := n.stopping.stop.Leaving()
	n.stopping.mu.Unlock()
	n.log.Info().Str("cause", string(cause)).Bool("leaving", leaving).Msg("cause of the stop withdrawn")
	n.sayLeaving(leaving)
}

// Drained is closed when a planned stop has nothing in progress any more.
func (n *Node) Drained() <-chan struct{} { return n.stopping.drained }

// phase returns the phase of the stop now.
func (n *Node) phase() drain.Phase {
	if !n.stopping.leaving() {
		return drain.PhaseServing
	}
	open := len(n.openRequests()) + n.orders.len()
	n.stopping.mu.Lock()
	defer n.stopping.mu.Unlock()
	return n.stopping.stop.Phase(time.Now(), open)
}

// refuseStopping refuses a new request when the stop takes none any more.
func (n *Node) refuseStopping(guard *problem.Guard) *problem.Problem {
	if n.phase().Accepts() {
		return nil
	}
	p := problem.Refuse(guard, http.StatusServiceUnavailable, problem.TypeStopping, "ask for addresses and use another entry host")
	return p.WithRetryAfter(stoppingRetryAfter)
}

// openRequests returns the requests that a stop waits for: those without an
// end and those whose answer somebody is reading.
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
	if a.Answer.Ended() == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readers > 0
}

// stepStop carries a stop on; it runs on the pool.
func (n *Node) stepStop() {
	n.followMaintenance(time.Now())
	switch n.phase() {
	case drain.PhaseServing:
		return
	case drain.PhaseHandingOver:
		n.handOverAll()
	case drain.PhaseDone:
		n.finishStop()
		return
	}
	n.repeatLeaving()
	n.reportStop()
}

// finishStop closes the callers' and operators' listeners, waits until the
// last byte of each answer is written, and tells that the host is drained.
func (n *Node) finishStop() {
	n.stopping.mu.Lock()
	servers, done := n.stopping.servers, n.stopping.done
	n.stopping.done = true
	n.stopping.mu.Unlock()
	if done {
		return
	}
	n.tomb.Go(func() error {
		n.handOverAll()
		for _, s := range servers {
			_ = s.Shutdown(n.context()) // fails only when the node is killed meanwhile
		}
		n.log.Info().Msg("stop done: nothing is in progress")
		close(n.stopping.drained)
		return nil
	})
}

// reportStop says in the log what the stop waits for.
func (n *Node) reportStop() {
	now := time.Now()
	n.stopping.mu.Lock()
	due := now.Sub(n.stopping.reported) >= stopReport
	if due {
		n.stopping.reported = now
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
	n.log.Info().Str("phase", string(state.Phase)).Int("open", state.Open).Msg("stop goes on")
}

// StopState is the dump of a host's stop.
type StopState struct {
	Phase    drain.Phase  `json:"phase"`
	Reason   drain.Reason `json:"reason,omitempty"`
	Began    time.Time    `json:"began,omitzero"`
	Deadline time.Time    `json:"deadline,omitzero"`
	// Open counts the requests that the stop waits for; WaitsFor names the
	// first of them.
	Open     int          `json:"open"`
	WaitsFor []WaitsState `json:"waits_for,omitempty"`
	// Unaware lists entry hosts that do not know yet that this one leaves.
	Unaware []string `json:"unaware,omitempty"`
}

// WaitsState is one request that a stop waits for.
type WaitsState struct {
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
	s.Unaware = n.unawareHosts()
	for _, a := range open[:min(len(open), reportedRequests)] {
		s.WaitsFor = append(s.WaitsFor, a.waits(now))
	}
	return s
}

func (a *Accepted) waits(now time.Time) WaitsState {
	w := WaitsState{
		ID:         a.Request.ID.String(),
		Service:    a.Request.Service,
		Workspace:  a.Request.Workspace,
		Chunks:     a.Answer.Len(),
		Ended:      a.Answer.Ended() != nil,
		AgeSeconds: now.Sub(a.Request.Arrived).Seconds(),
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	w.Readers = a.readers
	return w
}

// noticeOfSelf carries out a notice about this host.
func (n *Node) noticeOfSelf(notice port.Notice) {
	switch notice.Kind {
	case port.NoticeReclaim:
		n.Drain(drain.ReasonReclaim, notice.Deadline)
	case port.NoticeMaintenance:
		n.Drain(drain.ReasonMaintenance, notice.Deadline)
	case port.NoticeWithdrawn:
		n.withdrawStop(drain.CauseNotice)
	}
}

// Supervise runs the node until a planned stop, begun by a stop signal, has
// nothing in progress any more. Further signals change nothing.
func (n *Node) Supervise(ctx context.Context, signals <-chan struct{}) error {
	for asked := false; ; {
		select {
		case <-signals:
			if asked {
				n.log.Info().Int("open", len(n.openRequests())).Msg("a planned stop is under way: it waits for the requests in progress")
			}
			asked = true
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
