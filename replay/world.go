package replay

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadanotch/cicadanotch/port"
)

const (
	// tokenEventBytes is the size of one streamed token on the network.
	tokenEventBytes = 160
	// listLag is the delay of the platform's host list and prices.
	listLag = time.Second
	// noticeLag is the delay of a notice.
	noticeLag = 200 * time.Millisecond
	// streamIdleTimeout is how long a stream may stall before it counts as broken.
	streamIdleTimeout = 2 * time.Second
	// connectTimeout is the time until connecting to an unreachable host fails.
	connectTimeout = time.Second
	// settleTime is how long a replay runs on after the last request's timeout.
	settleTime = time.Second
)

// simulation holds everything outside the routing code: the engines, the network between engines and
// entry hosts, and the events of the trace.
type simulation struct {
	trace   *Trace
	clock   clock
	rng     *rand.Rand
	engines []*engine
	entries []*entry
	calls   []*call
	ledger  ledger
	feed    FeedSpec
	digest  *xxhash.Digest

	linkFreeAt       map[[2]string]time.Duration
	linkBytes        int64
	partitionedUntil map[[2]string]time.Duration
	breakAfter       map[string]int
	deaths           int
}

func newSimulation(t *Trace, p policy, seed uint64) *simulation {
	s := &simulation{
		trace: t, rng: rand.New(rand.NewPCG(seed, 1)), feed: t.Header.Feed, digest: xxhash.New(),
		ledger:     ledger{seen: map[uint64]bool{}},
		linkFreeAt: map[[2]string]time.Duration{}, partitionedUntil: map[[2]string]time.Duration{}, breakAfter: map[string]int{},
	}
	for _, z := range t.Header.Zones {
		for i := range z.Engines {
			s.addEngine(engineName(z.Zone, i), z)
		}
		for i := range z.Entries {
			host := port.Host{ID: entryName(z.Zone, i), Role: port.RoleEntry, Region: z.Region, Zone: z.Zone}
			s.entries = append(s.entries, newEntry(s, host, p, seed))
		}
	}
	for _, e := range s.entries {
		e.updateHosts(s.liveHosts())
	}
	return s
}

func (s *simulation) addEngine(id string, z ZoneSpec) {
	e := newEngine(s, port.Host{
		ID: id, Role: port.RoleEndpoint, Region: z.Region, Zone: z.Zone,
		Service: s.trace.Header.Service, PricePerHour: z.Price, State: port.HostLive,
	})
	e.start()
	s.engines = append(s.engines, e)
	s.clock.after(s.stagger(), func() { s.sendReports(e, e.generation) })
}

// stagger returns a random offset that spreads the engines' reports over the interval.
func (s *simulation) stagger() time.Duration {
	return time.Duration(s.rng.Float64() * float64(fromMilliseconds(s.feed.IntervalMS)))
}

// sendReports sends an engine's load report and cache events to all entry hosts, and schedules the
// next reports.
func (s *simulation) sendReports(e *engine, generation int) {
	if !e.alive || e.generation != generation {
		return
	}
	report, events := e.loadReport(), e.cache.takeEvents()
	for _, en := range s.entries {
		received := s.dropEvents(events)
		s.clock.after(fromMilliseconds(s.feed.LagMS), func() {
			s.send(e.host, en.host, 0, func() { en.receiveReport(e.host, report, received) })
		})
	}
	s.clock.after(fromMilliseconds(s.feed.IntervalMS), func() { s.sendReports(e, generation) })
}

// dropEvents returns the events that remain after the feed's random loss.
func (s *simulation) dropEvents(events []port.CacheEvent) []port.CacheEvent {
	var remaining []port.CacheEvent
	for _, e := range events {
		if s.rng.Float64() >= s.feed.EventLoss {
			remaining = append(remaining, e)
		}
	}
	return remaining
}

// liveHosts returns the platform's list of endpoints.
func (s *simulation) liveHosts() []port.Host {
	var out []port.Host
	for _, e := range s.engines {
		if e.alive {
			out = append(out, e.host)
		}
	}
	return out
}

// publishHosts sends the list of endpoints to the entry hosts after listLag.
func (s *simulation) publishHosts() {
	s.clock.after(listLag, func() {
		for _, e := range s.entries {
			e.updateHosts(s.liveHosts())
		}
	})
}

// isPartitioned reports whether two hosts cannot reach each other now.
func (s *simulation) isPartitioned(a, b port.Host) bool {
	return a.Region != b.Region && s.clock.now < s.partitionedUntil[regionPair(a.Region, b.Region)]
}

// regionPair returns the key of two regions in either order.
func regionPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// send delivers a message to another host after the network delay. A message between partitioned
// regions is lost.
func (s *simulation) send(from, to port.Host, bytes int, deliver func()) {
	if s.isPartitioned(from, to) {
		return
	}
	s.clock.after(s.delay(from, to, bytes), deliver)
}

func (s *simulation) delay(from, to port.Host, bytes int) time.Duration {
	h := &s.trace.Header
	switch {
	case from.Region != to.Region:
		return fromMilliseconds(h.RegionDelayMS) + s.reserveLink(from.Region, to.Region, bytes)
	case from.Zone != to.Zone:
		return fromMilliseconds(h.ZoneDelayMS)
	}
	return 0
}

// reserveLink queues bytes on the link between two regions and returns how long they take to cross
// it.
func (s *simulation) reserveLink(from, to string, bytes int) time.Duration {
	key := [2]string{from, to}
	free := max(s.linkFreeAt[key], s.clock.now)
	free += time.Duration(float64(bytes) / s.trace.Header.LinkBytesPerSecond * float64(time.Second))
	s.linkFreeAt[key] = free
	s.linkBytes += int64(bytes)
	return free - s.clock.now
}

// crash ends an engine that a request has crashed and counts the death.
func (s *simulation) crash(e *engine) {
	s.deaths++
	e.crash()
	s.publishHosts()
}

// apply applies one event of the trace.
func (s *simulation) apply(e *Event) {
	switch e.Type {
	case TypeArrival:
		s.arrive(e)
	case TypeReport:
		s.applyReport(e)
	case TypeCache:
		s.applyCacheEvents(e)
	case TypeNotice:
		s.sendNotice(e)
	case TypeDeath:
		s.forEachEngine(e, func(en *engine) { en.crash() })
		s.publishHosts()
	case TypeStart:
		s.startEngines(e)
	case TypeAnswer:
		s.breakAfter[e.ID] = e.AfterTokens
	case TypePartition:
		s.partition(e)
	case TypePrice:
		s.forEachEngine(e, func(en *engine) { en.host.PricePerHour = e.Price })
		s.publishHosts()
	case TypeFeed:
		s.feed = *e.Feed
	}
}

func (s *simulation) arrive(e *Event) {
	for _, en := range s.entries {
		if en.host.ID == e.Entry {
			c := newCall(s, e)
			s.calls = append(s.calls, c)
			en.arrive(c)
		}
	}
}

// forEachEngine calls run for each engine that an event names, by endpoint or by availability zone.
func (s *simulation) forEachEngine(e *Event, run func(*engine)) {
	for _, en := range s.engines {
		if en.host.ID == e.Endpoint || (e.Endpoint == "" && en.host.Zone == e.Zone) {
			run(en)
		}
	}
}

func (s *simulation) startEngines(e *Event) {
	found := false
	s.forEachEngine(e, func(en *engine) {
		found = true
		if !en.alive {
			en.start()
			generation := en.generation
			s.clock.after(s.stagger(), func() { s.sendReports(en, generation) })
		}
	})
	if !found {
		s.addNamedEngine(e)
	}
	s.publishHosts()
}

// addNamedEngine starts an engine that is not in the header. Its name begins with its availability
// zone.
func (s *simulation) addNamedEngine(e *Event) {
	for _, z := range s.trace.Header.Zones {
		if strings.HasPrefix(e.Endpoint, z.Zone+"-") {
			s.addEngine(e.Endpoint, z)
			return
		}
	}
}

func (s *simulation) applyReport(e *Event) {
	load := *e.Load
	load.At = s.clock.time()
	s.forEachEngine(e, func(en *engine) {
		load.Incarnation = en.loadReport().Incarnation
		load.Models = []string{s.trace.Header.Model}
		for _, entry := range s.entries {
			entry.receiveReport(en.host, load, nil)
		}
	})
}

func (s *simulation) applyCacheEvents(e *Event) {
	s.forEachEngine(e, func(en *engine) {
		for _, entry := range s.entries {
			entry.chooser.Events(en.host, e.Events, s.clock.time())
		}
	})
}

func (s *simulation) sendNotice(e *Event) {
	deadline := epoch.Add(fromMilliseconds(e.DeadlineMS))
	s.forEachEngine(e, func(en *engine) {
		s.clock.after(noticeLag, func() {
			for _, entry := range s.entries {
				entry.receiveNotice(en.host, e.Kind, deadline)
			}
		})
	})
}

// partition separates two regions. Streams between them stall and break after streamIdleTimeout.
func (s *simulation) partition(e *Event) {
	s.partitionedUntil[regionPair(e.Regions[0], e.Regions[1])] = s.clock.now + fromMilliseconds(e.DurationMS)
	for _, c := range s.calls {
		a := c.current
		if a == nil || !s.isPartitioned(a.entry.host, a.engine.host) {
			continue
		}
		s.clock.after(streamIdleTimeout, func() {
			a.engine.cancel(a)
			a.entry.streamBroken(a)
		})
	}
}

// addToDigest adds a dispatch or the end of a request to the digest.
func (s *simulation) addToDigest(parts ...string) {
	var at [8]byte
	binary.LittleEndian.PutUint64(at[:], uint64(s.clock.now))
	_, _ = s.digest.Write(at[:]) // never fails, see xxhash
	for _, part := range parts {
		_, _ = s.digest.WriteString(part + "\x00") // never fails
	}
}

func (s *simulation) busyCost() (cost float64) {
	for _, e := range s.engines {
		cost += e.cost
	}
	return cost
}

func compareHostIDs(a, b port.Host) int { return strings.Compare(a.ID, b.ID) }

func sortedHosts(hosts []port.Host) []port.Host {
	out := slices.Clone(hosts)
	slices.SortFunc(out, compareHostIDs)
	return out
}
