package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// A relay is the host of an availability zone that calls the store for the other hosts of the zone,
// because every call to the store is billed. It reads the store for them and forwards their reports
// to it. It also grants them quota: a host asks it to take the cost of a request from the zone's
// share of a workspace's limit. A host that gets no timely answer from its relay does all this
// itself.

// Methods that a relay serves to the hosts of its availability zone.
const (
	methodRead      = "gateway.read"
	methodReport    = "gateway.tell"
	methodTakeQuota = "gateway.take"
)

const (
	// minHostsForRelay is the least number of hosts in a zone for which a relay is used.
	minHostsForRelay = 3
	// relayPollTimeout is how long a relay holds a read that has nothing to return. relayCallMargin
	// is the time that the call may take beyond that, and the timeout of a call with a report. If the
	// relay is frozen, the other hosts must still receive a new configuration in time.
	relayPollTimeout = 600 * time.Millisecond
	relayCallMargin  = 400 * time.Millisecond
	// takeQuotaTimeout bounds a call that takes quota. The relay is some tenths of a millisecond
	// away, but a host limited to a fraction of a core may have used up its CPU time until the
	// scheduler's period of a tenth of a second ends.
	takeQuotaTimeout = 150 * time.Millisecond
	// relayBackoff is how long a host does not use a relay that failed to answer it. Within
	// startupWindow of the host's own start the relay is likely starting too, and is retried after
	// relayStartupBackoff.
	relayBackoff        = 3 * time.Second
	relayStartupBackoff = 300 * time.Millisecond
	startupWindow       = 3 * time.Second
	// takerTTL is how long a host counts as one that takes its quota here after it last did so.
	// Callers send several requests a second, so a host that uses this relay takes quota often.
	takerTTL = 2 * time.Second
	// maxRelayStaleness is the age of the store's last answer to a relay beyond which the relay
	// does not answer in place of the store. The relay reads the store at least once a second.
	maxRelayStaleness = 1700 * time.Millisecond
	// receivedReportTTL is how long a report received from another host is forwarded.
	receivedReportTTL = 2200 * time.Millisecond
	// maxCachedRecords bounds the records of a topic that a relay retains.
	maxCachedRecords = 4096
)

var errNotRelay = errors.New("not a relay, or out of touch with the store")

// topicCache holds the records of a topic that a process has read.
type topicCache struct {
	// records are the latest records, from the offset first to the offset before end.
	records []port.TopicRecord
	era     port.Era
	first   int64
	end     int64
	newest  map[string]port.TopicRecord // the newest record of each key
	wake    chan struct{}               // closed when records are added or a snapshot replaces the cache
}

// relayState is the state of this process as a relay and as a client of one.
type relayState struct {
	mu      sync.Mutex
	topics  map[port.Topic]*topicCache
	reports map[string]receivedReport // by key of the report
	// failedUntil holds, by host, the time until which the host is not used as a relay because it
	// has failed as one; unreachableUntil the time until which it is not asked for quota either. The
	// latter is set only if it did not answer at all: a relay that answers that it cannot reach the
	// store still grants quota.
	failedUntil      map[string]time.Time
	unreachableUntil map[string]time.Time
	// readsStore is set when no other host is the relay: this host is, or the zone has none. chosen is
	// the zone's relay, zero when there is none.
	readsStore bool
	chosen     presence.Report
	// candidates is the number of candidates when the relay was last chosen (see chooseRelay).
	// hadQuotaRelay reports whether this host had a relay to take quota from when updateShares last
	// ran.
	candidates    int
	hadQuotaRelay bool
	// takers holds, by host, the time at which the host last took quota here.
	takers map[string]time.Time
}

type receivedReport struct {
	raw        json.RawMessage
	receivedAt time.Time
	forwarded  bool
}

func newRelayState() *relayState {
	return &relayState{topics: map[port.Topic]*topicCache{}, reports: map[string]receivedReport{}, failedUntil: map[string]time.Time{}, unreachableUntil: map[string]time.Time{}, takers: map[string]time.Time{}}
}

// chooseRelay chooses the relay of this host's zone. Candidates are this host and the live hosts, as
// far as they are in the zone, serve, have a peer address and have not failed this host as a relay a
// moment ago (see failedUntil). The candidate with the most cores is chosen; among equals, the one
// with the highest rendezvous score. Hosts with the same candidates choose the same relay. With
// fewer than minHostsForRelay candidates there is none.
func (g *Gateway) chooseRelay(now time.Time, live []presence.Report) {
	s := g.relays
	self := g.report(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidates []presence.Report
	for _, r := range append(slices.Clone(live), self) {
		if r.Zone == g.opts.Zone && r.Peer != "" && r.State == presence.StateServing && !now.Before(s.failedUntil[r.Host]) {
			candidates = append(candidates, r)
		}
	}
	previous := s.chosen.Host
	s.readsStore, s.chosen = true, presence.Report{}
	if len(candidates) >= minHostsForRelay {
		slices.SortFunc(candidates, func(a, b presence.Report) int {
			key := "relay/" + g.opts.Zone
			return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(rendezvous.Score(key, b.Host), rendezvous.Score(key, a.Host)))
		})
		s.chosen = candidates[0]
		s.readsStore = candidates[0].Host == g.opts.Host
	}
	s.candidates = len(candidates)
	if s.chosen.Host != previous {
		g.metrics.stateChanges.WithLabelValues("relay").Inc()
		g.log.Info().Str("event", "relay").Str("relay", s.chosen.Host).Str("before", previous).Int("candidates", len(candidates)).Msg("")
	}
}

// currentRelay returns the last report of this host's relay, zero when the host reads the store itself.
func (g *Gateway) currentRelay(now time.Time) presence.Report {
	s := g.relays
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readsStore || s.chosen.Host == "" || now.Before(s.failedUntil[s.chosen.Host]) {
		return presence.Report{}
	}
	return s.chosen
}

// markRelayFailed records that a relay did not answer in time or cannot reach the store.
func (g *Gateway) markRelayFailed(now time.Time, host, method string, err error) {
	s := g.relays
	s.mu.Lock()
	alreadyFailed := now.Before(s.failedUntil[host])
	backoff := relayBackoff
	if now.Sub(g.startedAt) < startupWindow {
		backoff = relayStartupBackoff
	}
	s.failedUntil[host] = now.Add(backoff)
	if !errors.Is(err, port.ErrPeerRefused) {
		s.unreachableUntil[host] = now.Add(backoff)
	}
	s.mu.Unlock()
	if !alreadyFailed {
		g.metrics.stateChanges.WithLabelValues("relay_failed").Inc()
		g.log.Warn().Str("event", "dependency_lost").Str("dependency", "relay/"+host).Str("method", method).Err(err).Msg("continuing without the relay")
	}
}

// callRelay calls the relay; ok is false when there is none or the call failed.
func (g *Gateway) callRelay(method string, timeout time.Duration, params, result any) (ok bool) {
	return g.callPeer(g.currentRelay(time.Now()), method, timeout, params, result)
}

// callPeer calls a relay. If the call fails, it marks the relay as failed, except after a call that
// takes quota or while this process stops. ok is false without a relay and when the call failed.
func (g *Gateway) callPeer(relay presence.Report, method string, timeout time.Duration, params, result any) (ok bool) {
	if relay.Peer == "" || g.ports.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(g.context(), timeout)
	defer cancel()
	if err := g.ports.Peers.Call(ctx, relay.Peer, method, params, result); err != nil {
		// One slow answer to a call that takes quota does not mean that the relay has failed; the
		// reads from it detect that.
		if g.context().Err() == nil && method != methodTakeQuota {
			g.markRelayFailed(time.Now(), relay.Host, method, err)
		}
		return false
	}
	return true
}

// PeerHandlers returns the methods that other hosts call.
func (g *Gateway) PeerHandlers() map[string]port.PeerHandler {
	return map[string]port.PeerHandler{
		methodRead: g.serveRead, methodReport: g.serveReport, methodTakeQuota: g.serveTakeQuota,
		methodPlace: g.servePlace, methodSettle: g.serveSettle, methodLoads: g.serveLoads,
	}
}

type readRequest struct {
	Topic port.Topic `json:"topic"`
	// Era is the latest era that the host knows, and that of From unless that is negative.
	Era port.Era `json:"era,omitempty"`
	// From is the offset to read from; negative for the newest record of each key.
	From int64 `json:"from"`
	// Wait is how long to hold a call that has nothing to return.
	Wait time.Duration `json:"wait_ns,omitempty"`
}

type readReply struct {
	Records []port.TopicRecord `json:"records,omitempty"`
	Era     port.Era           `json:"era,omitempty"`
	End     int64              `json:"end"`
	Expired bool               `json:"expired,omitempty"`
}

// canRelay reports whether this process may serve reads and accept reports in place of the store:
// the store has answered it within maxRelayStaleness. Hosts choose their relay at different times, so
// it does not matter whether this one has chosen itself.
func (g *Gateway) canRelay(now time.Time) bool {
	return now.Sub(time.Unix(0, g.lastStoreAnswer.Load())) < maxRelayStaleness
}

func (g *Gateway) serveRead(ctx context.Context, params json.RawMessage) (any, error) {
	var req readRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode read")
	}
	timeout := time.After(min(req.Wait, relayPollTimeout))
	for {
		if !g.canRelay(time.Now()) {
			return nil, errNotRelay
		}
		reply, wake, ok := g.relays.read(req)
		if ok {
			return reply, nil
		}
		if wake == nil {
			return nil, errNotRelay
		}
		select {
		case <-wake:
		case <-timeout:
			return readReply{Era: req.Era, End: req.From}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// read answers from the cached records. If there is nothing to return yet it reports false and
// returns the cache's wake channel, which is nil if the topic is not cached.
func (s *relayState) read(req readRequest) (readReply, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cache := s.topics[req.Topic]
	switch {
	case cache == nil || cache.era < req.Era:
		return readReply{}, nil, false
	case req.From < 0:
		reply := readReply{Era: cache.era, End: cache.end}
		for _, record := range cache.newest {
			reply.Records = append(reply.Records, record)
		}
		return reply, nil, true
	case req.From < cache.first || req.Era != cache.era:
		return readReply{Era: cache.era, Expired: true}, nil, true
	case req.From < cache.end:
		return readReply{Records: slices.Clone(cache.records[req.From-cache.first:]), Era: cache.era, End: cache.end}, nil, true
	}
	return readReply{}, cache.wake, false
}

// cachePage adds a page that this process has read of a topic, to answer other hosts from. A
// snapshot, which holds the newest record of each key, replaces what is cached of the topic.
func (s *relayState) cachePage(topic port.Topic, snapshot bool, page port.TopicPage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cache := s.topics[topic]
	if snapshot || cache == nil {
		if cache != nil {
			close(cache.wake)
		}
		cache = &topicCache{era: page.Era, first: page.End, end: page.End, newest: map[string]port.TopicRecord{}, wake: make(chan struct{})}
		s.topics[topic] = cache
	}
	for _, record := range page.Records {
		if record.Removed() {
			delete(cache.newest, record.Key)
		} else {
			cache.newest[record.Key] = record
		}
		if !snapshot {
			cache.records = append(cache.records, record)
		}
	}
	cache.end = page.End
	if drop := len(cache.records) - maxCachedRecords; drop > 0 {
		cache.records = slices.Clone(cache.records[drop:])
	}
	cache.first = cache.end - int64(len(cache.records))
	if len(page.Records) > 0 {
		close(cache.wake)
		cache.wake = make(chan struct{})
	}
}

// readFromRelay reads a topic from the relay; ok is false when the store has to be read instead.
func (g *Gateway) readFromRelay(topic port.Topic, era port.Era, from int64, wait time.Duration) (page port.TopicPage, err error, ok bool) {
	var reply readReply
	if from < 0 {
		era = g.latestEra()
	}
	if !g.callRelay(methodRead, relayPollTimeout+relayCallMargin, readRequest{topic, era, from, wait}, &reply) {
		return page, nil, false
	}
	g.learnEra(reply.Era)
	if reply.Expired {
		return page, port.ErrStoreExpired, true
	}
	return port.TopicPage{Era: reply.Era, Records: reply.Records, End: reply.End}, nil, true
}

// serveReport receives the report of a host of the zone.
func (g *Gateway) serveReport(_ context.Context, params json.RawMessage) (any, error) {
	now := time.Now()
	if !g.canRelay(now) {
		return nil, errNotRelay
	}
	var r presence.Report
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, errors.Wrap(err, "decode report")
	}
	g.relays.mu.Lock()
	defer g.relays.mu.Unlock()
	previous := g.relays.reports[r.Key()]
	g.relays.reports[r.Key()] = receivedReport{slices.Clone(params), now, previous.forwarded}
	return struct{}{}, nil
}

// hasReports reports whether other hosts have sent their reports to this one within
// receivedReportTTL.
func (s *relayState) hasReports(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.reports {
		if now.Sub(r.receivedAt) <= receivedReportTTL {
			return true
		}
	}
	return false
}

// reportsToForward returns the reports to forward, and the keys of those forwarded for the first
// time.
func (s *relayState) reportsToForward(now time.Time) (out []json.RawMessage, newlyForwarded []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, r := range s.reports {
		if now.Sub(r.receivedAt) > receivedReportTTL {
			delete(s.reports, key)
			continue
		}
		if !r.forwarded {
			r.forwarded = true
			s.reports[key] = r
			newlyForwarded = append(newlyForwarded, key)
		}
		out = append(out, r.raw)
	}
	return out, newlyForwarded
}
