package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// preferredEndpoints returns the endpoint that all hosts prefer for a key and the second
// one: those with the highest and the second highest rendezvous score for the key, of
// the endpoints that are not suspect. If recomputing
// the shared parts costs more than a call to another region, all regions have the same
// preferred endpoint; otherwise each region has its own.
//
// The expected load is a thousand keys, each with shared parts of some thousand tokens,
// requested from all regions, each key every few seconds. With a preferred endpoint in
// each region, half of the requests recompute parts that the other region has cached.
func preferredEndpoints(q *Query, candidates []Candidate) (preferred, second string) {
	if q.Key == "" {
		return "", ""
	}
	tokens := float64(sharedTokens(q.Parts))
	allRegions := recomputeMS*tokens/1000+tokens*defaultPace.TokenMS > regionRTTMS+regionTransferMS
	var highest, next uint64
	for i := range candidates {
		c := &candidates[i]
		if c.Suspect || (c.Region != q.Region && !allRegions) {
			continue
		}
		switch s := rendezvous.Score(q.Key, c.ID); {
		case preferred == "" || s > highest:
			second, next = preferred, highest
			preferred, highest = c.ID, s
		case second == "" || s > next:
			second, next = c.ID, s
		}
	}
	return preferred, second
}

// sharedTokens returns the length of all parts but the last, which is the request's own.
func sharedTokens(parts []Part) int {
	sum := 0
	for i := 0; i+1 < len(parts); i++ {
		sum += parts[i].Tokens
	}
	return sum
}

// chainHashes returns, for each part of a prompt, the hash of it and all parts before it,
// and its tokens. The hashes are chained because a cached part is usable only together
// with all parts before it.
func chainHashes(parts []Part) ([]uint64, []int) {
	chain, tokens := make([]uint64, len(parts)), make([]int, len(parts))
	d := xxhash.New()
	for i, p := range parts {
		_, _ = d.WriteString(p.ID + "\x00") // xxhash never returns an error
		chain[i], tokens[i] = d.Sum64(), p.Tokens
	}
	return chain, tokens
}

// cachedPrefixTokens returns the tokens of the longest prefix of a prompt that is cached.
func (r *row) cachedPrefixTokens(chain []uint64, tokens []int) int {
	sum := 0
	for i, h := range chain {
		if _, ok := r.cached[h]; !ok {
			break
		}
		sum += tokens[i]
	}
	return sum
}

// addCached adds a prompt's parts to those assumed to be cached at the endpoint.
func (r *row) addCached(now time.Time, c *Choice) {
	if c.CacheTokens == 0 {
		return
	}
	for i, h := range c.chain {
		if _, ok := r.cached[h]; !ok {
			r.cachedTokens += c.tokens[i]
			c.added = append(c.added, h)
		}
		r.cached[h] = cachedPart{c.tokens[i], now, r.cached[h].prefilled}
	}
	if limit := int(maxRetainedShare * float64(c.CacheTokens)); r.cachedTokens > limit {
		r.evict(limit * 9 / 10)
	}
}

// confirmCached records that the endpoint has prefilled the prompt of a choice.
func (r *row) confirmCached(c *Choice) {
	for _, h := range c.chain {
		if p, ok := r.cached[h]; ok {
			p.prefilled = true
			r.cached[h] = p
		}
	}
}

// evict removes the least recently used parts until at most limit tokens remain.
func (r *row) evict(limit int) {
	type hashedPart struct {
		hash uint64
		cachedPart
	}
	parts := make([]hashedPart, 0, len(r.cached))
	for h, p := range r.cached {
		parts = append(parts, hashedPart{h, p})
	}
	slices.SortFunc(parts, func(a, b hashedPart) int { return a.usedAt.Compare(b.usedAt) })
	for _, p := range parts {
		if r.cachedTokens <= limit {
			return
		}
		delete(r.cached, p.hash)
		r.cachedTokens -= p.tokens
	}
}
