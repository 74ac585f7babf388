package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/drain"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/request"
)

const (
	// drainInterval is the time between two looks at the endpoints that go
	// away.
	drainInterval = 100 * time.Millisecond
	// transferTimeout bounds the export and import of one KV cache.
	transferTimeout = 3 * time.Second
	// keptSteps bounds the choices that the dump shows.
	keptSteps = 200
)

// DrainStep is the choice made for one stream, as the dump shows it.
type DrainStep struct {
	drain.Step
	Endpoint string    `json:"endpoint"`
	At       time.Time `json:"at"`
	Deadline time.Time `json:"deadline"`
	// Result is what came of a move.
	Result string `json:"result,omitempty"`
}

// endpointDrain moves this host's streams off endpoints that go away.
type endpointDrain struct {
	mu   sync.Mutex
	plan *drain.Drain
	// steps are the latest choices by request id.
	steps map[string]DrainStep
}

func newEndpointDrain() *endpointDrain {
	return &endpointDrain{plan: drain.NewDrain(drain.DefaultRates()), steps: map[string]DrainStep{}}
}

func (d *endpointDrain) next(now, deadline time.Time, share float64, region string, streams []drain.Stream, targets []drain.Target) []drain.Step {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.plan.Share = share
	return d.plan.Next(now, deadline, region, streams, targets)
}

func (d *endpointDrain) learn(export port.KVExport, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.plan.Learn(export.Tokens, export.Bytes, took)
}

// note keeps a choice for the dump.
func (d *endpointDrain) note(s DrainStep) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.steps[s.Stream] = s
	if len(d.steps) <= keptSteps {
		return
	}
	oldest := s
	for _, known := range d.steps {
		if known.At.Before(oldest.At) {
			oldest = known
		}
	}
	delete(d.steps, oldest.Stream)
}

func (d *endpointDrain) state() []DrainStep {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]DrainStep, 0, len(d.steps))
	for _, s := range d.steps {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b DrainStep) int { return a.At.Compare(b.At) })
	return out
}

// doomed returns when a host is taken away: by notice, or by a date of its own
// service's document; zero when nothing says so.
func (n *Node) doomed(schedule drain.Schedule, h port.Host, now time.Time) time.Time {
	if notice, ok := n.hosts.notice(h.ID); ok {
		return notice.Deadline
	}
	w, _ := schedule.Endpoint(h.Service, h.ID, h.Zone, now)
	return w.Starts
}

// drainEndpoints carries the drains of all endpoints one step on.
func (n *Node) drainEndpoints() {
	now := time.Now()
	schedule := n.schedule()
	byEndpoint := n.runningByEndpoint()
	for _, h := range n.hosts.all() {
		running := byEndpoint[h.ID]
		if h.Role != port.RoleEndpoint || len(running) == 0 {
			continue
		}
		if deadline := n.doomed(schedule, h, now); !deadline.IsZero() {
			n.drainEndpoint(now, deadline, h, running)
		}
	}
}

// runningByEndpoint returns the requests with an attempt at each endpoint.
func (n *Node) runningByEndpoint() map[string][]*Accepted {
	out := map[string][]*Accepted{}
	for _, a := range n.requests.all() {
		if _, host, ok := a.Running(); ok {
			out[host.ID] = append(out[host.ID], a)
		}
	}
	return out
}

func (n *Node) drainEndpoint(now, deadline time.Time, h port.Host, running []*Accepted) {
	streams := make([]drain.Stream, 0, len(running))
	byID := map[string]*Accepted{}
	for _, a := range running {
		id := a.Request.ID.String()
		byID[id] = a
		streams = append(streams, n.streamOf(a, now))
	}
	share := 1 / float64(max(n.entryHosts(), 1))
	for _, step := range n.drains.next(now, deadline, share, h.Region, streams, n.targets(h.Service)) {
		note := DrainStep{Step: step, Endpoint: h.ID, At: now, Deadline: deadline}
		n.drains.note(note)
		if step.Choice == drain.ChoiceTransfer || step.Choice == drain.ChoiceRecompute {
			n.move(byID[step.Stream], note)
		}
	}
}

// streamOf describes a running request to the plan.
func (n *Node) streamOf(a *Accepted, now time.Time) drain.Stream {
	got := a.Answer.Len()
	s := drain.Stream{
		ID:        a.Request.ID.String(),
		Priority:  a.Request.Priority,
		Tokens:    a.Request.PromptTokens + got,
		Remaining: expectedTokens(a.Request, got),
		Interval:  a.tokenInterval(now),
		Once:      !a.Request.Repeatable || a.Request.Kind != request.KindGenerate,
	}
	if doc := n.documentOf(a.Request.Service); s.Interval == 0 && doc != nil {
		s.Interval = doc.Latency.BetweenTokens.Std()
	}
	return s
}

// expectedTokens returns how many tokens an answer still takes.
func expectedTokens(req *request.Request, got int) int {
	if req.MaxTokens > 0 {
		return max(req.MaxTokens-got, 0)
	}
	return max(defaultAnswerTokens-got, defaultAnswerTokens/4)
}

// targets returns the endpoints of a service that can take streams.
func (n *Node) targets(service string) []drain.Target {
	var out []drain.Target
	for _, l := range n.endpoints.routes.Loads(time.Now()) {
		host, ok := n.endpoints.routes.Host(l.Endpoint)
		if !ok || l.Service != service || l.Leaving || l.Suspect {
			continue
		}
		limit := l.MaxRunning
		if limit <= 0 {
			limit = modelRunning
		}
		out = append(out, drain.Target{Host: host.ID, Region: host.Region, Free: limit - l.InFlight - max(l.Others, 0)})
	}
	slices.SortFunc(out, func(a, b drain.Target) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// move moves one stream in the background.
func (n *Node) move(a *Accepted, note DrainStep) {
	if note.Choice == drain.ChoiceRecompute {
		note.Result = "none under way"
		if a.Move(Move{Host: note.Target}) {
			note.Result = "moved"
		}
		n.noteMove(a, note)
		return
	}
	attemptID, source, ok := a.beginMove()
	if !ok {
		return
	}
	n.tomb.Go(func() error {
		move, result := n.transfer(attemptID, source, note.Target)
		a.endMove(move)
		note.Result = result
		n.noteMove(a, note)
		return nil
	})
}

func (n *Node) noteMove(a *Accepted, note DrainStep) {
	n.drains.note(note)
	n.handoffs.moves.WithLabelValues(string(note.Choice), note.Result).Inc()
	n.log.Info().Str("request", note.Stream).Str("service", a.Request.Service).Str("workspace", a.Request.Workspace).Str("endpoint", note.Endpoint).
		Str("target", note.Target).Str("choice", string(note.Choice)).Str("result", note.Result).Msg("stream moved")
}

// transfer exports an attempt's KV cache and imports it at the target. When a
// half fails the stream goes on anywhere, with a recompute.
func (n *Node) transfer(attemptID string, source port.Host, target string) (Move, string) {
	host, ok := n.endpoints.routes.Host(target)
	if !ok {
		return Move{}, "target gone"
	}
	ctx, cancel := context.WithTimeout(n.context(), transferTimeout)
	defer cancel()
	started := time.Now()
	export, err := n.ports.Engine.ExportKV(ctx, source.EndpointAddress, attemptID)
	if err != nil {
		return Move{}, "export failed"
	}
	if err := n.ports.Engine.ImportKV(ctx, host.EndpointAddress, source.EndpointAddress, export); err != nil {
		return Move{}, "import failed"
	}
	n.drains.learn(export, time.Since(started))
	return Move{Host: host.ID, KVHandle: export.Handle}, "moved"
}

// importFrom makes a request that was handed over go on from its exported KV
// cache: at the endpoint that holds it, or at one of the same region.
func (n *Node) importFrom(ctx context.Context, a *Accepted, kv *KVSource) {
	target, ok := n.importTarget(a.Request.Service, kv.Endpoint)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if n.ports.Engine.ImportKV(ctx, target.EndpointAddress, kv.Address, kv.Export) == nil {
		a.setMove(Move{Host: target.ID, KVHandle: kv.Export.Handle})
	}
}

func (n *Node) importTarget(service, holder string) (port.Host, bool) {
	source, ok := n.endpoints.routes.Host(holder)
	if !ok {
		return port.Host{}, false
	}
	best := drain.Target{}
	for _, t := range n.targets(service) {
		if t.Host == holder {
			return source, true
		}
		if t.Region == source.Region && t.Free > best.Free {
			best = t
		}
	}
	return n.endpoints.routes.Host(best.Host)
}
