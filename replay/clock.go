package replay

import "time"

// epoch is the simulated time at which each replay starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock runs actions in the order of simulated time. Actions of the same time run in the order in
// which they were scheduled.
type clock struct {
	now       time.Duration
	queue     []action
	scheduled uint64
}

type action struct {
	at       time.Duration
	sequence uint64
	run      func()
}

func (a *action) before(b *action) bool {
	return a.at < b.at || (a.at == b.at && a.sequence < b.sequence)
}

func (c *clock) time() time.Time { return epoch.Add(c.now) }

// after schedules an action after a duration.
func (c *clock) after(d time.Duration, run func()) { c.at(c.now+max(d, 0), run) }

func (c *clock) at(at time.Duration, run func()) {
	c.scheduled++
	c.push(action{max(at, c.now), c.scheduled, run})
}

// run runs the actions up to the end time, or until none are left.
func (c *clock) run(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := c.pop()
		c.now = next.at
		next.run()
	}
}

// push and pop maintain the queue as a binary heap.
func (c *clock) push(a action) {
	c.queue = append(c.queue, a)
	at := len(c.queue) - 1
	for at > 0 {
		parent := (at - 1) / 2
		if !c.queue[at].before(&c.queue[parent]) {
			return
		}
		c.queue[at], c.queue[parent] = c.queue[parent], c.queue[at]
		at = parent
	}
}

func (c *clock) pop() action {
	first := c.queue[0]
	last := len(c.queue) - 1
	c.queue[0] = c.queue[last]
	c.queue[last] = action{}
	c.queue = c.queue[:last]
	c.siftDown()
	return first
}

func (c *clock) siftDown() {
	at := 0
	for {
		least := at
		for child := 2*at + 1; child <= 2*at+2 && child < len(c.queue); child++ {
			if c.queue[child].before(&c.queue[least]) {
				least = child
			}
		}
		if least == at {
			return
		}
		c.queue[at], c.queue[least] = c.queue[least], c.queue[at]
		at = least
	}
}
