package memory

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// part is one part of the memory limit of the tests, in bytes; bodies get five of them.
const part = 100

func newTestAccount() *Account { return NewAccount(partsOfLimit * part) }

func (h *Hold) isGranted() bool {
	select {
	case <-h.Granted():
		return true
	default:
		return false
	}
}

// TestOneOwnerLeavesRoom guards against an owner that uses all of a pool so that another one gets nothing.
func TestOneOwnerLeavesRoom(t *testing.T) {
	for _, faulty := range []int{1, 4, 16} {
		t.Run(fmt.Sprint(faulty), func(t *testing.T) {
			is := is.New(t)
			a := newTestAccount()
			revoked := 0
			for range 100 {
				for n := range faulty {
					a.Claim(KindBody, fmt.Sprint("faulty-", n), 10, func() { revoked++ })
				}
			}
			held, limit := a.Usage(KindBody)
			is.True(held <= limit)
			is.True(held >= limit*7/10) // an owner that is alone may use most of it
			sound := a.Claim(KindBody, "sound", 10, nil)
			for n := range faulty { // those that were revoked give way
				o := a.pools[KindBody].owners[fmt.Sprint("faulty-", n)]
				for _, h := range o.holds {
					if h.Revoked() {
						h.Release()
						break
					}
				}
			}
			is.True(sound.isGranted())
			is.True(revoked <= 1)
		})
	}
}

// TestLargestOwnerGivesWay: what is revoked is of the owner that holds most, the latest first, and what is kept is not.
func TestLargestOwnerGivesWay(t *testing.T) {
	is := is.New(t)
	a := newTestAccount()
	var revoked []string
	claim := func(owner, name string, bytes int64) *Hold {
		return a.Claim(KindBody, owner, bytes, func() { revoked = append(revoked, name) })
	}
	first, second := claim("large", "first", 200), claim("large", "second", 150)
	other := claim("middle", "other", 100)
	is.True(first.isGranted() && second.isGranted() && other.isGranted())
	is.True(second.Keep())
	small := claim("small", "small", 60)
	is.Equal(revoked, []string{"first"})
	is.True(first.Revoked() && !first.Keep())
	is.True(!small.isGranted()) // its bytes are still held
	first.Release()
	is.True(small.isGranted())
	last := claim("last", "last", 500)
	is.True(!last.isGranted())
	is.Equal(len(revoked), 1) // nobody holds more than it would
	last.Release()
	for _, h := range []*Hold{second, other, small} {
		h.Release()
	}
	held, _ := a.Usage(KindBody)
	is.Equal(held, int64(0))
	is.Equal(len(a.pools[KindBody].owners), 0)
}

// TestGrow: what grows has room at once, as the owner that holds most gives way, or is told that there is none.
func TestGrow(t *testing.T) {
	is := is.New(t)
	a := newTestAccount()
	revoked := 0
	var faulty []*Hold
	for range 20 {
		h := a.Open(KindAnswer, "faulty", func() { revoked++ })
		if h.Grow(10) {
			faulty = append(faulty, h)
		}
	}
	is.Equal(len(faulty), 8) // four fifths
	sound := a.Open(KindAnswer, "sound", nil)
	is.True(sound.Grow(20))
	is.Equal(revoked, 0)
	is.True(sound.Grow(30))
	is.Equal(revoked, 1)
	is.True(!faulty[7].Grow(20)) // the latest
	is.True(!sound.Grow(200))
	sound.Shrink(10)
	held, _ := a.Usage(KindAnswer)
	is.Equal(held, int64(90))
}

// TestSmallBodiesDoNotQueueBehindLongOnes guards against small bodies that wait while long ones of the same owner do.
func TestSmallBodiesDoNotQueueBehindLongOnes(t *testing.T) {
	is := is.New(t)
	a := newTestAccount()
	for range 10 {
		a.Claim(KindBody, "w", 100, nil)
	}
	small := a.Claim(KindSmallBody, "w", 50, nil)
	is.True(small.isGranted())
	further := a.Claim(KindSmallBody, "w", 60, nil)
	is.True(!further.isGranted()) // neither pool has room
	small.Release()
	further.Release()
	is.True(a.Claim(KindSmallBody, "w", 60, nil).isGranted())
}

// TestAccountHolds: in any order of claims, releases, growth and revocation the counts stay those of the holds, no
// pool exceeds its limit by more than what is being given up, and nothing that fits waits in an empty pool.
func TestAccountHolds(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	a := newTestAccount()
	var holds []*Hold
	for range 20_000 {
		name := fmt.Sprint("o", random.IntN(5))
		switch k := Kind(random.IntN(int(kinds))); {
		case random.IntN(2) == 0 && len(holds) > 0:
			i := random.IntN(len(holds))
			holds[i].Release()
			holds[i] = holds[len(holds)-1]
			holds = holds[:len(holds)-1]
		case k == KindAnswer:
			h := a.Open(k, name, func() {})
			h.Grow(random.Int64N(40))
			holds = append(holds, h)
		default:
			h := a.Claim(k, name, random.Int64N(120), func() {})
			if random.IntN(3) == 0 && h.isGranted() {
				h.Keep()
			}
			holds = append(holds, h)
		}
		for k := range a.pools {
			p := &a.pools[k]
			sum := int64(0)
			for _, o := range p.owners {
				for _, h := range o.holds {
					sum += h.bytes
				}
			}
			is.Equal(sum, p.held)
			is.True(p.held <= p.limit+p.revoked)
		}
	}
	for _, h := range holds {
		h.Release()
	}
	for k := range a.pools {
		is.Equal(a.pools[k].held, int64(0))
		is.Equal(a.pools[k].revoked, int64(0))
		is.Equal(len(a.pools[k].owners), 0)
	}
}

func BenchmarkClaim(b *testing.B) {
	a := NewAccount(0)
	b.ReportAllocs()
	for b.Loop() {
		a.Claim(KindSmallBody, "w", 12_000, nil).Release()
	}
}
