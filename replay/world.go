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
	// eventBytes is what one token of an answer puts on the wire.
	eventBytes = 160
	// listLag is how late the platform's list and prices are.
	listLag = time.Second
	// noticeLag is how late a notice is.
	noticeLag = 200 * time.Millisecond
	// silenceLimit is how long a stream may be silent.
	silenceLimit = 2 * time.Second
	// unreachableAfter is when a connection that cannot be opened fails.
	unreachableAfter = time.Second
	// settle is how long a replay goes on after the last request's timeout.
	settle = time.Second
)

// world is everything outside the decision code: engines, the network between
// them and entry hosts, and what the trace says happens.
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

	linkFree  map[[2]string]time.Duration
	linkBytes int64
	parted    map[[2]string]time.Duration
	answers   map[string]int
	deaths    int
}

func newWorld(t *Trace, p policy, seed uint64) *world {
	w := &world{
		trace: t, rng: rand.New(rand.NewPCG(seed, 1)), feed: t.Header.Feed, digest: xxhash.New(),
		ledger:   ledger{seen: map[uint64]bool{}},
		linkFree: map[[2]string]time.Duration{}, parted: map[[2]string]time.Duration{}, answers: map[string]int{},
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
		e.update(w.list())
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
	w.clock.after(w.stagger(), func() { w.tick(e, e.life) })
}

// stagger spreads the engines' reports over the interval.
func (w *world) stagger() time.Duration {
	return time.Duration(w.rng.Float64() * float64(milliseconds(w.feed.EveryMS)))
}

// tick sends an engine's load report and cache events to all entry hosts.
func (w *world) tick(e *engine, life int) {
	if !e.alive || e.life != life {
		return
	}
	report, events := e.load(), e.cache.take()
	for _, en := range w.entries {
		kept := w.lose(events)
		w.clock.after(milliseconds(w.feed.LagMS), func() {
			w.send(e.host, en.host, 0, func() { en.feed(e.host, report, kept) })
		})
	}
	w.clock.after(milliseconds(w.feed.EveryMS), func() { w.tick(e, life) })
}

func (w *world) lose(events []port.CacheEvent) []port.CacheEvent {
	var kept []port.CacheEvent
	for _, e := range events {
		if w.rng.Float64() >= w.feed.EventLoss {
			kept = append(kept, e)
		}
	}
	return kept
}

// list returns the platform's list of endpoints.
func (w *world) list() []port.Host {
	var out []port.Host
	for _, e := range w.engines {
		if e.alive {
			out = append(out, e.host)
		}
	}
	return out
}

func (w *world) listChanged() {
	w.clock.after(listLag, func() {
		for _, e := range w.entries {
			e.update(w.list())
		}
	})
}

// isParted reports whether two hosts cannot reach each other now.
func (w *world) isParted(a, b port.Host) bool {
	return a.Region != b.Region && w.clock.now < w.parted[pair(a.Region, b.Region)]
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// send brings a message to another host; a message between parted regions is
// lost.
func (w *world) send(from, to port.Host, bytes int, deliver func()) {
	if w.isParted(from, to) {
		return
	}
	w.clock.after(w.delay(from, to, bytes), deliver)
}

func (w *world) delay(from, to port.Host, bytes int) time.Duration {
	h := &w.trace.Header
	switch {
	case from.Region != to.Region:
		return milliseconds(h.RegionDelayMS) + w.crossLink(from.Region, to.Region, bytes)
	case from.Zone != to.Zone:
		return milliseconds(h.ZoneDelayMS)
	}
	return 0
}

// crossLink books bytes on the link and returns how long they take.
func (w *world) crossLink(from, to string, bytes int) time.Duration {
	key := [2]string{from, to}
	free := max(w.linkFree[key], w.clock.now)
	free += time.Duration(float64(bytes) / w.trace.Header.LinkBytesPerSecond * float64(time.Second))
	w.linkFree[key] = free
	w.linkBytes += int64(bytes)
	return free - w.clock.now
}

func (w *world) killed(e *engine) {
	w.deaths++
	e.die()
	w.listChanged()
}

// play lets one line of the trace happen.
func (w *world) play(e *Event) {
	switch e.Type {
	case TypeArrival:
		w.arrive(e)
	case TypeReport:
		w.recordedReport(e)
	case TypeCache:
		w.recordedEvents(e)
	case TypeNotice:
		w.notice(e)
	case TypeDeath:
		w.each(e, func(en *engine) { en.die() })
		w.listChanged()
	case TypeStart:
		w.startEngines(e)
	case TypeAnswer:
		w.answers[e.ID] = e.AfterTokens
	case TypeParted:
		w.part(e)
	case TypePrice:
		w.each(e, func(en *engine) { en.host.PricePerHour = e.Price })
		w.listChanged()
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

// each runs on the engines that a line names.
func (w *world) each(e *Event, run func(*engine)) {
	for _, en := range w.engines {
		if en.host.ID == e.Endpoint || (e.Endpoint == "" && en.host.Zone == e.Zone) {
			run(en)
		}
	}
}

func (w *world) startEngines(e *Event) {
	found := false
	w.each(e, func(en *engine) {
		found = true
		if !en.alive {
			en.start()
			life := en.life
			w.clock.after(w.stagger(), func() { w.tick(en, life) })
		}
	})
	if !found {
		w.addNamed(e)
	}
	w.listChanged()
}

// addNamed starts an engine that the header does not have; its name begins
// with its availability zone.
func (w *world) addNamed(e *Event) {
	for _, z := range w.trace.Header.Zones {
		if strings.HasPrefix(e.Endpoint, z.Zone+"-") {
			w.addEngine(e.Endpoint, z)
			return
		}
	}
}

func (w *world) recordedReport(e *Event) {
	load := *e.Load
	load.At = w.clock.time()
	w.each(e, func(en *engine) {
		load.Incarnation = en.load().Incarnation
		load.Models = []string{w.trace.Header.Model}
		for _, entry := range w.entries {
			entry.feed(en.host, load, nil)
		}
	})
}

func (w *world) recordedEvents(e *Event) {
	w.each(e, func(en *engine) {
		for _, entry := range w.entries {
			entry.chooser.Events(en.host, e.Events, w.clock.time())
		}
	})
}

func (w *world) notice(e *Event) {
	deadline := epoch.Add(milliseconds(e.DeadlineMS))
	w.each(e, func(en *engine) {
		w.clock.after(noticeLag, func() {
			for _, entry := range w.entries {
				entry.notice(en.host, e.Kind, deadline)
			}
		})
	})
}

// part keeps two regions from each other; streams across go silent.
func (w *world) part(e *Event) {
	w.parted[pair(e.Regions[0], e.Regions[1])] = w.clock.now + milliseconds(e.ForMS)
	for _, c := range w.calls {
		a := c.current
		if a == nil || !w.isParted(a.entry.host, a.engine.host) {
			continue
		}
		w.clock.after(silenceLimit, func() {
			a.engine.cancel(a)
			a.entry.broken(a)
		})
	}
}

// note adds a decision or an end to the digest.
func (w *world) note(words ...string) {
	var at [8]byte
	binary.LittleEndian.PutUint64(at[:], uint64(w.clock.now))
	_, _ = w.digest.Write(at[:]) // never fails; see xxhash
	for _, word := range words {
		_, _ = w.digest.WriteString(word + "\x00") // likewise
	}
}

func (w *world) busyCost() (cost float64) {
	for _, e := range w.engines {
		cost += e.cost
	}
	return cost
}

// smallestIDFirst orders hosts.
func smallestIDFirst(a, b port.Host) int { return strings.Compare(a.ID, b.ID) }

func sortedHosts(hosts []port.Host) []port.Host {
	out := slices.Clone(hosts)
	slices.SortFunc(out, smallestIDFirst)
	return out
}
