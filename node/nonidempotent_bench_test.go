package node

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// BenchmarkOrders sends non-idempotent requests to one host at a constant rate, with a
// log whose appends take 5 ms. It reports the time from acceptance to the answer, which
// is the time of the claim because the endpoint's call takes no time, and the appends of
// all hosts per request.
func BenchmarkOrders(b *testing.B) {
	for _, perSecond := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(perSecond, " a second"), func(b *testing.B) {
			c := newCluster(b, 2)
			c.claimLog.otherDelay.Store(int64(5 * time.Millisecond))
			before, _ := c.log.Counts()
			var mu sync.Mutex
			var took []time.Duration
			var wg sync.WaitGroup
			for i := range b.N {
				began := time.Now()
				a := c.send(0, fmt.Sprint("key-", i), "fan on")
				wg.Go(func() {
					c.awaitEnd(a)
					mu.Lock()
					defer mu.Unlock()
					took = append(took, time.Since(began))
				})
				time.Sleep(time.Second / time.Duration(perSecond))
			}
			wg.Wait()
			time.Sleep(100 * time.Millisecond) // the last outcomes are appended
			after, _ := c.log.Counts()
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
			b.ReportMetric(float64(after-before)/float64(b.N), "appends/order")
		})
	}
}
