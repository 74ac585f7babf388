package gateway

import (
	"context"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
)

// streamMove is where a stream goes on.
type streamMove struct {
	target string
	source string
	handle string
	// ready is set when the copy is made and the run has stopped.
	ready bool
}

const (
	// moveTimeout bounds one copy; a notice leaves two to three seconds.
	moveTimeout = 1500 * time.Millisecond
	// moveMargin is the time before an endpoint's end by which streams must
	// have ended or left.
	moveMargin = 300 * time.Millisecond
	// registryLag is how much later than the store a host may know of an entry:
	// a read, and a relay's answer after it. Nothing is sent to an endpoint that
	// leaves later than Options.Drain after the store knew.
	registryLag = 1500 * time.Millisecond
	// movesAtOnce bounds the copies that this host asks one endpoint for at a
	// time; they queue on its link.
	movesAtOnce = 2
	// moveTargets is how many engines are asked to take a stream.
	moveTargets = 2
	// eventPace is the time of an event before a stream has shown its own.
	eventPace = 60 * time.Millisecond
)

// takePlanned returns the move that the next attempt follows, once.
func (c *call) takePlanned() *streamMove {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.move
	if m == nil || !m.ready {
		return nil
	}
	c.move = nil
	return m
}

// takeMove reports whether an attempt that broke off was moved. A move whose
// copy is still under way is waited for.
func (c *call) takeMove(*try) bool {
	until := time.Now().Add(moveTimeout)
	for {
		c.mu.Lock()
		m := c.move
		c.mu.Unlock()
		if m == nil {
			return false
		}
		if m.isReady(c) {
			return true
		}
		if time.Now().After(until) {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (m *streamMove) isReady(c *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return m.ready
}

// evacuate moves the streams of an endpoint that leaves and that would not end
// in time.
func (g *Gateway) evacuate(v fleet.View) {
	leavesAt := v.LeavesAt
	if leavesAt.IsZero() {
		leavesAt = v.ListedAt.Add(g.opts.Drain)
	}
	late := g.lateStreams(v.ID, leavesAt.Add(-moveMargin))
	if len(late) == 0 {
		return
	}
	g.log.Info().Str("event", "evacuate").Str("endpoint", v.ID).Int("streams", len(late)).
		Dur("leaves_in", time.Until(leavesAt)).Msg("")
	until := leavesAt.Add(-moveMargin)
	slots := make(chan struct{}, movesAtOnce)
	for _, c := range late {
		slots <- struct{}{}
		if time.Now().After(until) {
			return // the rest ends as it may: nothing may be sent there any more
		}
		g.tomb.Go(func() error {
			defer func() { <-slots }()
			c.moveOff(v, until)
			return nil
		})
	}
}

// lateStreams returns the streams that would not end by a time, those first
// that only a copy can save.
func (g *Gateway) lateStreams(endpoint string, by time.Time) []*call {
	var late []*call
	for _, c := range g.calls.at(endpoint) {
		if c.req.HasTokens && c.expectedEnd().After(by) {
			late = append(late, c)
		}
	}
	sort.SliceStable(late, func(i, j int) bool { return !late[i].route.Resumable && late[j].route.Resumable })
	return late
}

// expectedEnd is when a stream ends at its pace.
func (c *call) expectedEnd() time.Time {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return now
	}
	per := 1
	if c.service.Engine != nil {
		per = max(c.service.Engine.EventTokens, 1)
	}
	events := c.req.AnswerTokens / per
	return now.Add(time.Duration(max(events-c.progress.events, 1)) * c.progress.pace(now))
}

// moveOff moves one stream off an endpoint.
func (c *call) moveOff(from fleet.View, until time.Time) {
	result := c.tryMove(from, until)
	c.g.metrics.moves.WithLabelValues(result).Inc()
	c.g.log.Info().Str("event", "move").Str("request", c.req.ID).Str("endpoint", from.ID).
		Int("events", c.progressEvents()).Str("result", result).Msg("")
}

func (c *call) progressEvents() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress.events
}

// tryMove copies a stream to another engine while it runs, and then stops it so
// that it goes on there. A copy that fails costs the stream nothing.
func (c *call) tryMove(from fleet.View, until time.Time) string {
	engine := c.service.Engine
	if c.route.Resumable || engine == nil || !engine.Moves {
		return c.resumeElsewhere(from)
	}
	if c.endpointID() != from.ID {
		return "ended"
	}
	if c.progressEvents() == 0 {
		return "not-started"
	}
	result := "no-target"
	tried := map[string]bool{from.ID: true}
	for range moveTargets {
		target, ok := c.moveTarget(tried)
		if !ok {
			return result
		}
		if result = c.moveTo(from, target, until); result == "moved" || result == "ended" {
			return result
		}
		tried[target.ID] = true
	}
	return result
}

func (c *call) moveTo(from, target fleet.View, until time.Time) string {
	copyTo := func(last bool) (string, error) {
		ctx, cancel := context.WithTimeout(c.g.context(), min(moveTimeout, time.Until(until)))
		defer cancel()
		return c.g.ports.Endpoints.MoveStream(ctx, from.Address, port.StreamMove{RequestID: c.req.ID, Target: target.Address, Last: last})
	}
	if _, err := copyTo(false); errors.Is(err, port.ErrNoSuchRun) {
		return "ended"
	} else if err != nil {
		return "not-copied"
	}
	if time.Until(until) < moveMargin {
		return "too-late" // a stream that is stopped now could not go on where it was
	}
	m := &streamMove{target: target.ID, source: from.Address}
	c.setMove(m)
	handle, err := copyTo(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
	case handle != "" && time.Now().Before(from.ListedAt.Add(c.g.opts.Drain-registryLag)):
		// The run has stopped, and its memory is still where it was.
		m.target = from.ID
	default:
		c.move = nil
		if errors.Is(err, port.ErrNoSuchRun) {
			return "ended"
		}
		return "lost"
	}
	m.handle, m.ready = handle, true
	return "moved"
}

func (c *call) setMove(m *streamMove) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.move = m
}

// resumeElsewhere ends the attempt of a resumable stream, so that it goes on
// at another endpoint.
func (c *call) resumeElsewhere(from fleet.View) string {
	if !c.route.Resumable {
		return "stays"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil || c.current.view.ID != from.ID {
		return "ended"
	}
	if c.progress.sent >= max(c.route.MaxAttempts, 1) {
		return "no-attempt-left"
	}
	if !c.g.budget(c.service.Name).Retry(time.Now()) {
		return "no-budget"
	}
	c.current.cancel(errMoved)
	return "resumed"
}

// moveTarget chooses where a stream goes on.
func (c *call) moveTarget(excluded map[string]bool) (fleet.View, bool) {
	now := time.Now()
	views := c.g.fleet.Usable(c.service.Name)
	q := c.query()
	q.Excluded = excluded
	choice, ok := c.g.placement.Choose(now, q, c.g.candidates(now, views, true, c.service))
	if !ok {
		return fleet.View{}, false
	}
	c.g.placement.Release(&choice, true)
	return viewOf(views, choice.ID), true
}

// progress is how far a stream has come, as other goroutines see it.
type progress struct {
	// sent counts the endpoints that the request was sent to.
	sent    int
	events  int
	firstAt time.Time
	lastAt  time.Time
}

// pace is the mean time between events.
func (p *progress) pace(time.Time) time.Duration {
	if p.events < 2 {
		return eventPace
	}
	return p.lastAt.Sub(p.firstAt) / time.Duration(p.events-1)
}

// notePace books how long the tokens of a stream that ended took.
func (c *call) notePace() {
	engine := c.service.Engine
	if engine == nil || c.progress.events < 2 {
		return
	}
	tokens := (c.progress.events - 1) * max(engine.EventTokens, 1)
	c.g.demand.Generated(time.Now(), c.service.Name, tokens, c.progress.lastAt.Sub(c.progress.firstAt))
}
