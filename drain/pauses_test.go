package drain

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEarliestSending: the grace period of a process that was frozen may have begun while it was.
func TestEarliestSending(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, tc := range map[string]struct {
		ticks     []int // ms
		now, want int
	}{
		"no tick yet":                        {nil, 5000, 5000},
		"runs":                               {[]int{0, 100, 200}, 250, 250},
		"a late tick":                        {[]int{0, 100, 400}, 410, 410},
		"frozen, the signal before the tick": {[]int{0, 100}, 3100, 100},
		"frozen, the signal after the tick":  {[]int{0, 100, 3100}, 3105, 100},
		"long after it was frozen":           {[]int{0, 100, 3100, 3200, 3300}, 3350, 3350},
		"frozen twice":                       {[]int{0, 100, 3100, 3200, 5200}, 5210, 3200},
	} {
		t.Run(name, func(t *testing.T) {
			var p Pauses
			for _, ms := range tc.ticks {
				p.Tick(at(ms))
			}
			is.New(t).Equal(p.EarliestSending(at(tc.now)), at(tc.want))
		})
	}
}
