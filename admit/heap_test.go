package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFlowHeap checks that flows are popped in order after random pushes, key
// changes and removals.
func TestFlowHeap(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(3, 4))
	var h flowHeap
	var flows []*flow
	for i := range 300 {
		e := &Entry{Item: Item{Deadline: time.Unix(int64(rng.IntN(5)), 0)}, sequence: uint64(i)}
		f := &flow{class: &priorityClass{priority: rng.IntN(3)}, virtualStart: float64(rng.IntN(9)), entries: entryHeap{e}, index: -1}
		flows = append(flows, f)
		h.push(f)
	}
	for _, f := range flows {
		switch rng.IntN(3) {
		case 0:
			h.remove(f)
		case 1:
			f.virtualStart = float64(rng.IntN(20))
			h.fix(f)
		}
	}
	for len(h) > 1 {
		first := h[0]
		h.remove(first.flow)
		is.Equal(first.flow.index, -1)
		is.True(!h[0].before(&first.flowKey))
	}
}
