package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/presence"
)

// quotaRelay returns the last report of the host that grants this one its shares of limits, zero when
// this host grants them itself. It is the relay, even while that cannot reach the store: one host that
// grants the shares of all can admit prompts larger than any single share.
func (g *Gateway) quotaRelay(now time.Time) presence.Report {
	s := g.relays
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chosen.Host == "" || s.chosen.Host == g.opts.Host || now.Before(s.failedUntil[s.chosen.Host]) {
		return presence.Report{}
	}
	return s.chosen
}

type takeQuotaRequest struct {
	// Host is the host that takes the share.
	Host      string  `json:"host"`
	Workspace string  `json:"workspace"`
	Cost      float64 `json:"cost"`
}

type takeQuotaReply struct {
	Taken bool `json:"taken"`
	// Unknown reports that the relay's configuration has no such workspace.
	Unknown    bool          `json:"unknown,omitempty"`
	RetryAfter time.Duration `json:"after_ns,omitempty"`
}

func (g *Gateway) serveTakeQuota(_ context.Context, params json.RawMessage) (any, error) {
	var req takeQuotaRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode take")
	}
	now := time.Now()
	snapshot := g.catalog.Current()
	if snapshot == nil || g.quotaRelay(now).Peer != "" {
		return nil, errNotRelay
	}
	w := snapshot.Workspace(req.Workspace)
	if w == nil {
		return takeQuotaReply{Unknown: true}, nil
	}
	if req.Cost < 0 {
		g.quota.Return(now, w, -req.Cost)
		return takeQuotaReply{Taken: true}, nil
	}
	after, ok := g.takeHere(now, w, req.Cost)
	return takeQuotaReply{Taken: ok, RetryAfter: after}, nil
}

// takeHere takes from this host's own share. If that is used up, the host asks for a larger one at once.
func (g *Gateway) takeHere(now time.Time, w *catalog.Workspace, cost float64) (time.Duration, bool) {
	after, ok := g.quota.Take(now, w, cost)
	if !ok {
		g.grants.askSoon()
		if g.quota.IsWithinShare(w.Name) {
			g.metrics.refusedWithinLimit.Inc()
		}
	}
	return after, ok
}

// takeQuota takes from the zone's share of a limit, or from this host's own share when there is no
// relay. If the relay does not answer, it takes from the share of the relay that it would use next.
func (g *Gateway) takeQuota(now time.Time, w *catalog.Workspace, cost float64) (time.Duration, bool) {
	if w.Limit.PerSecond <= 0 {
		return 0, true
	}
	relay := g.quotaRelay(now)
	var reply takeQuotaReply
	if g.callPeer(relay, methodTakeQuota, takeQuotaTimeout, takeQuotaRequest{g.opts.Host, w.Name, cost}, &reply) == nil && !reply.Unknown {
		return reply.RetryAfter, reply.Taken
	}
	if relay.Host != "" {
		next := g.nextRelay(now, []string{relay.Host}, peerHost{})
		if g.callPeer(next, methodTakeQuota, takeQuotaTimeout, takeQuotaRequest{g.opts.Host, w.Name, cost}, &reply) == nil && !reply.Unknown {
			return reply.RetryAfter, reply.Taken
		}
	}
	g.awaitFirstShare(g.context(), now)
	return g.takeHere(time.Now(), w, cost)
}

// returnQuota returns what a request that did not run had taken.
func (g *Gateway) returnQuota(now time.Time, w *catalog.Workspace, cost float64) {
	if w.Limit.PerSecond <= 0 || cost <= 0 {
		return
	}
	var reply takeQuotaReply
	if g.callPeer(g.quotaRelay(now), methodTakeQuota, takeQuotaTimeout, takeQuotaRequest{g.opts.Host, w.Name, -cost}, &reply) != nil || reply.Unknown {
		g.quota.Return(now, w, cost)
	}
}
