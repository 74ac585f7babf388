package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/capacity"
	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
)

const (
	capacityInterval = 2 * time.Second
	// maxStartsPerRound bounds the host starts of all services in one round.
	// Services of higher priority come first.
	maxStartsPerRound = 4
	// refusedStartDelay is how long no further start is requested from a pool
	// that refused one.
	refusedStartDelay = 10 * time.Second
	// pendingStartTimeout is how long a started host may take to appear in the
	// host list.
	pendingStartTimeout = 2 * time.Minute
)

// capacityJob plans the endpoint hosts of all services. Only the holder of a
// service's capacity lease executes plans. A start is safe without a lease
// because its token is deterministic. The job runs on one worker at a time;
// only lastPlans, which the state dump reads, needs a lock.
type capacityJob struct {
	node         *Node
	planners     map[string]*capacity.Planner
	refusedUntil map[capacity.Pool]time.Time
	pending      map[string]pendingStart
	// hostsByToken holds the listed hosts of the last round by start token.
	hostsByToken map[string]port.Host

	// mu guards lastPlans, which the state dump reads.
	mu        sync.Mutex
	lastPlans []CapacityState
}

type pendingStart struct {
	start capacity.Start
	since time.Time
}

func newCapacityJob(n *Node) *capacityJob {
	return &capacityJob{
		node:         n,
		planners:     map[string]*capacity.Planner{},
		refusedUntil: map[capacity.Pool]time.Time{},
		pending:      map[string]pendingStart{},
		hostsByToken: map[string]port.Host{},
	}
}

// run executes one round over all services, in descending order of priority.
func (j *capacityJob) run() {
	ctx := j.node.context()
	prices, err := j.node.ports.Cloud.Prices(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	j.updateListed(ctx, now)
	budget := maxStartsPerRound
	for _, doc := range j.services() {
		if _, ok := j.node.lease(capacityLease(doc.Service)); !ok {
			delete(j.planners, doc.Service)
			j.removePlan(doc.Service)
			continue
		}
		plan := j.planner(doc.Service).Plan(j.input(now, doc, prices))
		j.recordPlan(doc.Service, plan)
		budget -= j.execute(ctx, now, doc, plan, budget)
	}
}

func capacityLease(service string) string { return "capacity/" + service }

func (j *capacityJob) services() []*config.Document {
	var docs []*config.Document
	for _, rev := range j.node.documents.All() {
		docs = append(docs, rev.Document)
	}
	slices.SortFunc(docs, func(a, b *config.Document) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Service, b.Service))
	})
	return docs
}

func (j *capacityJob) planner(service string) *capacity.Planner {
	p, ok := j.planners[service]
	if !ok {
		p = capacity.NewPlanner(j.node.capacity)
		j.planners[service] = p
	}
	return p
}

func (j *capacityJob) input(now time.Time, doc *config.Document, prices []port.Price) capacity.Input {
	pending := map[string]bool{}
	for token, p := range j.pending {
		if p.start.Slot.Service == doc.Service {
			pending[token] = true
		}
	}
	return capacity.Input{
		Now: now, Document: doc, Hosts: j.node.endpointHosts(doc.Service),
		Queued: j.node.queues.Queue(doc.Service).State(now).Queued, Prices: prices, RefusedUntil: j.refusedUntil, Pending: pending,
	}
}

// execute executes a plan and returns the number of starts that it requested.
func (j *capacityJob) execute(ctx context.Context, now time.Time, doc *config.Document, plan capacity.Plan, budget int) int {
	starts := plan.Starts[:min(len(plan.Starts), max(budget, 0))]
	for _, s := range starts {
		j.start(ctx, now, s)
	}
	for _, host := range plan.Drains {
		j.appendChange(ctx, capacity.Change{Drain: host})
	}
	for _, host := range plan.Stops {
		if err := j.node.ports.Cloud.Stop(ctx, host); err != nil {
			j.node.log.Warn().Str("host", host).Err(err).Msg("host not stopped")
		}
	}
	for _, c := range plan.Commands {
		j.sendCommand(ctx, doc, c)
	}
	return len(starts)
}

// sendCommand sends one command if this process holds the service's lease,
// which is checked right before. An endpoint that does not check fencing tokens
// receives commands only once those of the previous holder can no longer be in
// flight.
func (j *capacityJob) sendCommand(ctx context.Context, doc *config.Document, c capacity.EndpointCommand) {
	lease := j.node.leaseUnfenced
	if doc.Endpoints.ChecksFencing {
		lease = j.node.lease
	}
	fencingToken, ok := lease(capacityLease(doc.Service))
	if !ok {
		return
	}
	c.Command.FencingToken = fencingToken
	if err := j.node.ports.Engine.SendCommand(ctx, c.Address, c.Command); err != nil {
		j.node.log.Warn().Str("endpoint", c.Host).Str("order", string(c.Command.Kind)).Err(err).Msg("command not accepted by endpoint")
	}
}

// start requests one host. A lost reply is harmless: the next round sends the
// same token again.
func (j *capacityJob) start(ctx context.Context, now time.Time, s capacity.Start) {
	host, err := j.node.ports.Cloud.Start(ctx, s.Request)
	switch {
	case err == nil:
		j.pending[s.Request.Token] = pendingStart{s, now}
		j.node.log.Info().Str("host", host.ID).Str("service", s.Slot.Service).Str("token", s.Request.Token).Msg("host start requested")
	case errors.Is(err, port.ErrStartRefused):
		j.refusedUntil[s.Slot.Pool] = now.Add(refusedStartDelay)
		j.node.log.Warn().Str("service", s.Slot.Service).Str("pool", s.Slot.Pool.String()).Msg("host start refused")
	}
}

// updateListed compares the host list with that of the last round. A start that
// is listed is no longer pending; the slot of a host that has disappeared, or
// whose start has timed out, advances to its next generation. Drain marks of
// hosts that are no longer listed are removed.
func (j *capacityJob) updateListed(ctx context.Context, now time.Time) {
	hostsByToken := map[string]port.Host{}
	ids := map[string]bool{}
	for _, h := range j.node.hosts.all() {
		ids[h.ID] = true
		if h.StartToken != "" {
			hostsByToken[h.StartToken] = h
			delete(j.pending, h.StartToken)
		}
	}
	for token, h := range j.hostsByToken {
		if slot, generation, ok := capacity.SlotOf(h); ok && !ids[h.ID] {
			delete(j.pending, token)
			j.advance(ctx, slot, generation)
		}
	}
	for token, p := range j.pending {
		if now.Sub(p.since) > pendingStartTimeout {
			delete(j.pending, token)
			j.advance(ctx, p.start.Slot, p.start.Generation)
		}
	}
	for host := range j.node.capacity.DrainingHosts() {
		if !ids[host] {
			j.appendChange(ctx, capacity.Change{Remove: host})
		}
	}
	j.hostsByToken = hostsByToken
}

// advance records that a slot advances from a generation to the next, if this
// process holds the capacity lease.
func (j *capacityJob) advance(ctx context.Context, slot capacity.Slot, generation int) {
	if _, ok := j.node.lease(capacityLease(slot.Service)); ok {
		j.appendChange(ctx, capacity.Change{Advance: &capacity.Advance{Slot: slot, From: generation}})
	}
}

// appendChange appends a capacity record. When the log is unavailable, a later
// round appends the change.
func (j *capacityJob) appendChange(ctx context.Context, c capacity.Change) {
	ctx, cancel := context.WithTimeout(ctx, capacityInterval)
	defer cancel()
	e, err := record.New(record.KindCapacity, j.node.settings.Host, c)
	if err == nil {
		err = j.node.append(ctx, classControl, e)
	}
	if err != nil {
		j.node.log.Warn().Err(err).Msg("capacity record not appended")
	}
}

// endpointHosts returns the endpoints of a service as input to the planner.
func (n *Node) endpointHosts(service string) []capacity.Host {
	views := n.endpoints.routes.Views(service)
	out := make([]capacity.Host, 0, len(views))
	for _, v := range views {
		out = append(out, capacity.Host{
			Host: v.Host, Leaving: v.Leaving, Drained: n.capacity.Draining(v.Host.ID), Report: v.Report,
		})
	}
	return out
}

// CapacityState is a row of the state dump: the last plan of a service whose
// capacity lease this process holds.
type CapacityState struct {
	Service string `json:"service"`
	Wanted  int    `json:"wanted"`
	Have    int    `json:"have"`
	// Short is the reason why fewer hosts are started than wanted.
	Short string `json:"short,omitempty"`
}

// states returns the last plan of each service.
func (j *capacityJob) states() []CapacityState {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.lastPlans)
}

// recordPlan records a plan for the state dump.
func (j *capacityJob) recordPlan(service string, plan capacity.Plan) {
	row := CapacityState{Service: service, Wanted: plan.Wanted, Have: plan.Have, Short: plan.ShortReason}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.removePlanLocked(service)
	j.lastPlans = append(j.lastPlans, row)
}

// removePlan removes the row of a service whose capacity lease another process
// holds.
func (j *capacityJob) removePlan(service string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.removePlanLocked(service)
}

func (j *capacityJob) removePlanLocked(service string) {
	j.lastPlans = slices.DeleteFunc(j.lastPlans, func(s CapacityState) bool { return s.Service == service })
}
