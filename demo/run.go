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

// Names of the promises that a run judges.
const (
	promiseReclaim   = "an accepted request survives an announced reclaim"
	promiseWhole     = "every caller gets its own whole answer"
	promiseNotRun    = "\"not run\" is true"
	promiseOnce      = "an order runs at most once"
	promiseLeaving   = "a leaving endpoint gets no new work"
	promisePlanned   = "a planned stop cuts off no request"
	promiseConfig    = "a configuration is in force everywhere and never reverts"
	promiseKiller    = "a request that kills endpoints is stopped"
	loadPerSecond    = 25
	defaultLength    = 20 * time.Second
	readyLimit       = 20 * time.Second
	progressInterval = time.Second
)

// Options set up a run.
type Options struct {
	Profile Profile
	// Length is how long the load lasts; zero means 20 s.
	Length time.Duration
	// Seed makes the load's choices.
	Seed uint64
	// Progress gets a line now and then; nil for none.
	Progress io.Writer
	Logger   *log.Logger
}

// Run starts a deployment, puts it under load with every scene, and judges
// the promises.
func Run(ctx context.Context, opts Options) (*Report, error) {
	if opts.Length == 0 {
		opts.Length = defaultLength
	}
	d, err := Start(ctx, opts.Profile, opts.Logger)
	defer d.Stop()
	if err != nil {
		return nil, err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	if err := d.AwaitReady(readyCtx); err != nil {
		return nil, err
	}
	tally := NewTally()
	r := &runner{
		deployment: d, load: newLoad(d, tally, opts.Seed), tally: tally,
		shown: map[string]int{}, broken: map[string][]string{},
		progress: progressTo(opts.Progress),
	}
	took, err := r.play(ctx, opts.Length)
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

// play runs load and scenes side by side; it returns the time they took.
func (r *runner) play(ctx context.Context, length time.Duration) (time.Duration, error) {
	begin := time.Now()
	var wg sync.WaitGroup
	errs := make(chan error, len(scenes()))
	for _, s := range scenes() {
		wg.Go(func() {
			if !wait(ctx, s.at) {
				return
			}
			r.progress(s.name)
			if err := s.run(ctx, r); err != nil {
				errs <- errors.Wrap(err, s.name)
			}
		})
	}
	done := make(chan struct{})
	go r.tell(done)
	r.load.run(ctx, loadPerSecond, length)
	wg.Wait()
	close(done)
	close(errs)
	for err := range errs {
		return 0, err
	}
	return time.Since(begin), ctx.Err()
}

// tell reports the counts while the load lasts.
func (r *runner) tell(done <-chan struct{}) {
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
	report.judgeOrders(r.deployment.Ledger.Executions())
	r.judge(report)
	return report
}

// judge turns the counts into promises.
func (r *runner) judge(report *Report) {
	c := report.Counts
	r.breakIf(promiseReclaim, c.Lost > 0, fmt.Sprintf("%d requests lost", c.Lost))
	r.breakIf(promiseWhole, c.Mixed > 0, fmt.Sprintf("%d answers mixed", c.Mixed))
	r.breakIf(promiseWhole, c.Unanswered > 0, fmt.Sprintf("%d accepted requests without an answer", c.Unanswered))
	r.breakIf(promiseNotRun, len(report.WrongNotRun) > 0, fmt.Sprintf("%d orders ran", len(report.WrongNotRun)))
	r.breakIf(promiseOnce, len(report.Doubled) > 0, fmt.Sprintf("%d orders doubled", len(report.Doubled)))
	for _, name := range []string{
		promiseReclaim, promiseWhole, promiseNotRun, promiseOnce, promiseLeaving, promisePlanned, promiseConfig, promiseKiller,
	} {
		report.Promises = append(report.Promises, r.promise(name))
	}
}

func (r *runner) breakIf(promise string, broken bool, seen string) {
	if broken {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.broken[promise] = append(r.broken[promise], seen)
	}
}

func (r *runner) promise(name string) Promise {
	p := Promise{Name: name, Shown: r.shown[name] > 0, Held: len(r.broken[name]) == 0}
	p.Seen = fmt.Sprintf("%d trials", r.shown[name])
	if !p.Held {
		p.Seen = fmt.Sprint(r.broken[name])
	}
	return p
}
