// Package rendezvous implements rendezvous hashing (highest random weight): it ranks
// names for a key, so that processes with the same list of names agree without
// communication. Removing a name moves only the keys that it was chosen for.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the score of a name for a key: its pseudorandom weight. It is the same in
// every process and version, so that hosts agree.
func Score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // never fails
	_, _ = d.Write([]byte{0}) // never fails
	_, _ = d.WriteString(name)
	return mix(d.Sum64())
}

// mix is a 64-bit finalizer: it makes each input bit affect all output bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Rank returns the names in descending order of their score for key. Equal scores are
// ordered by name.
func Rank(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	rows := make([]scored, len(names))
	for i, name := range names {
		rows[i] = scored{name, Score(key, name)}
	}
	slices.SortFunc(rows, func(a, b scored) int {
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

// Top returns the n names with the highest scores for key, highest first; all names if
// there are fewer.
func Top(key string, names []string, n int) []string {
	ranked := Rank(key, names)
	return ranked[:min(n, len(ranked))]
}
