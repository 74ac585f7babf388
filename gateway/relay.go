package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/presence"
)

// A relay is the host of an availability zone that calls the store for the other hosts of the zone,
// because every call to the store is billed. It reads the store for them and forwards their reports
// to it. It also grants them quota: a host asks it to take the cost of a request from the zone's
// share of a workspace's limit. A host that gets no timely answer from its relay does all this
// itself.
//
// One relay of each region calls the store for the relays of the other zones in the same way, so that
// the calls grow with the regions. It is the relay of its own zone, so there is no cycle among hosts
// with the same view; in one among hosts whose views differ for a moment, no answer of the store
// arrives, and each stops answering after maxRelayStaleness.

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
	// relayBackoff is how long a host does not use a relay that failed to answer it. It doubles with
	// each failure since the last answer, up to maxRelayBackoff. Within startupWindow of the host's
	// own start a relay on whose machine no process listens is likely starting too, and is retried after
	// relayStartupBackoff.
	relayBackoff        = 3 * time.Second
	maxRelayBackoff     = 24 * time.Second
	relayStartupBackoff = 300 * time.Millisecond
	startupWindow       = 3 * time.Second
	// askedTTL is how long a host relays after it was last asked to, whether it has chosen itself or not:
	// hosts whose views differ choose different relays. Hosts read each topic at least once a second.
	askedTTL = 3 * time.Second
	// maxRelayStaleness is the age of the store's last answer to a relay beyond which the relay
	// does not accept reports in place of the store. The relay reads the store at least once a second.
	maxRelayStaleness = 1700 * time.Millisecond
	// maxTopicAge is the age of a relay's knowledge of a topic beyond which the relay does not serve
	// it to other relays. It serves hosts for leafGrace longer, in which the relay of their zone can
	// read the store, so that they do not all do that. A host that is refused then has a second to read
	// the store itself: news must be known within 3 s.
	maxTopicAge = 1300 * time.Millisecond
	leafGrace   = 600 * time.Millisecond
	// staleGrace is how much older than that a relay's knowledge may grow while a read by another relay is held:
	// its own read is under way, and no other host would get an answer sooner.
	staleGrace = 250 * time.Millisecond
	// maxHostsAge replaces maxTopicAge for the reports of hosts, which are read once a second.
	maxHostsAge = 1700 * time.Millisecond
	// forwardDelay is how long a relay gathers reports before it forwards them to the relay of the
	// region.
	forwardDelay = 150 * time.Millisecond
	// receivedReportTTL is how long a report received from another host is forwarded.
	receivedReportTTL = 2200 * time.Millisecond
	// minPackedReplyBytes is the size of records from which a reply is compressed.
	minPackedReplyBytes = 16 << 10
	// maxCachedRecords and maxCachedBytes bound the records of a topic that a relay retains beside the newest of each
	// key, maxIdleCachedBytes those that another host retains.
	maxCachedRecords   = 4096
	maxCachedBytes     = 8 << 20
	maxIdleCachedBytes = 1 << 20
)

var (
	errNoRelay = errors.New("no relay")
	// errRelayUnready means that the relays have yet to read the topic, and are to be asked again.
	errRelayUnready = errors.New("the relays have yet to read the topic")
)

var errNotRelay = errors.New("not a relay, or out of touch with the store")

// relayState is the state of this process as a relay and as a client of one.
type relayState struct {
	mu      sync.Mutex
	topics  map[port.Topic]*topicCache
	reports map[string]receivedReport // by key of the report
	// failedUntil holds, by host, the time until which the host is not used as a relay because it did not
	// answer. One that refuses, because it is out of touch with the store, stays a candidate, so that hosts
	// which agree on the candidates go on to agree; detours holds the relays used instead, by topic.
	failedUntil map[string]time.Time
	detours     map[port.Topic]relayDetour
	// failures counts the failures of a relay since its last answer, by host.
	failures map[string]int
	// live are the live hosts as of the last reports.
	live []presence.Report
	// added is closed when a topic is cached that was not.
	added chan struct{}
	// chosen is the zone's relay, zero when there is none. upstream is the host that calls the store
	// for this one: the zone's relay, or for that the region's; zero when this host calls the store
	// itself. relaying is set while this host is the relay of its zone or region.
	chosen   presence.Report
	upstream presence.Report
	relaying bool
	// standby holds a share of limits beside the zone's relay and takes its place. Without a relay it is the other
	// host of the zone that is asked for units if this one has no share.
	standby presence.Report
	// askedAt is when another host last asked this one to relay.
	askedAt time.Time
	// forwarding is set while forwardReports is due.
	forwarding bool
	// candidates is the number of candidates for chosen (see chooseRelay).
	candidates int
}

// relayDetour is the relay from which a topic is read for a while, since the chosen one refused to serve it; zero for
// the store.
type relayDetour struct {
	relay presence.Report
	until time.Time
}

type receivedReport struct {
	raw        json.RawMessage
	receivedAt time.Time
	forwarded  bool // in a record of this host
	sentUp     bool // to the relay of the region
}

func newRelayState() *relayState {
	return &relayState{topics: map[port.Topic]*topicCache{}, reports: map[string]receivedReport{}, failedUntil: map[string]time.Time{}, detours: map[port.Topic]relayDetour{}, failures: map[string]int{}, added: make(chan struct{})}
}

// currentRelay returns the last report of the host that calls the store for this one, zero when this
// host calls the store itself.
func (g *Gateway) currentRelay(now time.Time) presence.Report {
	s := g.relays
	s.mu.Lock()
	upstream := s.upstream
	failed := now.Before(s.failedUntil[upstream.Host])
	s.mu.Unlock()
	if failed {
		return g.nextRelay(now, nil, peerHost{})
	}
	return upstream
}

// relayOf returns the host from which this one reads a topic, zero when that is the store.
func (g *Gateway) relayOf(now time.Time, topic port.Topic) presence.Report {
	s := g.relays
	s.mu.Lock()
	d, ok := s.detours[topic]
	ok = ok && now.Before(d.until) && !now.Before(s.failedUntil[d.relay.Host])
	s.mu.Unlock()
	if ok {
		return d.relay
	}
	return g.currentRelay(now)
}

// markRelayFailed records that a relay did not answer. silent is set if its machine did not either.
func (g *Gateway) markRelayFailed(now time.Time, host, method string, silent bool, err error) {
	s := g.relays
	s.mu.Lock()
	alreadyFailed := now.Before(s.failedUntil[host])
	backoff := min(relayBackoff<<min(s.failures[host], 8), maxRelayBackoff)
	if !alreadyFailed {
		s.failures[host]++
	}
	if now.Sub(g.startedAt) < startupWindow && !silent {
		backoff = relayStartupBackoff
	}
	s.failedUntil[host] = now.Add(backoff)
	s.mu.Unlock()
	if !alreadyFailed {
		g.metrics.stateChanges.WithLabelValues("relay_failed").Inc()
		g.log.Warn().Str("event", "dependency_lost").Str("dependency", "relay/"+host).Str("method", method).Err(err).Msg("continuing without the relay")
	}
}

// callPeer calls a relay. If it does not answer, it is marked as failed, except after a call that takes quota or
// while this process stops.
func (g *Gateway) callPeer(relay presence.Report, method string, timeout time.Duration, params, result any) error {
	if relay.Peer == "" || g.ports.Peers == nil {
		return errNoRelay
	}
	ctx, cancel := context.WithTimeout(g.context(), timeout)
	defer cancel()
	began := time.Now()
	err := g.ports.Peers.Call(ctx, relay.Peer, method, params, result)
	switch {
	case err == nil && method == methodRead:
		g.relays.mu.Lock()
		delete(g.relays.failures, relay.Host)
		g.relays.mu.Unlock()
	case err != nil && timeout < relayCallMargin && time.Since(began) >= timeout:
		// The call was not given the time in which a sound relay answers.
	case err != nil && g.context().Err() == nil && method != methodTakeQuota && !errors.Is(err, port.ErrPeerRefused):
		// One slow answer to a call that takes quota does not mean that the relay has failed; the
		// reads from it detect that.
		g.markRelayFailed(time.Now(), relay.Host, method, time.Since(began) > minSilence, err)
	}
	return err
}

// tellRelay sends reports to the relay or, if that refuses or fails, to the next; ok is false if neither took them.
func (g *Gateway) tellRelay(reports []json.RawMessage) (ok bool) {
	relay := g.currentRelay(time.Now())
	if g.callPeer(relay, methodReport, relayCallMargin, reports, nil) == nil {
		return true
	}
	if relay.Host == "" {
		return false
	}
	return g.callPeer(g.nextRelay(time.Now(), []string{relay.Host}, peerHost{}), methodReport, relayCallMargin, reports, nil) == nil
}

// PeerHandlers returns the methods that other hosts call.
func (g *Gateway) PeerHandlers() map[string]port.PeerHandler {
	handlers := map[string]port.PeerHandler{
		methodRead: g.serveRead, methodReport: g.serveReport, methodTakeQuota: g.serveTakeQuota,
		methodPlace: g.servePlace, methodSettle: g.serveSettle, methodLoads: g.serveLoads,
		methodStreamsBegan: g.serveStreamsBegan, methodStreamOrigin: g.serveStreamOrigin, methodCheckRegistry: g.serveCheckRegistry, methodDeaths: g.serveDeaths,
		methodRollout: g.serveRollout, methodRolloutLed: g.serveRolloutLed,
	}
	maps.Copy(handlers, g.grantHandlers())
	return handlers
}

type readRequest struct {
	Topic port.Topic `json:"topic"`
	// Era is the latest era that the host knows, and that of From unless that is negative.
	Era port.Era `json:"era,omitempty"`
	// From is the offset to read from; negative for the newest record of each key.
	From int64 `json:"from"`
	// Wait is how long to hold a call that has nothing to return.
	Wait time.Duration `json:"wait_ns,omitempty"`
	// Reads is the count in the relay's last reply. A relay that has read the topic since then replies at
	// once, also without records, so that the ages of replies do not add up over relays.
	Reads int64 `json:"reads,omitempty"`
	// ForRelay is set by a relay that reads through another.
	ForRelay bool `json:"for_relay,omitempty"`
	// Retry is set if another relay has just failed or refused. This one may be about to notice that too and to
	// take its place: it is given until the end of Wait to read the topic.
	Retry bool `json:"retry,omitempty"`
	// Redirects is set if the host understands replies with Stale.
	Redirects bool `json:"redirects,omitempty"`
}

// maxAge is the age of the relay's knowledge of the topic up to which the relay serves the read.
func (r readRequest) maxAge() time.Duration {
	limit := maxTopicAge
	if r.Topic == port.TopicHosts {
		limit = maxHostsAge
	}
	if !r.ForRelay {
		limit += leafGrace
	}
	return limit
}

// peerHost is a host and the address at which other hosts call it.
type peerHost struct {
	Host string `json:"host,omitempty"`
	Peer string `json:"peer,omitempty"`
}

// maxWait is how long a relay whose knowledge of the topic is too old waits for its own read of it; left is what is
// left of the time to hold the call.
func (r readRequest) maxWait(age, left time.Duration) time.Duration {
	switch {
	case r.Retry:
		return left
	case r.ForRelay:
		return r.maxAge() + staleGrace - age
	}
	return 0
}

type readReply struct {
	Records []port.TopicRecord `json:"records,omitempty"`
	// Packed holds the records instead, as compressed JSON, if they are large: a configuration of
	// thousands of routes goes to all hosts of a zone at the same moment.
	Packed  []byte   `json:"packed,omitempty"`
	Era     port.Era `json:"era,omitempty"`
	End     int64    `json:"end"`
	Expired bool     `json:"expired,omitempty"`
	// Unready is set if the relay does not hold the topic. It does from its next read on, because it was
	// asked.
	Unready bool `json:"unready,omitempty"`
	// Stale is set if what the relay knows is older than the read allows: Age, or the time since the store's
	// last answer to it. It has no records then. Upstream is the host that the relay itself reads through.
	Stale    bool     `json:"stale,omitempty"`
	Upstream peerHost `json:"upstream"`
	// CutOff is set with Stale if the store has refused the relay since it last answered, or if the relay's own read of
	// the topic has failed or is not answered in time.
	CutOff bool `json:"cut_off,omitempty"`
	// Reads counts the relay's own reads of the topic.
	Reads int64 `json:"reads,omitempty"`
	// Age is the time since the store is known to have held nothing after End, over all relays that the
	// records came through. Held is how long the relay has held the call, so that the rest of the
	// call's time is that of the way.
	Age  time.Duration `json:"age_ns,omitempty"`
	Held time.Duration `json:"held_ns,omitempty"`
}

// canRelay reports whether the store has answered this process within maxRelayStaleness, and has not refused
// a call since. Hosts choose their relay at different times, so it does not matter whether this one has
// chosen itself.
func (g *Gateway) canRelay(now time.Time) bool {
	return g.storeAge(now) < maxRelayStaleness && !g.isCutOff()
}

// isCutOff reports whether the store has refused a call since it last answered this host or, as far as it knows, its
// relays.
func (g *Gateway) isCutOff() bool { return g.lastStoreAnswer.Load() < g.lastStoreRefusal.Load() }

// storeAge returns the time since the store's last answer to this host or, as far as it knows, to its
// relays.
func (g *Gateway) storeAge(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, g.lastStoreAnswer.Load()))
}

func (g *Gateway) serveRead(ctx context.Context, params json.RawMessage) (any, error) {
	var req readRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "decode read")
	}
	began := time.Now()
	held := min(req.Wait, relayPollTimeout)
	for {
		now := time.Now()
		added := g.relays.awaitTopic(now)
		reply, wake := g.relays.read(now, req)
		reply.Held = now.Sub(began)
		wait := min(held-reply.Held, req.maxAge()-reply.Age+time.Millisecond)
		switch storeAge := g.storeAge(now); {
		case g.isCutOff():
			return g.refuseRead(req, reply)
		case reply.Unready:
			if wait = held - reply.Held; !req.Retry || wait <= 0 {
				return reply, nil
			}
			wake = added
		case reply.Stale:
			// The read that is under way may be about to end, unless it has failed or is not answered.
			if wait = req.maxWait(reply.Age, held-reply.Held); wait <= 0 || reply.CutOff {
				return g.refuseRead(req, reply)
			}
		case !g.canRelay(now):
			reply.Age = max(reply.Age, storeAge)
			return g.refuseRead(req, reply)
		case wake == nil || reply.Held >= held:
			return g.relays.packReply(req, reply)
		}
		select {
		case <-wake:
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// refuseRead answers that this host knows a topic no better than as of the age in the reply.
func (g *Gateway) refuseRead(req readRequest, reply readReply) (any, error) {
	if !req.Redirects {
		return nil, errors.Wrapf(errNotRelay, "topic %s as of %v ago", req.Topic, reply.Age)
	}
	upstream := g.relayOf(time.Now(), req.Topic)
	return readReply{Stale: true, CutOff: reply.CutOff || g.isCutOff(), Era: reply.Era, Age: reply.Age, Held: reply.Held, Upstream: peerHost{upstream.Host, upstream.Peer}}, nil
}

// awaitTopic returns a channel that is closed when a topic is cached that was not, and makes this host a relay
// for a while.
func (s *relayState) awaitTopic(now time.Time) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.askedAt = now
	return s.added
}

// records returns the records of a reply.
func (r readReply) records() ([]port.TopicRecord, error) {
	if len(r.Packed) == 0 {
		return r.Records, nil
	}
	raw, err := unpack(r.Packed)
	if err != nil {
		return nil, err
	}
	var records []port.TopicRecord
	return records, errors.Wrap(json.Unmarshal(raw, &records), "decode records")
}

// readsForOthers reports whether this process is a relay that itself reads through the relay of the region.
func (s *relayState) readsForOthers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relays(time.Now()) && s.upstream.Host != ""
}

// isRelaying reports whether this process is the relay of its zone or region, or was asked as one.
func (s *relayState) isRelaying() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relays(time.Now())
}

// relays is isRelaying. The caller holds the lock.
func (s *relayState) relays(now time.Time) bool {
	return s.relaying || now.Sub(s.askedAt) < askedTTL
}

// noteStoreAnswer records that the store has answered at a time, this host or a relay.
func (g *Gateway) noteStoreAnswer(at time.Time) {
	for last := g.lastStoreAnswer.Load(); last < at.UnixNano(); last = g.lastStoreAnswer.Load() {
		if g.lastStoreAnswer.CompareAndSwap(last, at.UnixNano()) {
			return
		}
	}
}

// serveReport receives the reports of hosts. A relay whose reports go to the relay of the region forwards
// them soon, so that they are not delayed by another report interval.
func (g *Gateway) serveReport(_ context.Context, params json.RawMessage) (any, error) {
	now := time.Now()
	if !g.canRelay(now) {
		return nil, errNotRelay
	}
	var raws []json.RawMessage
	if err := json.Unmarshal(params, &raws); err != nil {
		return nil, errors.Wrap(err, "decode reports")
	}
	for _, raw := range raws {
		r, err := g.decodeReport(raw)
		if err != nil {
			return nil, err
		}
		g.relays.receive(now, r.Key(), raw)
	}
	if g.currentRelay(now).Host != "" && g.leader.fencingToken(now) == 0 && g.relays.startForwarding() {
		time.AfterFunc(forwardDelay, g.forwardReports)
	}
	return struct{}{}, nil
}

func (s *relayState) receive(now time.Time, key string, raw json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[key] = receivedReport{raw: raw, receivedAt: now, forwarded: s.reports[key].forwarded}
}

// startForwarding reports whether no forwarding is pending, and marks one as pending.
func (s *relayState) startForwarding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.forwarding {
		return false
	}
	s.forwarding = true
	return true
}

// forwardReports sends the reports that have come since the last time to the relay of the region. If that
// fails, this host's next report takes them to the store.
func (g *Gateway) forwardReports() {
	raws := g.relays.reportsToSendUp()
	if len(raws) > 0 && g.tomb.Alive() {
		g.tellRelay(raws)
	}
}

// reportsToSendUp returns the reports that were not sent to the relay of the region yet.
func (s *relayState) reportsToSendUp() []json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forwarding = false
	var out []json.RawMessage
	for key, r := range s.reports {
		if !r.sentUp {
			r.sentUp = true
			s.reports[key] = r
			out = append(out, r.raw)
		}
	}
	return out
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
