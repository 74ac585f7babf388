package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// homesOf returns the endpoint that all hosts prefer for a key, and the next. Parts
// that cost more to read again than the way to another region have one home for all
// regions, the others one in each.
//
// Load pattern: a thousand subjects with parts of some thousand tokens are asked for
// from everywhere, each every few seconds. With a home in each region half of the
// requests read again what the other region holds.
func homesOf(q *Query, candidates []Candidate) (home, second string) {
	if q.Key == "" {
		return "", ""
	}
	tokens := float64(sharedTokens(q.Parts))
	everywhere := rereadMS*tokens/1000+tokens/prefillPerMS > regionMS+regionBytesMS
	var high, next uint64
	for i := range candidates {
		c := &candidates[i]
		if c.Suspect || (c.Region != q.Region && !everywhere) {
			continue
		}
		switch s := rendezvous.Score(q.Key, c.ID); {
		case home == "" || s > high:
			second, next = home, high
			home, high = c.ID, s
		case second == "" || s > next:
			second, next = c.ID, s
		}
	}
	return home, second
}

func sharedTokens(parts []Part) int {
	sum := 0
	for i := 0; i+1 < len(parts); i++ {
		sum += parts[i].Tokens
	}
	return sum
}

// chainOf returns the chained hashes of a prompt's parts: a part is cached only
// together with all before it.
func chainOf(parts []Part) ([]uint64, []int) {
	chain, tokens := make([]uint64, len(parts)), make([]int, len(parts))
	d := xxhash.New()
	for i, p := range parts {
		_, _ = d.WriteString(p.ID + "\x00") // never fails; see xxhash
		chain[i], tokens[i] = d.Sum64(), p.Tokens
	}
	return chain, tokens
}

func (r *row) heldTokens(chain []uint64, tokens []int) int {
	sum := 0
	for i, h := range chain {
		if _, ok := r.cached[h]; !ok {
			break
		}
		sum += tokens[i]
	}
	return sum
}
