package route

import "time"

// booking is one request that is counted at its endpoint until Release.
type booking struct {
	endpoint      *endpoint
	group         *group
	epoch         uint32
	used          bool
	started       bool
	prefillTokens int
	// queuedTokens is how many tokens waited for prefill at booking time; idle is
	// set if the endpoint was estimated to be idle then.
	queuedTokens float64
	idle         bool
	at           time.Time
}

// RecordFirstToken records that the first token of a booked request has arrived.
// Repeated calls have no effect.
func (t *Table) RecordFirstToken(b Booking, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.lookupBooking(b)
	if entry == nil || entry.started {
		return
	}
	entry.started = true
	entry.endpoint.removeQueuedPrefill(entry)
	t.updatePrefillRate(entry, now)
}

// updatePrefillRate moves the group's estimate of the prefill rate towards the
// rate observed in one time to first token. Prompts too short to show a rate are
// skipped.
func (t *Table) updatePrefillRate(entry *booking, now time.Time) {
	elapsed := now.Sub(entry.at) - t.opts.TokenInterval - t.delay(entry.endpoint.proximity)
	if elapsed <= 0 || entry.prefillTokens < minRateSampleTokens {
		return
	}
	rate := &entry.group.busyRate
	if entry.idle {
		rate = &entry.group.idleRate
	}
	assumed := t.opts.PrefillTokensPerSecond
	observed := (entry.queuedTokens + float64(entry.prefillTokens)) / elapsed.Seconds()
	*rate += (min(max(observed, minRateFactor*assumed), maxRateFactor*assumed) - *rate) * prefillRateWeight
}

// Release ends a booking. It is idempotent.
func (t *Table) Release(b Booking) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.lookupBooking(b)
	if entry == nil {
		return
	}
	entry.endpoint.inFlight--
	if entry.at.After(entry.endpoint.report.At) {
		entry.endpoint.runningSinceReport--
	}
	if !entry.started {
		entry.endpoint.removeQueuedPrefill(entry)
	}
	*entry = booking{epoch: entry.epoch + 1}
	t.free = append(t.free, b.index)
}

// removeQueuedPrefill subtracts a booking's tokens from those that wait for prefill.
func (e *endpoint) removeQueuedPrefill(entry *booking) {
	e.ownPrefillTokens -= entry.prefillTokens
	if entry.at.After(e.report.At) {
		e.prefillSinceReport -= entry.prefillTokens
	}
}

// lookupBooking returns nil for a booking that has been released. The caller holds
// t.mu.
func (t *Table) lookupBooking(b Booking) *booking {
	if int(b.index) >= len(t.bookings) {
		return nil
	}
	entry := &t.bookings[b.index]
	if !entry.used || entry.epoch != b.epoch {
		return nil
	}
	return entry
}

// book counts a request at e. The caller holds t.mu.
func (t *Table) book(g *group, e *endpoint, prefill int, now time.Time) Booking {
	s := t.newScoring(g, &Query{}, now)
	running, queuedTokens := e.load(&s)
	if len(t.free) == 0 {
		t.bookings = append(t.bookings, booking{epoch: 1})
		t.free = append(t.free, int32(len(t.bookings)-1))
	}
	index := t.free[len(t.free)-1]
	t.free = t.free[:len(t.free)-1]
	entry := &t.bookings[index]
	*entry = booking{
		endpoint: e, group: g, epoch: entry.epoch, used: true,
		prefillTokens: prefill, queuedTokens: queuedTokens, idle: running < idleThreshold, at: now,
	}
	e.inFlight++
	e.ownPrefillTokens += prefill
	if now.After(e.report.At) {
		e.runningSinceReport++
		e.prefillSinceReport += prefill
	}
	return Booking{index: index, epoch: entry.epoch}
}
