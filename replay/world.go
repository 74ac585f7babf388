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

// world simulates everything outside the routing code: the engines, the network between engines and
// entry hosts, and the events of the trace.
type world struct {
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

func newWorld(t *Trace, p policy, seed uint64) *world {
	w := &world{
		trace: t, rng: rand.New(rand.NewPCG(seed, 1)), feed: t.Header.Feed, digest: xxhash.New(),
		ledger:     ledger{seen: map[uint64]bool{}},
		linkFreeAt: map[[2]string]time.Duration{}, partitionedUntil: map[[2]string]time.Duration{}, breakAfter: map[string]int{},
	}
	for _, z := range t.Header.Zones {
		for i := range z.Engines {
			w.addEngine(engineName(z.Zone, i), z)
		}
		for i := range z.Entries {
			host := port.Host{ID: entryName(z.Zone, i), Role: port.RoleEntry, Region: z.Region, Zone: z.Zone}
			w.entries = append(w.entries, newEntry(w, host, p, seed))
		}
	}
	for _, e := range w.entries {
		e.updateHosts(w.liveHosts())
	}
	return w
}

func (w *world) addEngine(id string, z ZoneSpec) {
	e := newEngine(w, port.Host{
		ID: id, Role: port.RoleEndpoint, Region: z.Region, Zone: z.Zone,
		Service: w.trace.Header.Service, PricePerHour: z.Price, State: port.HostLive,
	})
	e.start()
	w.engines = append(w.engines, e)
	w.clock.after(w.stagger(), func() { w.sendReports(e, e.generation) })
}

// stagger returns a random offset that spreads the engines' reports over the interval.
func (w *world) stagger() time.Duration {
	return time.Duration(w.rng.Float64() * float64(milliseconds(w.feed.IntervalMS)))
}

// sendReports sends an engine's load report and cache events to all entry hosts, and schedules the
// next reports.
func (w *world) sendReports(e *engine, generation int) {
	if !e.alive || e.generation != generation {
		return
	}
	report, events := e.loadReport(), e.cache.takeEvents()
	for _, en := range w.entries {
		received := w.dropEvents(events)
		w.clock.after(milliseconds(w.feed.LagMS), func() {
			w.send(e.host, en.host, 0, func() { en.receiveReport(e.host, report, received) })
		})
	}
	w.clock.after(milliseconds(w.feed.IntervalMS), func() { w.sendReports(e, generation) })
}

// dropEvents returns the events that remain after the feed's random loss.
func (w *world) dropEvents(events []port.CacheEvent) []port.CacheEvent {
	var kept []port.CacheEvent
	for _, e := range events {
		if w.rng.Float64() >= w.feed.EventLoss {
			kept = append(kept, e)
		}
	}
	return kept
}

// liveHosts returns the platform's list of endpoints.
func (w *world) liveHosts() []port.Host {
	var out []port.Host
	for _, e := range w.engines {
		if e.alive {
			out = append(out, e.host)
		}
	}
	return out
}

// publishHosts sends the list of endpoints to the entry hosts after listLag.
func (w *world) publishHosts() {
	w.clock.after(listLag, func() {
		for _, e := range w.entries {
			e.updateHosts(w.liveHosts())
		}
	})
}

// isPartitioned reports whether two hosts cannot reach each other now.
func (w *world) isPartitioned(a, b port.Host) bool {
	return a.Region != b.Region && w.clock.now < w.partitionedUntil[regionPair(a.Region, b.Region)]
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
func (w *world) send(from, to port.Host, bytes int, deliver func()) {
	if w.isPartitioned(from, to) {
		return
	}
	w.clock.after(w.delay(from, to, bytes), deliver)
}

func (w *world) delay(from, to port.Host, bytes int) time.Duration {
	h := &w.trace.Header
	switch {
	case from.Region != to.Region:
		return milliseconds(h.RegionDelayMS) + w.reserveLink(from.Region, to.Region, bytes)
	case from.Zone != to.Zone:
		return milliseconds(h.ZoneDelayMS)
	}
	return 0
}

// reserveLink queues bytes on the link between two regions and returns how long they take to cross
// it.
func (w *world) reserveLink(from, to string, bytes int) time.Duration {
	key := [2]string{from, to}
	free := max(w.linkFreeAt[key], w.clock.now)
	free += time.Duration(float64(bytes) / w.trace.Header.LinkBytesPerSecond * float64(time.Second))
	w.linkFreeAt[key] = free
	w.linkBytes += int64(bytes)
	return free - w.clock.now
}

// crash ends an engine that a request has crashed and counts the death.
func (w *world) crash(e *engine) {
	w.deaths++
	e.crash()
	w.publishHosts()
}

// apply applies one event of the trace.
func (w *world) apply(e *Event) {
	switch e.Type {
	case TypeArrival:
		w.arrive(e)
	case TypeReport:
		w.applyReport(e)
	case TypeCache:
		w.applyCacheEvents(e)
	case TypeNotice:
		w.sendNotice(e)
	case TypeDeath:
		w.forEachEngine(e, func(en *engine) { en.crash() })
		w.publishHosts()
	case TypeStart:
		w.startEngines(e)
	case TypeAnswer:
		w.breakAfter[e.ID] = e.AfterTokens
	case TypePartition:
		w.partition(e)
	case TypePrice:
		w.forEachEngine(e, func(en *engine) { en.host.PricePerHour = e.Price })
		w.publishHosts()
	case TypeFeed:
		w.feed = *e.Feed
	}
}

func (w *world) arrive(e *Event) {
	for _, en := range w.entries {
		if en.host.ID == e.Entry {
			c := newCall(w, e)
			w.calls = append(w.calls, c)
			en.arrive(c)
		}
	}
}

// forEachEngine calls run for each engine that an event names, by endpoint or by availability zone.
func (w *world) forEachEngine(e *Event, run func(*engine)) {
	for _, en := range w.engines {
		if en.host.ID == e.Endpoint || (e.Endpoint == "" && en.host.Zone == e.Zone) {
			run(en)
		}
	}
}

func (w *world) startEngines(e *Event) {
	found := false
	w.forEachEngine(e, func(en *engine) {
		found = true
		if !en.alive {
			en.start()
			generation := en.generation
			w.clock.after(w.stagger(), func() { w.sendReports(en, generation) })
		}
	})
	if !found {
		w.addNamedEngine(e)
	}
	w.publishHosts()
}

// addNamedEngine starts an engine that is not in the header. Its name begins with its availability
// zone.
func (w *world) addNamedEngine(e *Event) {
	for _, z := range w.trace.Header.Zones {
		if strings.HasPrefix(e.Endpoint, z.Zone+"-") {
			w.addEngine(e.Endpoint, z)
			return
		}
	}
}

func (w *world) applyReport(e *Event) {
	load := *e.Load
	load.At = w.clock.time()
	w.forEachEngine(e, func(en *engine) {
		load.Incarnation = en.loadReport().Incarnation
		load.Models = []string{w.trace.Header.Model}
		for _, entry := range w.entries {
			entry.receiveReport(en.host, load, nil)
		}
	})
}

func (w *world) applyCacheEvents(e *Event) {
	w.forEachEngine(e, func(en *engine) {
		for _, entry := range w.entries {
			entry.chooser.Events(en.host, e.Events, w.clock.time())
		}
	})
}

func (w *world) sendNotice(e *Event) {
	deadline := epoch.Add(milliseconds(e.DeadlineMS))
	w.forEachEngine(e, func(en *engine) {
		w.clock.after(noticeLag, func() {
			for _, entry := range w.entries {
				entry.receiveNotice(en.host, e.Kind, deadline)
			}
		})
	})
}

// partition separates two regions. Streams between them stall and break after streamIdleTimeout.
func (w *world) partition(e *Event) {
	w.partitionedUntil[regionPair(e.Regions[0], e.Regions[1])] = w.clock.now + milliseconds(e.DurationMS)
	for _, c := range w.calls {
		a := c.current
		if a == nil || !w.isPartitioned(a.entry.host, a.engine.host) {
			continue
		}
		w.clock.after(streamIdleTimeout, func() {
			a.engine.cancel(a)
			a.entry.streamBroken(a)
		})
	}
}

// addToDigest adds a dispatch or the end of a request to the digest.
func (w *world) addToDigest(words ...string) {
	var at [8]byte
	binary.LittleEndian.PutUint64(at[:], uint64(w.clock.now))
	_, _ = w.digest.Write(at[:]) // never fails, see xxhash
	for _, word := range words {
		_, _ = w.digest.WriteString(word + "\x00") // never fails
	}
}

func (w *world) busyCost() (cost float64) {
	for _, e := range w.engines {
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
