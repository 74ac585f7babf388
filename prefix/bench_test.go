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
	x := prefix.NewIndex(0)
	rng := rand.New(rand.NewPCG(1, 1))
	prompt := make([]uint64, benchBlocks)
	for i := range prompt {
		prompt[i] = rng.Uint64()
	}
	for i := range prefix.MaxEndpoints {
		id := strconv.Itoa(i)
		if _, err := x.Add(id); err != nil {
			b.Fatal(err)
		}
		for range 2000 {
			_ = x.Expect(id, []uint64{rng.Uint64()}) // known endpoint
		}
		_ = x.Expect(id, prompt[:i+1]) // known endpoint
	}
	return x, prompt
}

func BenchmarkLookup64Blocks(b *testing.B) {
	x, prompt := benchIndex(b)
	var held prefix.Held
	b.ReportAllocs()
	for b.Loop() {
		x.Lookup(prompt, &held)
	}
}

// BenchmarkLookup64BlocksNaive looks the same blocks up in a map of maps.
func BenchmarkLookup64BlocksNaive(b *testing.B) {
	_, prompt := benchIndex(b)
	index := map[uint64]map[string]bool{}
	for i := range prefix.MaxEndpoints {
		for _, block := range prompt[:i+1] {
			if index[block] == nil {
				index[block] = map[string]bool{}
			}
			index[block][strconv.Itoa(i)] = true
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		depth := map[string]int{}
		for i, block := range prompt {
			for id := range index[block] {
				if depth[id] == i {
					depth[id] = i + 1
				}
			}
		}
	}
}

// BenchmarkBytesPerPair stores each block at one endpoint only, which is the
// dearest case, and reports the worst ratio on the way up.
func BenchmarkBytesPerPair(b *testing.B) {
	worst := 0.0
	for b.Loop() {
		x := prefix.NewIndex(0)
		_, _ = x.Add("e1") // the first endpoint has a place
		rng := rand.New(rand.NewPCG(1, 1))
		for i := range prefix.DefaultMaxBlocks {
			_ = x.Expect("e1", []uint64{rng.Uint64()}) // known endpoint
			if i < 1024 {
				continue // a table is never smaller than this
			}
			s := x.Stats()
			worst = max(worst, float64(s.Bytes)/float64(s.Blocks))
		}
	}
	b.ReportMetric(worst, "bytes/pair")
}
