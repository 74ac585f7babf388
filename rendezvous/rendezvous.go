// Package rendezvous ranks names for a key by highest random weight, so that
// processes that know the same names agree without talking. Taking a name out
// moves only the keys that had chosen it.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of a name for a key. It is the same in every
// process and version.
func Score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // never fails
	_, _ = d.Write([]byte{0}) // never fails
	_, _ = d.WriteString(name)
	return mix(d.Sum64())
}

// mix spreads the bits of similar inputs over the whole word.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Rank returns the names in falling order of their weight for key.
func Rank(key string, names []string) []string {
	type weighed struct {
		name  string
		score uint64
	}
	rows := make([]weighed, len(names))
	for i, name := range names {
		rows[i] = weighed{name, Score(key, name)}
	}
	slices.SortFunc(rows, func(a, b weighed) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	out := make([]string, len(rows))
	for i, row := range rows {
		out[i] = row.name
	}
	return out
}

// Top returns the n names of the highest weight for key, best first.
func Top(key string, names []string, n int) []string {
	ranked := Rank(key, names)
	return ranked[:min(n, len(ranked))]
}
