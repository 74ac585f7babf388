package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/rollout"
)

// methodRollout is how a host asks the leader for permission and tells its evidence.
const methodRollout = "gateway.rollout"

// methodRolloutLed is how a new leader tells the hosts that it leads orders, before its report reaches them.
const methodRolloutLed = "gateway.rollout-led"

const (
	// rolloutCallInterval is the time between two calls of a host to the leader, briskCallInterval while a step
	// is near. Both grow with the number of hosts from rolloutCallHosts on.
	rolloutCallInterval = 700 * time.Millisecond
	briskCallInterval   = 300 * time.Millisecond
	rolloutCallHosts    = 100
	// rolloutCallTimeout bounds a call: the leader answers from memory, and one that has ended is not awaited.
	rolloutCallTimeout = 600 * time.Millisecond
	// rolloutTick is the granularity of these intervals, leaderWakeInterval that of the leader's decisions.
	rolloutTick        = 100 * time.Millisecond
	leaderWakeInterval = 200 * time.Millisecond
	// fullSettleTime is how long after a host began to send all requests to the target the endpoint of each
	// earlier request is known: the placer has answered it or has not been awaited any longer.
	fullSettleTime = 2 * placeTimeout
)

type rolloutRequest struct {
	Host        string                   `json:"host"`
	Incarnation string                   `json:"incarnation"`
	Orders      map[string]rolloutReport `json:"orders"` // by service
}

// rolloutReport is what a host tells of an order.
type rolloutReport struct {
	Order    rollout.Order    `json:"order"`
	Evidence rollout.Evidence `json:"evidence,omitempty"`
	// AtOthers is the number of requests in progress at endpoints of other versions. Full states that the host
	// sends none there any more.
	AtOthers int  `json:"at_others,omitempty"`
	Full     bool `json:"full,omitempty"`
	// Known is the state that an earlier leader told.
	Known *rollout.Record `json:"known,omitempty"`
}

type rolloutReply struct {
	Token  int64                        `json:"token"`
	Orders map[string]rolloutPermission `json:"orders,omitempty"`
	// Interval is the time until the next call.
	Interval time.Duration `json:"interval_ns"`
}

type rolloutPermission struct {
	Record rollout.Record `json:"record"`
	// Total is the fraction over all routes.
	Total float64 `json:"total"`
}

// followRollouts calls the leader while there are orders that have not ended, until the process ends.
func (g *Gateway) followRollouts() error {
	for {
		select {
		case <-g.tomb.Dying():
			return nil
		case <-g.rollouts.changed:
		}
		if !g.followOrders() {
			return nil
		}
	}
}

// followOrders calls the leader until all orders have ended. It returns false if the process ends before.
func (g *Gateway) followOrders() bool {
	tick := time.NewTicker(rolloutTick)
	defer tick.Stop()
	var nextCall, nextWake time.Time
	for now := time.Now(); ; {
		_, leading := g.leader.heldToken(now)
		if leading && !now.Before(nextWake) {
			nextWake = now.Add(leaderWakeInterval)
			notify(g.rollouts.wake)
		}
		report := g.rolloutReports(now)
		if len(report) == 0 && !(leading && g.rollouts.unrecorded()) {
			return true
		}
		if len(report) > 0 && !now.Before(nextCall) {
			interval := g.callForPermission(now, report)
			nextCall = now.Add(time.Duration((0.85 + 0.3*rand.Float64()) * float64(interval)))
		}
		select {
		case <-g.tomb.Dying():
			return false
		case <-tick.C:
			now = time.Now() // the tick may have waited for a call
		}
	}
}

// rolloutReports returns what is to be told of the orders that have not ended.
func (g *Gateway) rolloutReports(now time.Time) map[string]rolloutReport {
	running := g.runningByVersion()
	s := g.rollouts
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]rolloutReport{}
	for service, h := range s.held {
		if !h.moving() {
			continue
		}
		r := rolloutReport{Order: h.order, Evidence: maps.Clone(h.evidence), Full: !h.fullSince.IsZero() && now.Sub(h.fullSince) >= fullSettleTime && h.permits(now)}
		for version, n := range running[service] {
			if version != h.order.Target {
				r.AtOthers += n
			}
		}
		if h.record.State != "" {
			known := h.record
			r.Known = &known
		}
		out[service] = r
	}
	return out
}

// runningByVersion counts the requests in progress at endpoints, by service and version.
func (g *Gateway) runningByVersion() map[string]map[string]int {
	g.calls.mu.Lock()
	all := make([]*call, 0, len(g.calls.calls))
	for c := range g.calls.calls {
		all = append(all, c)
	}
	g.calls.mu.Unlock()
	out := map[string]map[string]int{}
	for _, c := range all {
		c.mu.Lock()
		current := c.current
		c.mu.Unlock()
		if current == nil {
			continue
		}
		versions := out[current.view.Service]
		if versions == nil {
			versions = map[string]int{}
			out[current.view.Service] = versions
		}
		versions[current.view.Version]++
	}
	return out
}

// leaderHost returns the host with the highest fencing token, by its last report or by its own word since.
func (g *Gateway) leaderHost() (rolloutLeader, bool) {
	g.rollouts.mu.Lock()
	leader := g.rollouts.leader
	g.rollouts.mu.Unlock()
	for _, r := range g.presence.Live() {
		if r.FencingToken > leader.Token {
			leader = rolloutLeader{r.Host, r.Peer, r.FencingToken}
		}
	}
	return leader, leader.Token != 0
}

// rolloutLeader is what a leader tells of itself.
type rolloutLeader struct {
	Host  string `json:"host"`
	Peer  string `json:"peer"`
	Token int64  `json:"token"`
}

// announceLead tells the other hosts that this one leads orders. A host that is not reached learns it from the
// leader's report.
func (g *Gateway) announceLead(token int64) {
	if g.ports.Peers == nil {
		return
	}
	self := rolloutLeader{g.opts.Host, g.opts.Peer, token}
	for _, r := range g.presence.Live() {
		if r.Peer == "" {
			continue
		}
		g.tomb.Go(func() error {
			ctx, cancel := context.WithTimeout(g.context(), rolloutCallTimeout)
			defer cancel()
			if err := g.ports.Peers.Call(ctx, r.Peer, methodRolloutLed, self, nil); err != nil && g.context().Err() == nil {
				g.log.Info().Str("event", "rollout_unanswered").Str("peer", r.Host).Err(err).Msg("not told of the leader")
			}
			return nil
		})
	}
}

func (g *Gateway) serveRolloutLed(_ context.Context, params json.RawMessage) (any, error) {
	var leader rolloutLeader
	if err := json.Unmarshal(params, &leader); err != nil {
		return nil, errors.Wrap(err, "decode leader of roll-outs")
	}
	s := g.rollouts
	s.mu.Lock()
	defer s.mu.Unlock()
	if leader.Token > s.leader.Token {
		s.leader = leader
	}
	return struct{}{}, nil
}

// callForPermission calls the leader and returns the time until the next call. now is the start of the call.
func (g *Gateway) callForPermission(now time.Time, orders map[string]rolloutReport) time.Duration {
	req := rolloutRequest{Host: g.opts.Host, Incarnation: g.opts.Incarnation, Orders: orders}
	var reply rolloutReply
	if _, leading := g.leader.heldToken(now); leading {
		var err error
		if reply, err = g.answerRollout(now, req); err != nil {
			return rolloutCallInterval // it has just ceased to be the leader
		}
	} else {
		leader, ok := g.leaderHost()
		if !ok || leader.Peer == "" || g.ports.Peers == nil {
			return rolloutTick
		}
		ctx, cancel := context.WithTimeout(g.context(), rolloutCallTimeout)
		defer cancel()
		if err := g.ports.Peers.Call(ctx, leader.Peer, methodRollout, req, &reply); err != nil {
			if g.context().Err() == nil {
				g.log.Info().Str("event", "rollout_unanswered").Str("peer", leader.Host).Err(err).Msg("")
			}
			return briskCallInterval
		}
	}
	g.applyPermissions(now, orders, reply)
	return max(reply.Interval, rolloutTick)
}

// applyPermissions applies the answer to a call that began at a time.
func (g *Gateway) applyPermissions(began time.Time, asked map[string]rolloutReport, reply rolloutReply) {
	s := g.rollouts
	s.mu.Lock()
	if reply.Token < s.token {
		s.mu.Unlock()
		g.log.Warn().Str("event", "rollout_unanswered").Int64("fence", reply.Token).Int64("latest", s.token).Msg("answer of an earlier leader")
		return
	}
	s.token = reply.Token
	var news []rollout.Record
	for service, p := range reply.Orders {
		h := s.held[service]
		if h == nil || !p.Record.Order.Is(h.order) || !h.order.Is(asked[service].Order) || h.record.State.Ended() {
			continue // another order has come since, or this one has ended
		}
		if h.record.State != p.Record.State || !maps.Equal(h.record.Fractions, p.Record.Fractions) {
			news = append(news, p.Record)
		}
		order := h.order
		if !time.Now().Before(h.until) {
			h.fullSince = time.Time{} // without permission, requests went to other versions
		}
		h.record, h.total, h.until = p.Record, p.Total, began.Add(permissionTTL)
		h.record.Order = order
		switch {
		case !p.Record.Full():
			h.fullSince = time.Time{}
		case h.fullSince.IsZero():
			h.fullSince = time.Now()
		}
	}
	s.mu.Unlock()
	for _, r := range news {
		g.metrics.stateChanges.WithLabelValues("rollout").Inc()
		g.log.Info().Str("event", "rollout").Str("service", r.Order.Service).Str("target", r.Order.Target).Str("state", string(r.State)).
			Str("fractions", formatFractions(r.Fractions)).Str("why", r.Why).Int64("fence", reply.Token).Msg("")
	}
}

// errNotLeader means that a host is not the leader, or no longer.
var errNotLeader = errors.New("not the leader")

func (g *Gateway) serveRollout(_ context.Context, params json.RawMessage) (any, error) {
	var req rolloutRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode roll-out report")
	}
	return g.answerRollout(time.Now(), req)
}

// answerRollout takes in what a host tells and returns its permissions.
func (g *Gateway) answerRollout(now time.Time, req rolloutRequest) (rolloutReply, error) {
	token, held := g.leader.heldToken(now)
	if !held {
		return rolloutReply{}, errNotLeader
	}
	reply := rolloutReply{Token: token, Orders: map[string]rolloutPermission{}, Interval: rolloutCallInterval}
	var ended []*rollout.Machine
	s := g.rollouts
	s.mu.Lock()
	for service, report := range req.Orders {
		led, h := s.led[service], s.held[service]
		if led == nil || h == nil || !h.order.Is(report.Order) {
			continue // this host has not begun to lead it
		}
		if led.receive(now, req.Host+"/"+req.Incarnation, report) {
			ended = append(ended, led.machine)
		}
		r := led.permission()
		reply.Orders[service] = rolloutPermission{Record: r, Total: led.machine.Total()}
		if led.machine.Brisk(now) {
			reply.Interval = briskCallInterval
		}
	}
	s.mu.Unlock()
	for _, m := range ended {
		g.logRolloutDecision(m, token)
		notify(s.wake)
	}
	reply.Interval = min(reply.Interval*time.Duration(1+g.hostCount.Load()/rolloutCallHosts), permissionTTL/2)
	if g.opts.RollbackTime > 0 {
		reply.Interval = min(reply.Interval, g.opts.RollbackTime/4)
	}
	return reply, nil
}
