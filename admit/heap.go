package admit

// fanout is the number of children of a node of flowHeap.
const fanout = 4

// flowKey is the sort key of a flow: priority, virtual start time, then the
// deadline and the arrival sequence of its first entry.
type flowKey struct {
	priority     int
	virtualStart float64
	// deadline is in nanoseconds since 1970.
	deadline int64
	sequence uint64
}

func (f *flow) key() flowKey {
	head := f.entries[0]
	return flowKey{f.class.priority, f.virtualStart, head.Deadline.UnixNano(), head.sequence}
}

func (a *flowKey) before(b *flowKey) bool {
	switch {
	case a.priority != b.priority:
		return a.priority > b.priority
	case a.virtualStart != b.virtualStart:
		return a.virtualStart < b.virtualStart
	case a.deadline != b.deadline:
		return a.deadline < b.deadline
	}
	return a.sequence < b.sequence
}

type flowNode struct {
	flowKey
	flow *flow
}

// flowHeap is a heap of flows. Keys are stored inline, so that comparisons do not
// dereference the flows.
type flowHeap []flowNode

func (h *flowHeap) push(f *flow) {
	*h = append(*h, flowNode{f.key(), f})
	f.index = len(*h) - 1
	h.siftUp(f.index)
}

// fix restores the heap order after the key of a flow has changed.
func (h *flowHeap) fix(f *flow) {
	(*h)[f.index].flowKey = f.key()
	if !h.siftUp(f.index) {
		h.siftDown(f.index)
	}
}

func (h *flowHeap) remove(f *flow) {
	old := *h
	i, last := f.index, len(old)-1
	f.index = -1
	moved := old[last]
	old[last] = flowNode{}
	*h = old[:last]
	if i == last {
		return
	}
	(*h)[i] = moved
	moved.flow.index = i
	if !h.siftUp(i) {
		h.siftDown(i)
	}
}

func (h flowHeap) siftUp(i int) bool {
	node, from := h[i], i
	for i > 0 {
		parent := (i - 1) / fanout
		if !node.before(&h[parent].flowKey) {
			break
		}
		h[i] = h[parent]
		h[i].flow.index = i
		i = parent
	}
	h[i] = node
	node.flow.index = i
	return i != from
}

func (h flowHeap) siftDown(i int) {
	node := h[i]
	for {
		child := h.firstChild(i)
		if child < 0 || !h[child].before(&node.flowKey) {
			break
		}
		h[i] = h[child]
		h[i].flow.index = i
		i = child
	}
	h[i] = node
	node.flow.index = i
}

// firstChild returns the child of i that sorts first, or -1 if it has none.
func (h flowHeap) firstChild(i int) int {
	first := fanout*i + 1
	if first >= len(h) {
		return -1
	}
	best := first
	for c := first + 1; c < min(first+fanout, len(h)); c++ {
		if h[c].before(&h[best].flowKey) {
			best = c
		}
	}
	return best
}
