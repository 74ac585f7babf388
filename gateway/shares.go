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

// updateShares adjusts the share that this host grants to the hosts that take from it. A host that
// has lost its relay starts with empty buckets, because the relay may still be granting. If a relay
// cannot reach the store, other hosts of its zone may have chosen another relay: it grants only the
// fraction of the share that is its own and that of the hosts which still take theirs here.
func (g *Gateway) updateShares(now time.Time) {
	relayed := g.quotaRelay(now).Peer != ""
	s := g.relays
	s.mu.Lock()
	relayLost := s.hadQuotaRelay && !relayed
	s.hadQuotaRelay = relayed
	fraction := 1.0
	if s.chosen.Host == g.opts.Host && g.storeAge(now) >= maxRelayStaleness {
		fraction = min(float64(1+s.countTakers(now, takerTTL))/float64(max(s.candidates, 1)), 1)
	}
	s.mu.Unlock()
	if relayLost {
		g.quota.Reset(now)
	}
	g.quota.SetActiveFraction(fraction)
}

// countTakers counts the hosts that took a share within age and removes the others.
func (s *relayState) countTakers(now time.Time, age time.Duration) int {
	n := 0
	for host, at := range s.takers {
		if now.Sub(at) < age {
			n++
		} else {
			delete(s.takers, host)
		}
	}
	return n
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

// recordTaker records that a host takes its shares here.
func (s *relayState) recordTaker(now time.Time, host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takers[host] = now
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
	g.relays.recordTaker(now, req.Host)
	w := snapshot.Workspace(req.Workspace)
	if w == nil {
		return takeQuotaReply{Unknown: true}, nil
	}
	if req.Cost < 0 {
		g.quota.Return(now, w, -req.Cost)
		return takeQuotaReply{Taken: true}, nil
	}
	after, ok := g.quota.Take(now, w, req.Cost)
	return takeQuotaReply{Taken: ok, RetryAfter: after}, nil
}

// takeQuota takes from the zone's share of a limit, or from this host's own share when there is no
// relay.
func (g *Gateway) takeQuota(now time.Time, w *catalog.Workspace, cost float64) (time.Duration, bool) {
	if w.Limit.PerSecond <= 0 {
		return 0, true
	}
	var reply takeQuotaReply
	if g.callPeer(g.quotaRelay(now), methodTakeQuota, takeQuotaTimeout, takeQuotaRequest{g.opts.Host, w.Name, cost}, &reply) == nil && !reply.Unknown {
		return reply.RetryAfter, reply.Taken
	}
	return g.quota.Take(now, w, cost)
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
