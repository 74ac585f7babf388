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

// Methods that a relay serves to the hosts of its availability zone. Every call to the store is
// billed, so one host of a zone reads the store for all, forwards their reports to it and grants
// the zone's shares of limits. A host that gets no timely answer from its relay does all this
// itself.
const (
	methodRead      = "gateway.read"
	methodReport    = "gateway.tell"
	methodTakeQuota = "gateway.take"
)

const (
	// minHostsForRelay is the least number of hosts in a zone for which a relay is used.
	minHostsForRelay = 3
	// relayPollTimeout is how long a relay holds a read that has nothing to return. relayCallMargin
	// is the time that the call may take beyond that: a relay that freezes must not keep a
	// configuration from hosts that do not.
	relayPollTimeout = 600 * time.Millisecond
	relayCallMargin  = 400 * time.Millisecond
	// takeQuotaTimeout bounds a call for a share of a limit. The relay is some tenths of a
	// millisecond away, but on a host limited to a fraction of a core the CPU quota may be exhausted
	// until its period of a tenth of a second ends.
	takeQuotaTimeout = 150 * time.Millisecond
	// relayBackoff is how long a host does not use a relay that failed to answer it. Within
	// startupWindow of the host's own start the relay is likely starting too, and is retried after
	// relayStartupBackoff.
	relayBackoff        = 3 * time.Second
	relayStartupBackoff = 300 * time.Millisecond
	startupWindow       = 3 * time.Second
	// takerTTL is how long after it last took a share here a host counts as taking its shares here:
	// callers send several requests a second.
	takerTTL = 2 * time.Second
	// maxRelayStaleness is the age of the store's last answer beyond which a relay does not answer
	// for the store: it reads at least once a second.
	maxRelayStaleness = 1700 * time.Millisecond
	// receivedReportTTL is how long a report received from another host is forwarded.
	receivedReportTTL = 2200 * time.Millisecond
	// maxCachedRecords bounds the records of a topic that a relay retains.
	maxCachedRecords = 4096
)

var errNotRelay = errors.New("not a relay, or out of touch with the store")

// topicCache holds the records of a topic that a process has read.
type topicCache struct {
	records []port.TopicRecord
	first   int64
	end     int64
	newest  map[string]port.TopicRecord
	wake    chan struct{} // closed when records are added
}

// relayState is the state of this process as a relay and as a client of one.
type relayState struct {
	mu      sync.Mutex
	topics  map[port.Topic]*topicCache
	reports map[string]receivedReport // by key of the report
	// failedUntil holds until when a failed host is not used as a relay, unreachableUntil until when
	// it does not grant shares of limits either. The latter is set only if it did not answer at all:
	// a relay that answers that it cannot reach the store still grants shares.
	failedUntil      map[string]time.Time
	unreachableUntil map[string]time.Time
	// selfRelay is set when this host reads the store itself, with or without a relay in the zone;
	// chosen is the zone's relay, zero when there is none.
	selfRelay bool
	chosen    presence.Report
	// zoneHosts counts the hosts that this one would be the relay of, itself included. quotaRelayed
	// reports whether a relay granted this host's shares when they were last updated.
	zoneHosts    int
	quotaRelayed bool
	// takers holds when each host last took a share here.
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

// electRelay chooses the relay of this host's zone among the live hosts: the one with the most
// cores. All hosts that know the same live hosts choose the same relay.
func (g *Gateway) electRelay(now time.Time, live []presence.Report) {
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
	s.selfRelay, s.chosen = true, presence.Report{}
	if len(candidates) >= minHostsForRelay {
		slices.SortFunc(candidates, func(a, b presence.Report) int {
			key := "relay/" + g.opts.Zone
			return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(rendezvous.Score(key, b.Host), rendezvous.Score(key, a.Host)))
		})
		s.chosen = candidates[0]
		s.selfRelay = candidates[0].Host == g.opts.Host
	}
	s.zoneHosts = len(candidates)
	if s.chosen.Host != previous {
		g.metrics.stateChanges.WithLabelValues("relay").Inc()
		g.log.Info().Str("event", "relay").Str("relay", s.chosen.Host).Str("before", previous).Int("candidates", len(candidates)).Msg("")
	}
}

// relayAddress returns the address of this host's relay, or an empty string when the host reads the
// store itself.
func (g *Gateway) relayAddress(now time.Time) string {
	s := g.relays
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.selfRelay || s.chosen.Host == "" || now.Before(s.failedUntil[s.chosen.Host]) {
		return ""
	}
	return s.chosen.Peer
}

// markRelayFailed records that the relay did not answer in time or cannot reach the store.
func (g *Gateway) markRelayFailed(now time.Time, method string, err error) {
	s := g.relays
	s.mu.Lock()
	host := s.chosen.Host
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
	return g.callPeer(g.relayAddress(time.Now()), method, timeout, params, result)
}

func (g *Gateway) callPeer(address, method string, timeout time.Duration, params, result any) (ok bool) {
	if address == "" || g.ports.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(g.context(), timeout)
	defer cancel()
	if err := g.ports.Peers.Call(ctx, address, method, params, result); err != nil {
		// One slow answer to a quota call does not mean that the relay has failed; the reads
		// from it detect that.
		if g.context().Err() == nil && method != methodTakeQuota {
			g.markRelayFailed(time.Now(), method, err)
		}
		return false
	}
	return true
}

// PeerHandlers returns the methods that other hosts call.
func (g *Gateway) PeerHandlers() map[string]port.PeerHandler {
	return map[string]port.PeerHandler{methodRead: g.serveRead, methodReport: g.serveReport, methodTakeQuota: g.serveTakeQuota}
}

type readRequest struct {
	Topic port.Topic `json:"topic"`
	// From is the offset to read from; negative for the newest record of each key.
	From int64 `json:"from"`
	// Wait is how long to hold a call that has nothing to return.
	Wait time.Duration `json:"wait_ns,omitempty"`
}

type readReply struct {
	Records []port.TopicRecord `json:"records,omitempty"`
	End     int64              `json:"end"`
	Expired bool               `json:"expired,omitempty"`
}

// canRelay reports whether this process may answer for the store: it has just read it. Hosts choose
// their relay at different times, so it does not matter whether this one has chosen itself.
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
			return readReply{End: req.From}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// read answers from the cached records; without an answer it returns the channel that is closed at
// the next record.
func (s *relayState) read(req readRequest) (readReply, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cache := s.topics[req.Topic]
	switch {
	case cache == nil:
		return readReply{}, nil, false
	case req.From < 0:
		reply := readReply{End: cache.end}
		for _, record := range cache.newest {
			reply.Records = append(reply.Records, record)
		}
		return reply, nil, true
	case req.From < cache.first:
		return readReply{Expired: true}, nil, true
	case req.From < cache.end:
		return readReply{Records: slices.Clone(cache.records[req.From-cache.first:]), End: cache.end}, nil, true
	}
	return readReply{}, cache.wake, false
}

// cachePage adds a page that this process has read of a topic, to answer other hosts from.
func (s *relayState) cachePage(topic port.Topic, snapshot bool, page port.TopicPage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cache := s.topics[topic]
	if snapshot || cache == nil {
		if cache != nil {
			close(cache.wake)
		}
		cache = &topicCache{first: page.End, end: page.End, newest: map[string]port.TopicRecord{}, wake: make(chan struct{})}
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
func (g *Gateway) readFromRelay(topic port.Topic, from int64, wait time.Duration) (page port.TopicPage, err error, ok bool) {
	var reply readReply
	if !g.callRelay(methodRead, relayPollTimeout+relayCallMargin, readRequest{topic, from, wait}, &reply) {
		return page, nil, false
	}
	if reply.Expired {
		return page, port.ErrStoreExpired, true
	}
	return port.TopicPage{Records: reply.Records, End: reply.End}, nil, true
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
