package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
)

// Names of the promises that a run checks, and its load and intervals.
const (
	promiseReclaim        = "an accepted request survives an announced reclaim"
	promiseCompleteAnswer = "every caller gets its own whole answer"
	promiseNotRun         = "\"not run\" is true"
	promiseAtMostOnce     = "an order runs at most once"
	promiseLeaving        = "a leaving endpoint gets no new work"
	promisePlanned        = "a planned stop cuts off no request"
	promiseConfig         = "a configuration is in force everywhere and never reverts"
	promiseQuarantine     = "a request that kills endpoints is stopped"
	requestsPerSecond     = 25
	defaultLoadDuration   = 20 * time.Second
	readyTimeout          = 20 * time.Second
	progressInterval      = time.Second
)

// Options set up a run.
type Options struct {
	Profile Profile
	// LoadDuration is how long the load lasts; zero means 20 s.
	LoadDuration time.Duration
	// Seed seeds the random choices of the load.
	Seed uint64
	// Progress receives progress lines; nil for none.
	Progress io.Writer
	Logger   *log.Logger
}

// Run starts a deployment, applies load and all fault scenarios, and checks the
// promises.
func Run(ctx context.Context, opts Options) (*Report, error) {
	if opts.LoadDuration == 0 {
		opts.LoadDuration = defaultLoadDuration
	}
	d, err := Start(ctx, opts.Profile, opts.Logger)
	defer d.Stop()
	if err != nil {
		return nil, err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.AwaitReady(readyCtx); err != nil {
		return nil, err
	}
	tally := NewTally()
	r := &runner{
		deployment: d, load: newLoad(d, tally, opts.Seed), tally: tally,
		trials: map[string]int{}, breaches: map[string][]string{},
		progress: progressTo(opts.Progress),
	}
	took, err := r.runScenarios(ctx, opts.LoadDuration)
	if err != nil {
		return nil, err
	}
	return r.report(took), nil
}

func progressTo(w io.Writer) func(string) {
	begin := time.Now()
	var mu sync.Mutex
	return func(text string) {
		if w == nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(w, "%6.1fs  %s\n", time.Since(begin).Seconds(), text)
	}
}

// runScenarios runs the load and the scenarios concurrently and returns how long they took.
func (r *runner) runScenarios(ctx context.Context, loadDuration time.Duration) (time.Duration, error) {
	begin := time.Now()
	var wg sync.WaitGroup
	errs := make(chan error, len(scenarios()))
	for _, s := range scenarios() {
		wg.Go(func() {
			if !wait(ctx, s.delay) {
				return
			}
			r.progress(s.name)
			if err := s.run(ctx, r); err != nil {
				errs <- errors.Wrap(err, s.name)
			}
		})
	}
	done := make(chan struct{})
	go r.printProgress(done)
	r.load.run(ctx, requestsPerSecond, loadDuration)
	wg.Wait()
	close(done)
	close(errs)
	for err := range errs {
		return 0, err
	}
	return time.Since(begin), ctx.Err()
}

// printProgress reports the counts at every progressInterval until done is closed.
func (r *runner) printProgress(done <-chan struct{}) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			c := r.tally.Counts()
			r.progress(fmt.Sprintf("sent %d, whole %d, refused %d, lost %d, mixed %d", c.Sent, c.Whole, c.NotRun+c.Unknown, c.Lost, c.Mixed))
		}
	}
}

func (r *runner) report(took time.Duration) *Report {
	prefilled, recomputed := r.deployment.Ledger.Tokens()
	report := &Report{
		Profile: r.deployment.Profile.Name, Counts: r.tally.Counts(),
		Prefilled: prefilled, Recomputed: recomputed,
		LinkBytes: r.deployment.Network.LinkBytes(), Took: took,
	}
	now := time.Now()
	for _, e := range r.deployment.Endpoints() {
		report.HostCost += e.Cost(now)
	}
	report.checkNonIdempotent(r.deployment.Ledger.Executions())
	r.evaluatePromises(report)
	return report
}

// evaluatePromises adds the result for every promise to the report.
func (r *runner) evaluatePromises(report *Report) {
	c := report.Counts
	r.recordBreachIf(promiseReclaim, c.Lost > 0, fmt.Sprintf("%d requests lost", c.Lost))
	r.recordBreachIf(promiseCompleteAnswer, c.Mixed > 0, fmt.Sprintf("%d answers mixed", c.Mixed))
	r.recordBreachIf(promiseCompleteAnswer, c.Unanswered > 0, fmt.Sprintf("%d accepted requests without an answer", c.Unanswered))
	r.recordBreachIf(promiseNotRun, len(report.WrongNotRun) > 0, fmt.Sprintf("%d orders ran", len(report.WrongNotRun)))
	r.recordBreachIf(promiseAtMostOnce, len(report.Doubled) > 0, fmt.Sprintf("%d orders doubled", len(report.Doubled)))
	for _, name := range []string{
		promiseReclaim, promiseCompleteAnswer, promiseNotRun, promiseAtMostOnce, promiseLeaving, promisePlanned, promiseConfig, promiseQuarantine,
	} {
		report.Promises = append(report.Promises, r.promise(name))
	}
}

func (r *runner) recordBreachIf(promise string, broken bool, seen string) {
	if broken {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.breaches[promise] = append(r.breaches[promise], seen)
	}
}

func (r *runner) promise(name string) Promise {
	p := Promise{Name: name, Shown: r.trials[name] > 0, Held: len(r.breaches[name]) == 0}
	p.Seen = fmt.Sprintf("%d trials", r.trials[name])
	if !p.Held {
		p.Seen = fmt.Sprint(r.breaches[name])
	}
	return p
}
