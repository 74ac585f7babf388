package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/publish"
)

// raceOperators lets two operators publish from the same base: one must win,
// on every entry host, within the limit, and the other must be told.
func raceOperators(ctx context.Context, r *runner) error {
	p := r.deployment.Profile
	current, err := publish.Get(ctx, r.deployment.Log, p.ModelService)
	if err != nil {
		return err
	}
	results := make(chan result, 2)
	for _, weight := range []float64{2, 3} {
		go func() { results <- r.publish(ctx, current.Offset, weight) }()
	}
	first, second := <-results, <-results
	r.note(promiseConfig, judgeRace(first, second))
	winner := max(first.revision, second.revision)
	r.note(promiseConfig, r.awaitInForce(ctx, p.ModelService, winner))
	return nil
}

type result struct {
	revision int64
	err      error
}

func (r *runner) publish(ctx context.Context, base int64, weight float64) result {
	doc := r.deployment.Profile.ModelDocument()
	doc.Workspaces[0].Weight = weight
	text, err := documentText(doc)
	if err != nil {
		return result{err: err}
	}
	revision, err := publish.Publish(ctx, r.deployment.Log, doc.Service, base, text)
	return result{revision, err}
}

// judgeRace returns what was wrong with a race, or nothing.
func judgeRace(a, b result) string {
	if (a.err == nil) == (b.err == nil) {
		return fmt.Sprintf("not exactly one won: %v, %v", a.err, b.err)
	}
	var conflict *publish.Conflict
	for _, lost := range []result{a, b} {
		if lost.err != nil && !errors.As(lost.err, &conflict) {
			return "the loser was not told of the winner: " + lost.err.Error()
		}
	}
	return ""
}

// awaitInForce returns which entry hosts did not have a revision in force
// within the limit, and watches that none goes back below it.
func (r *runner) awaitInForce(ctx context.Context, service string, revision int64) string {
	deadline := time.Now().Add(inForceLimit)
	var late []string
	for time.Now().Before(deadline) {
		if late = r.without(service, revision); len(late) == 0 {
			return r.watchRevision(ctx, service, revision)
		}
		if !wait(ctx, inForcePause) {
			break
		}
	}
	return fmt.Sprintf("revision %d not in force in %v on %v", revision, inForceLimit, late)
}

const (
	// inForceLimit is the target for a configuration to be in force everywhere.
	inForceLimit = 4 * time.Second
	inForcePause = 20 * time.Millisecond
	// revisionWatch is how long the demo looks for a revision that goes back.
	revisionWatch = 10 * time.Second
)

func (r *runner) watchRevision(ctx context.Context, service string, revision int64) string {
	end := time.Now().Add(revisionWatch)
	for time.Now().Before(end) && wait(ctx, inForcePause) {
		if back := r.without(service, revision); len(back) > 0 {
			return fmt.Sprintf("revision %d reverted on %v", revision, back)
		}
	}
	return ""
}

// without returns the entry hosts that do not have a revision, or a later
// one, in force.
func (r *runner) without(service string, revision int64) []string {
	var out []string
	for _, e := range r.deployment.Entries() {
		if rev := e.Node.ConfigStatus(service); rev.InForce < revision {
			out = append(out, e.Host.ID)
		}
	}
	return out
}
