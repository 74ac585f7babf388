package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/placement"
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// A placer is the host of a region that chooses engines for the requests of all its hosts.
//
// Load pattern: many hosts, each with a few requests a second, choose among the same engines. Reports
// of the others' load are one to two seconds old, and an engine prefills a long prompt in a third of a
// second, so hosts that choose on their own choose nearly at random: some engines have several long
// prompts queued while others are idle. The placer knows of each request of its region as it is sent.
// The placers of two regions tell each other their loads every loadInterval.
//
// The placer only gives advice: the host that asked sends the request, and chooses on its own when it
// gets no timely answer. A placement that is not settled by its host ends with the request's deadline.

// Methods that a placer serves.
const (
	methodPlace  = "gateway.place"
	methodSettle = "gateway.settle"
	methodLoads  = "gateway.loads"
)

const (
	// placeTimeout bounds a call to the placer: it is within the region, but a host limited to a
	// fraction of a core may have used up its CPU time until the scheduler's period of a tenth of a
	// second ends.
	placeTimeout = 120 * time.Millisecond
	// placerBackoff is how long a host chooses on its own after the placer has failed to answer.
	placerBackoff = time.Second
	// settleDelay is how long a host gathers news of its placements before it sends them.
	settleDelay = 40 * time.Millisecond
	// loadInterval is how often a placer sends its loads to the placers of other regions. loadTTL is
	// how long these count.
	loadInterval = 250 * time.Millisecond
	loadTTL      = 1500 * time.Millisecond
	// maxPlacements bounds the placements in progress that a placer keeps: beyond it, hosts choose on
	// their own.
	maxPlacements = 50_000
)

// placerState is the state of this process as a placer and as a client of one.
type placerState struct {
	// table holds the loads of the whole region while this host is its placer.
	table *placement.Table

	mu sync.Mutex
	// chosen is the placer of this host's region, zero if there is none; others are those of the
	// other regions.
	chosen      presence.Report
	others      []presence.Report
	failedUntil map[string]time.Time // by host
	// placements holds, by ticket, the placements in progress that this host has made as placer.
	placements map[int64]*regionPlacement
	lastTicket int64
	sweptAt    time.Time
	// peerLoads holds the latest loads sent by other placers, by host.
	peerLoads map[string]placerLoads
	// unsettled is the news of placements that is to be sent to the placer, by its address.
	unsettled map[string][]settlement
}

// regionPlacement is a placement in progress.
type regionPlacement struct {
	choice    placement.Choice
	service   string
	expiresAt time.Time
}

// placerLoads is the load that the hosts of one placer have in progress, by endpoint.
type placerLoads struct {
	loads      map[string]placement.Load
	receivedAt time.Time
}

func newPlacerState(host string) *placerState {
	return &placerState{
		table: placement.NewTable(host), failedUntil: map[string]time.Time{}, placements: map[int64]*regionPlacement{},
		peerLoads: map[string]placerLoads{}, unsettled: map[string][]settlement{},
	}
}

// choosePlacers chooses the placer of each region: the serving host with the most cores, among equals
// the one with the highest rendezvous score. Hosts with the same view choose the same placers.
func (g *Gateway) choosePlacers(now time.Time, live []presence.Report) {
	best := map[string]presence.Report{}
	for _, r := range append(slices.Clone(live), g.report(now)) {
		if r.State != presence.StateServing || r.Peer == "" {
			continue
		}
		old, ok := best[r.Region]
		key := "placer/" + r.Region
		if !ok || cmp.Or(cmp.Compare(r.Cores, old.Cores), cmp.Compare(rendezvous.Score(key, r.Host), rendezvous.Score(key, old.Host))) > 0 {
			best[r.Region] = r
		}
	}
	s := g.placer
	s.mu.Lock()
	previous := s.chosen.Host
	s.chosen, s.others = best[g.opts.Region], nil
	for region, r := range best {
		if region != g.opts.Region {
			s.others = append(s.others, r)
		}
	}
	chosen := s.chosen.Host
	s.mu.Unlock()
	if chosen != previous {
		if chosen == g.opts.Host {
			g.inheritSpeeds(now, previous)
		}
		g.metrics.stateChanges.WithLabelValues("placer").Inc()
		g.log.Info().Str("event", "placer").Str("placer", chosen).Str("before", previous).Msg("")
	}
}

// currentPlacer returns the last report of the region's placer; ok is false when this host is to choose
// on its own.
func (g *Gateway) currentPlacer(now time.Time) (r presence.Report, ok bool) {
	s := g.placer
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chosen, s.chosen.Host != "" && !now.Before(s.failedUntil[s.chosen.Host])
}

// choose chooses an endpoint by the region's placer, or on its own if that gives no timely answer.
func (c *call) choose(now time.Time, q *placement.Query, views []fleet.View) (placement.Choice, bool) {
	g := c.g
	candidates := g.candidates(now, views, c.service.Engine != nil, c.service)
	placer, ok := g.currentPlacer(now)
	if !ok || q.PromptTokens == 0 {
		return g.placement.Choose(now, q, candidates)
	}
	req := placeRequest{
		Service: q.Service, Zone: q.Zone, Key: q.Key, Prompt: q.PromptTokens, Answer: q.MaxAnswerTokens, Parts: q.Parts,
		Priority: q.Priority, Software: c.streamSoftware(), Remaining: c.deadline.Sub(now), SlackMS: q.SlackMS,
	}
	req.Within, req.Versions = g.rolloutBounds(c.service.Name, views)
	for id := range q.Excluded {
		req.Excluded = append(req.Excluded, id)
	}
	for i := range candidates {
		if candidates[i].Suspect {
			req.Suspect = append(req.Suspect, candidates[i].ID)
		}
	}
	var reply placeReply
	if placer.Host == g.opts.Host {
		var err error
		if reply, err = g.placeForRegion(now, req); err != nil {
			return g.placement.Choose(now, q, candidates)
		}
	} else if !g.callPlacer(placer, req, &reply) {
		return g.placement.Choose(now, q, candidates)
	}
	at := slices.IndexFunc(candidates, func(c placement.Candidate) bool { return c.ID == reply.Endpoint })
	if at < 0 {
		// The placer does not know of an endpoint's end yet, or knows of none that may be chosen.
		g.settle(placer, settlement{Ticket: reply.Ticket, Ended: true, NotPrefilled: true})
		return g.placement.Choose(now, q, candidates)
	}
	choice := g.placement.Adopt(now, q, candidates[at], reply.Terms, reply.Cached, reply.Fetch)
	c.placer, c.ticket = placer, reply.Ticket
	return choice, true
}

// callPlacer asks the placer of the region. If that fails, the host chooses on its own for a while.
func (g *Gateway) callPlacer(placer presence.Report, req placeRequest, reply *placeReply) bool {
	if g.ports.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(g.context(), placeTimeout)
	defer cancel()
	err := g.ports.Peers.Call(ctx, placer.Peer, methodPlace, req, reply)
	if err == nil {
		return true
	}
	if g.context().Err() != nil {
		return false
	}
	s, now := g.placer, time.Now()
	s.mu.Lock()
	alreadyFailed := now.Before(s.failedUntil[placer.Host])
	s.failedUntil[placer.Host] = now.Add(placerBackoff)
	s.mu.Unlock()
	if !alreadyFailed {
		g.metrics.stateChanges.WithLabelValues("placer_failed").Inc()
		g.log.Warn().Str("event", "dependency_lost").Str("dependency", "placer/"+placer.Host).Err(err).Msg("choosing endpoints without the placer")
	}
	return false
}

// errNotPlacing means that a host cannot place requests of others now.
var errNotPlacing = errors.New("not placing: no configuration, no endpoints or too many placements")

// placeForRegion chooses an endpoint for a request of a host of the region.
func (g *Gateway) placeForRegion(now time.Time, req placeRequest) (placeReply, error) {
	snapshot := g.catalog.Current()
	if snapshot == nil || !g.hasEndpoints.Load() {
		return placeReply{}, errNotPlacing
	}
	service, ok := snapshot.Services[req.Service]
	if !ok || service.Engine == nil {
		return placeReply{}, errNotPlacing
	}
	q := &placement.Query{
		Service: req.Service, Key: req.Key, PromptTokens: req.Prompt, MaxAnswerTokens: req.Answer, Parts: req.Parts, Priority: req.Priority,
		Zone: req.Zone, Region: g.opts.Region, Excluded: map[string]bool{}, SlackMS: req.SlackMS, FetchTokenMS: service.Engine.FetchTokenMS(),
	}
	for _, id := range req.Excluded {
		q.Excluded[id] = true
	}
	views := g.withoutEnded(service.Name, ofSoftware(g.fleet.Usable(now, service.Name), req.Software))
	candidates := g.candidates(now, req.withinRollout(views), true, service)
	for i := range candidates {
		candidates[i].Suspect = candidates[i].Suspect || slices.Contains(req.Suspect, candidates[i].ID)
	}
	s := g.placer
	s.mu.Lock()
	full := len(s.placements) >= maxPlacements
	s.mu.Unlock()
	if full {
		return placeReply{}, errNotPlacing
	}
	choice, ok := s.table.Choose(now, q, candidates)
	if !ok {
		return placeReply{}, nil
	}
	s.mu.Lock()
	s.lastTicket++
	ticket := s.lastTicket
	s.placements[ticket] = &regionPlacement{choice, service.Name, now.Add(max(req.Remaining, time.Second))}
	s.mu.Unlock()
	return placeReply{Endpoint: choice.ID, Ticket: ticket, Terms: choice.Terms, Cached: choice.CachedTokens, Fetch: choice.Fetch}, nil
}

// applySettlements applies news of placements that this host has made as placer.
func (g *Gateway) applySettlements(news []settlement) {
	s := g.placer
	for _, n := range news {
		s.mu.Lock()
		p, ok := s.placements[n.Ticket]
		if ok && n.Ended {
			delete(s.placements, n.Ticket)
		}
		s.mu.Unlock()
		if !ok {
			continue // it has expired, or this process was not the placer then
		}
		if n.Started > 0 {
			sample, ok := s.table.Started(&p.choice, n.Started)
			g.observeSpeed(time.Now(), p.service, p.choice.ID, sample, ok, n.StatedPercent)
		}
		if n.Ended {
			s.table.Release(&p.choice, n.NotPrefilled)
		}
	}
}

// settle sends news of a placement to its placer, with other news of the next settleDelay.
func (g *Gateway) settle(placer presence.Report, n settlement) {
	if n.Ticket == 0 {
		return
	}
	if placer.Host == g.opts.Host {
		g.applySettlements([]settlement{n})
		return
	}
	s := g.placer
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := s.unsettled[placer.Peer]
	s.unsettled[placer.Peer] = append(pending, n)
	if len(pending) == 0 {
		time.AfterFunc(settleDelay, func() { g.sendSettlements(placer.Peer) })
	}
}

func (g *Gateway) sendSettlements(address string) {
	s := g.placer
	s.mu.Lock()
	news := s.unsettled[address]
	delete(s.unsettled, address)
	s.mu.Unlock()
	if g.ports.Peers == nil || g.context().Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(g.context(), time.Second)
	defer cancel()
	if err := g.ports.Peers.Call(ctx, address, methodSettle, news, nil); err != nil && g.context().Err() == nil {
		// The placements expire at the placer.
		g.log.Info().Str("event", "placements_unsettled").Int("placements", len(news)).Err(err).Msg("")
	}
}

// sweepPlacements ends placements whose hosts have not settled them.
func (s *placerState) sweepPlacements(now time.Time) {
	s.mu.Lock()
	var expired []*regionPlacement
	if now.Sub(s.sweptAt) >= time.Second {
		s.sweptAt = now
		for ticket, p := range s.placements {
			if now.After(p.expiresAt) {
				expired = append(expired, p)
				delete(s.placements, ticket)
			}
		}
	}
	s.mu.Unlock()
	for _, p := range expired {
		s.table.Release(&p.choice, true)
	}
}

// placerPeerLoads sums, by endpoint, the loads that are not placed by this host as placer: those that
// other placers have sent, and those that hosts without a placer, or of a placer that is silent, report.
func (g *Gateway) placerPeerLoads(now time.Time, live []presence.Report) map[string]placement.Load {
	s := g.placer
	s.mu.Lock()
	defer s.mu.Unlock()
	sums := map[string]placement.Load{}
	fresh := map[string]bool{g.opts.Host: true}
	for host, p := range s.peerLoads {
		if now.Sub(p.receivedAt) > loadTTL {
			delete(s.peerLoads, host)
			continue
		}
		fresh[host] = true
		addLoads(sums, p.loads)
	}
	for _, r := range live {
		if !fresh[r.Placer] {
			addLoads(sums, r.Loads)
		}
	}
	return sums
}

// addLoads adds loads to sums, by endpoint.
func addLoads(sums, loads map[string]placement.Load) {
	for id, l := range loads {
		sums[id] = sums[id].Plus(l)
	}
}

// exchangeLoads sends this placer's loads to the placers of the other regions, until the process ends.
func (g *Gateway) exchangeLoads() error {
	tick := time.NewTicker(loadInterval)
	defer tick.Stop()
	for {
		select {
		case <-g.tomb.Dying():
			return nil
		case now := <-tick.C:
			g.pauses.tick(time.Now()) // now may be from before a pause
			g.placer.sweepPlacements(now)
			g.sendLoads(now)
			g.logSpeeds(now)
		}
	}
}

func (g *Gateway) sendLoads(now time.Time) {
	s := g.placer
	s.mu.Lock()
	placing, others := s.chosen.Host == g.opts.Host, s.others
	s.mu.Unlock()
	if !placing || g.ports.Peers == nil {
		return
	}
	s.table.SetPeers(g.placerPeerLoads(now, g.presence.Within(shareTimeout)))
	message := loadsRequest{g.opts.Host, s.table.OwnLoads(), s.table.TakeCachedNews()}
	for _, other := range others {
		g.tomb.Go(func() error {
			ctx, cancel := context.WithTimeout(g.context(), loadInterval)
			defer cancel()
			// A lost message is replaced by the next, but for the cached parts, which are then prefilled again; the
			// other placer falls back to the reports.
			_ = g.ports.Peers.Call(ctx, other.Peer, methodLoads, message, nil)
			return nil
		})
	}
}

func (g *Gateway) servePlace(_ context.Context, params json.RawMessage) (any, error) {
	var req placeRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode place")
	}
	return g.placeForRegion(time.Now(), req)
}

func (g *Gateway) serveSettle(_ context.Context, params json.RawMessage) (any, error) {
	var news []settlement
	if err := json.Unmarshal(params, &news); err != nil {
		return nil, errors.Wrap(err, "decode settlements")
	}
	g.applySettlements(news)
	return struct{}{}, nil
}

func (g *Gateway) serveLoads(_ context.Context, params json.RawMessage) (any, error) {
	var req loadsRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode loads")
	}
	now := time.Now()
	s := g.placer
	s.table.AddCached(now, slices.DeleteFunc(req.Cached, func(p placement.CachedPart) bool {
		_, listed := g.fleet.Get(p.Endpoint)
		return !listed
	}))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerLoads[req.Host] = placerLoads{req.Loads, now}
	return struct{}{}, nil
}
