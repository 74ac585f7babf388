package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/reach"
)

const (
	// reachCheckInterval is how often it is checked whether a round of probes is due.
	reachCheckInterval = 100 * time.Millisecond
	// reachProbeTimeout bounds one probe of a round: several round trips between regions.
	reachProbeTimeout = 400 * time.Millisecond
	// helperCutOffTime is how long a host is not asked to carry requests that has said that it is cut off itself: by
	// then its report has arrived. helperFailedTime applies to a host that could not be reached, helperFullTime to one
	// that has no room.
	helperCutOffTime = 2 * time.Second
	helperFailedTime = time.Second
	helperFullTime   = 200 * time.Millisecond
)

// Phases of an attempt until its request may be sent.
const (
	phaseOpening int32 = iota
	phaseSent
	phaseCanceled
)

// reachState is what the host knows of its paths to the endpoints, and through which hosts it goes without them.
type reachState struct {
	table   *reach.Table
	helpers *reach.Helpers
	// failed is signaled when a failure was recorded.
	failed chan struct{}
}

func newReachState() *reachState {
	seed := rand.Uint64()
	return &reachState{failed: make(chan struct{}, 1), table: reach.NewTable(rand.New(rand.NewPCG(seed, 1))), helpers: reach.NewHelpers(rand.New(rand.NewPCG(seed, 2)))}
}

// watchReach probes endpoints while requests fail at several of them, and while the host is cut off from a service.
func (g *Gateway) watchReach() error {
	for {
		var check <-chan time.Time
		if g.reach.table.Pending(time.Now()) {
			check = time.After(reachCheckInterval)
		}
		select {
		case <-g.tomb.Dying():
			return nil
		case <-g.reach.failed:
		case <-check:
		}
		all := g.reachCandidates()
		for probes := g.reach.table.BeginRound(time.Now(), all); len(probes) > 0; probes = g.reach.table.BeginRound(time.Now(), all) {
			g.tomb.Go(func() error {
				g.probeReach(probes, all)
				return nil
			})
		}
	}
}

// recordUnreached records that this host has not reached an endpoint.
func (g *Gateway) recordUnreached(now time.Time, service, endpoint string) {
	g.reach.table.RecordFailure(now, service, endpoint)
	select {
	case g.reach.failed <- struct{}{}:
	default:
	}
}

// reachCandidates returns the endpoints that may be probed.
func (g *Gateway) reachCandidates() []reach.Candidate {
	var out []reach.Candidate
	for _, v := range g.fleet.All() {
		if v.State == fleet.StateReady {
			out = append(out, reach.Candidate{ID: v.ID, Address: v.Address, Service: v.Service, Zone: v.Zone})
		}
	}
	return out
}

// probeReach opens connections to endpoints of a service and applies the result. A connection that is refused counts as
// one that cannot be opened: what refuses it may stand on the way.
func (g *Gateway) probeReach(probes, all []reach.Candidate) {
	opened := g.probeAll(probes, reachProbeTimeout)
	service, endpoints := probes[0].Service, 0
	for _, c := range all {
		if c.Service == service {
			endpoints++
		}
	}
	result := "opened"
	if opened == 0 {
		result = "none"
	}
	g.metrics.reachRounds.WithLabelValues(result).Inc()
	changed, after := g.reach.table.EndRound(time.Now(), service, endpoints, len(probes), opened)
	if !changed {
		return
	}
	cutOff := g.reach.table.CutOff(service)
	g.metrics.cutOff.Set(float64(len(g.reach.table.Lost())))
	g.metrics.stateChanges.WithLabelValues("reach").Inc()
	g.log.Warn().Str("event", "reach").Str("service", service).Bool("cut_off", cutOff).Int("probed", len(probes)).
		Int("opened", opened).Dur("after", after).Msg("")
	// What was pooled before may hang for good.
	for _, c := range all {
		if c.Service == service {
			g.ports.IdleConnections.CloseIdle(c.Address)
		}
	}
	g.fleet.ClearSuspicion(service)
	if cutOff {
		g.calls.cancelOpening(service)
	}
}

// reachesOthers reports whether this host can open a connection to an endpoint of any service other than v. It is true
// if there is no other.
func (g *Gateway) reachesOthers(v fleet.View) bool {
	others := slices.DeleteFunc(g.reachCandidates(), func(c reach.Candidate) bool { return c.ID == v.ID })
	probes := g.reach.table.Sample(others)
	return len(probes) == 0 || g.probeAll(probes, probeTimeout) > 0
}

// probeAll opens connections to endpoints, all at once, and returns how many were opened within the timeout.
func (g *Gateway) probeAll(probes []reach.Candidate, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(g.context(), timeout)
	defer cancel()
	var opened atomic.Int64
	var all sync.WaitGroup
	for _, p := range probes {
		all.Go(func() {
			if g.ports.Endpoints.Probe(ctx, p.Address) == nil {
				opened.Add(1)
			}
		})
	}
	all.Wait()
	return int(opened.Load())
}

// cancelOpening ends the attempts that wait for a connection of this host's own to endpoints of a service, so that they
// go through another host.
func (t *callTable) cancelOpening(service string) {
	t.mu.Lock()
	all := make([]*call, 0, len(t.calls))
	for c := range t.calls {
		all = append(all, c)
	}
	t.mu.Unlock()
	for _, c := range all {
		c.mu.Lock()
		if a := c.current; a != nil && c.service.Name == service && a.via.Host == "" && a.phase.CompareAndSwap(phaseOpening, phaseCanceled) {
			a.cancel(errCutOff)
		}
		c.mu.Unlock()
	}
}

// recordReach records what a failed attempt tells of the host's paths to endpoints.
func (c *call) recordReach(now time.Time, a *endpointAttempt, err error) {
	if a.via.Host == "" {
		c.g.recordUnreached(now, a.view.Service, a.view.ID)
		return
	}
	avoid := time.Duration(0)
	switch {
	case errors.Is(err, port.ErrHelperCutOff):
		avoid = helperCutOffTime
	case errors.Is(err, port.ErrHelperFull):
		avoid = helperFullTime
	case errors.Is(err, port.ErrHelper), errors.Is(err, port.ErrHelperBroken):
		avoid = helperFailedTime
	default:
		return
	}
	c.g.reach.helpers.Avoid(now, a.via.Host, avoid)
	c.g.metrics.tunnels.WithLabelValues("failed").Inc()
}

// recordSilence records that the present attempt has brought nothing within its time, also if it goes on to wait.
func (c *call) recordSilence(now time.Time) {
	c.mu.Lock()
	a := c.current
	c.mu.Unlock()
	if a != nil && a.via.Host == "" {
		c.g.recordUnreached(now, a.view.Service, a.view.ID)
	}
}

// chooseVia sets the host that the next attempt goes through, none if this host reaches the service's endpoints itself
// or no other host can help.
func (c *call) chooseVia(now time.Time) {
	c.via = reach.Peer{}
	if !c.g.reach.table.CutOff(c.service.Name) {
		return
	}
	var peers []reach.Peer
	for _, r := range c.g.presence.Live() {
		if r.State == presence.StateServing {
			peers = append(peers, reach.Peer{Host: r.Host, Address: r.Tunnel, Zone: r.Zone, Region: r.Region, CutOff: slices.Contains(r.CutOff, c.service.Name)})
		}
	}
	c.via, _ = c.g.reach.helpers.Choose(now, c.g.opts.Region, peers)
}

// releaseVia ends what chooseVia began.
func (c *call) releaseVia() {
	if c.via.Host != "" {
		c.g.reach.helpers.Done(c.via.Host)
	}
}

// Lost returns the services from whose endpoints this host counts as cut off.
func (g *Gateway) Lost() []string { return g.reach.table.Lost() }
