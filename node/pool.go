package node

import (
	"time"

	"gopkg.in/tomb.v2"
)

// job is background work that the pool runs at a fixed interval.
type job struct {
	name     string
	interval time.Duration
	run      func()
	// busy has one element while a run is submitted or in progress.
	busy chan struct{}
}

// pool runs jobs on a fixed number of workers. Runs of one job never overlap: a
// run that is due while the previous one has not ended is skipped.
type pool struct {
	work chan *job
}

func newPool(workers int, t *tomb.Tomb) *pool {
	p := &pool{work: make(chan *job)}
	for range workers {
		t.Go(func() error { return p.worker(t) })
	}
	return p
}

func (p *pool) worker(t *tomb.Tomb) error {
	for {
		select {
		case <-t.Dying():
			return nil
		case j := <-p.work:
			j.run()
			<-j.busy
		}
	}
}

// every schedules run on the pool at each interval, beginning immediately.
func (p *pool) every(t *tomb.Tomb, name string, interval time.Duration, run func()) {
	j := &job{name: name, interval: interval, run: run, busy: make(chan struct{}, 1)}
	t.Go(func() error { return p.schedule(t, j) })
}

func (p *pool) schedule(t *tomb.Tomb, j *job) error {
	ticker := time.NewTicker(j.interval)
	defer ticker.Stop()
	for {
		p.submit(t, j)
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
		}
	}
}

// submit passes a job to a worker unless its previous run has not ended.
func (p *pool) submit(t *tomb.Tomb, j *job) {
	select {
	case j.busy <- struct{}{}:
	default:
		return
	}
	select {
	case p.work <- j:
	case <-t.Dying():
	}
}
