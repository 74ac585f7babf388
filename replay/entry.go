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
	// retryPause is the time until a request without an endpoint looks again.
	retryPause = 50 * time.Millisecond
	// suspectFor keeps new work from an endpoint whose stream broke.
	suspectFor = 2 * time.Second
	// maxAttempts bounds the endpoints that a request is sent to.
	maxAttempts = 5
)

// call is one request of the trace.
type call struct {
	event   *Event
	blocks  []uint64
	tokens  int
	arrived time.Duration
	// fingerprint is that of package quarantine; suspectSince is when the
	// request became one to be tried alone, aloneAt the endpoint kept for it.
	fingerprint  uint64
	suspectSince time.Duration
	aloneAt      string

	current  *attempt
	choice   route.Choice
	excluded map[string]bool
	attempts int
	// received counts the tokens that came, in order.
	received int
	first    time.Duration
	last     time.Duration
	gaps     []time.Duration
	started  bool
	ended    bool
	whole    bool
}

func newCall(w *world, e *Event) *call {
	return &call{
		event: e, arrived: w.clock.now, excluded: map[string]bool{},
		blocks: e.blocks, tokens: e.tokens, fingerprint: fingerprintOf(e),
	}
}

// promptText writes each segment's tokens; equal names give equal text.
func promptText(segments []segment) string {
	var out strings.Builder
	var word [prefix.BytesPerToken]byte
	for _, s := range segments {
		seed := xxhash.Sum64String(s.name)
		for i := range s.tokens {
			binary.LittleEndian.PutUint32(word[:], uint32((seed+uint64(i)*0x9e3779b97f4a7c15)>>32))
			out.Write(word[:])
		}
	}
	return out.String()
}

// entry is one entry host: the decision code and what it knows.
type entry struct {
	world   *world
	host    port.Host
	policy  policy
	chooser *route.Chooser
	rng     *rand.Rand

	hosts    []port.Host
	rows     map[string]route.Row
	suspect  map[string]time.Duration
	inFlight map[string]int
	reports  map[string]port.LoadReport
	turn     int

	suspects *quarantine.Table
	running  map[*call]bool
	booked   map[deathOf]bool
	isolated map[string]bool
}

func newEntry(w *world, host port.Host, p policy, seed uint64) *entry {
	h := &w.trace.Header
	own := xxhash.Sum64String(host.ID) + seed
	opts := route.DefaultOptions()
	opts.Seed = own
	opts.LinkBytesPerSecond = h.LinkBytesPerSecond
	e := &entry{
		world: w, host: host, policy: p, rng: rand.New(rand.NewPCG(own, 2)),
		chooser: route.NewChooser(route.Place{Region: host.Region, Zone: host.Zone}, opts),
		rows:    map[string]route.Row{}, suspect: map[string]time.Duration{},
		inFlight: map[string]int{}, reports: map[string]port.LoadReport{},
		suspects: quarantine.NewTable(), running: map[*call]bool{},
		booked: map[deathOf]bool{}, isolated: map[string]bool{},
	}
	e.chooser.Table().SetPeers(h.entries(host.Region))
	return e
}

// entries returns how many entry hosts a region has, and how many there are.
func (h *Header) entries(region string) (inRegion, all int) {
	for _, z := range h.Zones {
		all += z.Entries
		if z.Region == region {
			inRegion += z.Entries
		}
	}
	return inRegion, all
}

// update takes the platform's list.
func (e *entry) update(hosts []port.Host) {
	e.hosts = sortedHosts(hosts)
	known := e.rows
	e.rows = map[string]route.Row{}
	for _, h := range e.hosts {
		row := known[h.ID]
		row.Host = h
		e.rows[h.ID] = row
	}
	e.publish()
}

func (e *entry) publish() {
	rows := make([]route.Row, 0, len(e.hosts))
	for _, h := range e.hosts {
		rows = append(rows, e.rows[h.ID])
	}
	e.chooser.Update(rows)
}

func (e *entry) notice(h port.Host, kind port.NoticeKind, deadline time.Time) {
	row, ok := e.rows[h.ID]
	if !ok {
		return
	}
	row.Leaving, row.Deadline = kind != port.NoticeWithdrawn, deadline
	e.rows[h.ID] = row
	e.publish()
}

func (e *entry) feed(h port.Host, report port.LoadReport, events []port.CacheEvent) {
	e.reports[h.ID] = report
	e.chooser.Report(h, report)
	e.chooser.Events(h, events, e.world.clock.time())
}

func (e *entry) arrive(c *call) {
	e.world.clock.after(milliseconds(e.world.trace.Header.TimeoutMS), func() { e.expire(c) })
	e.try(c)
}

// try sends a request to the endpoint that the policy chooses.
func (e *entry) try(c *call) {
	if c.ended {
		return
	}
	if c.attempts == maxAttempts {
		c.ended = true
		e.world.note("gave up", c.event.ID)
		return
	}
	excluded, wait, ok := e.place(c)
	if !ok {
		c.ended = true
		e.world.note("quarantined", c.event.ID)
		return
	}
	choice, err := e.chooseAt(c, excluded)
	if wait || err != nil {
		e.leaveAlone(c)
		clear(c.excluded)
		e.world.clock.after(retryPause, func() { e.try(c) })
		return
	}
	e.dispatch(c, choice)
}

func (e *entry) dispatch(c *call, choice route.Choice) {
	target := e.world.engine(choice.Host.ID)
	a := &attempt{request: c, entry: e, engine: target, life: target.life, sent: c.received, breakAfter: e.world.answers[c.event.ID]}
	delete(e.world.answers, c.event.ID)
	c.current, c.choice, c.started = a, choice, false
	c.attempts++
	e.running[c] = true
	e.inFlight[choice.Host.ID]++
	e.world.note("send", c.event.ID, choice.Host.ID)
	if e.world.isParted(e.host, target.host) {
		e.world.clock.after(unreachableAfter, func() { e.broken(a) })
		return
	}
	e.world.send(e.host, target.host, c.tokens*prefix.BytesPerToken, func() { target.accept(a) })
}

func (w *world) engine(id string) *engine {
	for _, e := range w.engines {
		if e.host.ID == id {
			return e
		}
	}
	return nil
}

// token takes the next token of the current attempt.
func (e *entry) token(a *attempt, index int) {
	c := a.request
	if c.current != a || index != c.received {
		return
	}
	now := e.world.clock.now
	if !c.started {
		c.started = true
		e.chooser.Started(&c.choice, e.world.clock.time())
	}
	if c.received == 0 {
		c.first = now - c.arrived
	} else {
		c.gaps = append(c.gaps, now-c.last)
	}
	c.received++
	c.last = now
}

func (e *entry) whole(a *attempt) {
	c := a.request
	if c.current != a {
		return
	}
	usage := port.Usage{PromptTokens: c.tokens, CompletionTokens: c.received, CachedTokens: a.cached}
	e.release(c, route.Ended{Usage: &usage, Started: true})
	c.ended, c.whole = true, true
	e.suspects.Whole(e.world.clock.time(), c.fingerprint)
	e.world.note("whole", c.event.ID)
}

// broken tries a request elsewhere after its stream broke.
func (e *entry) broken(a *attempt) {
	c := a.request
	if c.current != a {
		return
	}
	dead := !a.engine.alive || a.engine.life != a.life
	if dead {
		e.died(a)
	}
	e.release(c, route.Ended{Started: c.started})
	id := a.engine.host.ID
	c.excluded[id] = true
	e.suspect[id] = e.world.clock.now + suspectFor
	e.chooser.Table().Suspect(id, e.world.clock.time().Add(suspectFor))
	if dead {
		e.world.clock.after(deathGrace, func() { e.try(c) })
		return
	}
	e.try(c)
}

func (e *entry) release(c *call, end route.Ended) {
	e.inFlight[c.choice.Host.ID]--
	delete(e.running, c)
	e.leaveAlone(c)
	e.chooser.Release(&c.choice, c.blocks, end)
	c.current = nil
}

// expire ends a request whose time is up.
func (e *entry) expire(c *call) {
	if c.ended {
		return
	}
	c.ended = true
	e.world.note("expired", c.event.ID)
	if a := c.current; a != nil {
		e.release(c, route.Ended{Started: c.started})
		a.engine.cancel(a)
	}
}
