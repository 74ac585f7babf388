package prefix_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/cicadanotch/cicadanotch/prefix"
)

const benchBlocks = 64

func benchIndex(b *testing.B) (*prefix.Index, []uint64) {
	b.Helper()
	index := prefix.NewIndex(0)
	rng := rand.New(rand.NewPCG(1, 1))
	prompt := make([]uint64, benchBlocks)
	for i := range prompt {
		prompt[i] = rng.Uint64()
	}
	for i := range prefix.MaxEndpoints {
		id := strconv.Itoa(i)
		if _, err := index.Add(id); err != nil {
			b.Fatal(err)
		}
		for range 2000 {
			_ = index.Expect(id, []uint64{rng.Uint64()}) // known endpoint
		}
		_ = index.Expect(id, prompt[:i+1]) // known endpoint
	}
	return index, prompt
}

func BenchmarkLookup64Blocks(b *testing.B) {
	index, prompt := benchIndex(b)
	var cached prefix.CachedPrefix
	b.ReportAllocs()
	for b.Loop() {
		index.Lookup(prompt, &cached)
	}
}

// BenchmarkLookup64BlocksNaive looks the same blocks up in a map of maps.
func BenchmarkLookup64BlocksNaive(b *testing.B) {
	_, prompt := benchIndex(b)
	naive := map[uint64]map[string]bool{}
	for i := range prefix.MaxEndpoints {
		for _, block := range prompt[:i+1] {
			if naive[block] == nil {
				naive[block] = map[string]bool{}
			}
			naive[block][strconv.Itoa(i)] = true
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		depth := map[string]int{}
		for i, block := range prompt {
			for id := range naive[block] {
				if depth[id] == i {
					depth[id] = i + 1
				}
			}
		}
	}
}

// BenchmarkBytesPerPair reports the most memory per (block, endpoint) pair while an index
// fills up. Each block is stored at one endpoint only, which costs most per pair.
func BenchmarkBytesPerPair(b *testing.B) {
	worst := 0.0
	for b.Loop() {
		index := prefix.NewIndex(0)
		_, _ = index.Add("e1") // the first endpoint always has a slot
		rng := rand.New(rand.NewPCG(1, 1))
		for i := range prefix.DefaultMaxBlocks {
			_ = index.Expect("e1", []uint64{rng.Uint64()}) // known endpoint
			if i < 1024 {
				continue // the smallest table has 1,024 slots
			}
			s := index.Stats()
			worst = max(worst, float64(s.Bytes)/float64(s.Blocks))
		}
	}
	b.ReportMetric(worst, "bytes/pair")
}
