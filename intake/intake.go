// Package intake decides which connections of callers a host keeps when descriptors or memory are short, and what they
// cost it before their requests count anywhere else.
//
// Load pattern: callers that nobody controls open many connections, send heads and bodies that are long, slow or do not
// end, and open their connections again when they are closed. Ordinary callers come beside them, maybe from the same
// address. So nobody is told apart by address: a connection gives way by what the host waits for and for how long. An
// ordinary caller sends its head at once and is served, which is why the oldest connection without a complete head gives
// way before the newest. One that is being served gives way only while its caller takes nothing of the answer.
//
// The package does no I/O, starts no goroutine and reads no clock. The lock of a table is a leaf: functions that close
// connections are called without it.
package intake

import (
	"container/list"
	"sync"
	"time"
)

// Phase is what a host does for a connection.
type Phase int

// Phases.
const (
	// PhaseNew awaits the first byte of the first request, PhaseIdle that of a further one.
	PhaseNew Phase = iota
	PhaseIdle
	// PhaseHead reads the head of a request.
	PhaseHead
	// PhaseBody reads a body that is long, or of unknown length.
	PhaseBody
	// PhaseServing answers a request. PhaseWriting is a part of it, in which the caller is to take bytes of the answer.
	PhaseServing
	PhaseWriting
	// PhaseEnding awaits that the caller takes the last answer, PhaseTaken that it closes the connection.
	PhaseEnding
	PhaseTaken
	phases
)

// String returns the name of the phase in logs and metrics.
func (p Phase) String() string {
	return [phases]string{"new", "idle", "head", "body", "serving", "writing", "ending", "taken"}[p]
}

// Phases returns all phases.
func Phases() []Phase {
	out := make([]Phase, phases)
	for p := range out {
		out[p] = Phase(p)
	}
	return out
}

// Reason is why a connection gives way.
type Reason string

// Reasons.
const (
	// ReasonConnections: there are as many connections as there may be. ReasonMemory: there is no room for what they hold.
	ReasonConnections Reason = "connections"
	ReasonMemory      Reason = "memory"
)

const (
	// WindowBytes is what the kernel holds at most of what a caller has sent and the host does not read.
	WindowBytes = 64 << 10
	// connectionBytes is what a connection holds without a request: the stack of its goroutine and its buffers.
	connectionBytes = 16 << 10
	// headFactor is how many times its bytes a head holds while it is read and parsed, fieldBytes what each line of it
	// holds beside them.
	headFactor = 3
	fieldBytes = 256
	// smallBytes is the size up to which a head is an ordinary one. Larger ones and bodies leave a part of the memory to
	// ordinary ones: they may use largeParts of largePartsOf.
	smallBytes   = 32 << 10
	largeParts   = 3
	largePartsOf = 4
	// patience is how long a host waits for a caller before the connection gives way to others. It is above the time
	// that a body waits for room.
	patience = time.Second
)

// Table holds the open connections of callers. Safe for concurrent use.
type Table struct {
	limits Limits

	mu     sync.Mutex
	phases [phases]list.List // of *Conn, by the time at which they entered the phase
	count  int
	held   int64
	// large is the part of held that heads above smallBytes and bodies hold.
	large    int64
	givenWay map[Reason]int
}

// NewTable returns an empty table.
func NewTable(l Limits) *Table { return &Table{limits: l, givenWay: map[Reason]int{}} }

// Conn is an open connection of a caller.
type Conn struct {
	table   *Table
	evict   func(Reason, Phase)
	element *list.Element // nil if it is closed or has given way
	phase   Phase
	since   time.Time
	// head and body are what its head and its body hold beside connectionBytes, in bytes.
	head, body int64
}

// Open adds a connection. It returns nil if there is no room for it and none gives way. evict is called at most once if
// it has to give way later, with the phase that it was in; it must not block.
func (t *Table) Open(now time.Time, evict func(Reason, Phase)) *Conn {
	t.mu.Lock()
	c := &Conn{table: t, evict: evict}
	victims, ok := t.makeRoom(c, 1, connectionBytes, now)
	if ok {
		t.count++
		t.held += connectionBytes
		t.enter(c, PhaseNew, now)
	}
	t.mu.Unlock()
	closeAll(victims)
	if !ok {
		return nil
	}
	return c
}

// victim is a connection that gives way.
type victim struct {
	c      *Conn
	reason Reason
	phase  Phase
}

func closeAll(victims []victim) {
	for _, v := range victims {
		v.c.evict(v.reason, v.phase)
	}
}

// enter moves a connection to the end of a phase's list. The caller holds t.mu.
func (t *Table) enter(c *Conn, p Phase, now time.Time) {
	if c.element != nil {
		t.phases[c.phase].Remove(c.element)
	}
	c.phase, c.since = p, now
	c.element = t.phases[p].PushBack(c)
}

// Enter moves a connection to a phase. The head of the last request is given up unless the request is served. It reports
// false if the connection has given way.
func (c *Conn) Enter(p Phase, now time.Time) bool {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.element == nil {
		return false
	}
	if p == c.phase {
		return true
	}
	if p != PhaseHead && p != PhaseBody && p != PhaseServing && p != PhaseWriting {
		t.setHead(c, 0)
	}
	if p != PhaseEnding && p != PhaseTaken {
		t.setBody(c, 0)
	}
	t.enter(c, p, now)
	return true
}

// BeginWrite states that the caller is to take bytes of an answer, EndWrite that it has taken them. They have no effect on a
// connection whose request is still read.
func (c *Conn) BeginWrite(now time.Time) { c.switchPhase(PhaseServing, PhaseWriting, now) }

// EndWrite: see BeginWrite.
func (c *Conn) EndWrite(now time.Time) { c.switchPhase(PhaseWriting, PhaseServing, now) }

func (c *Conn) switchPhase(from, to Phase, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.element != nil && c.phase == from {
		t.enter(c, to, now)
	}
}

// ReadHead accounts for what was read of a head since the last one ended: bytes in so many lines. It reports false if
// there is no room for them, or if the connection has given way: it must be closed then.
func (c *Conn) ReadHead(bytes, lines int, now time.Time) bool {
	t := c.table
	t.mu.Lock()
	if c.element == nil {
		t.mu.Unlock()
		return false
	}
	if c.phase != PhaseHead {
		t.enter(c, PhaseHead, now)
	}
	more := int64(bytes)*headFactor + int64(lines)*fieldBytes - c.head
	victims, ok := t.makeRoom(c, 0, more, now)
	if ok {
		t.setHead(c, c.head+more)
	}
	t.mu.Unlock()
	closeAll(victims)
	return ok
}

// ReadBody moves a connection to PhaseBody, for a body of a length in bytes; negative if it is not known. It reports
// false if there is no room for what the kernel may hold of it, or if the connection has given way.
func (c *Conn) ReadBody(length int64, now time.Time) bool {
	window := int64(WindowBytes)
	if length >= 0 {
		window = min(window, length)
	}
	t := c.table
	t.mu.Lock()
	if c.element == nil {
		t.mu.Unlock()
		return false
	}
	victims, ok := t.makeRoom(c, 0, window-c.body, now)
	if ok {
		t.setBody(c, window)
		t.enter(c, PhaseBody, now)
	}
	t.mu.Unlock()
	closeAll(victims)
	return ok
}

// End moves a connection to PhaseEnding. It reports false if there is no room for what its caller may go on to send, or if
// it has given way: it must be closed then.
func (c *Conn) End(now time.Time) bool {
	t := c.table
	t.mu.Lock()
	if c.element == nil {
		t.mu.Unlock()
		return false
	}
	t.setHead(c, 0)
	t.enter(c, PhaseEnding, now)
	victims, ok := t.makeRoom(c, 0, WindowBytes-c.body, now)
	if ok {
		t.setBody(c, WindowBytes)
	} else {
		t.remove(c)
	}
	t.mu.Unlock()
	closeAll(victims)
	return ok
}

// setHead and setBody set what a connection holds. The caller holds t.mu.
func (t *Table) setHead(c *Conn, bytes int64) {
	t.add(c.head, -1)
	t.add(bytes, 1)
	c.head = bytes
}

func (t *Table) setBody(c *Conn, bytes int64) {
	t.add(c.body, -1)
	t.add(bytes, 1)
	c.body = bytes
}

func (t *Table) add(bytes, sign int64) {
	t.held += sign * bytes
	if bytes > smallBytes {
		t.large += sign * bytes
	}
}

// Close removes a connection. Further calls do nothing.
func (c *Conn) Close() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.table.remove(c)
}

// remove removes a connection if it is there. The caller holds t.mu.
func (t *Table) remove(c *Conn) {
	if c.element == nil {
		return
	}
	t.phases[c.phase].Remove(c.element)
	c.element = nil
	t.setHead(c, 0)
	t.setBody(c, 0)
	t.held -= connectionBytes
	t.count--
}

// makeRoom removes connections until there is room for so many further ones and bytes of c. It returns them, and whether
// there is room. The caller holds t.mu.
func (t *Table) makeRoom(c *Conn, connections int, bytes int64, now time.Time) (victims []victim, ok bool) {
	for {
		reason := ReasonMemory
		switch {
		case t.count+connections > t.limits.Connections:
			reason = ReasonConnections
		case bytes <= 0 || t.fits(c, bytes):
			return victims, true
		}
		v := t.nextVictim(c, reason, now)
		if v == nil {
			return victims, false
		}
		victims = append(victims, victim{v, reason, v.phase})
		t.givenWay[reason]++
		t.remove(v)
	}
}

// fits reports whether a connection may hold more bytes.
func (t *Table) fits(c *Conn, more int64) bool {
	if t.held+more > t.limits.Memory {
		return false
	}
	if c.head+more <= smallBytes {
		return true
	}
	return t.large+more <= t.limits.Memory/largePartsOf*largeParts
}

// nextVictim returns the connection that gives way next, other than one; nil if none does.
func (t *Table) nextVictim(except *Conn, reason Reason, now time.Time) *Conn {
	if reason == ReasonMemory {
		if v := t.largestHead(); v != nil {
			if v == except {
				return nil // it is the one that is furthest over
			}
			return v
		}
	}
	if v := t.oldest(except, now, 0, PhaseTaken); v != nil {
		return v
	}
	if v := t.oldest(except, now, patience, PhaseNew, PhaseHead); v != nil {
		return v
	}
	if v := t.oldest(except, now, patience, PhaseEnding); v != nil {
		return v
	}
	if v := t.oldest(except, now, 0, PhaseIdle); v != nil {
		return v
	}
	if v := t.oldest(except, now, patience, PhaseBody); v != nil {
		return v
	}
	if v := t.oldest(except, now, patience, PhaseWriting); v != nil {
		return v
	}
	return t.oldest(except, now, 0, PhaseNew, PhaseHead, PhaseEnding)
}

// largestHead returns the connection with the largest head above smallBytes that is still being read, the oldest of
// equals; nil if there is none.
func (t *Table) largestHead() *Conn {
	var found *Conn
	for e := t.phases[PhaseHead].Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); c.head > smallBytes && (found == nil || c.head > found.head) {
			found = c
		}
	}
	return found
}

// oldest returns the connection that has been for longest in one of some phases, and at least for a time.
func (t *Table) oldest(except *Conn, now time.Time, atLeast time.Duration, in ...Phase) *Conn {
	var found *Conn
	for _, p := range in {
		e := t.phases[p].Front()
		if e != nil && e.Value == except {
			e = e.Next()
		}
		if e == nil {
			continue
		}
		if c := e.Value.(*Conn); now.Sub(c.since) >= atLeast && (found == nil || c.since.Before(found.since)) {
			found = c
		}
	}
	return found
}

// Usage is what connections use, and may use.
type Usage struct {
	Limits
	// Open is the number of connections in each phase.
	Open [phases]int
	Held int64
	// GivenWay is the number of connections that have given way so far.
	GivenWay map[Reason]int
}

// Usage returns the present use.
func (t *Table) Usage() Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := Usage{Limits: t.limits, Held: t.held, GivenWay: map[Reason]int{}}
	for p := range t.phases {
		u.Open[p] = t.phases[p].Len()
	}
	for r, n := range t.givenWay {
		u.GivenWay[r] = n
	}
	return u
}
