package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/grant"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/presence"
)

// Shares of limits are granted by the leader to the hosts that keep buckets: the relays of zones, their standbys, and
// hosts without a relay (package grant). Every such host calls the leader each grantInterval; another one calls
// each new leader once, so that the leader knows that it holds nothing.

// Methods of the grantor, and of the hosts that it tells of its takeover.
const (
	methodGrant   = "gateway.grant"
	methodGrantor = "gateway.grantor"
)

const (
	// grantInterval is how often a holder asks for its shares, give or take grantJitter of it.
	grantInterval = 300 * time.Millisecond
	grantJitter   = 0.2
	// minGrantInterval is the least time between two calls of a holder.
	minGrantInterval = 50 * time.Millisecond
	// grantTimeout bounds a call to the grantor, which may be in another region. It is part of what
	// grant.ReservationTTL leaves beyond grant.HoldingTTL.
	grantTimeout = 400 * time.Millisecond
	// noLimitsInterval is how often a host without limits in its configuration looks for one.
	noLimitsInterval = time.Second
	// firstShareTimeout is how long a request waits for the first shares of a process that has started
	// within startupWindow: after a restart of all hosts there is no grantor at first.
	firstShareTimeout = time.Second
)

var errNotGrantor = errors.New("not the grantor")

// grantor is the host that grants shares.
type grantor struct {
	Host  string `json:"host"`
	Peer  string `json:"peer"`
	Token int64  `json:"fence"`
}

// grantState is this host's state as grantor and as holder.
type grantState struct {
	mu     sync.Mutex
	ledger *grant.Ledger // nil before this host was the grantor
	// told is the last grantor that told this host of its takeover.
	told grantor
	// wake asks for a call to the grantor before the next is due.
	wake chan struct{}
	// first is closed when this process has its first shares.
	first     chan struct{}
	firstOnce sync.Once
	// settled is set once the last grantor has replied that this host holds nothing, and it keeps no bucket.
	settled bool

	// Used only by the goroutine of followGrants.
	holding   *grant.Holding
	role      quotaRole
	announced int64 // fencing token of the last takeover that this host has told the others of
}

func newGrantState(host string, started time.Time) *grantState {
	return &grantState{role: roleNone, wake: make(chan struct{}, 1), first: make(chan struct{}), holding: grant.NewHolding(host, started.UnixNano())}
}

// askSoon makes the holder ask for its shares before the next call is due.
func (s *grantState) askSoon() {
	select {
	case s.wake <- struct{}{}:
	default: // it will already
	}
}

// limited returns the workspaces that have a limit.
func limited(s *catalog.Snapshot) []*catalog.Workspace {
	if s == nil {
		return nil
	}
	var out []*catalog.Workspace
	for i := range s.Workspaces {
		if w := &s.Workspaces[i]; w.Limit.PerSecond > 0 {
			out = append(out, w)
		}
	}
	return out
}

func limitsOf(workspaces []*catalog.Workspace) map[string]float64 {
	out := make(map[string]float64, len(workspaces))
	for _, w := range workspaces {
		out[w.Name] = w.Limit.PerSecond
	}
	return out
}

// followGrants keeps the shares of this host up to date.
func (g *Gateway) followGrants() error {
	for _, started := range []chan struct{}{g.hostsRead, g.configured} {
		select {
		case <-started:
		case <-g.tomb.Dying():
			return nil
		}
	}
	g.inheritShares(time.Now(), limited(g.catalog.Current()))
	for {
		interval := noLimitsInterval
		if workspaces := limited(g.catalog.Current()); len(workspaces) > 0 {
			g.announceGrants(time.Now())
			interval = g.askForShares(time.Now(), workspaces)
		}
		next := time.NewTimer(interval)
		select {
		case <-g.tomb.Dying():
			next.Stop()
			return nil
		case <-time.After(minGrantInterval):
		}
		select {
		case <-g.tomb.Dying():
			next.Stop()
			return nil
		case <-g.grants.wake:
			next.Stop()
		case <-next.C:
		}
	}
}

// currentGrantor returns the grantor with the highest fencing token that this host knows, zero if it knows none.
func (g *Gateway) currentGrantor(now time.Time) grantor {
	g.grants.mu.Lock()
	latest := g.grants.told
	g.grants.mu.Unlock()
	for _, r := range g.presence.Live() {
		if r.FencingToken > latest.Token {
			latest = grantor{r.Host, r.Peer, r.FencingToken}
		}
	}
	if token, held := g.leader.heldToken(now); held && token >= latest.Token {
		latest = grantor{g.opts.Host, "", token}
	}
	return latest
}

// askForShares asks the grantor for the shares of this host and puts them in force. It returns when to ask
// again. Without an answer the shares stay as they are until they expire.
func (g *Gateway) askForShares(now time.Time, workspaces []*catalog.Workspace) time.Duration {
	s := g.grants
	interval := time.Duration(float64(grantInterval) * (1 + grantJitter*(2*rand.Float64()-1)))
	to, role := g.currentGrantor(now), g.quotaRole(now)
	holds := role != roleNone
	g.noteRole(role)
	// Others know a process from its first report on; the next grantor must know of each that holds shares.
	if to.Token == 0 || g.sequence.Load() == 0 {
		return interval
	}
	s.mu.Lock()
	settled := s.settled && !holds && to.Token == s.holding.Token()
	s.settled = settled
	s.mu.Unlock()
	if settled {
		return interval
	}
	if !holds {
		g.quota.SetShares(now, workspaces, nil, nil, now) // given up with the call
	}
	call, ok := s.holding.Ask(now, to.Token, holds, g.quota.Demand(now))
	if !ok {
		return interval
	}
	call.Standby = role == roleStandby
	reply, err := g.callGrantor(to, call)
	if err != nil {
		g.log.Debug().Str("event", "limits").Str("change", "unanswered").Str("grantor", to.Host).Err(err).Msg("")
		return interval
	}
	now = time.Now()
	if !s.holding.Accept(now, reply) {
		return interval
	}
	g.putSharesInForce(now, workspaces, reply.Shares, reply.Busy)
	s.mu.Lock()
	s.settled = !holds
	s.mu.Unlock()
	if role == roleKeeper && len(reply.Shares) < len(workspaces) {
		return minGrantInterval // the grantor waits for other hosts, or they have not given up theirs yet
	}
	return interval
}

// inheritShares puts in force what the host's previous process last reported to hold, until a grantor answers.
func (g *Gateway) inheritShares(now time.Time, workspaces []*catalog.Workspace) {
	var last presence.Report
	for _, r := range g.presence.All() {
		if r.Host == g.opts.Host && r.Incarnation != g.opts.Incarnation && r.Wall >= last.Wall {
			last = r
		}
	}
	age := g.clock.Wall(now).Sub(time.UnixMilli(last.Wall))
	if len(last.Shares) == 0 || age.Abs() > grant.InheritedTTL {
		return
	}
	g.grants.holding.Inherit(now, last.Shares)
	g.putSharesInForce(now, workspaces, g.grants.holding.Shares(now), nil)
	g.log.Info().Str("event", "limits").Str("change", "inherited").Dur("age", age).Int("workspaces", len(last.Shares)).Msg("")
}

// putSharesInForce passes shares on to the buckets.
func (g *Gateway) putSharesInForce(now time.Time, workspaces []*catalog.Workspace, parts map[string]grant.Parts, busy []string) {
	shares, sum := map[string]float64{}, 0.0
	for w, p := range parts {
		shares[w] = p.Fraction()
		sum += shares[w]
	}
	g.quota.SetShares(now, workspaces, shares, busy, g.grants.holding.Until())
	g.metrics.limitShares.Set(sum)
	if sum > 0 {
		g.grants.firstOnce.Do(func() { close(g.grants.first) })
	}
}

// noteRole logs a change of what this host keeps of the limits.
func (g *Gateway) noteRole(role quotaRole) {
	if role == g.grants.role {
		return
	}
	g.log.Info().Str("event", "limits").Str("change", "role").Str("role", string(role)).Str("before", string(g.grants.role)).Msg("")
	g.grants.role = role
}

func (g *Gateway) callGrantor(to grantor, call grant.Call) (grant.Reply, error) {
	if to.Host == g.opts.Host {
		return g.answerGrant(call)
	}
	if g.ports.Peers == nil || to.Peer == "" {
		return grant.Reply{}, errNotGrantor
	}
	ctx, cancel := context.WithTimeout(g.context(), grantTimeout)
	defer cancel()
	var reply grant.Reply
	err := g.ports.Peers.Call(ctx, to.Peer, methodGrant, call, &reply)
	return reply, errors.Wrap(err, "call the grantor")
}

func (g *Gateway) serveGrant(_ context.Context, params json.RawMessage) (any, error) {
	var call grant.Call
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, errors.Wrap(err, "decode call for shares")
	}
	return g.answerGrant(call)
}

// answerGrant answers a call for shares while this host is the leader.
func (g *Gateway) answerGrant(call grant.Call) (grant.Reply, error) {
	now := time.Now()
	token, held := g.leader.heldToken(now)
	if !held || g.currentGrantor(now).Token > token {
		return grant.Reply{}, errNotGrantor // another host has taken over, which reserves shares from then on
	}
	workspaces := limited(g.catalog.Current())
	s := g.grants
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger == nil || s.ledger.Token() != token {
		before := g.knownBefore()
		s.ledger = grant.NewLedger(now, token, before)
		g.log.Info().Str("event", "limits").Str("change", "grantor").Int64("fence", token).Int("awaited", len(before.Hosts)).Msg("")
	}
	reply, err := s.ledger.Answer(now, call, limitsOf(workspaces))
	if err != nil {
		return grant.Reply{}, err
	}
	for _, c := range s.ledger.TakeChanges() {
		g.log.Info().Str("event", "limits").Str("change", string(c.Kind)).Str("holder", c.Host).Str("reason", c.Reason).Msg("")
	}
	granted := 1.0
	for _, w := range workspaces {
		granted = min(granted, s.ledger.Granted(w.Name).Fraction())
	}
	g.metrics.limitsGranted.Set(granted)
	if current, held := g.leader.heldToken(time.Now()); !held || current != token {
		return grant.Reply{}, errNotGrantor
	}
	return reply, nil
}

// knownBefore returns what the reports tell of the time before this host took over.
func (g *Gateway) knownBefore() grant.Before {
	before := grant.Before{Hosts: []string{g.opts.Host}, Demand: map[string]float64{}}
	for _, r := range g.presence.Within(grant.ReservationTTL) {
		before.Hosts = append(before.Hosts, r.Host)
	}
	byHost := map[string]map[string]float64{}
	for _, r := range g.presence.All() {
		if byHost[r.Host] == nil {
			byHost[r.Host] = map[string]float64{}
		}
		for w, rate := range r.QuotaDemand {
			byHost[r.Host][w] = max(byHost[r.Host][w], rate)
		}
	}
	for _, demand := range byHost {
		for w, rate := range demand {
			before.Demand[w] += rate
		}
	}
	return before
}

// announceGrants tells all hosts of this host's takeover, so that they need not wait for its report.
func (g *Gateway) announceGrants(now time.Time) {
	token, held := g.leader.heldToken(now)
	if !held || token == g.grants.announced || g.ports.Peers == nil {
		return
	}
	g.grants.announced = token
	told := grantor{g.opts.Host, g.opts.Peer, token}
	for _, r := range g.presence.Live() {
		if r.Peer == "" {
			continue
		}
		g.tomb.Go(func() error {
			ctx, cancel := context.WithTimeout(g.context(), grantTimeout)
			defer cancel()
			if err := g.ports.Peers.Call(ctx, r.Peer, methodGrantor, told, nil); err != nil {
				g.log.Debug().Str("event", "limits").Str("change", "unannounced").Str("peer", r.Host).Err(err).Msg("")
			}
			return nil
		})
	}
}

func (g *Gateway) serveGrantor(_ context.Context, params json.RawMessage) (any, error) {
	var told grantor
	if err := json.Unmarshal(params, &told); err != nil {
		return nil, errors.Wrap(err, "decode grantor")
	}
	s := g.grants
	s.mu.Lock()
	if told.Token > s.told.Token {
		s.told = told
	}
	s.mu.Unlock()
	s.askSoon()
	return struct{}{}, nil
}

// awaitFirstShare waits, in a process that has just started and keeps buckets, for its first shares.
func (g *Gateway) awaitFirstShare(ctx context.Context, now time.Time) {
	if now.Sub(g.startedAt) >= startupWindow || g.quotaRole(now) == roleNone {
		return
	}
	select {
	case <-g.grants.first:
	case <-time.After(firstShareTimeout):
	case <-ctx.Done():
	}
}

// grantsState returns the debug view of the grantor, nil if this host has not been one.
func (g *Gateway) grantsState(now time.Time) *grant.State {
	s := g.grants
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger == nil {
		return nil
	}
	state := s.ledger.State(now)
	return &state
}

// grantHandlers returns the methods of the grantor and its holders.
func (g *Gateway) grantHandlers() map[string]port.PeerHandler {
	return map[string]port.PeerHandler{methodGrant: g.serveGrant, methodGrantor: g.serveGrantor}
}

// hasLimits reports whether a workspace has a limit, for which there must be a leader.
func (g *Gateway) hasLimits() bool {
	s := g.catalog.Current()
	return s != nil && slices.ContainsFunc(s.Workspaces, func(w catalog.Workspace) bool { return w.Limit.PerSecond > 0 })
}
