package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/rollout"
)

// A roll-out moves the traffic of a service to a software version, see docs/design/rollouts.md. The leader decides
// (rollout_leader.go); each host asks it for permission and tells its evidence (rollout_peers.go), and applies the
// permission to its own requests (rollout_call.go).

const (
	// permissionTTL is how long a permission lasts from the start of the call that brought it.
	permissionTTL = 2 * time.Second
	// maxRolloutHistory bounds the orders of a service that are remembered after a newer one.
	maxRolloutHistory = 8
)

// rolloutState is what a host knows of roll-outs. No other lock is taken while its lock is held.
type rolloutState struct {
	mu   sync.Mutex
	held map[string]*heldRollout // by service
	// token is the highest fencing token of a leader that has answered.
	token int64
	// leader is the leader with the highest fencing token that has told of itself.
	leader rolloutLeader
	// recorded holds the last record of the leader topic of each service, led what this host decides as the leader.
	recorded map[string]rollout.Record
	led      map[string]*ledRollout
	// changed is signalled when an order is received, wake when the leader tasks are to run soon.
	changed, wake chan struct{}
}

// heldRollout is the newest order of a service and the permission to carry it out.
type heldRollout struct {
	order     rollout.Order
	refused   error // why the order cannot be carried out
	withdrawn bool
	// record is the last state that a leader has told; its state is empty before the first.
	record rollout.Record
	// total is the fraction over all routes, until the end of the permission to send any to the target.
	total float64
	until time.Time
	// fullSince is when this host began to send all requests to the target; zero if it does not.
	fullSince time.Time
	evidence  rollout.Evidence
	// earlier are the orders before this one, banned the versions that they have left without requests.
	earlier []rollout.Order
	banned  []string
}

func newRolloutState() *rolloutState {
	return &rolloutState{
		held: map[string]*heldRollout{}, recorded: map[string]rollout.Record{}, led: map[string]*ledRollout{},
		changed: make(chan struct{}, 1), wake: make(chan struct{}, 1),
	}
}

// rollsOut reports whether roll-outs are enabled.
func (g *Gateway) rollsOut() bool {
	return g.opts.ExposureShare > 0 && g.ports.DecodeRollout != nil && g.ports.EncodeRolloutStatus != nil
}

// receiveRollouts applies the orders among the records beside the configuration. restored is set for those of an
// older copy of the store.
func (g *Gateway) receiveRollouts(records []port.TopicRecord, restored bool) {
	if !g.rollsOut() {
		return
	}
	for _, r := range records {
		service, order, err := g.ports.DecodeRollout(r.Key, r.Value)
		switch {
		case service == "":
		case r.Removed():
			g.withdrawRollout(service)
		case err != nil:
			g.log.Error().Str("event", "rollout_unreadable").Str("service", service).Int64("offset", r.Offset).Err(err).Msg("nothing is moved")
		default:
			order.Era, order.Offset = int64(g.latestEra()), r.Offset
			g.receiveOrder(order, restored)
		}
	}
}

// receiveOrder applies an order. One that repeats the last order of its service changes nothing but its position.
func (g *Gateway) receiveOrder(order rollout.Order, restored bool) {
	s := g.rollouts
	refused := order.Check()
	s.mu.Lock()
	h := s.held[order.Service]
	if h != nil {
		if order.Repeats(h.order, h.record.State.Ended()) {
			h.order, h.record.Order, h.withdrawn = order, order, false
			s.mu.Unlock()
			return
		}
		if restored && slices.ContainsFunc(h.earlier, order.SameContent) {
			s.mu.Unlock()
			g.log.Info().Str("event", "rollout_order").Str("service", order.Service).Str("target", order.Target).
				Int64("offset", order.Offset).Msg("an earlier order in a restored store is not carried out again")
			return
		}
	}
	fresh := &heldRollout{order: order, refused: refused, evidence: rollout.Evidence{}}
	if h != nil {
		fresh.earlier = append(slices.Clone(h.earlier), h.order)
		fresh.earlier = fresh.earlier[max(len(fresh.earlier)-maxRolloutHistory, 0):]
		fresh.banned = slices.DeleteFunc(append(slices.Clone(h.banned), h.leaves()...), func(v string) bool { return v == order.Target })
	}
	s.held[order.Service] = fresh
	delete(s.led, order.Service)
	s.mu.Unlock()
	notify(s.changed)
	e := g.log.Info()
	if refused != nil {
		e = g.log.Error().Err(refused)
	}
	_, configured := g.serviceNamed(order.Service)
	e.Str("event", "rollout_order").Str("service", order.Service).Str("target", order.Target).Dur("duration", order.Duration).
		Int64("offset", order.Offset).Bool("configured", configured).Msg("")
	g.metrics.stateChanges.WithLabelValues("rollout_order").Inc()
}

// serviceNamed reports whether the configuration has a service.
func (g *Gateway) serviceNamed(name string) (int64, bool) {
	snapshot := g.catalog.Current()
	if snapshot == nil {
		return 0, false
	}
	_, ok := snapshot.Services[name]
	return snapshot.Version, ok
}

func (g *Gateway) withdrawRollout(service string) {
	s := g.rollouts
	s.mu.Lock()
	h := s.held[service]
	news := h != nil && !h.withdrawn
	if news {
		h.withdrawn = true
	}
	s.mu.Unlock()
	if news {
		g.log.Info().Str("event", "rollout_order").Str("service", service).Bool("withdrawn", true).Msg("")
	}
}

// withdrawRollouts withdraws the orders that are missing from a complete list of records.
func (g *Gateway) withdrawRollouts(records []port.TopicRecord) {
	if !g.rollsOut() {
		return
	}
	listed := map[string]bool{}
	for _, r := range records {
		if service, _, _ := g.ports.DecodeRollout(r.Key, r.Value); service != "" { // errors are logged by receiveRollouts
			listed[service] = !r.Removed()
		}
	}
	for _, service := range g.rollouts.services() {
		if !listed[service] {
			g.withdrawRollout(service)
		}
	}
}

// notify signals a channel of capacity 1 unless it is signalled already.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// services returns the services that have an order, sorted.
func (s *rolloutState) services() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]string, 0, len(s.held))
	for service := range s.held {
		out = append(out, service)
	}
	slices.Sort(out)
	return out
}

// permits reports whether requests may be sent to the target now.
func (h *heldRollout) permits(now time.Time) bool {
	return h.record.State == rollout.StateCompleted || h.record.State == rollout.StateServing && now.Before(h.until)
}

// moving reports whether the order has not ended.
func (h *heldRollout) moving() bool { return h.refused == nil && !h.record.State.Ended() }

// leaves returns the versions that get no requests when another order follows: the target, unless the order was
// completed, and then the others.
func (h *heldRollout) leaves() []string {
	switch {
	case h.refused != nil || len(h.record.Others) == 0:
		return nil
	case h.record.State == rollout.StateCompleted:
		return h.record.Others
	}
	return []string{h.order.Target}
}

// excludes reports whether nothing may be sent to a version, because this order or an earlier one has ended.
func (h *heldRollout) excludes(version string) bool {
	if slices.Contains(h.banned, version) {
		return true
	}
	switch h.record.State {
	case rollout.StateRolledBack:
		return version == h.order.Target && len(h.record.Others) > 0
	case rollout.StateCompleted:
		return version != h.order.Target && slices.Contains(h.record.Others, version)
	}
	return false
}

// serving reports whether a service has an order that has not ended.
func (s *rolloutState) serving(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[service]
	return h != nil && h.moving()
}

// counts reports whether the endpoints of a version count as capacity of a service.
func (s *rolloutState) counts(service, version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[service]
	return h == nil || !h.excludes(version) && (!h.moving() || version != h.order.Target)
}

// errWithheld means that a version must not get a request now.
var errWithheld = errors.New("the version has no permission in the roll-out of its service")

// mayUse returns errWithheld if nothing may be sent to endpoints of a version now.
func (g *Gateway) mayUse(now time.Time, service, version string) error {
	s := g.rollouts
	s.mu.Lock()
	h := s.held[service]
	if h == nil || h.refused != nil {
		s.mu.Unlock()
		return nil
	}
	excluded, withheld := h.excludes(version), h.moving() && version == h.order.Target && !h.permits(now)
	target := h.order.Target
	s.mu.Unlock()
	if excluded || withheld && g.othersListed(service, target) {
		return errWithheld
	}
	return nil
}

// othersListed reports whether an endpoint of another version than the target, and of none that must not be used, is
// listed as ready.
func (g *Gateway) othersListed(service, target string) bool {
	all := g.fleet.All()
	g.rollouts.mu.Lock()
	defer g.rollouts.mu.Unlock()
	h := g.rollouts.held[service]
	return slices.ContainsFunc(all, func(v fleet.View) bool {
		return v.Service == service && v.Version != target && v.State == fleet.StateReady && (h == nil || !h.excludes(v.Version))
	})
}

// RolloutState is the state of a roll-out, for debugging.
type RolloutState struct {
	Order     rollout.Order      `json:"order"`
	State     rollout.State      `json:"state"`
	Why       string             `json:"why,omitempty"`
	Waiting   string             `json:"waiting,omitempty"` // known to the leader only
	Against   string             `json:"against,omitempty"` // the strongest evidence, known to the leader only
	Refused   string             `json:"refused,omitempty"`
	Withdrawn bool               `json:"withdrawn,omitempty"`
	Fractions map[string]float64 `json:"fractions,omitempty"`
	Others    []string           `json:"others,omitempty"`
	// Permitted is how much longer this host may send requests to the target.
	Permitted time.Duration    `json:"permitted_ns"`
	Evidence  rollout.Evidence `json:"evidence,omitempty"` // of this host
}

func (s *rolloutState) state(now time.Time, leading bool) []RolloutState {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]RolloutState, 0, len(s.held))
	for service, h := range s.held {
		row := RolloutState{
			Order: h.order, State: h.record.State, Why: h.record.Why, Withdrawn: h.withdrawn, Fractions: h.record.Fractions,
			Others: h.record.Others, Permitted: max(h.until.Sub(now), 0), Evidence: h.evidence.Since(nil),
		}
		if h.refused != nil {
			row.Refused = h.refused.Error()
		}
		if led := s.led[service]; led != nil && leading {
			row.Waiting, row.Against = led.machine.Waiting(), led.machine.Worst().String()
		}
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b RolloutState) int { return cmp.Compare(a.Order.Service, b.Order.Service) })
	return out
}
