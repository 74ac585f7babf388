package relay

import "sync/atomic"

type counters struct {
	reads    atomic.Int64
	appends  atomic.Int64
	served   atomic.Int64
	appended atomic.Int64
}

func (c *counters) snapshot() Counts {
	return Counts{
		LogReads:    c.reads.Load(),
		LogAppends:  c.appends.Load(),
		ReadsServed: c.served.Load(),
		Appended:    c.appended.Load(),
	}
}
