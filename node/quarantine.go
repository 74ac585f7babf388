package node

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/quarantine"
	"github.com/cicadanotch/cicadanotch/record"
	"github.com/cicadanotch/cicadanotch/request"
)

const (
	// MethodDeaths takes deaths of endpoints from a peer and returns those
	// that this host knows.
	MethodDeaths = "quarantine.deaths"

	// deathGrace is how long a death is held back until all attempts at the
	// endpoint have noticed it.
	deathGrace = 50 * time.Millisecond
	// brokenKept is how long an attempt that broke counts as running.
	brokenKept = 3 * time.Second
	// deathCallTimeout bounds one call to a peer.
	deathCallTimeout = 800 * time.Millisecond
	// confirmTimeout bounds the wait for the peers' word on who ran at an
	// endpoint that died.
	confirmTimeout = 250 * time.Millisecond
	// deathPeers bounds the peers that are told directly; the others learn
	// of a death from the log.
	deathPeers = 32
	// deathSyncInterval is the time between two exchanges with one peer.
	deathSyncInterval = 10 * time.Second
	// isolateWait is how long a suspected request waits for a free endpoint.
	isolateWait = 2 * time.Second
	isolatePoll = 50 * time.Millisecond
)

// flights knows which fingerprints run at which endpoint, by attempt.
type flights struct {
	mu        sync.Mutex
	endpoints map[string]map[string]flight
	// dying holds a channel, closed when the death is booked, for each
	// endpoint whose end is being looked into.
	dying map[string]chan struct{}
	// isolated are the endpoints that run one request alone.
	isolated map[string]bool
}

type flight struct {
	fingerprint uint64
	// brokeAt is when the attempt broke; zero while it runs.
	brokeAt time.Time
}

func newFlights() *flights {
	return &flights{
		endpoints: map[string]map[string]flight{},
		dying:     map[string]chan struct{}{},
		isolated:  map[string]bool{},
	}
}

func (f *flights) enter(endpoint, attemptID string, fingerprint uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows, ok := f.endpoints[endpoint]
	if !ok {
		rows = map[string]flight{}
		f.endpoints[endpoint] = rows
	}
	rows[attemptID] = flight{fingerprint: fingerprint}
}

// leave ends an attempt; one that broke is kept for a while.
func (f *flights) leave(endpoint, attemptID string, broke bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := f.endpoints[endpoint]
	row := rows[attemptID]
	delete(rows, attemptID)
	if broke {
		row.brokeAt = now
		rows[attemptID] = row
	}
	for id, other := range rows {
		if !other.brokeAt.IsZero() && now.Sub(other.brokeAt) > brokenKept {
			delete(rows, id)
		}
	}
	if len(rows) == 0 {
		delete(f.endpoints, endpoint)
	}
}

// at returns the fingerprints that run, or ran until just now, at an endpoint.
func (f *flights) at(endpoint string, now time.Time) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []uint64
	for _, row := range f.endpoints[endpoint] {
		if row.brokeAt.IsZero() || now.Sub(row.brokeAt) <= brokenKept {
			out = append(out, row.fingerprint)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// beside returns the endpoints where any of the fingerprints runs.
func (f *flights) beside(prints []uint64) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for endpoint, rows := range f.endpoints {
		for _, row := range rows {
			if _, found := slices.BinarySearch(prints, row.fingerprint); found && row.brokeAt.IsZero() {
				out = append(out, endpoint)
				break
			}
		}
	}
	return out
}

// beginDeath returns the channel to wait on, and whether the caller is the one
// to look into the death.
func (f *flights) beginDeath(endpoint string) (chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if done, ok := f.dying[endpoint]; ok {
		return done, false
	}
	done := make(chan struct{})
	f.dying[endpoint] = done
	return done, true
}

func (f *flights) endDeath(endpoint string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.dying[endpoint])
	delete(f.dying, endpoint)
}

// isolate keeps an endpoint for one request; it reports false when another has
// it.
func (f *flights) isolate(endpoint string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isolated[endpoint] {
		return false
	}
	f.isolated[endpoint] = true
	return true
}

// share ends what isolate began.
func (f *flights) share(endpoint string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.isolated, endpoint)
}

func (f *flights) isolatedEndpoints() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]string, 0, len(f.isolated))
	for endpoint := range f.isolated {
		out = append(out, endpoint)
	}
	return out
}

// endpointDied books the death of an endpoint with all that ran there, and
// returns when it is booked, so that nothing is tried again before.
func (n *Node) endpointDied(ctx context.Context, host port.Host) {
	done, first := n.flights.beginDeath(host.ID)
	if !first {
		select {
		case <-done:
		case <-ctx.Done():
		}
		return
	}
	defer n.flights.endDeath(host.ID)
	n.noteDeath(host) // peers learn of it while this host waits for the rest
	pause(ctx, deathGrace)
	n.noteDeath(host)
	n.confirmBlame(ctx, n.flights.at(host.ID, time.Now()))
}

// noteDeath books and shares the death of an endpoint with what ran there.
func (n *Node) noteDeath(host port.Host) {
	now := time.Now()
	n.shareDeath(quarantine.Death{
		Endpoint:    host.ID,
		Incarnation: n.endpoints.routes.Incarnation(host.ID),
		Zone:        host.Zone,
		At:          now,
		Announced:   n.hosts.leaving(host),
		Running:     n.flights.at(host.ID, now),
	})
}

// confirmBlame asks the peers what else ran at the endpoints that died, before
// a request is refused by what this host saw alone.
func (n *Node) confirmBlame(ctx context.Context, running []uint64) {
	blamed := slices.ContainsFunc(running, func(f uint64) bool {
		return n.quarantine.Judge(time.Now(), f).Verdict == quarantine.VerdictQuarantine
	})
	if !blamed {
		return
	}
	pause(ctx, deathGrace) // the peers hold their own word back as long
	done := make(chan struct{})
	n.tomb.Go(func() error {
		defer close(done)
		n.tellPeers(n.quarantine.Deaths(time.Now()))
		return nil
	})
	timer := time.NewTimer(confirmTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// shareDeath books a death here, tells peers at once and the log when it can.
func (n *Node) shareDeath(d quarantine.Death) {
	if !n.quarantine.Add(time.Now(), d) {
		return
	}
	n.log.Warn().Str("endpoint", d.Endpoint).Int("running", len(d.Running)).Bool("announced", d.Announced).Msg("endpoint died")
	n.metrics.deaths.Inc()
	n.tomb.Go(func() error {
		n.tellPeers([]quarantine.Death{d})
		return nil
	})
	e, err := record.New(record.KindQuarantine, n.settings.Host, d)
	if err != nil {
		return
	}
	n.tomb.Go(func() error {
		if err := n.append(n.context(), classControl, e); err != nil {
			n.log.Warn().Str("endpoint", d.Endpoint).Err(err).Msg("death not recorded in the log")
		}
		return nil
	})
}

func (n *Node) tellPeers(deaths []quarantine.Death) {
	var wait sync.WaitGroup
	for _, h := range n.nearestPeers(deathPeers) {
		wait.Go(func() { n.exchangeDeaths(h.PeerAddress, deaths) })
	}
	wait.Wait()
}

// exchangeDeaths sends deaths to a peer and takes over what it knows.
func (n *Node) exchangeDeaths(address string, deaths []quarantine.Death) {
	ctx, cancel := context.WithTimeout(n.context(), deathCallTimeout)
	defer cancel()
	var known []quarantine.Death
	if err := n.ports.Peers.Call(ctx, address, MethodDeaths, deaths, &known); err != nil {
		return // the log, or the next exchange, carries them
	}
	n.addDeaths(known)
}

func (n *Node) addDeaths(deaths []quarantine.Death) {
	for _, d := range deaths {
		n.quarantine.Add(time.Now(), d)
	}
}

func (n *Node) handleDeaths(_ context.Context, params json.RawMessage) (any, error) {
	var deaths []quarantine.Death
	if err := json.Unmarshal(params, &deaths); err != nil {
		return nil, errors.Wrap(err, "decode deaths")
	}
	n.addDeaths(deaths)
	return n.quarantine.Deaths(time.Now()), nil
}

// nearestPeers returns at most limit other entry hosts, nearest first.
func (n *Node) nearestPeers(limit int) []port.Host {
	var peers []port.Host
	for _, h := range n.hosts.all() {
		if h.Role == port.RoleEntry && h.ID != n.settings.Host && h.PeerAddress != "" {
			peers = append(peers, h)
		}
	}
	slices.SortStableFunc(peers, func(a, b port.Host) int { return n.hostDistance(a) - n.hostDistance(b) })
	return peers[:min(limit, len(peers))]
}

func (n *Node) hostDistance(h port.Host) int {
	return n.distance(Address{Zone: h.Zone, Region: h.Region})
}

// syncDeaths exchanges all deaths with one peer, so that a host which was away
// or is new learns them while the log is down too.
func (n *Node) syncDeaths() {
	peers := n.nearestPeers(deathPeers)
	if len(peers) == 0 {
		return
	}
	turn := int(n.deathTurn.Add(1))
	n.exchangeDeaths(peers[turn%len(peers)].PeerAddress, n.quarantine.Deaths(time.Now()))
}

// refuseQuarantined refuses a request that is quarantined.
func (n *Node) refuseQuarantined(req *request.Request, guard *problem.Guard) *problem.Problem {
	now := time.Now()
	j := n.quarantine.Judge(now, req.Fingerprint)
	if j.Verdict != quarantine.VerdictQuarantine {
		return nil
	}
	n.metrics.quarantined.WithLabelValues(req.Service).Inc()
	p := problem.Refuse(guard, http.StatusUnprocessableEntity, problem.TypeQuarantined, "endpoints died while running it")
	return p.WithRetryAfter(j.Until.Sub(now))
}

// placement says where a request may run, by the verdict on it.
type placement struct {
	// tried are the endpoints not to go back to, away those that also
	// have company to keep from: used only when no other is left.
	tried map[string]bool
	away  map[string]bool
	// alone is the only endpoint to run at; empty for none.
	alone string
}

// place returns where a request may run; ok is false when it is quarantined.
func (n *Node) place(ctx context.Context, a *Accepted, tried map[string]bool) (placement, bool) {
	j := n.quarantine.Judge(time.Now(), a.Request.Fingerprint)
	switch j.Verdict {
	case quarantine.VerdictQuarantine:
		return placement{}, false
	case quarantine.VerdictIsolate:
		if endpoint := n.awaitIdle(ctx, a, j); endpoint != "" {
			return placement{alone: endpoint}, true
		}
	case quarantine.VerdictSeparate:
		if endpoint, ok := j.Apart(a.Request.Fingerprint, n.openEndpoints(a.Request.Service)); ok {
			return placement{alone: endpoint}, true
		}
	case quarantine.VerdictClear:
		return placement{tried: tried, away: union(tried, n.flights.isolatedEndpoints())}, true
	}
	away := append(n.flights.isolatedEndpoints(), n.flights.beside(j.Company)...)
	return placement{tried: tried, away: union(tried, away)}, true
}

func union(set map[string]bool, more []string) map[string]bool {
	if len(more) == 0 {
		return set
	}
	out := make(map[string]bool, len(set)+len(more))
	for id := range set {
		out[id] = true
	}
	for _, id := range more {
		out[id] = true
	}
	return out
}

// openEndpoints returns the endpoints of a service in the own region that take
// work, in an order that the entry hosts of the region share.
func (n *Node) openEndpoints(service string) []string {
	var out []string
	for _, v := range n.endpoints.routes.Loads(time.Now()) {
		h, ok := n.endpoints.routes.Host(v.Endpoint)
		if ok && v.Service == service && !v.Leaving && !v.Suspect && h.Region == n.settings.Region {
			out = append(out, v.Endpoint)
		}
	}
	return out
}

// idleEndpoints returns the endpoints of a service that run nothing, the own
// region's first, in an order that the entry hosts of a region share.
func (n *Node) idleEndpoints(service string) []string {
	var near, far []string
	for _, v := range n.endpoints.routes.Loads(time.Now()) {
		if v.Service != service || v.Leaving || v.Suspect || v.InFlight > 0 || v.Others > 0 {
			continue
		}
		if h, ok := n.endpoints.routes.Host(v.Endpoint); ok && h.Region == n.settings.Region {
			near = append(near, v.Endpoint)
		} else {
			far = append(far, v.Endpoint)
		}
	}
	slices.Sort(near)
	slices.Sort(far)
	return append(near, far...)
}

// takeIdle returns an endpoint without requests and keeps it free of others;
// it returns "" when there is none for the request.
func (n *Node) takeIdle(a *Accepted, j quarantine.Judgement) string {
	endpoint, ok := j.Place(a.Request.Fingerprint, n.idleEndpoints(a.Request.Service))
	if !ok || !n.flights.isolate(endpoint) {
		return ""
	}
	return endpoint
}

// awaitIdle waits for an endpoint without requests and keeps it free of
// others; it returns "" when none comes free in time.
func (n *Node) awaitIdle(ctx context.Context, a *Accepted, j quarantine.Judgement) string {
	until := time.Now().Add(isolateWait)
	for {
		if endpoint := n.takeIdle(a, j); endpoint != "" {
			return endpoint
		}
		if ctx.Err() != nil || time.Now().After(until) {
			return ""
		}
		pause(ctx, isolatePoll)
	}
}
