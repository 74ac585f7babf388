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
	// Share is the fraction of the limit that the host has in force.
	Share float64 `json:"share,omitempty"`
}

// quotaDecision is what the limit of a workspace decided on a request.
type quotaDecision struct {
	taken      bool
	retryAfter time.Duration
	// keeper is the host whose bucket decided, empty if the workspace has no limit. peer is its address, empty for this
	// host. share is the fraction of the limit that it has in force.
	keeper, peer string
	share        float64
}

// bucketOf says whose bucket a request was charged to.
type bucketOf string

const (
	bucketOwn   bucketOf = "own"   // of this host's bucket
	bucketRelay bucketOf = "relay" // of the zone's relay
	bucketOther bucketOf = "other" // of the host that would be asked next
)

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
	d := g.takeHere(now, w, req.Cost)
	return takeQuotaReply{Taken: d.taken, RetryAfter: d.retryAfter, Share: d.share}, nil
}

// takeHere takes from this host's own share. If that is used up, the host asks for a larger one at once.
func (g *Gateway) takeHere(now time.Time, w *catalog.Workspace, cost float64) quotaDecision {
	after, ok := g.quota.Take(now, w, cost)
	if !ok {
		g.grants.askSoon()
		if g.quota.IsWithinShare(w.Name) {
			g.metrics.refusedWithinLimit.Inc()
		}
	}
	return quotaDecision{taken: ok, retryAfter: after, keeper: g.opts.Host, share: g.quota.Share(now, w.Name)}
}

// takeQuota takes from the zone's share of a limit, or from this host's own share when there is no
// relay. If the relay does not answer, it takes from the share of the relay that it would use next.
func (g *Gateway) takeQuota(now time.Time, w *catalog.Workspace, cost float64) quotaDecision {
	if w.Limit.PerSecond <= 0 {
		return quotaDecision{taken: true}
	}
	relay := g.quotaRelay(now)
	if d, ok := g.takeAt(relay, bucketRelay, w, cost); ok {
		return d
	}
	if relay.Host != "" {
		if d, ok := g.takeAt(g.nextRelay(now, []string{relay.Host}, peerHost{}), bucketOther, w, cost); ok {
			return d
		}
	}
	g.awaitFirstShare(g.context(), now)
	d := g.takeHere(time.Now(), w, cost)
	g.countTake(bucketOwn, d)
	return d
}

// takeAt takes from the bucket of another host. ok is false if that does not decide.
func (g *Gateway) takeAt(host presence.Report, of bucketOf, w *catalog.Workspace, cost float64) (d quotaDecision, ok bool) {
	var reply takeQuotaReply
	err := g.callPeer(host, methodTakeQuota, takeQuotaTimeout, takeQuotaRequest{g.opts.Host, w.Name, cost}, &reply)
	switch {
	case errors.Is(err, errNoRelay):
		return quotaDecision{}, false
	case err != nil || reply.Unknown:
		g.metrics.limitTakes.WithLabelValues(string(of), "unanswered").Inc()
		return quotaDecision{}, false
	}
	d = quotaDecision{taken: reply.Taken, retryAfter: reply.RetryAfter, keeper: host.Host, peer: host.Peer, share: reply.Share}
	g.countTake(of, d)
	return d, true
}

func (g *Gateway) countTake(of bucketOf, d quotaDecision) {
	result := "taken"
	switch {
	case !d.taken && d.share == 0:
		result = "no-share"
	case !d.taken:
		result = "refused"
	}
	g.metrics.limitTakes.WithLabelValues(string(of), result).Inc()
}

// returnQuota returns what a request that did not run had taken to the bucket that it was taken from.
func (g *Gateway) returnQuota(now time.Time, w *catalog.Workspace, cost float64, d quotaDecision) {
	if w.Limit.PerSecond <= 0 || cost <= 0 {
		return
	}
	var reply takeQuotaReply
	keeper := presence.Report{Host: d.keeper, Peer: d.peer}
	if g.callPeer(keeper, methodTakeQuota, takeQuotaTimeout, takeQuotaRequest{g.opts.Host, w.Name, -cost}, &reply) != nil || reply.Unknown {
		g.quota.Return(now, w, cost)
	}
}
