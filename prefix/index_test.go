package prefix_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
)

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

func stored(seq int64, blocks ...uint64) port.CacheEvent {
	return port.CacheEvent{Sequence: seq, Kind: port.CacheStored, Blocks: blocks}
}

func removed(seq int64, blocks ...uint64) port.CacheEvent {
	return port.CacheEvent{Sequence: seq, Kind: port.CacheRemoved, Blocks: blocks}
}

func cachedBlocks(x *prefix.Index, slot int, blocks ...uint64) int {
	var cached prefix.CachedPrefix
	x.Lookup(blocks, &cached)
	return int(cached.Blocks[slot])
}

// step is a batch of events that arrives at a time after the start.
type step struct {
	at     time.Duration
	events []port.CacheEvent
}

func TestApplyEvents(t *testing.T) {
	const second = time.Second
	for name, tc := range map[string]struct {
		steps    []step
		cached   int
		doubtful bool
	}{
		"in order":                        {[]step{{0, []port.CacheEvent{stored(1, 1, 2), stored(2, 3)}}}, 3, false},
		"out of order":                    {[]step{{0, []port.CacheEvent{stored(1, 1, 2), removed(3, 3), stored(2, 3)}}}, 2, false},
		"one batch late":                  {[]step{{0, []port.CacheEvent{stored(1, 1, 2), removed(3, 3)}}, {second / 2, []port.CacheEvent{stored(2, 3)}}}, 2, false},
		"duplicated":                      {[]step{{0, []port.CacheEvent{stored(1, 1, 2, 3), removed(2, 3)}}, {0, []port.CacheEvent{stored(1, 1, 2, 3)}}}, 2, false},
		"gap still open":                  {[]step{{0, []port.CacheEvent{stored(1, 1), stored(3, 2)}}}, 1, false},
		"gap timed out":                   {[]step{{0, []port.CacheEvent{stored(1, 1), stored(3, 2)}}, {second, nil}}, 2, true},
		"store after its gap timed out":   {[]step{{0, []port.CacheEvent{stored(1, 1), stored(3, 2)}}, {second, nil}, {second, []port.CacheEvent{stored(2, 3)}}}, 2, true},
		"removal after its gap timed out": {[]step{{0, []port.CacheEvent{stored(1, 1), stored(3, 2)}}, {second, nil}, {second, []port.CacheEvent{removed(2, 2)}}}, 1, true},
		"first event seen is 90":          {[]step{{0, []port.CacheEvent{stored(90, 1, 2)}}}, 2, false},
		"cleared":                         {[]step{{0, []port.CacheEvent{stored(1, 1, 2), {Sequence: 2, Kind: port.CacheCleared}}}}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := prefix.NewIndex(0)
			slot, err := x.Add("e1")
			is.NoErr(err)
			for _, s := range tc.steps {
				is.NoErr(x.Apply("e1", s.events, start.Add(s.at)))
			}
			is.Equal(cachedBlocks(x, slot, 1, 2, 3), tc.cached)
			is.Equal(x.Confidence("e1") < 1, tc.doubtful)
		})
	}
}

func TestIdentifyDropsAfterRestartOrModelChange(t *testing.T) {
	for name, tc := range map[string]struct {
		incarnation string
		models      []string
		dropped     bool
	}{
		"same":         {"a", []string{"m"}, false},
		"restarted":    {"b", []string{"m"}, true},
		"model change": {"a", []string{"m", "n"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := prefix.NewIndex(0)
			slot, _ := x.Add("e1")
			other, _ := x.Add("e2")
			_, err := x.Identify("e1", "a", []string{"m"})
			is.NoErr(err)
			is.NoErr(x.Apply("e1", []port.CacheEvent{stored(7, 1, 2)}, start))
			is.NoErr(x.Expect("e2", []uint64{1}))
			dropped, err := x.Identify("e1", tc.incarnation, tc.models)
			is.NoErr(err)
			is.Equal(dropped, tc.dropped)
			is.Equal(cachedBlocks(x, slot, 1, 2) == 0, tc.dropped)
			is.Equal(cachedBlocks(x, other, 1, 2), 1) // entries of the other endpoint are unchanged
			if tc.dropped {
				is.NoErr(x.Apply("e1", []port.CacheEvent{stored(1, 1)}, start)) // a new process numbers its events from 1
				is.Equal(cachedBlocks(x, slot, 1, 2), 1)
			}
		})
	}
}

func TestAnswersCorrectConfidence(t *testing.T) {
	is := is.New(t)
	x := prefix.NewIndex(0)
	_, err := x.Add("e1")
	is.NoErr(err)
	for range 40 {
		is.NoErr(x.RecordAnswer("e1", 4, 0))
	}
	low := x.Confidence("e1")
	is.True(low < 0.5)
	is.True(low > 0)
	for range 40 {
		is.NoErr(x.RecordAnswer("e1", 4, 4*prefix.BlockTokens))
	}
	is.True(x.Confidence("e1") > 0.9)
}

func TestIndexIsBounded(t *testing.T) {
	is := is.New(t)
	const limit = 4096
	x := prefix.NewIndex(limit)
	slot, _ := x.Add("e1")
	rng := rand.New(rand.NewPCG(1, 2))
	hot := []uint64{11, 12, 13}
	for range 4 * limit {
		_ = x.Expect("e1", []uint64{rng.Uint64()}) // e1 is known
	}
	is.Equal(x.Stats().Blocks, limit)
	is.NoErr(x.Expect("e1", hot))
	for range limit {
		_ = x.Expect("e1", []uint64{rng.Uint64()}) // e1 is known
		cachedBlocks(x, slot, hot...)
	}
	is.Equal(cachedBlocks(x, slot, hot...), len(hot)) // blocks in use are not evicted
	is.Equal(x.Stats().Blocks, limit)
}

// TestTableAgainstMap guards against entries lost or duplicated by the probing, growth
// and deletion of the hash table: random changes run on an Index and on a plain map.
func TestTableAgainstMap(t *testing.T) {
	is := is.New(t)
	x := prefix.NewIndex(0)
	for i := range 4 {
		_, err := x.Add(strconv.Itoa(i))
		is.NoErr(err)
	}
	type pair struct {
		block    uint64
		endpoint int
	}
	want := map[pair]bool{}
	rng := rand.New(rand.NewPCG(3, 4))
	for range 20_000 {
		p := pair{rng.Uint64N(200) << 20, rng.IntN(4)} // equal low bits: keys collide, so probe sequences are long
		id := strconv.Itoa(p.endpoint)
		if rng.IntN(3) == 0 {
			_ = x.Retract(id, []uint64{p.block}) // id is known
			delete(want, p)
		} else {
			_ = x.Expect(id, []uint64{p.block}) // id is known
			want[p] = true
		}
	}
	x.Remove("2")
	for p := range want {
		if got := cachedBlocks(x, p.endpoint, p.block) == 1; got != (p.endpoint != 2) {
			t.Fatalf("block %d at endpoint %d: cached %v", p.block, p.endpoint, got)
		}
	}
	blocks := map[uint64]bool{}
	for p := range want {
		if p.endpoint != 2 {
			blocks[p.block] = true
		}
	}
	is.Equal(x.Stats().Blocks, len(blocks))
}

func TestTooManyEndpoints(t *testing.T) {
	is := is.New(t)
	x := prefix.NewIndex(0)
	for i := range prefix.MaxEndpoints {
		_, err := x.Add(strconv.Itoa(i))
		is.NoErr(err)
	}
	slot, err := x.Add("one more")
	is.True(err != nil)
	is.Equal(slot, -1)
	x.Remove("5")
	slot, err = x.Add("one more")
	is.NoErr(err)
	is.Equal(slot, 5)
}
