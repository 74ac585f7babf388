package gateway

import (
	"context"
	"encoding/json"
	"iter"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/rendezvous"
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

// quotaRole is what a host keeps of the limits.
type quotaRole string

const (
	roleNone   quotaRole = "none"   // it asks the zone's relay for each request
	roleKeeper quotaRole = "keeper" // it keeps the buckets of its zone, or its own
	// roleStandby is the role of the host that takes the relay's place when that fails.
	roleStandby quotaRole = "standby"
)

func (g *Gateway) quotaRole(now time.Time) quotaRole {
	if g.quotaRelay(now).Peer == "" {
		return roleKeeper
	}
	if g.quotaStandby().Host == g.opts.Host {
		return roleStandby
	}
	return roleNone
}

// quotaStandby returns the last report of the standby of this host's zone, which may be this host; see relayState.
func (g *Gateway) quotaStandby() presence.Report {
	s := g.relays
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.standby
}

type takeQuotaRequest struct {
	// Host is the host that takes the share.
	Host      string  `json:"host"`
	Workspace string  `json:"workspace"`
	Cost      float64 `json:"cost"`
	// Refused is set if another host has refused the request, where it counts as demand.
	Refused bool `json:"refused,omitempty"`
}

type takeQuotaReply struct {
	Taken bool `json:"taken"`
	// Unknown reports that the relay's configuration has no such workspace.
	Unknown    bool          `json:"unknown,omitempty"`
	RetryAfter time.Duration `json:"after_ns,omitempty"`
	// Share is the fraction of the limit that the host has in force. Busy reports that the workspace was near its limit
	// within a window.
	Share float64 `json:"share,omitempty"`
	Busy  bool    `json:"busy,omitempty"`
}

// quotaDecision is what the limit of a workspace decided on a request.
type quotaDecision struct {
	taken      bool
	retryAfter time.Duration
	// keeper is the host whose bucket decided, empty if the workspace has no limit. peer is its address, empty for this
	// host. share is the fraction of the limit that it has in force, busy whether the workspace was near its limit.
	keeper, peer string
	share        float64
	busy         bool
}

// final reports whether no other host needs to be asked: below its limit a workspace may have units left in the share of
// another host, whatever this one has.
func (d quotaDecision) final() bool { return d.taken || d.busy && d.share > 0 }

// bucketOf says whose bucket a request was charged to.
type bucketOf string

const (
	bucketOwn   bucketOf = "own"   // of this host's bucket
	bucketRelay bucketOf = "relay" // of the zone's relay
	// bucketStandby is that of the zone's standby, bucketOther that of a host that is asked if both fail.
	bucketStandby bucketOf = "standby"
	bucketOther   bucketOf = "other"
)

func (g *Gateway) serveTakeQuota(_ context.Context, params json.RawMessage) (any, error) {
	var req takeQuotaRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode take")
	}
	now := time.Now()
	snapshot := g.catalog.Current()
	if snapshot == nil || g.quotaRole(now) == roleNone {
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
	d := g.takeHere(now, w, req)
	return takeQuotaReply{Taken: d.taken, RetryAfter: d.retryAfter, Share: d.share, Busy: d.busy}, nil
}

// takeHere takes from this host's own share. If that is used up, the host asks for a larger one at once.
func (g *Gateway) takeHere(now time.Time, w *catalog.Workspace, req takeQuotaRequest) quotaDecision {
	take := g.quota.Take
	if req.Refused {
		take = g.quota.TakeRefused
	}
	after, ok := take(now, w, req.Cost)
	if !ok {
		g.grants.askSoon()
		if g.quota.IsWithinShare(w.Name) {
			g.metrics.refusedWithinLimit.Inc()
		}
	}
	return quotaDecision{taken: ok, retryAfter: after, keeper: g.opts.Host, share: g.quota.Share(now, w.Name), busy: g.quota.IsBusy(now, w.Name)}
}

// bucketAt is a host that is asked for units of a limit.
type bucketAt struct {
	host presence.Report
	of   bucketOf
}

// quotaHosts yields the hosts to ask for units of a limit, in order: the zone's relay, its standby, the relay that this
// host would use next if the relay fails, and the nearest holder of another zone: relay and standby may be lost at once. This host
// comes before those that are only asked instead of a relay, but last if it has no share.
func (g *Gateway) quotaHosts(now time.Time, w *catalog.Workspace) iter.Seq[bucketAt] {
	return func(yield func(bucketAt) bool) {
		asked := map[string]bool{g.opts.Host: true}
		ask := func(r presence.Report, of bucketOf) bool {
			if r.Peer == "" || asked[r.Host] {
				return true
			}
			asked[r.Host] = true
			return yield(bucketAt{r, of})
		}
		own := bucketAt{presence.Report{Host: g.opts.Host}, bucketOwn}
		relay := g.quotaRelay(now)
		if !ask(relay, bucketRelay) {
			return
		}
		hasShare := g.quota.Share(now, w.Name) > 0
		if hasShare && !yield(own) {
			return
		}
		goOn := ask(g.quotaStandby(), bucketStandby) &&
			ask(g.nextRelay(now, []string{relay.Host}, peerHost{}), bucketOther) &&
			ask(g.nearestHolder(now, w.Name), bucketOther)
		if goOn && !hasShare {
			yield(own)
		}
	}
}

// nearestHolder returns the host, other than those of this zone, that last reported a share of a workspace's limit: one of this
// region, if there is one. Each host prefers another one of them.
func (g *Gateway) nearestHolder(now time.Time, workspace string) presence.Report {
	s := g.relays
	s.mu.Lock()
	defer s.mu.Unlock()
	var nearest presence.Report
	for _, r := range s.live {
		if r.Zone == g.opts.Zone || r.Shares[workspace] == 0 || r.State != presence.StateServing || now.Before(s.failedUntil[r.Host]) {
			continue
		}
		if nearest.Host == "" || g.isNearer(r, nearest) {
			nearest = r
		}
	}
	return nearest
}

func (g *Gateway) isNearer(a, b presence.Report) bool {
	if own := a.Region == g.opts.Region; own != (b.Region == g.opts.Region) {
		return own
	}
	return rendezvous.Score(g.opts.Host, a.Host) > rendezvous.Score(g.opts.Host, b.Host)
}

// takeQuota takes from the share of a limit that the zone's relay holds or, where that does not decide, from those of
// the other quotaHosts.
func (g *Gateway) takeQuota(now time.Time, w *catalog.Workspace, cost float64) quotaDecision {
	if w.Limit.PerSecond <= 0 {
		return quotaDecision{taken: true}
	}
	var refusal quotaDecision
	req := takeQuotaRequest{Host: g.opts.Host, Workspace: w.Name, Cost: cost}
	for b := range g.quotaHosts(now, w) {
		d, ok := g.takeAt(b, w, req)
		if ok && d.final() {
			return d
		}
		if ok && d.share >= refusal.share {
			refusal = d
		}
		req.Refused = req.Refused || ok
	}
	return refusal
}

// takeAt takes from the bucket of a host. ok is false if that did not answer.
func (g *Gateway) takeAt(b bucketAt, w *catalog.Workspace, req takeQuotaRequest) (d quotaDecision, ok bool) {
	if b.of == bucketOwn {
		g.awaitFirstShare(g.context(), time.Now())
		d = g.takeHere(time.Now(), w, req)
		g.countTake(b.of, d)
		return d, true
	}
	var reply takeQuotaReply
	err := g.callPeer(b.host, methodTakeQuota, takeQuotaTimeout, req, &reply)
	if err != nil || reply.Unknown {
		g.metrics.limitTakes.WithLabelValues(string(b.of), "unanswered").Inc()
		return quotaDecision{}, false
	}
	d = quotaDecision{taken: reply.Taken, retryAfter: reply.RetryAfter, keeper: b.host.Host, peer: b.host.Peer, share: reply.Share, busy: reply.Busy}
	g.countTake(b.of, d)
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
	if g.callPeer(keeper, methodTakeQuota, takeQuotaTimeout, takeQuotaRequest{Host: g.opts.Host, Workspace: w.Name, Cost: -cost}, &reply) != nil || reply.Unknown {
		g.quota.Return(now, w, cost)
	}
}
