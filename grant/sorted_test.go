package grant

import (
	"iter"
	"maps"
	"slices"
)

// sorted iterates over a map in the order of its keys.
func sorted[V any](m map[string]V) iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if !yield(k, m[k]) {
				return
			}
		}
	}
}
