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
	// MethodDeaths receives endpoint deaths from a peer and returns those that this
	// host knows.
	MethodDeaths = "quarantine.deaths"

	// deathGrace is how long to wait until all attempts at a dead endpoint have failed,
	// so that the second report of its death lists all of them.
	deathGrace = 50 * time.Millisecond
	// peerExchangeTimeout bounds one exchange of deaths, or one usage report, with a peer.
	peerExchangeTimeout = 800 * time.Millisecond
	// confirmTimeout bounds the wait for the peers' reports of what ran at endpoints
	// that died.
	confirmTimeout = 250 * time.Millisecond
	// maxNotifiedPeers bounds the peers that are notified directly; the others learn
	// of a death from the log.
	maxNotifiedPeers = 32
	// deathSyncInterval is the interval between exchanges of all deaths, each with one
	// peer.
	deathSyncInterval = 10 * time.Second
	// isolateTimeout is how long a suspect request waits for an idle endpoint, and
	// isolatePollInterval the interval between checks for one.
	isolateTimeout      = 2 * time.Second
	isolatePollInterval = 50 * time.Millisecond
)

// recordEndpointDeath records the death of an endpoint with all requests that ran
// there. It returns only when the death is recorded, so that none of them is retried
// earlier. Concurrent calls for one endpoint wait for the first.
func (n *Node) recordEndpointDeath(ctx context.Context, host port.Host) {
	done, first := n.inFlight.BeginDeathRecord(host.ID)
	if !first {
		select {
		case <-done:
		case <-ctx.Done():
		}
		return
	}
	defer n.inFlight.EndDeathRecord(host.ID)
	n.recordDeath(host) // peers learn of the death while this host waits for the other attempts
	pause(ctx, deathGrace)
	n.recordDeath(host)
	n.confirmQuarantine(ctx, n.inFlight.FingerprintsAt(host.ID, time.Now()))
}

// recordDeath records and publishes the death of an endpoint with the requests that
// ran there.
func (n *Node) recordDeath(host port.Host) {
	now := time.Now()
	n.publishDeath(quarantine.Death{
		Endpoint:    host.ID,
		Incarnation: n.endpoints.routes.Incarnation(host.ID),
		Zone:        host.Zone,
		At:          now,
		Announced:   n.hosts.leaving(host),
		Running:     n.inFlight.FingerprintsAt(host.ID, now),
		Parts:       n.inFlight.SuspectPartsAt(host.ID, now),
	})
}

// confirmQuarantine exchanges deaths with the peers if one of the running requests
// would be quarantined. The peers know what else ran at the endpoints that died, so
// no request is refused on the observations of this host only.
func (n *Node) confirmQuarantine(ctx context.Context, running []uint64) {
	suspected := slices.ContainsFunc(running, func(f uint64) bool {
		return n.quarantine.Judge(time.Now(), f, nil).Verdict == quarantine.VerdictQuarantine
	})
	if !suspected {
		return
	}
	pause(ctx, deathGrace) // the peers wait as long for their attempts there to fail
	done := make(chan struct{})
	n.tomb.Go(func() error {
		defer close(done)
		n.notifyPeers(n.quarantine.Deaths(time.Now()))
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

// publishDeath records a death locally and publishes it. A death that is already known is not published again.
func (n *Node) publishDeath(d quarantine.Death) {
	if !n.quarantine.Add(time.Now(), d) {
		return
	}
	n.log.Warn().Str("endpoint", d.Endpoint).Int("running", len(d.Running)).Bool("announced", d.Announced).Msg("endpoint died")
	n.metrics.deaths.Inc()
	n.publishRecord(d)
}

// recordAnswering records that the answer of an attempt goes on. Once it has done so for a while, it clears the parts
// of the prompt.
func (n *Node) recordAnswering(a *Accepted, r *runningAttempt) {
	now := time.Now()
	switch {
	case r.begunAt.IsZero():
		r.begunAt = now
		n.inFlight.Begin(r.host.ID, r.id, now)
	case !r.partsCleared && now.Sub(r.begunAt) >= quarantine.AnsweringTime:
		r.partsCleared = true
		n.publishRecords(n.quarantine.ClearParts(r.begunAt, a.Request.Parts))
	}
}

// recordCompletion records that a request has run to its end in an attempt.
func (n *Node) recordCompletion(a *Accepted, r *runningAttempt) {
	if r.begunAt.IsZero() {
		r.begunAt = r.started
	}
	n.publishRecords(n.quarantine.ClearParts(r.begunAt, a.Request.Parts))
	n.publishRecords(n.quarantine.RecordCompletion(time.Now(), a.Request.Fingerprint))
}

func (n *Node) publishRecords(records []quarantine.Death) {
	for _, d := range records {
		n.publishRecord(d)
	}
}

// publishRecord, in the background, notifies peers of a record of a death and appends it to the log.
func (n *Node) publishRecord(d quarantine.Death) {
	n.tomb.Go(func() error {
		n.notifyPeers([]quarantine.Death{d})
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

// notifyPeers exchanges deaths with the nearest peers.
func (n *Node) notifyPeers(deaths []quarantine.Death) {
	var wg sync.WaitGroup
	for _, h := range n.nearestPeers(maxNotifiedPeers) {
		wg.Go(func() { n.exchangeDeaths(h.PeerAddress, deaths) })
	}
	wg.Wait()
}

// exchangeDeaths sends deaths to a peer and records those that it returns.
func (n *Node) exchangeDeaths(address string, deaths []quarantine.Death) {
	ctx, cancel := context.WithTimeout(n.context(), peerExchangeTimeout)
	defer cancel()
	var known []quarantine.Death
	if err := n.ports.Peers.Call(ctx, address, MethodDeaths, deaths, &known); err != nil {
		return // the log or the next exchange carries them
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

// nearestPeers returns at most limit other entry hosts, the nearest first.
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

// syncDeaths exchanges all deaths with one peer, the next one at each call. A host
// that is new or was disconnected thus learns them even while the log is unavailable.
func (n *Node) syncDeaths() {
	peers := n.nearestPeers(maxNotifiedPeers)
	if len(peers) == 0 {
		return
	}
	count := int(n.deathSyncs.Add(1))
	n.exchangeDeaths(peers[count%len(peers)].PeerAddress, n.quarantine.Deaths(time.Now()))
}

// refuseQuarantined refuses a request that is quarantined.
func (n *Node) refuseQuarantined(req *request.Request, guard *problem.Guard) *problem.Problem {
	now := time.Now()
	j := n.quarantine.Judge(now, req.Fingerprint, req.Parts)
	if j.Verdict != quarantine.VerdictQuarantine {
		return nil
	}
	n.metrics.quarantined.WithLabelValues(req.Service).Inc()
	p := problem.Refuse(guard, http.StatusUnprocessableEntity, problem.TypeQuarantined, "endpoints died while running it")
	return p.WithRetryAfter(j.Until.Sub(now))
}

// placement specifies where a request may run, given the quarantine verdict on it.
type placement struct {
	// excluded holds the endpoints that must not be chosen again. avoided holds these
	// and also the endpoints with requests that this one should not co-run with, which
	// are used only if no other endpoint is left.
	excluded map[string]bool
	avoided  map[string]bool
	// only is the single endpoint that may run the request; empty for any.
	only string
}

// placementFor returns where a request may run; it returns false if the request is
// quarantined. excluded holds the endpoints that must not be chosen again.
func (n *Node) placementFor(ctx context.Context, a *Accepted, excluded map[string]bool) (placement, bool) {
	j := n.quarantine.Judge(time.Now(), a.Request.Fingerprint, a.Request.Parts)
	switch j.Verdict {
	case quarantine.VerdictQuarantine:
		return placement{}, false
	case quarantine.VerdictIsolate:
		if endpoint := n.awaitIdle(ctx, a, j); endpoint != "" {
			return placement{only: endpoint}, true
		}
	case quarantine.VerdictSeparate:
		if endpoint, ok := j.SeparateEndpoint(a.Request.Fingerprint, n.availableEndpoints(a.Request.Service)); ok {
			return placement{only: endpoint}, true
		}
	case quarantine.VerdictClear:
		return placement{excluded: excluded, avoided: union(excluded, n.inFlight.IsolatedEndpoints())}, true
	}
	avoid := append(n.inFlight.IsolatedEndpoints(), n.inFlight.EndpointsRunning(j.CoRunning)...)
	return placement{excluded: excluded, avoided: union(excluded, avoid)}, true
}

// union returns set with more added; set is not changed.
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

// availableEndpoints returns the endpoints of a service in this host's region that
// are neither leaving nor suspect, in an order that is the same at all entry hosts
// of the region.
func (n *Node) availableEndpoints(service string) []string {
	var out []string
	for _, v := range n.endpoints.routes.Loads(time.Now()) {
		h, ok := n.endpoints.routes.Host(v.Endpoint)
		if ok && v.Service == service && !v.Leaving && !v.Suspect && h.Region == n.settings.Region {
			out = append(out, v.Endpoint)
		}
	}
	return out
}

// idleEndpoints returns the endpoints of a service that run no request, those of this
// host's region first, in an order that is the same at all entry hosts of the region.
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

// isolateIdle returns an idle endpoint, reserved for the request; "" if there is none
// for it.
func (n *Node) isolateIdle(a *Accepted, j quarantine.Evaluation) string {
	endpoint, ok := j.IsolatedEndpoint(a.Request.Fingerprint, n.idleEndpoints(a.Request.Service))
	if !ok || !n.inFlight.Isolate(endpoint) {
		return ""
	}
	return endpoint
}

// awaitIdle waits at most isolateTimeout for an idle endpoint and returns it, reserved
// for the request; "" if there was none in time.
func (n *Node) awaitIdle(ctx context.Context, a *Accepted, j quarantine.Evaluation) string {
	until := time.Now().Add(isolateTimeout)
	for {
		if endpoint := n.isolateIdle(a, j); endpoint != "" {
			return endpoint
		}
		if ctx.Err() != nil || time.Now().After(until) {
			return ""
		}
		pause(ctx, isolatePollInterval)
	}
}
