package drain_test

import (
	"fmt"
	"time"

	"github.com/cicadanotch/cicadanotch/drain"
)

// An endpoint is reclaimed in five seconds. One of its streams ends before that;
// the other moves with its KV cache to an endpoint of the same region.
func ExamplePlanner_Next() {
	now := time.Date(2026, 3, 1, 22, 0, 0, 0, time.UTC)
	streams := []drain.Stream{
		{ID: "alert", Priority: 20, Tokens: 200, Remaining: 40, Interval: 30 * time.Millisecond},
		{ID: "summary", Priority: 10, Tokens: 4000, Remaining: 900, Interval: 30 * time.Millisecond},
	}
	targets := []drain.Target{
		{Host: "jos-b-engine-1", Region: "plateau", Free: 4},
		{Host: "kad-a-engine-1", Region: "kaduna", Free: 9},
	}
	plan := drain.NewPlanner(drain.DefaultRates())
	for _, step := range plan.Next(now, now.Add(5*time.Second), "plateau", streams, targets) {
		fmt.Printf("%s: %s %q\n", step.Stream, step.Choice, step.Target)
	}
	// Output:
	// alert: finish ""
	// summary: transfer "jos-b-engine-1"
}
