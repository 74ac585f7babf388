// Package headroom decides whether a host may send a request to an endpoint that fails when it has to reject
// more than a few requests in a second for lack of room.
//
// Load pattern: all hosts send a burst to endpoints that are full, and each learns only from the rejection that
// there was no room. So the slots of such an endpoint are divided among the hosts, and a host sends no more
// requests at once than its share: together they never exceed the slots, without asking one another. A part of
// the slots is kept back for what hosts know late of one another. As many requests as the endpoint can reject
// may use it, one each of the hosts with the smallest shares.
//
// Hosts may differ in their view of the others for a while. A host that has just started has no share yet, and
// one whose view of the others is old, or was until a moment ago, does not use what is kept back.
//
// The package does no I/O, starts no goroutine and reads no clock: times are passed in.
package headroom

import (
	"slices"
	"sync"
	"time"
)

const (
	// reserveFraction is the part of the slots and of the KV cache that is kept back, at least one slot.
	reserveFraction = 8
	// settleTime is how long a host that has just started has no share: the others read its first report, and
	// it theirs, up to two seconds later.
	settleTime = 3 * time.Second
	// maxViewAge is the age from which the view of the other hosts is old: two of their reports were missed.
	maxViewAge = 3 * time.Second
	// lingerTime is how long a request counts after it was given up: endpoints notice a closed connection later.
	lingerTime = time.Second
	// minPause is the least time for which a host sends nothing to an endpoint that has rejected a request of it.
	minPause = time.Second
	// liftedMemory is how long it is remembered that a bound was lifted, so that older statements of other hosts
	// do not bring it back. It is also how long what an endpoint said holds once it is no longer listed.
	liftedMemory = 30 * time.Second
)

// Statement is what an endpoint said, in an answer, of the rejections that it bears.
type Statement struct {
	// Bounded is set if it fails when it has to reject more than PerSecond requests in a second.
	Bounded   bool
	PerSecond int
	// At is when the answer arrived.
	At time.Time
}

// Endpoint is what the decision needs to know of an endpoint. CacheTokens is zero for a service without engines.
type Endpoint struct {
	ID, Service string
	Slots       int
	CacheTokens int
}

// Work is what requests occupy at an endpoint: slots, and tokens of its KV cache.
type Work struct{ Requests, Tokens int }

// Peer is the last report of another host: its work and what endpoints have told it, by endpoint.
type Peer struct {
	Host       string
	Work       map[string]Work
	Statements map[string]Statement
}

// Change is a change of what is known of an endpoint by the report of another host.
type Change struct {
	Endpoint, Peer string
	Statement      Statement
}

// lingering is work that was given up.
type lingering struct {
	work  Work
	until time.Time
}

// row is the state of one endpoint.
type row struct {
	service   string
	own       Work
	lingering []lingering
	// heard is what the endpoint said to this host, told the newest of what other hosts report, and teller the host
	// that reports it. Both statements are zero for nothing.
	heard, told Statement
	teller      string
	pausedUntil time.Time
	listedAt    time.Time
	// ranks are the hosts' ranks at this endpoint, shares this host's shares for a size and a bound, as of view.
	ranks  map[string]int
	shares map[shareKey]int
	view   int
}

// shareKey is what a share depends on beside the view of the other hosts.
type shareKey struct {
	total, reserved int
	tokens          bool
}

// statement returns the newest statement, zero if there is none.
func (r *row) statement() Statement {
	if r.told.At.After(r.heard.At) {
		return r.told
	}
	return r.heard
}

// heardIsOver reports whether what the endpoint said to this host need not be kept: it was lifted, long ago or by
// what another host has heard since.
func (r *row) heardIsOver(now time.Time) bool {
	if r.heard.Bounded {
		return r.told.At.After(r.heard.At) && !r.told.Bounded
	}
	return now.Sub(r.heard.At) > liftedMemory
}

// Table holds the state of all endpoints. Safe for concurrent use; no other lock is taken while its lock is held.
type Table struct {
	host string

	mu   sync.Mutex
	rows map[string]*row
	// bounds is the least bound in force by service: it holds for endpoints that have said nothing yet, such as
	// those that have just started.
	bounds map[string]int
	peers  []Peer
	view   int // counts the changes of peers
	// viewedAt is when the reports of the other hosts were last read, settledAt from when this host has a share,
	// trustedAt from when it may use what is kept back; zero before the first read.
	viewedAt, settledAt, trustedAt time.Time
}

// NewTable returns an empty table of a host.
func NewTable(host string) *Table {
	return &Table{host: host, rows: map[string]*row{}, bounds: map[string]int{}}
}

// State applies what an endpoint said to this host. It reports whether the bound changed.
func (t *Table) State(e Endpoint, s Statement) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, bounded := t.bounds[e.Service]; !s.Bounded && !bounded {
		return false
	}
	r := t.row(e.ID, e.Service)
	before := r.statement()
	if !s.At.After(r.heard.At) {
		return false
	}
	r.heard = s
	if r.told.At.Before(s.At) {
		r.told = Statement{}
	}
	after := r.statement()
	if r.listedAt.IsZero() {
		r.listedAt = s.At
	}
	if before.Bounded == after.Bounded && before.PerSecond == after.PerSecond {
		return false
	}
	t.updateBounds()
	return true
}

// SetView replaces the reports of the other hosts. serviceOf returns the service of an endpoint, and whether it is
// in the registry.
func (t *Table) SetView(now time.Time, peers []Peer, serviceOf func(id string) (service string, listed bool)) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.viewedAt.IsZero():
		t.settledAt = now.Add(settleTime)
		t.trustedAt = t.settledAt
	case now.Sub(t.viewedAt) > maxViewAge:
		t.trustedAt = now.Add(settleTime)
	}
	t.peers, t.viewedAt = peers, now
	t.view++
	told := map[string]Change{}
	for _, p := range peers {
		for id, s := range p.Statements {
			if old, ok := told[id]; !ok || s.At.After(old.Statement.At) {
				told[id] = Change{id, p.Host, s}
			}
		}
	}
	for id := range told {
		if service, listed := serviceOf(id); listed {
			t.row(id, service)
		}
	}
	var changes []Change
	for id, r := range t.rows {
		if _, listed := serviceOf(id); listed {
			r.listedAt = now
		}
		r.expire(now)
		before := r.statement()
		r.told, r.teller = told[id].Statement, told[id].Peer
		if r.heardIsOver(now) {
			r.heard = Statement{}
		}
		if after := r.statement(); before.Bounded != after.Bounded || before.PerSecond != after.PerSecond {
			changes = append(changes, Change{id, told[id].Peer, after})
		}
		if r.own == (Work{}) && (now.Sub(r.listedAt) > liftedMemory || r.statement() == Statement{} && !now.Before(r.pausedUntil)) {
			delete(t.rows, id)
		}
	}
	t.updateBounds()
	return changes
}

// Heard returns what this host tells the others: what endpoints said to it, unless another host tells what is later,
// and of each service whose endpoints name bounds one statement in any case. So a host that starts learns of a bound
// whichever host has ended.
func (t *Table) Heard() map[string]Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Statement{}
	newest := map[string]string{} // by service, the endpoint that last named a bound to this host
	for id, r := range t.rows {
		if r.heard.At.IsZero() {
			continue
		}
		if !r.superseded(t.host) {
			out[id] = r.heard
		}
		listed := !r.listedAt.Before(t.viewedAt)
		if !listed || !r.heard.Bounded || !r.statement().Bounded {
			continue
		}
		if other, ok := newest[r.service]; !ok || r.heard.At.After(t.rows[other].heard.At) {
			newest[r.service] = id
		}
	}
	for _, id := range newest {
		out[id] = t.rows[id].heard
	}
	return out
}

// superseded reports whether host need not tell what it heard, as another one tells what is later. Statements of others
// are dated by when their reports arrive. So each of two hosts may take the other's for later: of those that may be of
// the same time and are alike, the first host's by name is told.
func (r *row) superseded(host string) bool {
	later := r.told.At.Sub(r.heard.At)
	alike := r.told.Bounded == r.heard.Bounded && r.told.PerSecond == r.heard.PerSecond
	return later > maxViewAge || later > 0 && alike && r.teller < host
}

// Bound returns how many rejections a second an endpoint bears; ok is false if it has not said so.
func (t *Table) Bound(e Endpoint) (perSecond int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bound(e)
}

// Allows reports whether this host may send a request now.
func (t *Table) Allows(now time.Time, e Endpoint, w Work) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.allows(now, e, w)
}

// Begin counts a request that is about to be sent. It reports false if this host may send none now.
func (t *Table) Begin(now time.Time, e Endpoint, w Work) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.allows(now, e, w) {
		return false
	}
	t.add(e, w)
	return true
}

// Occupy counts a request that already has its room.
func (t *Table) Occupy(e Endpoint, w Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(e, w)
}

// End undoes Begin or Occupy. answered is not set if the endpoint may still be at work on the request.
func (t *Table) End(now time.Time, e Endpoint, w Work, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(e.ID, e.Service)
	if _, bounded := t.bound(e); !answered && bounded {
		r.lingering = append(r.lingering, lingering{w, now.Add(lingerTime)})
		return
	}
	r.own.Requests -= w.Requests
	r.own.Tokens -= w.Tokens
}

// Rejected records that an endpoint rejected a request of this host for lack of room.
func (t *Table) Rejected(now time.Time, e Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	perSecond, bounded := t.bound(e)
	if !bounded {
		return
	}
	// Each of the hosts that may send to it causes one in this time.
	hosts := min(len(t.peers)+1, max(e.Slots, 1))
	pause := max(time.Duration(hosts)*time.Second/time.Duration(max(perSecond, 1)), minPause)
	t.row(e.ID, e.Service).pausedUntil = now.Add(pause)
}

// NextAllowed returns the time until the first of the endpoints that have rejected a request of this host may
// be sent another one; zero if there is none.
func (t *Table) NextAllowed(now time.Time, endpoints []Endpoint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := time.Duration(0)
	for _, e := range endpoints {
		r := t.rows[e.ID]
		if r == nil {
			return 0
		}
		left := r.pausedUntil.Sub(now)
		if left <= 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}

// The functions below require the lock.

func (t *Table) row(id, service string) *row {
	r, ok := t.rows[id]
	if !ok {
		r = &row{service: service}
		t.rows[id] = r
	}
	return r
}

func (t *Table) add(e Endpoint, w Work) {
	r := t.row(e.ID, e.Service)
	r.own.Requests += w.Requests
	r.own.Tokens += w.Tokens
}

func (t *Table) updateBounds() {
	clear(t.bounds)
	for _, r := range t.rows {
		s := r.statement()
		if least, ok := t.bounds[r.service]; s.Bounded && (!ok || s.PerSecond < least) {
			t.bounds[r.service] = s.PerSecond
		}
	}
}

func (t *Table) bound(e Endpoint) (perSecond int, ok bool) {
	perSecond, ok = t.bounds[e.Service]
	if r := t.rows[e.ID]; ok && r != nil && !r.statement().At.IsZero() {
		s := r.statement()
		return s.PerSecond, s.Bounded
	}
	return perSecond, ok
}

func (t *Table) allows(now time.Time, e Endpoint, w Work) bool {
	perSecond, bounded := t.bound(e)
	if !bounded {
		return true
	}
	r := t.row(e.ID, e.Service)
	r.expire(now)
	if now.Before(r.pausedUntil) || t.settledAt.IsZero() || now.Before(t.settledAt) {
		return false
	}
	if r.own.Requests+w.Requests > t.slots(now, r, e, perSecond) {
		return false
	}
	return e.CacheTokens == 0 || r.own.Requests == 0 || r.own.Tokens+w.Tokens <= t.tokens(r, e)
}

// expire removes the work that was given up long enough ago.
func (r *row) expire(now time.Time) {
	r.lingering = slices.DeleteFunc(r.lingering, func(l lingering) bool {
		if now.Before(l.until) {
			return false
		}
		r.own.Requests -= l.work.Requests
		r.own.Tokens -= l.work.Tokens
		return true
	})
}
