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
	// drainInterval is the interval at which endpoint drains are advanced.
	drainInterval = 100 * time.Millisecond
	// transferTimeout bounds the export and import of one KV cache.
	transferTimeout = 3 * time.Second
	// maxDrainSteps bounds the steps retained for the state dump.
	maxDrainSteps = 200
)

// DrainStep is the choice made for one stream, as shown in the state dump.
type DrainStep struct {
	drain.Step
	Endpoint string    `json:"endpoint"`
	At       time.Time `json:"at"`
	Deadline time.Time `json:"deadline"`
	// Result is the result of a move.
	Result string `json:"result,omitempty"`
}

// endpointDrain plans how this host's streams leave endpoints that go away, and
// retains the steps taken.
type endpointDrain struct {
	mu      sync.Mutex
	planner *drain.Planner
	// steps holds the latest steps by request id.
	steps map[string]DrainStep
}

func newEndpointDrain() *endpointDrain {
	return &endpointDrain{planner: drain.NewPlanner(drain.DefaultRates()), steps: map[string]DrainStep{}}
}

// next returns the steps to take now for the streams at one endpoint.
func (d *endpointDrain) next(now, deadline time.Time, share float64, region string, streams []drain.Stream, targets []drain.Target) []drain.Step {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.planner.Share = share
	return d.planner.Next(now, deadline, region, streams, targets)
}

// recordTransfer updates the planner's transfer rates with one KV cache transfer.
func (d *endpointDrain) recordTransfer(export port.KVExport, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.planner.RecordTransfer(export.Tokens, export.Bytes, took)
}

// recordStep retains a step for the state dump; beyond maxDrainSteps the oldest is
// removed.
func (d *endpointDrain) recordStep(s DrainStep) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.steps[s.Stream] = s
	if len(d.steps) <= maxDrainSteps {
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

// state returns the retained steps, the oldest first.
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

// drainDeadline returns when a host goes away because of a notice or of a maintenance
// window in the document of its service; zero if there is neither.
func (n *Node) drainDeadline(schedule drain.Schedule, h port.Host, now time.Time) time.Time {
	if notice, ok := n.hosts.notice(h.ID); ok {
		return notice.Deadline
	}
	w, _ := schedule.Endpoint(h.Service, h.ID, h.Zone, now)
	return w.Starts
}

// drainEndpoints takes the next drain step for every endpoint that goes away.
func (n *Node) drainEndpoints() {
	now := time.Now()
	schedule := n.schedule()
	byEndpoint := n.runningByEndpoint()
	for _, h := range n.hosts.all() {
		running := byEndpoint[h.ID]
		if h.Role != port.RoleEndpoint || len(running) == 0 {
			continue
		}
		if deadline := n.drainDeadline(schedule, h, now); !deadline.IsZero() {
			n.drainEndpoint(now, deadline, h, running)
		}
	}
}

// runningByEndpoint returns the requests with a running attempt, by endpoint.
func (n *Node) runningByEndpoint() map[string][]*Accepted {
	out := map[string][]*Accepted{}
	for _, a := range n.requests.all() {
		if _, host, ok := a.Running(); ok {
			out[host.ID] = append(out[host.ID], a)
		}
	}
	return out
}

// drainEndpoint takes the next drain step for the requests running at one endpoint.
func (n *Node) drainEndpoint(now, deadline time.Time, h port.Host, running []*Accepted) {
	streams := make([]drain.Stream, 0, len(running))
	byID := map[string]*Accepted{}
	for _, a := range running {
		id := a.Request.ID.String()
		byID[id] = a
		streams = append(streams, n.streamOf(a, now))
	}
	share := 1 / float64(max(n.countEntryHosts(), 1))
	for _, step := range n.drains.next(now, deadline, share, h.Region, streams, n.targets(h.Service)) {
		ds := DrainStep{Step: step, Endpoint: h.ID, At: now, Deadline: deadline}
		n.drains.recordStep(ds)
		if step.Choice == drain.ChoiceTransfer || step.Choice == drain.ChoiceRecompute {
			n.move(byID[step.Stream], ds)
		}
	}
}

// streamOf describes a running request to the drain planner.
func (n *Node) streamOf(a *Accepted, now time.Time) drain.Stream {
	received := a.Answer.Len()
	s := drain.Stream{
		ID:            a.Request.ID.String(),
		Priority:      a.Request.Priority,
		Tokens:        a.Request.PromptTokens + received,
		Remaining:     expectedTokens(a.Request, received),
		Interval:      a.tokenInterval(now),
		NonIdempotent: !a.Request.Repeatable || a.Request.Kind != request.KindGenerate,
	}
	if doc := n.documentOf(a.Request.Service); s.Interval == 0 && doc != nil {
		s.Interval = doc.Latency.BetweenTokens.Std()
	}
	return s
}

// expectedTokens returns how many answer tokens are still expected after those
// received. Without a limit it is at least a quarter of defaultAnswerTokens.
func expectedTokens(req *request.Request, received int) int {
	if req.MaxTokens > 0 {
		return max(req.MaxTokens-received, 0)
	}
	return max(defaultAnswerTokens-received, defaultAnswerTokens/4)
}

// targets returns the endpoints of a service that can receive streams, with their
// free slots.
func (n *Node) targets(service string) []drain.Target {
	var out []drain.Target
	for _, l := range n.endpoints.routes.Loads(time.Now()) {
		host, ok := n.endpoints.routes.Host(l.Endpoint)
		if !ok || l.Service != service || l.Leaving || l.Suspect {
			continue
		}
		limit := l.MaxRunning
		if limit <= 0 {
			limit = defaultModelConcurrency
		}
		out = append(out, drain.Target{Host: host.ID, Region: host.Region, Free: limit - l.InFlight - max(l.Others, 0)})
	}
	slices.SortFunc(out, func(a, b drain.Target) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// move carries out a step that moves a stream; a KV cache transfer runs in the
// background.
func (n *Node) move(a *Accepted, step DrainStep) {
	if step.Choice == drain.ChoiceRecompute {
		step.Result = "none under way"
		if a.Move(Move{Host: step.Target}) {
			step.Result = "moved"
		}
		n.recordMove(a, step)
		return
	}
	attemptID, source, ok := a.beginMove()
	if !ok {
		return
	}
	n.tomb.Go(func() error {
		move, result := n.transfer(attemptID, source, step.Target)
		a.endMove(move)
		step.Result = result
		n.recordMove(a, step)
		return nil
	})
}

// recordMove records the result of a move in the state dump, the metrics and the log.
func (n *Node) recordMove(a *Accepted, step DrainStep) {
	n.drains.recordStep(step)
	n.handoffs.moves.WithLabelValues(string(step.Choice), step.Result).Inc()
	n.log.Info().Str("request", step.Stream).Str("service", a.Request.Service).Str("workspace", a.Request.Workspace).Str("endpoint", step.Endpoint).
		Str("target", step.Target).Str("choice", string(step.Choice)).Str("result", step.Result).Msg("stream moved")
}

// transfer exports an attempt's KV cache and imports it at the target. If the export
// or the import fails, the stream continues at any endpoint and recomputes the cache.
// The second result is the outcome in words, for metrics and the state dump.
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
	n.drains.recordTransfer(export, time.Since(started))
	return Move{Host: host.ID, KVHandle: export.Handle}, "moved"
}

// importKV imports the exported KV cache of a request that was handed off, at the
// endpoint that stores it or at another one of the same region, and makes the request
// resume there.
func (n *Node) importKV(ctx context.Context, a *Accepted, kv *KVSource) {
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

// importTarget returns the endpoint at which to import a KV cache: the source, which
// stores it, if that can receive streams, and otherwise the endpoint of the source's
// region with the most free slots.
func (n *Node) importTarget(service, sourceID string) (port.Host, bool) {
	source, ok := n.endpoints.routes.Host(sourceID)
	if !ok {
		return port.Host{}, false
	}
	best := drain.Target{}
	for _, t := range n.targets(service) {
		if t.Host == sourceID {
			return source, true
		}
		if t.Region == source.Region && t.Free > best.Free {
			best = t
		}
	}
	return n.endpoints.routes.Host(best.Host)
}
