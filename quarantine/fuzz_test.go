package quarantine_test

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/quarantine"
)

// FuzzMergeOrder guards against hosts that reach different verdicts from the same records: whatever the order and however
// often records arrive, the verdicts are equal, and what is stored stays bounded.
func FuzzMergeOrder(f *testing.F) {
	f.Add(uint64(1), uint8(10))
	f.Add(uint64(2), uint8(60))
	f.Add(uint64(3), uint8(200))
	f.Fuzz(func(t *testing.T, seed uint64, count uint8) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 0))
		now := start.Add(time.Minute)
		records := make([]quarantine.Death, 0, count)
		for range count {
			records = append(records, randomRecord(rng))
		}
		first, second := quarantine.NewTable(), quarantine.NewTable()
		for _, d := range records {
			first.Add(now, d)
		}
		for range 2 {
			rng.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
			for _, d := range records {
				second.Add(now, d)
			}
		}
		is.Equal(len(first.Deaths(now)), len(second.Deaths(now)))
		for request := range uint64(8) {
			for part := range uint64(6) {
				parts := []uint64{100 + part, 103 + part}
				is.Equal(first.Judge(now, request, parts).Verdict, second.Judge(now, request, parts).Verdict)
			}
		}
		for _, d := range second.Deaths(now) {
			_, err := json.Marshal(d)
			is.NoErr(err)
			is.True(len(d.Running) <= 8 && len(d.Parts) <= 9) // merged, not appended
		}
	})
}

// randomRecord returns what one host knows of the death of one of 6 endpoints.
func randomRecord(rng *rand.Rand) quarantine.Death {
	n := rng.IntN(6)
	// The time, zone and announcement are those of the death; hosts differ in what they had running there.
	d := quarantine.Death{
		Endpoint: string(rune('a' + n)), Incarnation: "1", Zone: string(rune('x' + n%2)),
		At: start.Add(time.Duration(n) * 1300 * time.Millisecond), Announced: n == 5,
	}
	for range rng.IntN(4) {
		d.Running = append(d.Running, rng.Uint64N(8))
	}
	for range rng.IntN(4) {
		d.Parts = append(d.Parts, 100+rng.Uint64N(9))
	}
	if rng.IntN(4) == 0 && len(d.Running) > 0 {
		d.Cleared = append(d.Cleared, d.Running[0])
	}
	if rng.IntN(4) == 0 {
		d.ClearedParts = append(d.ClearedParts, 100+rng.Uint64N(9))
	}
	return d
}
