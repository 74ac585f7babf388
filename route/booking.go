package route

import "time"

// booking is one request at its endpoint.
type booking struct {
	endpoint *endpoint
	group    *group
	epoch    uint32
	used     bool
	started  bool
	prefill  int
	// ahead is how many tokens waited for prefill when it was booked; alone
	// tells that the endpoint had nothing to do then.
	ahead float64
	alone bool
	at    time.Time
}

// Started notes that a booked request has its first token.
func (t *Table) Started(b Booking, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.booking(b)
	if k == nil || k.started {
		return
	}
	k.started = true
	k.endpoint.prefilled(k)
	t.learn(k, now)
}

// learn corrects the prefill speeds by how long a first token took.
func (t *Table) learn(k *booking, now time.Time) {
	took := now.Sub(k.at) - t.opts.TokenInterval - t.delay(k.endpoint.near)
	if took <= 0 || k.prefill < minRateSample {
		return
	}
	speed := &k.group.shared
	if k.alone {
		speed = &k.group.alone
	}
	assumed := t.opts.PrefillTokensPerSecond
	seen := (k.ahead + float64(k.prefill)) / took.Seconds()
	*speed += (min(max(seen, minRate*assumed), maxRate*assumed) - *speed) * rateWeight
}

// Release ends a booking. It is idempotent.
func (t *Table) Release(b Booking) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.booking(b)
	if k == nil {
		return
	}
	k.endpoint.inFlight--
	if k.at.After(k.endpoint.report.At) {
		k.endpoint.sinceRunning--
	}
	if !k.started {
		k.endpoint.prefilled(k)
	}
	*k = booking{epoch: k.epoch + 1}
	t.free = append(t.free, b.index)
}

// prefilled takes a booking's tokens from those that wait.
func (e *endpoint) prefilled(k *booking) {
	e.ownPrefill -= k.prefill
	if k.at.After(e.report.At) {
		e.sincePrefill -= k.prefill
	}
}

func (t *Table) booking(b Booking) *booking {
	if int(b.index) >= len(t.bookings) {
		return nil
	}
	k := &t.bookings[b.index]
	if !k.used || k.epoch != b.epoch {
		return nil
	}
	return k
}

// book is called with the lock held.
func (t *Table) book(g *group, e *endpoint, prefill int, now time.Time) Booking {
	p := t.newPass(g, &Query{}, now)
	running, ahead := e.load(&p)
	if len(t.free) == 0 {
		t.bookings = append(t.bookings, booking{epoch: 1})
		t.free = append(t.free, int32(len(t.bookings)-1))
	}
	index := t.free[len(t.free)-1]
	t.free = t.free[:len(t.free)-1]
	k := &t.bookings[index]
	*k = booking{
		endpoint: e, group: g, epoch: k.epoch, used: true,
		prefill: prefill, ahead: ahead, alone: running < aloneBelow, at: now,
	}
	e.inFlight++
	e.ownPrefill += prefill
	if now.After(e.report.At) {
		e.sinceRunning++
		e.sincePrefill += prefill
	}
	return Booking{index: index, epoch: k.epoch}
}
