package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
)

const (
	// configWait is how long a read waits for a new configuration. A version is
	// to be in force within 3 s; a connection that has gone silent is noticed
	// after configWait and storeSlack, and the platform allows a host 4 s to
	// get over that first.
	configWait = 2500 * time.Millisecond
	// configEvery is the least time between two reads: versions may come many a
	// second, and each read is billed.
	configEvery = 300 * time.Millisecond
	// storeSlack is what a call may take beyond its wait: the store answers in
	// some milliseconds, and 60 ms away.
	storeSlack = 900 * time.Millisecond
	// newestSlack is what reading the newest records of a topic may take beyond
	// that: when all hosts start at once, those of a region read them through one
	// link, and a reading that is given up has to be made again.
	newestSlack = 1500 * time.Millisecond
	// endpointsEvery is the least time between two reads of the registry: every
	// read is billed, and an endpoint that drains takes work for 3 s.
	endpointsEvery = 600 * time.Millisecond
	// endpointsWait is how long such a read waits for a change.
	endpointsWait = 700 * time.Millisecond
	// reportEvery is how often a host reports.
	reportEvery = time.Second
	// backoffFirst and backoffMost are the pauses after calls that failed. Refused
	// calls are billed too. The first feed that gets an answer again, and the one
	// of the hosts asks every reportEvery, ends the pauses of the others.
	backoffFirst = 150 * time.Millisecond
	backoffMost  = 2 * time.Second
	// outageLeast is the time without an answer that counts as an outage.
	outageLeast = 1200 * time.Millisecond
)

// follower reads one topic from its newest records on.
type follower struct {
	g     *Gateway
	topic port.Topic
	wait  time.Duration
	every time.Duration
	// all takes a whole reading, each the records after it.
	all  func(now time.Time, records []port.TopicRecord)
	each func(now time.Time, records []port.TopicRecord)
	// read is called after each answer; outage tells how long none came.
	read func(now time.Time, outage time.Duration)

	from     int64
	known    bool
	lost     time.Time
	answered time.Time
}

func (f *follower) run() error {
	backoff := backoffFirst
	for f.g.tomb.Alive() {
		began := time.Now()
		err := f.once()
		if err == nil {
			backoff = backoffFirst
			f.pause(f.every - time.Since(began))
			continue
		}
		if errors.Is(err, port.ErrStoreExpired) {
			f.known = false
			f.g.log.Warn().Str("event", "feed_expired").Str("topic", string(f.topic)).Int64("from", f.from).Msg("")
			continue
		}
		f.pauseFailed(backoff)
		backoff = min(2*backoff, backoffMost)
	}
	return nil
}

// pauseFailed waits after a call that failed, until another feed is answered at the
// latest.
func (f *follower) pauseFailed(d time.Duration) {
	select {
	case <-f.g.tomb.Dying():
	case <-time.After(d):
	case <-f.g.storeBack.wait():
	}
}

func (f *follower) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-f.g.tomb.Dying():
	case <-time.After(d):
	}
}

func (f *follower) once() error {
	began := time.Now()
	wait := f.wait
	if !f.known {
		wait = newestSlack
	}
	ctx, cancel := context.WithTimeout(f.g.context(), wait+storeSlack)
	defer cancel()
	var page port.TopicPage
	var err error
	relayed := false
	if page, err, relayed = f.relayed(); !relayed {
		if f.known {
			page, err = f.g.ports.Store.Read(ctx, f.topic, f.from, f.wait)
		} else {
			page, err = f.g.ports.Store.Newest(ctx, f.topic)
		}
		f.g.observeStore("read", began, time.Now(), err)
	}
	now := time.Now()
	if err == nil && !relayed {
		f.g.relays.keep(f.topic, !f.known, page)
	}
	if err != nil {
		f.noteLost(now, err)
		return err
	}
	outage := f.noteAnswer(began, now)
	f.read(now, outage)
	if f.known {
		f.each(now, page.Records)
	} else {
		f.all(now, page.Records)
	}
	f.known, f.from = true, page.End
	return nil
}

// relayed reads from the relay; ok is false when there is none or it failed.
func (f *follower) relayed() (page port.TopicPage, err error, ok bool) {
	from := f.from
	if !f.known {
		from = -1
	}
	return f.g.readRelayed(f.topic, from, f.wait)
}

func (f *follower) noteLost(now time.Time, err error) {
	if f.lost.IsZero() && f.g.tomb.Alive() {
		f.lost = now
		f.g.log.Warn().Str("event", "dependency_lost").Str("dependency", "store/"+string(f.topic)).Err(err).Msg("")
	}
}

// noteAnswer returns how long the topic could not be read, zero when that was no
// outage.
func (f *follower) noteAnswer(began, now time.Time) time.Duration {
	silent := now.Sub(f.answered)
	first := f.answered.IsZero()
	f.answered = now
	if f.lost.IsZero() {
		return 0
	}
	f.g.storeBack.signal()
	f.g.log.Info().Str("event", "dependency_regained").Str("dependency", "store/"+string(f.topic)).
		Dur("after", now.Sub(f.lost)).Msg("")
	f.lost = time.Time{}
	if first || silent < outageLeast {
		return 0
	}
	return silent
}

// returnSignal wakes those who wait for the store's return.
type returnSignal struct {
	mu sync.Mutex
	ch chan struct{}
}

func (s *returnSignal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

func (s *returnSignal) signal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}

// observeStore counts a call to the store.
func (g *Gateway) observeStore(call string, began, now time.Time, err error) {
	result := "ok"
	switch {
	case err == nil:
		g.storeAt.Store(now.UnixNano())
	case errors.Is(err, port.ErrStoreRefused):
		result = "refused"
	case errors.Is(err, port.ErrStoreConflict):
		result = "conflict"
	case errors.Is(err, port.ErrStoreExpired):
		result = "expired"
	default:
		result = "unavailable"
	}
	g.metrics.storeCall.WithLabelValues(call, result).Observe(now.Sub(began).Seconds())
}

func (g *Gateway) followEndpoints() error {
	f := &follower{
		g: g, topic: port.TopicEndpoints, wait: endpointsWait, every: endpointsEvery,
		all: func(now time.Time, records []port.TopicRecord) {
			var listed []fleet.Endpoint
			for _, r := range records {
				if e, ok := g.decodeEndpoint(r); ok {
					listed = append(listed, e)
				}
			}
			g.endpointsChanged(now, g.fleet.Replace(now, listed)...)
			g.endpointsRead.Store(true)
		},
		each: func(now time.Time, records []port.TopicRecord) {
			for _, r := range records {
				if r.Removed() {
					g.endpointsChanged(now, g.fleet.Remove(now, r.Key))
				} else if e, ok := g.decodeEndpoint(r); ok {
					g.endpointsChanged(now, g.fleet.List(now, e))
				}
			}
		},
		read: func(now time.Time, outage time.Duration) {
			if outage > 0 {
				g.fleet.RegistryReturned(now)
			}
			g.endpointsChanged(now, g.fleet.Expire(now)...)
		},
	}
	return f.run()
}

func (g *Gateway) decodeEndpoint(r port.TopicRecord) (fleet.Endpoint, bool) {
	e, err := g.ports.DecodeEndpoint(r.Key, r.Value)
	if err != nil {
		g.log.Warn().Str("event", "endpoint_unreadable").Str("endpoint", r.Key).Int64("offset", r.Offset).Err(err).Msg("the entry names no endpoint")
		return fleet.Endpoint{}, false
	}
	return e, true
}

// endpointsChanged logs what changed and acts on endpoints that leave.
func (g *Gateway) endpointsChanged(now time.Time, changes ...fleet.Change) {
	for _, c := range changes {
		if !c.Changed() {
			continue
		}
		what := "added"
		switch {
		case c.Removed:
			what = "removed"
		case c.Lapsed:
			what = "lapsed"
		case c.Drained:
			what = "draining"
		}
		g.metrics.beliefs.WithLabelValues("endpoint_" + what).Inc()
		e := g.log.Info().Str("event", "endpoint").Str("change", what).Str("endpoint", c.Endpoint.ID).
			Str("service", c.Endpoint.Service).Str("zone", c.Endpoint.Zone).Str("address", c.Endpoint.Address).Bool("spot", c.Endpoint.Spot)
		if c.Endpoint.Leaving {
			e.Dur("leaves_in", c.Endpoint.Leaves)
		}
		e.Msg("")
		if c.Removed {
			g.placement.Forget(c.Endpoint.ID)
			g.ports.Mover.Forget(c.Endpoint.Address)
		}
		if c.Drained || c.Removed {
			v := fleet.View{Endpoint: c.Endpoint, ListedAt: now}
			if known, ok := g.fleet.Get(c.Endpoint.ID); ok {
				v = known
			}
			g.tomb.Go(func() error { g.evacuate(v); return nil })
		}
	}
}
