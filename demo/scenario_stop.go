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

// stopEntry stops an entry host as a stop signal does and counts the callers whose
// connections this cut.
func stopEntry(ctx context.Context, r *runner) error {
	e := r.entry(1)
	ctx, cancel := context.WithTimeout(ctx, plannedStopTimeout)
	defer cancel()
	before := r.tally.Counts().Cuts[e.Host.CallerAddress]
	signals := make(chan struct{}, 1)
	signals <- struct{}{}
	err := e.Node.Supervise(ctx, signals)
	r.deployment.Cloud.RemoveHost(e.Host.ID)
	broken := ""
	if cut := r.tally.Counts().Cuts[e.Host.CallerAddress] - before; cut > 0 {
		broken = fmt.Sprintf("%d callers cut off", cut)
	}
	if ctx.Err() != nil {
		broken = "still waiting after " + plannedStopTimeout.String()
	}
	r.recordTrial(promisePlanned, broken)
	return errors.Wrap(err, "planned stop")
}
