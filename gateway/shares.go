package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/catalog"
)

// shareRelay returns the address of the host that gives out this one's shares of
// limits; empty when it does so itself. It is the relay, also while that has lost
// the store: shares out of one hand serve prompts that are larger than any of them.
func (g *Gateway) shareRelay(now time.Time) string {
	s := g.relays
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.self || s.chosen.Host == "" || now.Before(s.gone[s.chosen.Host]) {
		return ""
	}
	return s.chosen.Peer
}

// keepShares adjusts what this host gives out to who takes it: a host that has lost
// its relay begins without what the relay gave out, and a relay that has lost the
// store, so that other hosts of its zone may have chosen another, keeps the part of
// those that still take theirs here.
func (g *Gateway) keepShares(now time.Time) {
	relayed := g.shareRelay(now) != ""
	s := g.relays
	s.mu.Lock()
	lost := s.relayed && !relayed
	s.relayed = relayed
	part := 1.0
	if s.self && s.chosen.Host != "" && now.Sub(time.Unix(0, g.storeAt.Load())) >= relayStale {
		part = min(float64(1+s.takersWithin(now, takerSilence))/float64(max(s.zone, 1)), 1)
	}
	s.mu.Unlock()
	if lost {
		g.quota.Restart(now)
	}
	g.quota.Narrow(part)
}

// takersWithin counts the hosts that took a share within an age.
func (s *relayState) takersWithin(now time.Time, age time.Duration) int {
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

type takeCall struct {
	// Host is the one that takes.
	Host      string  `json:"host"`
	Workspace string  `json:"workspace"`
	Cost      float64 `json:"cost"`
}

type takeReply struct {
	Taken bool `json:"taken"`
	// Unknown tells that the relay's configuration has no such workspace.
	Unknown bool          `json:"unknown,omitempty"`
	After   time.Duration `json:"after_ns,omitempty"`
}

// noteTaker notes that a host takes its shares here.
func (s *relayState) noteTaker(now time.Time, host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takers[host] = now
}

func (g *Gateway) serveTake(_ context.Context, params json.RawMessage) (any, error) {
	var c takeCall
	if err := json.Unmarshal(params, &c); err != nil {
		return nil, errors.Wrap(err, "decode take")
	}
	now := time.Now()
	snapshot := g.catalog.Current()
	if snapshot == nil || g.shareRelay(now) != "" {
		return nil, errNoRelay
	}
	g.relays.noteTaker(now, c.Host)
	w := snapshot.Workspace(c.Workspace)
	if w == nil {
		return takeReply{Unknown: true}, nil
	}
	if c.Cost < 0 {
		g.quota.Return(now, w, -c.Cost)
		return takeReply{Taken: true}, nil
	}
	after, ok := g.quota.Take(now, w, c.Cost)
	return takeReply{Taken: ok, After: after}, nil
}

// takeQuota takes from the zone's share of a limit, or from this host's own when
// there is no relay.
func (g *Gateway) takeQuota(now time.Time, w *catalog.Workspace, cost float64) (time.Duration, bool) {
	if w.Limit.PerSecond <= 0 {
		return 0, true
	}
	var reply takeReply
	if g.callPeer(g.shareRelay(now), methodTake, takeTimeout, takeCall{g.opts.Host, w.Name, cost}, &reply) && !reply.Unknown {
		return reply.After, reply.Taken
	}
	return g.quota.Take(now, w, cost)
}

// returnQuota gives back what a request that did not run had taken.
func (g *Gateway) returnQuota(now time.Time, w *catalog.Workspace, cost float64) {
	if w.Limit.PerSecond <= 0 || cost <= 0 {
		return
	}
	var reply takeReply
	if !g.callPeer(g.shareRelay(now), methodTake, takeTimeout, takeCall{g.opts.Host, w.Name, -cost}, &reply) || reply.Unknown {
		g.quota.Return(now, w, cost)
	}
}
