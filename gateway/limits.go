package gateway

import (
	"slices"
	"time"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// An endpoint may name how many requests a second it takes from all hosts together. Load pattern: an idle or
// new endpoint is the best for every host in the same second, and the hosts do not ask one another for each
// request. So a few hosts hold the limit of an endpoint, chosen among all by rendezvous, and send at even
// intervals; the others send it nothing. Each host tells the others in its reports what endpoints have named.

// limitHolders is the number of hosts that may send to a limited endpoint. In a window of 4 s each of them may
// send one request more than its rate allows; the platform tolerates half of the limit and five requests more,
// which leaves room for one more host, or two, that count as holders while views differ.
const limitHolders = 3

// stateLimit applies what an endpoint said of its limit. peer is the host that told it, empty if the endpoint
// told this host.
func (g *Gateway) stateLimit(now time.Time, id string, s fleet.LimitStatement, peer, request string) {
	if !g.fleet.State(id, s, peer == "") {
		return
	}
	g.divideLimits(now)
	g.metrics.stateChanges.WithLabelValues("endpoint_limit").Inc()
	e := g.log.Info().Str("event", "endpoint_limit").Str("endpoint", id).Float64("per_second", s.PerSecond)
	if peer != "" {
		e.Str("peer", peer).Dur("age", now.Sub(s.At))
	} else {
		e.Str("request", request)
	}
	e.Msg("")
}

// receiveLimits applies what endpoints have told other hosts, and divides the limits among the live hosts.
func (g *Gateway) receiveLimits(now time.Time, live []presence.Report) {
	var holders []string
	for _, r := range append(slices.Clone(live), g.report(now)) {
		if r.State == presence.StateServing {
			holders = append(holders, r.Host)
		}
	}
	g.limitHosts.Store(&holders)
	for _, r := range live {
		for id, l := range r.Limits {
			g.stateLimit(now, id, fleet.LimitStatement{PerSecond: l.PerSecond, At: now.Add(-time.Duration(l.AgeMS) * time.Millisecond)}, r.Host, "")
		}
	}
	g.divideLimits(now)
}

// divideLimits sets this host's part of the limits of endpoints.
func (g *Gateway) divideLimits(now time.Time) {
	hosts := g.limitHosts.Load()
	g.fleet.DivideLimits(now, func(id string, perSecond float64) time.Duration {
		if hosts == nil {
			return 0
		}
		return limitInterval(g.opts.Host, *hosts, id, perSecond)
	})
}

// limitInterval returns the least time between two requests of a host to an endpoint with a limit, zero if the
// host is none of those that hold the limit.
func limitInterval(host string, hosts []string, endpoint string, perSecond float64) time.Duration {
	holders := rendezvous.Top("limit/"+endpoint, hosts, limitHolders)
	if !slices.Contains(holders, host) {
		return 0
	}
	return time.Duration(float64(len(holders)) / perSecond * float64(time.Second))
}

// reportedLimits returns the limits that endpoints named to this host.
func (g *Gateway) reportedLimits(now time.Time) map[string]presence.Limit {
	heard := g.fleet.HeardLimits()
	if len(heard) == 0 {
		return nil
	}
	out := make(map[string]presence.Limit, len(heard))
	for id, s := range heard {
		out[id] = presence.Limit{PerSecond: s.PerSecond, AgeMS: now.Sub(s.At).Milliseconds()}
	}
	return out
}
