package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// plannedStopLimit bounds how long a planned stop may wait in the demo: the
// lifetime of address answers and the longest request.
const plannedStopLimit = 60 * time.Second

// stopEntry stops an entry host as planned, as a stop signal does, and counts
// the callers that its end cut off.
func stopEntry(ctx context.Context, r *runner) error {
	e := r.entry(1)
	ctx, cancel := context.WithTimeout(ctx, plannedStopLimit)
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
		broken = "still waiting after " + plannedStopLimit.String()
	}
	r.note(promisePlanned, broken)
	return errors.Wrap(err, "planned stop")
}
