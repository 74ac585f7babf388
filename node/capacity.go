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
	// startsPerRound bounds the host starts of all services in one round;
	// services of higher priority take theirs first.
	startsPerRound = 4
	// refusedPause is how long a pool that refused a start is left alone.
	refusedPause = 10 * time.Second
	// pendingLimit is how long a started host may take to be listed.
	pendingLimit = 2 * time.Minute
)

// capacityJob decides about the endpoint hosts of all services. Only the
// holder of a service's capacity lease carries plans out; a start needs no
// lease to be safe because its token is deterministic. It runs on one worker
// at a time; only the rows for the dump have a lock.
type capacityJob struct {
	node     *Node
	planners map[string]*capacity.Planner
	refused  map[capacity.Pool]time.Time
	pending  map[string]pendingStart
	// listed holds the hosts of the last round by start token.
	listed map[string]port.Host

	// mu guards last, the last plans for the dump.
	mu   sync.Mutex
	last []CapacityState
}

type pendingStart struct {
	start capacity.Start
	since time.Time
}

func newCapacityJob(n *Node) *capacityJob {
	return &capacityJob{
		node:     n,
		planners: map[string]*capacity.Planner{},
		refused:  map[capacity.Pool]time.Time{},
		pending:  map[string]pendingStart{},
		listed:   map[string]port.Host{},
	}
}

// run makes one round over all services, those of higher priority first.
func (j *capacityJob) run() {
	ctx := j.node.context()
	prices, err := j.node.ports.Cloud.Prices(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	j.noteListed(ctx, now)
	budget := startsPerRound
	for _, doc := range j.services() {
		if _, ok := j.node.lease(capacityLease(doc.Service)); !ok {
			delete(j.planners, doc.Service)
			j.forget(doc.Service)
			continue
		}
		plan := j.planner(doc.Service).Plan(j.input(now, doc, prices))
		j.note(doc.Service, plan)
		budget -= j.carryOut(ctx, now, doc, plan, budget)
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
		Queued: j.node.queues.Queue(doc.Service).State(now).Queued, Prices: prices, RefusedUntil: j.refused, Pending: pending,
	}
}

// carryOut does what a plan says; it returns how many starts it asked for.
func (j *capacityJob) carryOut(ctx context.Context, now time.Time, doc *config.Document, plan capacity.Plan, budget int) int {
	starts := plan.Starts[:min(len(plan.Starts), max(budget, 0))]
	for _, s := range starts {
		j.start(ctx, now, s)
	}
	for _, host := range plan.Drains {
		j.propose(ctx, capacity.Change{Drain: host})
	}
	for _, host := range plan.Stops {
		if err := j.node.ports.Cloud.Stop(ctx, host); err != nil {
			j.node.log.Warn().Str("host", host).Err(err).Msg("host not given back")
		}
	}
	for _, o := range plan.Orders {
		j.order(ctx, doc, o)
	}
	return len(starts)
}

// order gives one order under the service's lease, which is looked at right
// before. Endpoints that do not check fencing numbers get orders only once
// those of the holder before can no longer be on their way.
func (j *capacityJob) order(ctx context.Context, doc *config.Document, o capacity.EndpointOrder) {
	lease := j.node.leaseUnfenced
	if doc.Endpoints.ChecksFencing {
		lease = j.node.lease
	}
	fence, ok := lease(capacityLease(doc.Service))
	if !ok {
		return
	}
	o.Order.Fence = fence
	if err := j.node.ports.Engine.Order(ctx, o.Address, o.Order); err != nil {
		j.node.log.Warn().Str("endpoint", o.Host).Str("order", string(o.Order.Kind)).Err(err).Msg("order not taken")
	}
}

// start asks for one host. A lost reply is harmless: the next round asks for
// the same token.
func (j *capacityJob) start(ctx context.Context, now time.Time, s capacity.Start) {
	host, err := j.node.ports.Cloud.Start(ctx, s.Request)
	switch {
	case err == nil:
		j.pending[s.Request.Token] = pendingStart{s, now}
		j.node.log.Info().Str("host", host.ID).Str("service", s.Slot.Service).Str("token", s.Request.Token).Msg("host start requested")
	case errors.Is(err, port.ErrStartRefused):
		j.refused[s.Slot.Pool] = now.Add(refusedPause)
		j.node.log.Warn().Str("service", s.Slot.Service).Str("pool", s.Slot.Pool.String()).Msg("host start refused")
	}
}

// noteListed compares the list with the last round's: a start that is listed
// is no longer pending, and the slot of a host that is gone moves on.
func (j *capacityJob) noteListed(ctx context.Context, now time.Time) {
	listed := map[string]port.Host{}
	ids := map[string]bool{}
	for _, h := range j.node.hosts.all() {
		ids[h.ID] = true
		if h.StartToken != "" {
			listed[h.StartToken] = h
			delete(j.pending, h.StartToken)
		}
	}
	for token, h := range j.listed {
		if slot, generation, ok := capacity.SlotOf(h); ok && !ids[h.ID] {
			delete(j.pending, token)
			j.advance(ctx, slot, generation)
		}
	}
	for token, p := range j.pending {
		if now.Sub(p.since) > pendingLimit {
			delete(j.pending, token)
			j.advance(ctx, p.start.Slot, p.start.Generation)
		}
	}
	for host := range j.node.capacity.Drained() {
		if !ids[host] {
			j.propose(ctx, capacity.Change{Forget: host})
		}
	}
	j.listed = listed
}

func (j *capacityJob) advance(ctx context.Context, slot capacity.Slot, from int) {
	if _, ok := j.node.lease(capacityLease(slot.Service)); ok {
		j.propose(ctx, capacity.Change{Advance: &capacity.Advance{Slot: slot, From: from}})
	}
}

// propose appends a capacity record. When the log is down the change waits
// for a later round.
func (j *capacityJob) propose(ctx context.Context, c capacity.Change) {
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

// endpointHosts returns the endpoints of a service as the plan takes them.
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

// CapacityState is a row of the dump: the last plan of a service that this
// process decides about.
type CapacityState struct {
	Service string `json:"service"`
	Wanted  int    `json:"wanted"`
	Have    int    `json:"have"`
	// Short says why fewer hosts are started than wanted.
	Short string `json:"short,omitempty"`
}

// states returns the last plans, by service.
func (j *capacityJob) states() []CapacityState {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.last)
}

// note keeps a plan for the dump.
func (j *capacityJob) note(service string, plan capacity.Plan) {
	row := CapacityState{Service: service, Wanted: plan.Wanted, Have: plan.Have, Short: plan.Short}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.forgetLocked(service)
	j.last = append(j.last, row)
}

// forget drops the row of a service that another process decides about.
func (j *capacityJob) forget(service string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.forgetLocked(service)
}

func (j *capacityJob) forgetLocked(service string) {
	j.last = slices.DeleteFunc(j.last, func(s CapacityState) bool { return s.Service == service })
}
