package placement

import (
	"math"
	"time"

	"github.com/cicadanotch/cicadanotch/speed"
)

// attentionParityTokens is the position in a prompt at which the attention of a token
// takes as long as the rest of the token's prefill. The rest is the same for all tokens;
// attention grows with the number of tokens before, so it is quadratic in the prompt
// length. The engines of the deployments take 0.17 to 0.28 ms for the attention of a
// million token pairs.
const attentionParityTokens = 100_000

// prefillWork returns the prefill time of a prompt as a number of tokens: those of a short
// prompt, without notable attention, that takes as long. The first cached tokens of the
// prompt need no prefill; the mean position of the others is (prompt+cached)/2.
func prefillWork(prompt, cached int) int {
	uncached := float64(max(prompt-cached, 0))
	return int(uncached * (1 + float64(prompt+cached)/2/attentionParityTokens))
}

// Terms are the terms of an endpoint's score, in milliseconds.
type Terms struct {
	// Queue is the wait for the prompts queued ahead, Slot the wait for a slot in
	// the batch, Prefill the prefill of the request's own prompt, Network the
	// network round trip. At a cold endpoint Prefill includes coldPenaltyMS, also for
	// a service without engines.
	Queue   float64
	Slot    float64
	Prefill float64
	Network float64
	// Transfer is the cost of the network transfer, Failure the expected cost of
	// failures and of a suspect endpoint. These costs and the following are expressed
	// as delay.
	Transfer float64
	Failure  float64
	// Overflow is the cost of a request that does not fit into the KV cache.
	Overflow float64
	// Recompute is the cost of recomputing shared parts that the endpoint is not
	// expected to have cached.
	Recompute float64
	// Fetch is the wait for cached parts of another engine.
	Fetch float64
}

// FirstToken returns the expected time to the first token, in milliseconds.
func (t Terms) FirstToken() float64 { return t.Queue + t.Slot + t.Fetch + t.Prefill + t.Network }

// Score returns the sum of all terms; the endpoint with the lowest score is chosen.
func (t Terms) Score() float64 {
	return t.FirstToken() + t.Transfer + t.Failure + t.Overflow + t.Recompute
}

// decayArrivals brings the arrival rates up to now.
func (r *row) decayArrivals(now time.Time) {
	if !r.arrivedAt.IsZero() {
		weight := math.Exp(-float64(now.Sub(r.arrivedAt)) / float64(arrivalWindow))
		for i := range r.arrivals {
			r.arrivals[i] *= weight
		}
	}
	r.arrivedAt = now
}

// arrivalRate returns what prefill work adds to the arrivals when it is booked.
func arrivalRate(prefill int) float64 {
	return float64(prefill) / float64(arrivalWindow.Milliseconds())
}

// withdraw takes back the arrival and the cached parts of a choice whose prompt is not prefilled.
func (r *row) withdraw(c *Choice) {
	if c.booked.Prefill > 0 {
		remaining := arrivalRate(c.booked.Prefill) * math.Exp(-float64(r.arrivedAt.Sub(c.bookedAt))/float64(arrivalWindow))
		r.arrivals[c.priority] = max(r.arrivals[c.priority]-remaining, 0)
	}
	for _, h := range c.added {
		if p, ok := r.cached[h]; ok && !p.usedAt.After(c.bookedAt) {
			r.cachedTokens -= p.tokens
			delete(r.cached, h)
		}
	}
	c.added = nil
}

// urgentShare returns the fraction of the engine's time that the arrivals of more urgent requests take.
// The engine serves those first, also if they come later, so that a request gets only the rest of its
// time (Cobham's formula for priorities).
func (r *row) urgentShare(now time.Time, priority int, tokenMS float64) float64 {
	if r.arrivedAt.IsZero() {
		return 0
	}
	rate := 0.0
	for i := range min(priority, len(r.arrivals)) {
		rate += r.arrivals[i]
	}
	return min(rate*math.Exp(-float64(now.Sub(r.arrivedAt))/float64(arrivalWindow))*tokenMS, maxUrgentShare)
}

// prefillAhead returns the prefill work that the engine serves before a request of a priority.
func (r *row) prefillAhead(priority int) int {
	sum := r.peers.Prefill
	for i := range min(priority, LowestPriority) + 1 {
		sum += r.prefill[i]
	}
	return sum
}

// terms returns the terms of an endpoint's score for a query, except Recompute. cached is
// the number of prompt tokens expected to be cached. It also returns the urgentShare.
func (r *row) terms(now time.Time, q *Query, c *Candidate, cached int, table *Table) (terms Terms, share float64) {
	load := r.own.Plus(r.peers)
	factor, slots := 1.0, c.Slots
	if c.Speed.Known() {
		factor, slots = c.Speed.Pace, c.Speed.Takes(c.Slots)
	}
	if q.PromptTokens > 0 {
		pace := table.pace(q.Service)
		share = r.urgentShare(now, q.Priority, pace.TokenMS*factor)
		workMS := pace.TokenMS * factor / (1 - share)
		terms.Queue = float64(r.prefillAhead(q.Priority)) * workMS
		terms.Prefill = pace.FirstMS*factor + float64(prefillWork(q.PromptTokens, cached))*workMS
		if slots > 0 && load.Requests >= slots {
			terms.Slot = float64(load.Requests-slots+1) / float64(slots) * table.meanAnswerTokens * tokenMS
		}
		if over := float64(load.Context+q.PromptTokens+q.MaxAnswerTokens) - maxCacheFill*float64(c.CacheTokens); c.CacheTokens > 0 && over > 0 {
			terms.Overflow = overflowMS * (1 + over/float64(c.CacheTokens))
		}
	} else {
		slots, callMS := max(slots, 1), callSlotMS
		if c.Speed.Known() && c.Speed.UnitMS > 0 {
			callMS = c.Speed.UnitMS
			terms.Prefill = callMS * factor
		}
		terms.Slot = callMS * factor * float64(max(load.Requests-slots+1, 0)) / float64(slots)
		terms.Queue = callMS / 4 * factor * float64(load.Requests) / float64(slots)
	}
	if c.Cold {
		terms.Prefill += coldPenaltyMS
	}
	switch {
	case c.Region != q.Region:
		terms.Network, terms.Transfer = regionRTTMS, regionTransferMS
	case c.Zone != q.Zone:
		terms.Network, terms.Transfer = zoneRTTMS, zoneTransferMS
	}
	terms.Failure = failureMS * c.FailureShare
	if c.Suspect {
		terms.Failure += suspectPenaltyMS
	}
	return terms, share
}

// Started records the first token of the request that c was chosen for: its prefill is
// done. waited is the time since the request was sent. It returns what that shows of the endpoint's speed;
// ok is false if it shows nothing.
func (t *Table) Started(c *Choice, waited time.Duration) (sample speed.Sample, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(c.ID)
	sample, ok = c.sample(waited, t.pace(c.service))
	if c.showsPace() {
		t.paceOf(c.service).observe(float64(c.ahead+c.booked.Prefill), (float64(waited.Microseconds())/1000-c.Terms.Network)*(1-c.share))
	}
	r.prefilled(c)
	r.confirmCached(c)
	t.recordCached(c)
	return sample, ok
}

// sample returns what a first token shows of the endpoint's speed. Work that was ahead of the request may be
// done sooner or later than its share of the time, so little of it may be ahead.
func (c *Choice) sample(waited time.Duration, pace Pace) (speed.Sample, bool) {
	// minTimeMS is added to both times, in milliseconds, because the ratio of two short times is not
	// significant.
	const maxAheadShare, maxPassedShare, minTimeMS = 2, 0.5, 10
	own := float64(c.booked.Prefill)
	if c.adopted || c.Terms.Fetch > 0 || own == 0 || float64(c.ahead) > maxAheadShare*own || c.share > maxPassedShare || c.Cold || c.Suspect {
		return speed.Sample{}, false
	}
	took := (float64(waited.Microseconds())/1000 - c.Terms.Network) * (1 - c.share)
	return speed.Sample{
		ExpectedMS: pace.FirstMS + (float64(c.ahead)+own)*pace.TokenMS + minTimeMS, TookMS: max(took, 0) + minTimeMS,
		InProgress: c.inProgress, Slots: c.Slots,
	}, true
}

// prefilled removes the booked prefill work of a choice.
func (r *row) prefilled(c *Choice) {
	r.own.Prefill -= c.booked.Prefill
	r.prefill[c.priority] -= c.booked.Prefill
	c.booked.Prefill = 0
	c.added = nil
}

// showsPace reports whether the time to the first token of a choice shows the pace of the endpoint: little
// work was ahead of the request, and few requests have passed it. In an overload no choice does, so that
// the pace does not seem slower than it is.
func (c *Choice) showsPace() bool {
	const maxAheadShare, maxPassedShare = 0.5, 0.3
	return !c.adopted && c.Terms.Fetch == 0 && c.booked.Prefill > 0 && float64(c.ahead) <= maxAheadShare*float64(c.booked.Prefill) &&
		c.share <= maxPassedShare && c.Terms.Slot == 0 && !c.Cold && !c.Suspect
}

func (t *Table) paceOf(service string) *paceEstimate {
	e, ok := t.paces[service]
	if !ok {
		e = &paceEstimate{}
		t.paces[service] = e
	}
	return e
}
