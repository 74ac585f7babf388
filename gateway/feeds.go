package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
)

const (
	// configPollTimeout is how long a read waits for a new configuration. Until it is answered nothing
	// is known of the configuration, see maxTopicAge.
	configPollTimeout = 700 * time.Millisecond
	// minConfigInterval is the least time between two reads of the configuration: there may be many
	// versions a second, and each read is billed.
	minConfigInterval = 300 * time.Millisecond
	// maxTransferTime bounds the time in which the reply to a read arrives. It is long, because a read
	// that is abandoned has to be repeated from its beginning: a configuration of a megabyte takes
	// seconds when all hosts of a region read it through one link.
	maxTransferTime = 6 * time.Second
	// minEndpointsInterval is the least time between two reads of the registry: every read is
	// billed, and a draining endpoint accepts work for 3 s.
	minEndpointsInterval = 600 * time.Millisecond
	// minRelayInterval is the least time between two reads of a relay. The relay itself reads the store at
	// the intervals above; a host that waited as long again would know everything later.
	minRelayInterval = 50 * time.Millisecond
	// maxRelayJitter spreads the hosts that ask relays again after all of them have refused.
	maxRelayJitter = 150 * time.Millisecond
	// endpointsPollTimeout is how long a read of the registry waits for a change. With
	// minEndpointsInterval, it bounds the age of what a relay knows: below maxTopicAge by the time of a
	// call.
	endpointsPollTimeout = 300 * time.Millisecond
	reportInterval       = time.Second
	// minBackoff and maxBackoff bound the delay after failed calls. Refused calls are billed too.
	// The feed of the hosts has no such delay and polls every reportInterval; the first feed to get
	// an answer again ends the delays of the others.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxRelayDiscovery is the longest time that a starting process waits for the reports of hosts, which name the
	// relay, before it reads the other topics from the store.
	maxRelayDiscovery = 500 * time.Millisecond
	// storeSilence is how long a read of the store may be unanswered, beyond the time that it waits for records, before
	// hosts that wait for it ask another relay.
	storeSilence = 300 * time.Millisecond
	// minOutage is the time without an answer that counts as an outage.
	minOutage = 1200 * time.Millisecond
)

// follower reads one topic: first a snapshot, which is the newest record of each key, then the
// records appended after it.
type follower struct {
	g           *Gateway
	topic       port.Topic
	pollTimeout time.Duration
	minInterval time.Duration
	// onSnapshot receives the snapshot, onRecords the records after it. restored is set for the
	// first snapshot of a new era, which may be older than what was read before.
	onSnapshot func(read feedRead, records []port.TopicRecord, restored bool)
	onRecords  func(read feedRead, records []port.TopicRecord)
	// onAnswer is called after each answer with the length of the outage that it ended, if any.
	onAnswer func(now time.Time, outage time.Duration)

	// lateAge is the age from which the topic is logged as late.
	lateAge time.Duration

	// era and offset are where to continue; valid if hasSnapshot is set.
	era         port.Era
	offset      int64
	hasSnapshot bool
	everRead    bool // a snapshot was read in this or an earlier era
	lostAt      time.Time
	answeredAt  time.Time
	// source is that of the last answer; reads is the relay's count in it.
	source string
	reads  int64
	// asOf is a time at which the store held nothing after offset, the latest known to this host.
	// late is set from the time that this is older than lateAge until it is not any more.
	asOf time.Time
	late bool
}

// feedRead describes a read of a topic that was answered.
type feedRead struct {
	// source is the relay that answered, storeSource for the store.
	source string
	// began and at are the start of the read and the time of its answer.
	began, at time.Time
	// asOf is a time at which the store held nothing after the records read.
	asOf time.Time
	// reads is the relay's count of its own reads of the topic.
	reads int64
}

// storeSource is the source of reads that the store itself answered.
const storeSource = "store"

const (
	// lateFeedAge is half the time within which a configuration must be in force and drains be known.
	lateFeedAge = 1500 * time.Millisecond
	// lateHostsAge allows one missed read more than a report takes on its way, see hostTTL.
	lateHostsAge = 3 * time.Second
)

func (f *follower) run() error {
	select {
	case <-f.g.hostsRead:
	case <-time.After(maxRelayDiscovery):
	case <-f.g.tomb.Dying():
		return nil
	}
	backoff := minBackoff
	for f.g.tomb.Alive() {
		began := time.Now()
		err := f.poll()
		if err == nil {
			backoff = minBackoff
			interval := f.minInterval
			if f.source != storeSource {
				interval = minRelayInterval
			}
			f.sleep(interval - time.Since(began))
			continue
		}
		if errors.Is(err, port.ErrStoreExpired) {
			f.hasSnapshot = false
			f.g.log.Warn().Str("event", "feed_expired").Str("topic", string(f.topic)).Int64("from", f.offset).Msg("")
			continue
		}
		if errors.Is(err, errRelayUnready) {
			f.sleep(minRelayInterval + rand.N(maxRelayJitter))
			continue
		}
		f.sleepBackoff(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// sleepBackoff waits after a failed call, at most until another feed gets an answer.
func (f *follower) sleepBackoff(d time.Duration) {
	select {
	case <-f.g.tomb.Dying():
	case <-time.After(d):
	case <-f.g.storeRecovered.wait():
	}
}

func (f *follower) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-f.g.tomb.Dying():
	case <-time.After(d):
	}
}

func (f *follower) poll() error {
	began := time.Now()
	f.startEra()
	page, read, err, fromRelay := f.pollRelay()
	if !fromRelay {
		storeBegan := time.Now()
		ctx, cancel := context.WithTimeout(f.g.context(), f.pollTimeout+maxTransferTime)
		defer cancel()
		wait := f.pollTimeout
		if storeBegan.Sub(f.asOf) > maxTopicAge {
			wait = 0 // other hosts may be waiting for this read
		}
		silence := time.AfterFunc(wait+storeSilence, func() { f.g.relays.readFailed(f.topic) })
		if f.hasSnapshot {
			page, err = f.g.ports.Store.Read(ctx, f.topic, f.offset, wait)
		} else {
			page, err = f.g.ports.Store.Newest(ctx, f.topic)
		}
		silence.Stop()
		if err != nil && !errors.Is(err, port.ErrStoreExpired) {
			f.g.relays.readFailed(f.topic)
		}
		f.g.observeStore("read", began, time.Now(), err)
		read = feedRead{source: storeSource, began: storeBegan, at: time.Now(), asOf: storeBegan}
		if f.hasSnapshot && len(page.Records) == 0 && read.at.Sub(storeBegan) >= wait {
			read.asOf = storeBegan.Add(wait) // the store has waited that long before it answered
		}
	}
	now := time.Now()
	f.g.observeFeed(f.topic, read, now.Sub(began), err)
	if errors.Is(err, errRelayUnready) {
		f.logAge(now, read.source)
		return err
	}
	if err != nil {
		f.recordStoreFailure(now, err)
		f.logAge(now, read.source)
		return err
	}
	if f.hasSnapshot && page.Era != f.era {
		// The store has changed its era since the position was read; the page is that of another
		// history.
		return port.ErrStoreExpired
	}
	f.g.relays.cachePage(f.topic, !f.hasSnapshot, page, read.asOf)
	outage := f.recordAnswer(began, now)
	f.onAnswer(now, outage)
	if f.hasSnapshot {
		f.onRecords(read, page.Records)
	} else {
		f.onSnapshot(read, page.Records, f.everRead && page.Era != f.era)
	}
	if f.era != page.Era || read.asOf.After(f.asOf) {
		f.asOf = read.asOf
	}
	f.hasSnapshot, f.everRead, f.era, f.offset = true, true, page.Era, page.End
	f.source, f.reads = read.source, read.reads
	f.g.feedAsOf(f.topic).Store(f.asOf.UnixNano())
	if f.topic == port.TopicEndpoints {
		f.g.notePosition(now, page.Era, page.End)
		f.g.checks.lost.Store(false)
	}
	if f.topic == port.TopicConfiguration {
		f.g.checks.configuration.Store(&registryPosition{era: page.Era, offset: page.End})
	}
	f.logAge(now, read.source)
	return nil
}

// logAge logs when this host begins and ceases to be late with the topic.
func (f *follower) logAge(now time.Time, source string) {
	age := now.Sub(f.asOf)
	if f.asOf.IsZero() || f.late == (age > f.lateAge) {
		return
	}
	f.late = !f.late
	if f.late {
		f.g.metrics.stateChanges.WithLabelValues("feed_late").Inc()
		f.g.log.Warn().Str("event", "feed_late").Str("topic", string(f.topic)).Str("source", source).Dur("age", age).Msg("")
		return
	}
	f.g.log.Info().Str("event", "feed_in_time").Str("topic", string(f.topic)).Str("source", source).Dur("age", age).Msg("")
}

// pollAnew polls, and once more for a snapshot if the position has expired.
func (f *follower) pollAnew() error {
	err := f.poll()
	if errors.Is(err, port.ErrStoreExpired) {
		f.hasSnapshot = false
		err = f.poll()
	}
	return err
}

// pollRelay reads from the relay; ok is false when there is none or it failed.
func (f *follower) pollRelay() (page port.TopicPage, read feedRead, err error, ok bool) {
	from := f.offset
	if !f.hasSnapshot {
		from = -1
	}
	return f.g.readFromRelay(readRequest{Topic: f.topic, Era: f.era, From: from, Wait: f.pollTimeout, Reads: f.reads}, f.asOf, !f.lostAt.IsZero())
}

// recordStoreFailure records that a call to the store failed. Only the first failure since the last
// answer is logged.
func (f *follower) recordStoreFailure(now time.Time, err error) {
	if f.topic == port.TopicEndpoints {
		f.g.checks.lost.Store(true)
	}
	if f.lostAt.IsZero() && f.g.tomb.Alive() {
		f.lostAt = now
		f.g.log.Warn().Str("event", "dependency_lost").Str("dependency", "store/"+string(f.topic)).Err(err).Msg("")
	}
}

// recordAnswer records an answer. It returns the length of the outage that the answer ended, or zero
// if there was none.
func (f *follower) recordAnswer(began, now time.Time) time.Duration {
	unanswered := now.Sub(f.answeredAt)
	first := f.answeredAt.IsZero()
	f.answeredAt = now
	if f.lostAt.IsZero() {
		return 0
	}
	f.g.storeRecovered.signal()
	f.g.log.Info().Str("event", "dependency_regained").Str("dependency", "store/"+string(f.topic)).
		Dur("after", now.Sub(f.lostAt)).Msg("")
	f.lostAt = time.Time{}
	if first || unanswered < minOutage {
		return 0
	}
	return unanswered
}

// recoverySignal wakes the goroutines that wait for the store to answer again.
type recoverySignal struct {
	mu sync.Mutex
	ch chan struct{}
}

func (s *recoverySignal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

func (s *recoverySignal) signal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}

// observeFeed records the source, duration and result of a read of a topic.
func (g *Gateway) observeFeed(topic port.Topic, read feedRead, took time.Duration, err error) {
	source, result := storeSource, "ok"
	if read.source != storeSource {
		source = "relay"
	}
	if err != nil {
		result = "failed"
	}
	g.metrics.feedReads.WithLabelValues(string(topic), source, result).Observe(took.Seconds())
}

// feedAsOf returns the time as of which this host knows a topic, in Unix nanoseconds; zero before the
// first read.
func (g *Gateway) feedAsOf(topic port.Topic) *atomic.Int64 {
	at, _ := g.feeds.LoadOrStore(topic, &atomic.Int64{})
	return at.(*atomic.Int64)
}

// observeStore records the result and duration of a call to the store.
func (g *Gateway) observeStore(call string, began, now time.Time, err error) {
	result := "ok"
	switch {
	case err == nil:
		g.noteStoreAnswer(now)
	case errors.Is(err, port.ErrStoreRefused):
		result = "refused"
		g.lastStoreRefusal.Store(now.UnixNano())
	case errors.Is(err, port.ErrStoreConflict):
		result = "conflict"
	case errors.Is(err, port.ErrStoreExpired):
		result = "expired"
	default:
		result = "unavailable"
	}
	g.metrics.storeCalls.WithLabelValues(call, result).Observe(now.Sub(began).Seconds())
}

func (g *Gateway) followEndpoints() error {
	f := &follower{
		g: g, topic: port.TopicEndpoints, pollTimeout: endpointsPollTimeout, minInterval: minEndpointsInterval, lateAge: lateFeedAge,
		onSnapshot: func(read feedRead, records []port.TopicRecord, restored bool) {
			now := read.at
			var listed []fleet.Endpoint
			for _, r := range records {
				if e, ok := g.decodeEndpoint(r); ok {
					listed = append(listed, e)
				}
			}
			if restored {
				g.handleEndpointChanges(read, g.fleet.Restore(now, listed)...)
			} else {
				g.handleEndpointChanges(read, g.fleet.Replace(now, listed)...)
			}
			if !g.hasEndpoints.Load() && g.lineage.hostsRead.Load() {
				// The reports named endpoints that were not listed yet.
				g.receiveLimits(now, g.presence.Live())
				g.receiveRejections(now)
			}
			g.hasEndpoints.Store(true)
		},
		onRecords: func(read feedRead, records []port.TopicRecord) {
			for _, r := range records {
				if r.Removed() {
					g.handleEndpointChanges(read, g.fleet.Remove(read.at, r.Key))
				} else if e, ok := g.decodeEndpoint(r); ok {
					g.handleEndpointChanges(read, g.fleet.Upsert(read.at, e))
				}
			}
		},
		onAnswer: func(now time.Time, outage time.Duration) {
			if outage > 0 {
				g.fleet.RegistryReturned(now)
			}
			g.handleEndpointChanges(feedRead{at: now}, g.fleet.Expire(now)...)
		},
	}
	return f.run()
}

func (g *Gateway) decodeEndpoint(r port.TopicRecord) (fleet.Endpoint, bool) {
	e, err := g.ports.DecodeEndpoint(r.Key, r.Value)
	if err != nil {
		g.log.Warn().Str("event", "endpoint_unreadable").Str("endpoint", r.Key).Int64("offset", r.Offset).Err(err).Msg("registry entry is not a valid endpoint")
		return fleet.Endpoint{}, false
	}
	return e, true
}

// handleEndpointChanges logs the changes and moves the streams of endpoints that leave. read is the read
// that told the changes; it has no source if none did.
func (g *Gateway) handleEndpointChanges(read feedRead, changes ...fleet.Change) {
	for _, c := range changes {
		if !c.Changed() {
			continue
		}
		change := "added"
		switch {
		case c.Removed:
			change = "removed"
		case c.Deferred:
			change = "lapsed"
		case c.Drained:
			change = "draining"
		}
		g.metrics.stateChanges.WithLabelValues("endpoint_" + change).Inc()
		e := g.log.Info().Str("event", "endpoint").Str("change", change).Str("endpoint", c.Endpoint.ID).
			Str("service", c.Endpoint.Service).Str("zone", c.Endpoint.Zone).Str("address", c.Endpoint.Address).Bool("spot", c.Endpoint.Spot)
		if c.Endpoint.Leaving {
			e.Dur("leaves_in", c.Endpoint.Leaves)
		}
		if read.source != "" {
			e.Str("source", read.source).Dur("read", read.at.Sub(read.began))
		}
		e.Msg("")
		if c.Added || c.Removed {
			g.speeds.Remove(c.Endpoint.Service, c.Endpoint.ID)
		}
		if c.Added {
			g.tellHolders(time.Now(), c.Endpoint.Service)
		}
		if c.Removed {
			g.placement.Remove(c.Endpoint.ID)
			g.placer.table.Remove(c.Endpoint.ID)
			g.ports.IdleConnections.CloseIdle(c.Endpoint.Address)
		}
		if c.Drained || c.Removed {
			v := fleet.View{Endpoint: c.Endpoint, ListedAt: read.at}
			if listed, ok := g.fleet.Get(c.Endpoint.ID); ok {
				v = listed
			}
			g.tomb.Go(func() error { g.evacuate(v); return nil })
		}
	}
}
