package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// chooseRelay chooses the relays of this host's region and zone. Candidates are this host, also while it starts, and
// the live hosts, as far as they serve, have a peer address and have not failed this host as a relay a moment ago
// (see failedUntil). The candidate with the most cores is chosen; among equals, the one with the highest
// rendezvous score. Hosts with the same candidates choose the same relays. With fewer than
// minHostsForRelay candidates in the region or zone, it has none.
func (g *Gateway) chooseRelay(now time.Time, live []presence.Report) {
	self := g.report(now)
	g.relays.mu.Lock()
	defer g.relays.mu.Unlock()
	g.relays.live = live
	g.setRelays(g.relays.choose(now, self, nil))
}

// nextRelay returns the host to read through in place of those tried: the one that the last of them reads through
// itself, or the next in order. It is zero if this host is the next. Quota is taken from the zone's relay as before.
func (g *Gateway) nextRelay(now time.Time, tried []string, named peerHost) presence.Report {
	self := g.report(now)
	s := g.relays
	s.mu.Lock()
	defer s.mu.Unlock()
	if named.Peer != "" && named.Host != self.Host && !slices.Contains(tried, named.Host) && !now.Before(s.failedUntil[named.Host]) {
		return presence.Report{Host: named.Host, Peer: named.Peer}
	}
	return s.choose(now, self, tried).upstream
}

// relayChoice holds relayState's chosen, upstream, standby, relaying and candidates.
type relayChoice struct {
	zone, upstream, standby presence.Report
	relaying                bool
	candidates              int
}

// choose returns the relays of a host, none of those tried. The caller holds the lock.
func (s *relayState) choose(now time.Time, self presence.Report, tried []string) relayChoice {
	var inRegion, inZone []presence.Report
	for _, r := range append(slices.Clone(s.live), self) {
		serves := r.State == presence.StateServing || r.Host == self.Host && r.State == presence.StateStarting
		if r.Region != self.Region || r.Peer == "" || !serves || now.Before(s.failedUntil[r.Host]) || slices.Contains(tried, r.Host) {
			continue
		}
		inRegion = append(inRegion, r)
		if r.Zone == self.Zone {
			inZone = append(inZone, r)
		}
	}
	regional := bestRelay(regionKey(self.Region), inRegion)
	c := relayChoice{zone: bestRelay(zoneKey(self.Zone), inZone), candidates: len(inZone)}
	if c.zone.Host != "" && regional.Zone == self.Zone {
		c.zone = regional
	}
	if c.zone.Host != "" {
		c.standby = successor(c.zone, inRegion, inZone)
	} else {
		c.standby = firstOf(zoneKey(self.Zone), without(inZone, self.Host))
	}
	c.upstream = c.zone
	if c.zone.Host == "" || c.zone.Host == self.Host {
		c.upstream = regional
	}
	if c.upstream.Host == self.Host {
		c.upstream = presence.Report{}
	}
	c.relaying = c.zone.Host == self.Host || regional.Host == self.Host
	return c
}

func zoneKey(zone string) string { return "relay/" + zone }

func regionKey(region string) string { return "relay/region/" + region }

// successor returns the host that becomes the relay of a zone when relay fails, zero if there is none.
func successor(relay presence.Report, inRegion, inZone []presence.Report) presence.Report {
	regional := bestRelay(regionKey(relay.Region), without(inRegion, relay.Host))
	if regional.Zone == relay.Zone {
		return regional
	}
	return firstOf(zoneKey(relay.Zone), without(inZone, relay.Host))
}

func without(reports []presence.Report, host string) []presence.Report {
	return slices.DeleteFunc(slices.Clone(reports), func(r presence.Report) bool { return r.Host == host })
}

// setRelays sets the relays in use and logs a change. The caller holds the lock.
func (g *Gateway) setRelays(c relayChoice) {
	s := g.relays
	previous, previousUpstream, previousStandby := s.chosen.Host, s.upstream.Host, s.standby.Host
	s.chosen, s.upstream, s.standby, s.relaying, s.candidates = c.zone, c.upstream, c.standby, c.relaying, c.candidates
	if c.zone.Host != previous || c.upstream.Host != previousUpstream {
		g.metrics.stateChanges.WithLabelValues("relay").Inc()
		g.log.Info().Str("event", "relay").Str("relay", c.zone.Host).Str("before", previous).
			Str("upstream", c.upstream.Host).Str("standby", c.standby.Host).Int("candidates", c.candidates).Msg("")
	} else if c.standby.Host != previousStandby {
		g.log.Info().Str("event", "relay_standby").Str("standby", c.standby.Host).Str("before", previousStandby).Msg("")
	}
	if c.zone.Host != previous || c.standby.Host != previousStandby {
		g.grants.askSoon()
	}
}

// bestRelay returns the candidate that all hosts with the same candidates choose, zero if there are too
// few.
func bestRelay(key string, candidates []presence.Report) presence.Report {
	if len(candidates) < minHostsForRelay {
		return presence.Report{}
	}
	return firstOf(key, candidates)
}

// firstOf returns the first candidate in the order in which hosts become relays, zero if there is none.
func firstOf(key string, candidates []presence.Report) presence.Report {
	if len(candidates) == 0 {
		return presence.Report{}
	}
	return slices.MinFunc(candidates, func(a, b presence.Report) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(rendezvous.Score(key, b.Host), rendezvous.Score(key, a.Host)))
	})
}
