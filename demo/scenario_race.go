package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/publish"
)

// raceOperators publishes two changes of a document from the same base: exactly one must
// be accepted and come into force on every entry host within inForceTimeout, and the
// other operator must get a conflict.
func raceOperators(ctx context.Context, r *runner) error {
	p := r.deployment.Profile
	current, err := publish.Get(ctx, r.deployment.Log, p.ModelService)
	if err != nil {
		return err
	}
	results := make(chan publishResult, 2)
	for _, weight := range []float64{2, 3} {
		go func() { results <- r.publish(ctx, current.Offset, weight) }()
	}
	first, second := <-results, <-results
	r.recordTrial(promiseConfig, checkRace(first, second))
	accepted := max(first.revision, second.revision)
	r.recordTrial(promiseConfig, r.awaitInForce(ctx, p.ModelService, accepted))
	return nil
}

type publishResult struct {
	revision int64
	err      error
}

func (r *runner) publish(ctx context.Context, base int64, weight float64) publishResult {
	doc := r.deployment.Profile.ModelDocument()
	doc.Workspaces[0].Weight = weight
	text, err := documentText(doc)
	if err != nil {
		return publishResult{err: err}
	}
	revision, err := publish.Publish(ctx, r.deployment.Log, doc.Service, base, text)
	return publishResult{revision, err}
}

// checkRace returns what was wrong with the results of a race; empty if nothing was.
func checkRace(a, b publishResult) string {
	if (a.err == nil) == (b.err == nil) {
		return fmt.Sprintf("not exactly one won: %v, %v", a.err, b.err)
	}
	var conflict *publish.Conflict
	for _, outcome := range []publishResult{a, b} {
		if outcome.err != nil && !errors.As(outcome.err, &conflict) {
			return "the loser was not told of the winner: " + outcome.err.Error()
		}
	}
	return ""
}

// awaitInForce waits until a revision is in force on all entry hosts and checks that
// none reverts. It returns what was wrong; empty if nothing was.
func (r *runner) awaitInForce(ctx context.Context, service string, revision int64) string {
	deadline := time.Now().Add(inForceTimeout)
	var late []string
	for time.Now().Before(deadline) {
		if late = r.hostsWithout(service, revision); len(late) == 0 {
			return r.watchRevision(ctx, service, revision)
		}
		if !wait(ctx, inForcePollInterval) {
			break
		}
	}
	return fmt.Sprintf("revision %d not in force in %v on %v", revision, inForceTimeout, late)
}

const (
	// inForceTimeout is the time within which a configuration must be in force on all
	// entry hosts.
	inForceTimeout      = 4 * time.Second
	inForcePollInterval = 20 * time.Millisecond
	// revisionWatchWindow is how long the demo checks that no entry host reverts to an
	// older revision.
	revisionWatchWindow = 10 * time.Second
)

// watchRevision checks during revisionWatchWindow that no entry host reverts to an older
// revision. It returns what was wrong; empty if nothing was.
func (r *runner) watchRevision(ctx context.Context, service string, revision int64) string {
	end := time.Now().Add(revisionWatchWindow)
	for time.Now().Before(end) && wait(ctx, inForcePollInterval) {
		if reverted := r.hostsWithout(service, revision); len(reverted) > 0 {
			return fmt.Sprintf("revision %d reverted on %v", revision, reverted)
		}
	}
	return ""
}

// hostsWithout returns the entry hosts that do not have a revision, or a later
// one, in force.
func (r *runner) hostsWithout(service string, revision int64) []string {
	var out []string
	for _, e := range r.deployment.Entries() {
		if rev := e.Node.ConfigStatus(service); rev.InForce < revision {
			out = append(out, e.Host.ID)
		}
	}
	return out
}
