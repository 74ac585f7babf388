// Package memory decides what a host may hold of bytes that came from outside, and who gives way when room is short:
// bodies of requests, and answers that are not forwarded yet. Each kind has a pool of its own, a part of the memory
// limit of the process, and kinds do not borrow from one another.
//
// Load pattern: an endpoint or a caller sends as much as it is allowed to, in many places at a time, and keeps it there.
// So bytes count for an owner, an endpoint or a workspace. An owner that is alone may use most of a pool. When room is
// short, what can still be given up of the owner that holds most is given up for one that holds less.
//
// The package does no I/O, starts no goroutine and reads no clock. The lock of an account is a leaf: functions that
// revoke are called without it.
package memory

import (
	"slices"
	"sync"
)

// Kind is what is held.
type Kind int

// Kinds.
const (
	// KindBody is the body of a request, from before it is read until the request has its answer.
	KindBody Kind = iota
	// KindSmallBody is a body of up to MaxSmallBody bytes.
	KindSmallBody
	// KindAnswer is what is held of an endpoint's answer before it is forwarded.
	KindAnswer
	kinds
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string { return [kinds]string{"body", "small-body", "answer"}[k] }

const (
	// MaxSmallBody is the size in bytes up to which a body waits for no longer one.
	MaxSmallBody = 64 << 10
	// defaultLimit is assumed as the memory limit of a process that has none, in bytes.
	defaultLimit = 256 << 20
	// partsOfLimit is the number of parts that the memory limit is divided into; poolParts is how many of them each
	// kind gets. The rest is for everything else, and for garbage.
	partsOfLimit = 16
	// keptFactor is how many times what is left free an owner may hold beyond its even share.
	keptFactor = 4
)

var poolParts = [kinds]int64{KindBody: 5, KindSmallBody: 1, KindAnswer: 1}

// Account holds what is held of all kinds. Safe for concurrent use.
type Account struct {
	mu    sync.Mutex
	pools [kinds]pool
}

// NewAccount returns the account of a process with a memory limit in bytes; zero for none.
func NewAccount(limit int64) *Account {
	if limit <= 0 {
		limit = defaultLimit
	}
	a := &Account{}
	for k := range a.pools {
		a.pools[k] = pool{limit: limit / partsOfLimit * poolParts[k], owners: map[string]*owner{}}
	}
	return a
}

// Usage returns how many bytes of a kind are held, and how many may be.
func (a *Account) Usage(k Kind) (held, limit int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pools[k].held, a.pools[k].limit
}

// pool is what is held of one kind. revoked is the part of held that is being given up.
type pool struct {
	limit, held, revoked int64
	owners               map[string]*owner
}

// owner is what one owner holds of a pool, oldest first, and what it waits for.
type owner struct {
	name          string
	held, revoked int64
	holds         []*Hold
	waiting       []*Hold
}

// Hold is what one owner holds for one request.
type Hold struct {
	account *Account
	pool    *pool
	owner   string
	bytes   int64
	granted chan struct{}
	// revoke is called once when the hold is to be given up; nil if it can't be.
	revoke func()
	state  state
}

// closed is the channel of claims that are granted at once.
var closed = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// state is the state of a hold.
type state int

const (
	stateWaiting state = iota
	stateHeld
	stateRevoked
	stateReleased
)

// Open returns a hold of no bytes that Grow extends. See Claim for revoke.
func (a *Account) Open(k Kind, name string, revoke func()) *Hold {
	h := &Hold{account: a, pool: &a.pools[k], owner: name, revoke: revoke, state: stateHeld}
	a.mu.Lock()
	defer a.mu.Unlock()
	o := h.pool.owner(name)
	o.holds = append(o.holds, h)
	return h
}

// Claim returns a hold of some bytes, which waits until Granted is closed. After that and before Keep, revoke may be
// called when the bytes are to be given up; it must not block. The hold must be released in any case.
func (a *Account) Claim(k Kind, name string, bytes int64, revoke func()) *Hold {
	if k == KindSmallBody && !a.fits(k, name, bytes) {
		k = KindBody // better to wait for a long body than to be refused
	}
	h := &Hold{account: a, pool: &a.pools[k], owner: name, bytes: bytes, revoke: revoke}
	a.mu.Lock()
	o := h.pool.owner(name)
	o.waiting = append(o.waiting, h)
	h.pool.grant()
	var victims []*Hold
	if h.state == stateWaiting {
		h.granted = make(chan struct{})
		victims = h.pool.pushOut(o, bytes)
	}
	a.mu.Unlock()
	call(victims)
	return h
}

func (a *Account) fits(k Kind, name string, bytes int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := &a.pools[k]
	held := int64(0)
	if o := p.owners[name]; o != nil {
		held = o.held
	}
	return p.allows(held, bytes)
}

func call(victims []*Hold) {
	for _, v := range victims {
		v.revoke()
	}
}

// Granted is closed when the bytes of a claim are granted.
func (h *Hold) Granted() <-chan struct{} { return h.granted }

// Fits reports whether a pool could ever grant so many bytes.
func (a *Account) Fits(k Kind, bytes int64) bool {
	_, limit := a.Usage(k)
	return bytes <= limit
}

// Grow sets the bytes of a hold to a larger number. It reports false, and changes nothing, if there is no room and no
// owner that holds more can give way, or if the hold has been revoked.
func (h *Hold) Grow(bytes int64) bool {
	h.account.mu.Lock()
	more := bytes - h.bytes
	if h.state != stateHeld || more <= 0 {
		defer h.account.mu.Unlock()
		return h.state == stateHeld
	}
	o := h.pool.owner(h.owner)
	var victims []*Hold
	if !h.pool.allows(o.held, more) {
		victims = h.pool.pushOut(o, more)
		if len(victims) == 0 {
			h.account.mu.Unlock()
			return false
		}
	}
	h.bytes += more
	o.held += more
	h.pool.held += more
	h.account.mu.Unlock()
	call(victims)
	return true
}

// Shrink sets the bytes of a hold to a smaller number.
func (h *Hold) Shrink(bytes int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if less := h.bytes - bytes; h.state == stateHeld && less > 0 {
		h.bytes -= less
		h.pool.owner(h.owner).held -= less
		h.pool.held -= less
		h.pool.grant()
	}
}

// Keep makes a hold one that is not revoked any more. It reports false if it has been.
func (h *Hold) Keep() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.revoke = nil
	return h.state == stateHeld
}

// Revoked reports whether the hold is to be given up.
func (h *Hold) Revoked() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.state == stateRevoked
}

// Release ends a hold or a claim. Further calls do nothing.
func (h *Hold) Release() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	o := h.pool.owner(h.owner)
	isIt := func(other *Hold) bool { return other == h }
	switch h.state {
	case stateReleased:
	case stateWaiting:
		o.waiting = slices.DeleteFunc(o.waiting, isIt)
	case stateRevoked:
		o.revoked -= h.bytes
		h.pool.revoked -= h.bytes
		fallthrough
	case stateHeld:
		o.holds = slices.DeleteFunc(o.holds, isIt)
		o.held -= h.bytes
		h.pool.held -= h.bytes
	}
	h.state = stateReleased
	if len(o.holds) == 0 && len(o.waiting) == 0 {
		delete(h.pool.owners, h.owner)
	}
	h.pool.grant()
}

func (p *pool) owner(name string) *owner {
	o, ok := p.owners[name]
	if !ok {
		o = &owner{name: name}
		p.owners[name] = o
	}
	return o
}

// allows reports whether an owner that holds some bytes may have more: as far as there is room up to an even share of the
// pool, divided among the owners and one that may come, and beyond it so that others find a part of the pool free.
func (p *pool) allows(held, more int64) bool {
	free := p.limit - p.held
	switch {
	case more > free:
		return false
	case p.held == 0:
		return true
	}
	return held+more <= p.limit/int64(len(p.owners)+1) || held+more <= keptFactor*(free-more)
}

// grant grants what waits and fits: of the owner that holds least first, and in the order in which each has claimed.
func (p *pool) grant() {
	var queue []*owner
	for _, o := range p.owners {
		if len(o.waiting) > 0 {
			queue = append(queue, o)
		}
	}
	for len(queue) > 0 {
		least := 0
		for i, o := range queue {
			if o.held < queue[least].held || o.held == queue[least].held && o.name < queue[least].name {
				least = i
			}
		}
		o := queue[least]
		if len(o.waiting) == 0 || !p.allows(o.held, o.waiting[0].bytes) {
			queue = slices.Delete(queue, least, least+1)
			continue
		}
		h := o.waiting[0]
		o.waiting = o.waiting[1:]
		o.holds = append(o.holds, h)
		o.held += h.bytes
		p.held += h.bytes
		h.state = stateHeld
		if h.granted == nil {
			h.granted = closed
		} else {
			close(h.granted)
		}
	}
}

// pushOut revokes as much of owners that hold more than o will that o gets more bytes, the latest first. It returns
// nothing, and revokes nothing, if that is not enough.
func (p *pool) pushOut(o *owner, more int64) []*Hold {
	need := more - (p.limit - p.held + p.revoked)
	taken := map[*owner]int64{}
	var victims []*Hold
	for need > 0 || len(victims) == 0 {
		v := p.largestOwner(o, o.held+more, taken, victims)
		if v == nil {
			return nil
		}
		victims = append(victims, v)
		taken[p.owners[v.owner]] += v.bytes
		need -= v.bytes
	}
	for _, v := range victims {
		v.state = stateRevoked
		p.owners[v.owner].revoked += v.bytes
		p.revoked += v.bytes
	}
	return victims
}

// largestOwner returns the latest hold that can be revoked of the owner that holds most without what is taken, and more
// than a number of bytes; nil if there is none.
func (p *pool) largestOwner(except *owner, moreThan int64, taken map[*owner]int64, victims []*Hold) *Hold {
	var found *Hold
	for _, o := range p.owners {
		left := o.held - o.revoked - taken[o]
		if o == except || left <= moreThan {
			continue
		}
		for _, h := range slices.Backward(o.holds) {
			if h.revoke != nil && h.state == stateHeld && h.bytes > 0 && !slices.Contains(victims, h) {
				found, moreThan = h, left
				break
			}
		}
	}
	return found
}
