package gateway

import (
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// Hosts of a region take turns to read the store, in the order of relayState.choose. A host that its relay does not
// serve asks the host that the relay names, then the next in order; it reads the store if that is itself.

const (
	// maxRelaysAsked is how many relays may refuse a read of a topic. Then this host reads the store only if it has
	// known nothing new of the topic for relayPatience, and asks the relays again before. Those that the store
	// refuses are not counted, as waiting for them is in vain; after maxCutOffRelays the store is read.
	maxRelaysAsked  = 3
	maxCutOffRelays = 6
	relayPatience   = maxNewsAge - storeReadReserve
	// maxNewsAge is the time within which a configuration must be in force and a leaving endpoint be known.
	// storeReadReserve is the part of it that a host's own read of the store may take. Whatever relays do, a search for
	// one that serves a read ends when what this host knows is relayPatience old.
	maxNewsAge       = 3 * time.Second
	storeReadReserve = 500 * time.Millisecond
	// minRelayCall is the least time for which a relay is asked.
	minRelayCall = 100 * time.Millisecond
	// maxSilentRelays is how many may leave a call unanswered before this host reads the store. A call that fails
	// within minSilence was answered by the relay's machine: no process listens there.
	maxSilentRelays = 2
	minSilence      = 100 * time.Millisecond
	// detourDuration is how long a host reads a topic from another relay after the chosen one has refused to
	// serve it. After maxSilentRelays it reads the store until the first of them may be tried again.
	detourDuration = time.Second
	// relayStartPatience is how long a process that starts waits for a relay that has yet to read a topic: all of a
	// region may start at once, and only one of them is to read the store.
	relayStartPatience = 1500 * time.Millisecond
)

// relaySearch is a search for a relay that serves a read.
type relaySearch struct {
	tried []string
	// refused, cutOff and silent count the relays that know no better, that the store refuses, and that did not answer.
	refused, cutOff, silent int
}

// searchStep is what a host does next that was not served.
type searchStep string

const (
	askNext   searchStep = "next"
	askLater  searchStep = "later"
	readStore searchStep = "store"
)

// record records how a relay answered or failed, and returns the next step. patient is set if the reader may wait for
// a relay that has yet to read the topic.
func (s *relaySearch) record(relay string, reply readReply, err error, took time.Duration, patient bool) searchStep {
	s.tried = append(s.tried, relay)
	switch {
	case err == nil && reply.CutOff:
		s.cutOff++
	case err == nil || errors.Is(err, port.ErrPeerRefused):
		s.refused++
	case took > minSilence:
		s.silent++
	}
	switch {
	case s.silent == maxSilentRelays, s.cutOff == maxCutOffRelays:
		return readStore
	case s.refused == maxRelaysAsked, reply.Unready && patient:
		return askLater
	}
	return askNext
}

// readFromRelay reads a topic from the relay or, if that does not serve it, from those that take its place. ok is
// false when this host has to read the store. asOf is the time as of which this host knows the topic. If the relays
// know no better, it returns errRelayUnready while this host may wait longer. The search has no end if storeFails is set:
// the store has not answered this host's own last read.
func (g *Gateway) readFromRelay(req readRequest, asOf time.Time, storeFails bool) (page port.TopicPage, read feedRead, err error, ok bool) {
	now := time.Now()
	patient, timeout := now.Sub(asOf) < relayPatience, relayPollTimeout+relayCallMargin
	bounded := req.From >= 0 && req.Topic != port.TopicHosts && !storeFails
	wait := req.Wait
	if req.From < 0 {
		req.Era = g.latestEra()
		if patient = now.Sub(g.startedAt) < relayStartPatience; patient {
			req.Wait, timeout = 0, relayCallMargin
		}
	}
	req.Redirects = true
	var (
		search relaySearch
		reply  readReply
	)
	relay := g.relayOf(now, req.Topic)
	for first := relay.Host; ; {
		if relay.Peer == "" {
			if len(search.tried) > 0 {
				// This host takes the relay's place. Those that it serves would otherwise serve it what they have from it.
				g.detour(req.Topic, first, relayDetour{until: time.Now().Add(detourDuration)})
			}
			return page, read, nil, false
		}
		if bounded {
			left := time.Until(asOf.Add(relayPatience))
			if left < minRelayCall {
				g.logSearchEnd(req.Topic, now, search)
				return page, read, nil, false
			}
			timeout = min(relayPollTimeout+relayCallMargin, left)
			req.Wait = min(wait, max(0, left-relayCallMargin))
		}
		reply = readReply{}
		read = feedRead{source: relay.Host, began: time.Now()}
		req.ForRelay = g.relays.isRelaying()
		err = g.callPeer(relay, methodRead, timeout, req, &reply)
		if err == nil && !reply.Stale && !reply.Unready {
			if len(search.tried) > 0 {
				g.detour(req.Topic, first, relayDetour{relay, time.Now().Add(detourDuration)})
			}
			break
		}
		switch search.record(relay.Host, reply, err, time.Since(read.began), patient) {
		case readStore:
			if search.silent == maxSilentRelays {
				g.detour(req.Topic, "", relayDetour{until: time.Now().Add(relayBackoff)})
			}
			return page, read, nil, false
		case askLater:
			return page, read, errRelayUnready, patient
		}
		relay = g.nextRelay(time.Now(), search.tried, reply.Upstream)
		req.Retry = relay.Host != reply.Upstream.Host
	}
	read.at, read.reads = time.Now(), reply.Reads
	read.asOf = read.at.Add(-reply.Age - max(0, read.at.Sub(read.began)-reply.Held))
	g.learnEra(reply.Era)
	g.noteStoreAnswer(read.asOf)
	if reply.Expired {
		return page, read, port.ErrStoreExpired, true
	}
	records, err := reply.records()
	if err != nil {
		g.log.Warn().Str("event", "relay_reply_unreadable").Str("topic", string(req.Topic)).Int64("from", req.From).Err(err).Msg("")
		return page, read, nil, false
	}
	return port.TopicPage{Era: reply.Era, Records: records, End: reply.End}, read, nil, true
}

// logSearchEnd logs that this host reads the store, as what it knows of a topic has become too old in a search for a relay.
func (g *Gateway) logSearchEnd(topic port.Topic, began time.Time, s relaySearch) {
	if len(s.tried) == 0 {
		return
	}
	g.metrics.stateChanges.WithLabelValues("relay_search_ended").Inc()
	g.log.Info().Str("event", "relay_search_ended").Str("topic", string(topic)).Strs("tried", s.tried).
		Int("refused", s.refused).Int("cut_off", s.cutOff).Int("silent", s.silent).Dur("after", time.Since(began)).Msg("")
}

// detour makes this host read a topic by a detour, unless the relay chosen has failed: then another is chosen in its
// place.
func (g *Gateway) detour(topic port.Topic, chosen string, d relayDetour) {
	s := g.relays
	now := time.Now()
	s.mu.Lock()
	if now.Before(s.failedUntil[chosen]) {
		s.mu.Unlock()
		return
	}
	before, known := s.detours[topic]
	s.detours[topic] = d
	s.mu.Unlock()
	if known && before.relay.Host == d.relay.Host && now.Sub(before.until) < detourDuration {
		return // it goes on
	}
	instead := d.relay.Host
	if instead == "" {
		instead = storeSource
	}
	g.metrics.stateChanges.WithLabelValues("relay_detour").Inc()
	g.log.Info().Str("event", "relay_detour").Str("topic", string(topic)).Str("relay", chosen).Str("instead", instead).Msg("")
}
