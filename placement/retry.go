package placement

import (
	"time"

	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// retryInterval is the least time between two requests of all hosts that try a slow endpoint again.
const retryInterval = time.Second

// retry returns a slow endpoint that is due to be tried again, if the request has the slack for it.
func (t *Table) retry(now time.Time, q *Query, candidates []Candidate, chain []uint64, tokens []int) (Choice, bool) {
	for i := range candidates {
		c := &candidates[i]
		if !c.Speed.Retry || c.Region != q.Region || c.Suspect || c.FailureShare > 0 || q.Excluded[c.ID] {
			continue
		}
		r, interval := t.row(c.ID), retryInterval*time.Duration(t.hosts)
		if load := r.own.Plus(r.peers); load.Prefill > 0 || load.Requests > 0 && c.CacheTokens == 0 {
			continue // it would wait there
		}
		if r.retriedAt.IsZero() {
			// Hosts that learn at the same time that it is due try it one after the other.
			r.retriedAt = now.Add(-time.Duration(rendezvous.Score(t.host, c.ID) % uint64(interval)))
		}
		cached := r.cachedPrefixTokens(chain, tokens)
		terms, share := r.terms(now, q, c, cached, t)
		if now.Sub(r.retriedAt) < interval || terms.FirstToken() > q.SlackMS/2 || terms.Overflow > 0 {
			continue
		}
		r.retriedAt = now
		terms.Recompute = recomputeCost(sharedTokens(q.Parts) - cached)
		return t.choice(q, c, terms, share, cached, chain, tokens), true
	}
	return Choice{}, false
}

// choice returns the choice of a candidate, not booked yet.
func (t *Table) choice(q *Query, c *Candidate, terms Terms, share float64, cached int, chain []uint64, tokens []int) Choice {
	r := t.row(c.ID)
	return Choice{
		Candidate: *c, Terms: terms, CachedTokens: cached, service: q.Service, ahead: r.prefillAhead(q.Priority),
		inProgress: r.own.Requests + r.peers.Requests, share: share, chain: chain, tokens: tokens,
	}
}
