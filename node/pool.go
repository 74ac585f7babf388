package node

import (
	"time"

	"gopkg.in/tomb.v2"
)

// job is a piece of background work, run by the pool every interval.
type job struct {
	name     string
	interval time.Duration
	run      func()
	busy     chan struct{}
}

// pool runs jobs on a fixed number of workers. A job is never run twice at
// the same time; a run that comes due while the last one lasts is left out.
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

// every schedules run on the pool at each interval, the first time at once.
func (p *pool) every(t *tomb.Tomb, name string, interval time.Duration, run func()) {
	j := &job{name: name, interval: interval, run: run, busy: make(chan struct{}, 1)}
	t.Go(func() error { return p.schedule(t, j) })
}

func (p *pool) schedule(t *tomb.Tomb, j *job) error {
	ticker := time.NewTicker(j.interval)
	defer ticker.Stop()
	for {
		p.offer(t, j)
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
		}
	}
}

func (p *pool) offer(t *tomb.Tomb, j *job) {
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
