package replay

import (
	"encoding/binary"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
	"github.com/cicadanotch/cicadanotch/quarantine"
	"github.com/cicadanotch/cicadanotch/route"
)

const (
	// retryDelay is the delay before another attempt to find an endpoint for a request that has
	// none.
	retryDelay = 50 * time.Millisecond
	// suspectTTL is how long an endpoint gets no new requests after one of its streams broke.
	suspectTTL = 2 * time.Second
	// maxAttempts bounds the attempts of a request.
	maxAttempts = 5
)

// call is one request of the trace and its state.
type call struct {
	event   *Event
	blocks  []uint64
	tokens  int
	arrived time.Duration
	// fingerprint identifies the request in package quarantine; suspectSince is when it first
	// needed an idle endpoint as a suspect; isolatedAt is the endpoint reserved for it.
	fingerprint  uint64
	suspectSince time.Duration
	isolatedAt   string

	current  *attempt
	choice   route.Choice
	excluded map[string]bool
	attempts int
	// receivedTokens counts the tokens received, in order.
	receivedTokens int
	// timeToFirstToken is measured from arrived; betweenTokens holds the times between
	// consecutive tokens.
	timeToFirstToken time.Duration
	lastTokenAt      time.Duration
	betweenTokens    []time.Duration
	started          bool
	ended            bool
	completed        bool
}

func newCall(s *simulation, e *Event) *call {
	return &call{
		event: e, arrived: s.clock.now, excluded: map[string]bool{},
		blocks: e.blocks, tokens: e.tokens, fingerprint: fingerprintOf(e),
	}
}

// promptText returns a prompt text with the tokens of each segment. Equal names give equal text.
func promptText(segments []segment) string {
	var out strings.Builder
	var token [prefix.BytesPerToken]byte
	for _, s := range segments {
		seed := xxhash.Sum64String(s.name)
		for i := range s.tokens {
			binary.LittleEndian.PutUint32(token[:], uint32((seed+uint64(i)*0x9e3779b97f4a7c15)>>32))
			out.Write(token[:])
		}
	}
	return out.String()
}

// entry is one entry host: the routing code and its view of the endpoints.
type entry struct {
	sim     *simulation
	host    port.Host
	policy  policy
	chooser *route.Chooser
	rng     *rand.Rand

	hosts           []port.Host
	rows            map[string]route.Row
	suspectUntil    map[string]time.Duration
	inFlight        map[string]int
	reports         map[string]port.LoadReport
	roundRobinIndex int

	suspects       *quarantine.Table
	running        map[*call]bool
	recordedDeaths map[deathKey]bool
	isolated       map[string]bool
}

func newEntry(s *simulation, host port.Host, p policy, seed uint64) *entry {
	h := &s.trace.Header
	entrySeed := xxhash.Sum64String(host.ID) + seed
	opts := route.DefaultOptions()
	opts.Seed = entrySeed
	opts.LinkBytesPerSecond = h.LinkBytesPerSecond
	e := &entry{
		sim: s, host: host, policy: p, rng: rand.New(rand.NewPCG(entrySeed, 2)),
		chooser: route.NewChooser(route.Location{Region: host.Region, Zone: host.Zone}, opts),
		rows:    map[string]route.Row{}, suspectUntil: map[string]time.Duration{},
		inFlight: map[string]int{}, reports: map[string]port.LoadReport{},
		suspects: quarantine.NewTable(), running: map[*call]bool{},
		recordedDeaths: map[deathKey]bool{}, isolated: map[string]bool{},
	}
	e.chooser.Table().SetProcessCounts(h.entryCounts(host.Region))
	return e
}

// entryCounts returns the number of entry hosts in a region and in all regions.
func (h *Header) entryCounts(region string) (inRegion, all int) {
	for _, z := range h.Zones {
		all += z.Entries
		if z.Region == region {
			inRegion += z.Entries
		}
	}
	return inRegion, all
}

// updateHosts replaces the list of endpoints and retains the notices of those that remain.
func (e *entry) updateHosts(hosts []port.Host) {
	e.hosts = sortedHosts(hosts)
	known := e.rows
	e.rows = map[string]route.Row{}
	for _, h := range e.hosts {
		row := known[h.ID]
		row.Host = h
		e.rows[h.ID] = row
	}
	e.publishRows()
}

func (e *entry) publishRows() {
	rows := make([]route.Row, 0, len(e.hosts))
	for _, h := range e.hosts {
		rows = append(rows, e.rows[h.ID])
	}
	e.chooser.Update(rows)
}

func (e *entry) receiveNotice(h port.Host, kind port.NoticeKind, deadline time.Time) {
	row, ok := e.rows[h.ID]
	if !ok {
		return
	}
	row.Leaving, row.Deadline = kind != port.NoticeWithdrawn, deadline
	e.rows[h.ID] = row
	e.publishRows()
}

func (e *entry) receiveReport(h port.Host, report port.LoadReport, events []port.CacheEvent) {
	e.reports[h.ID] = report
	e.chooser.Report(h, report)
	e.chooser.Events(h, events, e.sim.clock.time())
}

func (e *entry) arrive(c *call) {
	e.sim.clock.after(fromMilliseconds(e.sim.trace.Header.TimeoutMS), func() { e.expire(c) })
	e.try(c)
}

// try sends a request to the endpoint that the policy chooses, or schedules a retry if there is
// none.
func (e *entry) try(c *call) {
	if c.ended {
		return
	}
	if c.attempts == maxAttempts {
		c.ended = true
		e.sim.addToDigest("gave up", c.event.ID)
		return
	}
	excluded, wait, ok := e.applyVerdict(c)
	if !ok {
		c.ended = true
		e.sim.addToDigest("quarantined", c.event.ID)
		return
	}
	choice, err := e.chooseExcluding(c, excluded)
	if wait || err != nil {
		e.endIsolation(c)
		clear(c.excluded)
		e.sim.clock.after(retryDelay, func() { e.try(c) })
		return
	}
	e.dispatch(c, choice)
}

func (e *entry) dispatch(c *call, choice route.Choice) {
	target := e.sim.engine(choice.Host.ID)
	a := &attempt{request: c, entry: e, engine: target, generation: target.generation, resumedTokens: c.receivedTokens, breakAfter: e.sim.breakAfter[c.event.ID]}
	delete(e.sim.breakAfter, c.event.ID)
	c.current, c.choice, c.started = a, choice, false
	c.attempts++
	e.running[c] = true
	e.inFlight[choice.Host.ID]++
	e.sim.addToDigest("send", c.event.ID, choice.Host.ID)
	if e.sim.isPartitioned(e.host, target.host) {
		e.sim.clock.after(connectTimeout, func() { e.streamBroken(a) })
		return
	}
	e.sim.send(e.host, target.host, c.tokens*prefix.BytesPerToken, func() { target.enqueue(a) })
}

func (s *simulation) engine(id string) *engine {
	for _, e := range s.engines {
		if e.host.ID == id {
			return e
		}
	}
	return nil
}

// receiveToken records the next token of the current attempt; tokens of earlier attempts and out of
// order are ignored.
func (e *entry) receiveToken(a *attempt, index int) {
	c := a.request
	if c.current != a || index != c.receivedTokens {
		return
	}
	now := e.sim.clock.now
	if !c.started {
		c.started = true
		e.chooser.RecordFirstToken(&c.choice, e.sim.clock.time())
	}
	if c.receivedTokens == 0 {
		c.timeToFirstToken = now - c.arrived
	} else {
		c.betweenTokens = append(c.betweenTokens, now-c.lastTokenAt)
	}
	c.receivedTokens++
	c.lastTokenAt = now
}

func (e *entry) complete(a *attempt) {
	c := a.request
	if c.current != a {
		return
	}
	usage := port.Usage{PromptTokens: c.tokens, CompletionTokens: c.receivedTokens, CachedTokens: a.cachedTokens}
	e.release(c, route.Outcome{Usage: &usage, Started: true})
	c.ended, c.completed = true, true
	e.suspects.RecordCompletion(e.sim.clock.time(), c.fingerprint)
	e.sim.addToDigest("whole", c.event.ID)
}

// streamBroken retries a request on another endpoint after its stream broke.
func (e *entry) streamBroken(a *attempt) {
	c := a.request
	if c.current != a {
		return
	}
	died := !a.engine.alive || a.engine.generation != a.generation
	if died {
		e.recordDeath(a)
	}
	e.release(c, route.Outcome{Started: c.started})
	id := a.engine.host.ID
	c.excluded[id] = true
	e.suspectUntil[id] = e.sim.clock.now + suspectTTL
	e.chooser.Table().Suspect(id, e.sim.clock.time().Add(suspectTTL))
	if died {
		e.sim.clock.after(deathRetryDelay, func() { e.try(c) })
		return
	}
	e.try(c)
}

func (e *entry) release(c *call, end route.Outcome) {
	e.inFlight[c.choice.Host.ID]--
	delete(e.running, c)
	e.endIsolation(c)
	e.chooser.Release(&c.choice, c.blocks, end)
	c.current = nil
}

// expire ends a request at its timeout.
func (e *entry) expire(c *call) {
	if c.ended {
		return
	}
	c.ended = true
	e.sim.addToDigest("expired", c.event.ID)
	if a := c.current; a != nil {
		e.release(c, route.Outcome{Started: c.started})
		a.engine.cancel(a)
	}
}
