package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// plannedStopTimeout bounds the duration of a planned stop in the demo: it covers the
// TTL of address answers and the longest request.
const plannedStopTimeout = 60 * time.Second

// stopEntry stops an entry host as a stop signal does and counts the callers that it
// disconnects.
func stopEntry(ctx context.Context, r *runner) error {
	e := r.entry(1)
	ctx, cancel := context.WithTimeout(ctx, plannedStopTimeout)
	defer cancel()
	before := r.tally.Counts().Cuts[e.Host.CallerAddress]
	signals := make(chan struct{}, 1)
	signals <- struct{}{}
	err := e.Node.Supervise(ctx, signals)
	r.deployment.Cloud.RemoveHost(e.Host.ID)
	breach := ""
	if disconnects := r.tally.Counts().Cuts[e.Host.CallerAddress] - before; disconnects > 0 {
		breach = fmt.Sprintf("%d callers cut off", disconnects)
	}
	if ctx.Err() != nil {
		breach = "still waiting after " + plannedStopTimeout.String()
	}
	r.recordTrial(promisePlanned, breach)
	return errors.Wrap(err, "planned stop")
}
