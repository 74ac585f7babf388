package placement

import (
	"slices"
	"time"
)

// An engine may fetch the parts of a prompt that another engine has cached, instead of prefilling them: a part of
// 13,000 tokens takes some 60 ms on the engines' network and 300 ms to prefill.
//
// Load pattern: prompts with long parts that a hundred subjects share, each asked for every few seconds. Without
// fetches a prompt either waits at the engine that has its parts, or is prefilled anew, and the prompts behind it
// wait for that.

const (
	// fetchSetupMS is the time until the first byte of a fetch arrives.
	fetchSetupMS = 6.0
	// minFetchTokens is the least number of tokens that are fetched.
	minFetchTokens = 256
	// fetchZoneFactor is how much longer a fetch from another zone may take.
	fetchZoneFactor = 2.0
	// fetchCostMS expresses the cost of fetching 1,000 tokens as delay.
	fetchCostMS = 6.0
	// fetchableTime is how long after its last use a part is expected to be still cached where it was prefilled.
	fetchableTime = 20 * time.Second
)

// Fetch is a transfer of cached parts from another engine before the prefill.
type Fetch struct {
	// Source is the id of the engine that has the parts; empty for none.
	Source string
	// Tokens are those that are transferred.
	Tokens int
	// MS is the time until they have arrived, with the wait for earlier transfers of the source, in milliseconds.
	MS float64
}

// fetchSource is an engine that has more of a prompt than others.
type fetchSource struct {
	Candidate
	tokens int
	row    *row
}

// fetchSources returns the engines that are known to have prefilled the longest part of a prompt, one for each zone.
func (t *Table) fetchSources(now time.Time, q *Query, candidates []Candidate, chain []uint64, tokens []int) []fetchSource {
	if q.FetchTokenMS <= 0 || len(chain) < 2 {
		return nil
	}
	var out []fetchSource
	for i := range candidates {
		c := &candidates[i]
		r, ok := t.rows[c.ID]
		if !ok || c.Suspect {
			continue
		}
		n := r.prefilledPrefixTokens(now, chain, tokens)
		if n < minFetchTokens {
			continue
		}
		switch at := slices.IndexFunc(out, func(s fetchSource) bool { return s.Zone == c.Zone }); {
		case at < 0:
			out = append(out, fetchSource{*c, n, r})
		case n > out[at].tokens || n == out[at].tokens && r.linkFreeAt.Before(out[at].row.linkFreeAt):
			out[at] = fetchSource{*c, n, r}
		}
	}
	return out
}

// prefilledPrefixTokens returns the tokens of the longest prefix of a prompt that the endpoint has prefilled.
func (r *row) prefilledPrefixTokens(now time.Time, chain []uint64, tokens []int) int {
	sum := 0
	for i, h := range chain {
		if p, ok := r.cached[h]; !ok || !p.prefilled || now.Sub(p.usedAt) > fetchableTime {
			break
		}
		sum += tokens[i]
	}
	return sum
}

// fetchFor returns the transfer that brings a candidate, which has cached tokens of the prompt, most of the
// rest; zero if none does. Engines of other regions are no sources, since the link between regions is slow.
func fetchFor(now time.Time, q *Query, c *Candidate, cached int, sources []fetchSource) Fetch {
	var best Fetch
	for _, s := range sources {
		n := s.tokens - cached
		if s.ID == c.ID || s.Region != c.Region || s.Software != c.Software || n < minFetchTokens || n < best.Tokens {
			continue
		}
		ms := float64(n) * q.FetchTokenMS
		if s.Zone != c.Zone {
			ms *= fetchZoneFactor
		}
		ms += fetchSetupMS + max(s.row.linkFreeAt.Sub(now).Seconds()*1000, 0)
		if n > best.Tokens || ms < best.MS {
			best = Fetch{s.ID, n, ms}
		}
	}
	return best
}

// bookFetch books the transfer of a choice on the link of its source.
func (t *Table) bookFetch(now time.Time, c *Choice) {
	if c.Fetch.Source == "" {
		return
	}
	r := t.row(c.Fetch.Source)
	if end := now.Add(time.Duration(c.Fetch.MS * float64(time.Millisecond))); end.After(r.linkFreeAt) {
		r.linkFreeAt = end
	}
}

// CachedPart tells that an engine has prefilled a part of prompts.
type CachedPart struct {
	Endpoint string `json:"e"`
	// Chain identifies the part together with all parts before it.
	Chain  uint64 `json:"c"`
	Tokens int    `json:"t"`
}

const (
	// maxCachedNews bounds the parts that are kept until they are told.
	maxCachedNews = 1000
	// maxToldParts bounds the parts of an endpoint of which other hosts have told: what it displaces is not told.
	maxToldParts = 2000
)

// TakeCachedNews returns the shared parts that engines have prefilled since the last call.
func (t *Table) TakeCachedNews() []CachedPart {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := t.cachedNews
	t.cachedNews = nil
	return news
}

// AddCached records the parts that engines have prefilled for another host. Parts without tokens are left out.
func (t *Table) AddCached(now time.Time, news []CachedPart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range news {
		if n.Tokens <= 0 {
			continue
		}
		r := t.row(n.Endpoint)
		if _, ok := r.cached[n.Chain]; !ok {
			r.cachedTokens += n.Tokens
		}
		r.cached[n.Chain] = cachedPart{n.Tokens, now, true}
		if len(r.cached) > maxToldParts {
			r.evict(r.cachedTokens / 2)
		}
	}
}

// recordCached keeps the shared parts of a choice that has been prefilled, until they are told.
func (t *Table) recordCached(c *Choice) {
	for i := 0; !c.adopted && i+1 < len(c.chain) && len(t.cachedNews) < maxCachedNews; i++ {
		t.cachedNews = append(t.cachedNews, CachedPart{c.ID, c.chain[i], c.tokens[i]})
	}
}
