package gateway

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
)

// streamMove is the move of a stream to another endpoint.
type streamMove struct {
	target string // id of the endpoint where the stream continues
	source string // address of the endpoint that the KV cache was copied from
	handle string // identifies the copy
	// ready is set when the copy is complete and the run has stopped at the source.
	ready bool
}

const (
	// moveTimeout bounds one copy; a reclaim notice leaves two to three seconds.
	moveTimeout = 1500 * time.Millisecond
	// moveMargin is the time before an endpoint's end by which its streams must have ended or
	// moved.
	moveMargin = 300 * time.Millisecond
	// registryLag is how much later than the store a host may learn of an entry: one read, and the
	// relay's answer after it. No request is sent to an endpoint later than Options.DrainPeriod
	// after the store listed it as leaving.
	registryLag = 1500 * time.Millisecond
	// maxConcurrentMoves bounds the copies that this host requests from one endpoint at a time;
	// they queue on its link.
	maxConcurrentMoves = 2
	// maxMoveTargets is how many engines are asked to accept a stream.
	maxMoveTargets = 2
	// defaultEventInterval is assumed until a stream's own interval between events is known.
	defaultEventInterval = 60 * time.Millisecond
)

// takeReadyMove returns, once, the move that the next attempt follows.
func (c *call) takeReadyMove() *streamMove {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.move
	if m == nil || !m.ready {
		return nil
	}
	c.move = nil
	return m
}

// awaitMove reports whether a broken attempt was moved. It waits for a move whose copy is still in
// progress.
func (c *call) awaitMove() bool {
	deadline := time.Now().Add(moveTimeout)
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
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// stoppedByMove reports whether an engine was told to stop the stream for a move, and has not answered that
// the run had ended before.
func (c *call) stoppedByMove() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.moveStopped
}

func (m *streamMove) isReady(c *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return m.ready
}

// evacuate moves the streams of a leaving endpoint that would not end in time.
func (g *Gateway) evacuate(v fleet.View) {
	leavesAt := v.LeavesAt
	if leavesAt.IsZero() {
		leavesAt = v.ListedAt.Add(g.opts.DrainPeriod)
	}
	late := g.streamsEndingAfter(v.ID, leavesAt.Add(-moveMargin))
	if len(late) == 0 {
		return
	}
	g.log.Info().Str("event", "evacuate").Str("endpoint", v.ID).Int("streams", len(late)).
		Dur("leaves_in", time.Until(leavesAt)).Msg("")
	deadline := leavesAt.Add(-moveMargin)
	slots := make(chan struct{}, maxConcurrentMoves)
	for _, c := range late {
		slots <- struct{}{}
		if time.Now().After(deadline) {
			return // nothing may be sent to the endpoint any more; remaining streams may be cut
		}
		g.tomb.Go(func() error {
			defer func() { <-slots }()
			c.moveStream(v, deadline)
			return nil
		})
	}
}

// streamsEndingAfter returns the streams that would not end by the given time. Streams that are not
// resumable come first: only a copy can save them.
func (g *Gateway) streamsEndingAfter(endpoint string, deadline time.Time) []*call {
	var late []*call
	for _, c := range g.calls.atEndpoint(endpoint) {
		if c.req.HasTokens && c.expectedEnd().After(deadline) {
			late = append(late, c)
		}
	}
	sort.SliceStable(late, func(i, j int) bool { return !late[i].route.Resumable && late[j].route.Resumable })
	return late
}

// expectedEnd returns when a stream is expected to end, from its interval between events.
func (c *call) expectedEnd() time.Time {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return now
	}
	tokensPerEvent := 1
	if c.service.Engine != nil {
		tokensPerEvent = max(c.service.Engine.TokensPerEvent, 1)
	}
	events := c.req.AnswerTokens / tokensPerEvent
	return now.Add(time.Duration(max(events-c.progress.events, 1)) * c.progress.eventInterval())
}

// moveStream moves one stream off an endpoint and records the result.
func (c *call) moveStream(from fleet.View, deadline time.Time) {
	result := c.tryMove(from, deadline)
	c.g.metrics.moves.WithLabelValues(result).Inc()
	c.g.log.Info().Str("event", "move").Str("request", c.req.ID).Str("endpoint", from.ID).
		Int("events", c.progressEvents()).Str("result", result).Msg("")
}

func (c *call) progressEvents() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress.events
}

// tryMove copies a stream to another engine while it runs, then stops it so that it continues
// there. A failed copy does not affect the stream.
func (c *call) tryMove(from fleet.View, deadline time.Time) string {
	engine := c.service.Engine
	if c.route.Resumable || engine == nil || !engine.SupportsMoves {
		return c.resumeOnOtherEndpoint(from)
	}
	if c.endpointID() != from.ID {
		return "ended"
	}
	if c.progressEvents() == 0 {
		return "not-started"
	}
	if c.g.fleet.Paused(time.Now(), from.ID) {
		return "paused"
	}
	if c.g.mayUse(time.Now(), from.Service, from.Version) != nil {
		return "withheld"
	}
	result := "no-target"
	tried := map[string]bool{from.ID: true}
	for range maxMoveTargets {
		target, ok := c.chooseMoveTarget(tried)
		if !ok {
			return result
		}
		if result = c.moveTo(from, target, deadline); result == "moved" || result == "ended" {
			return result
		}
		tried[target.ID] = true
	}
	return result
}

func (c *call) moveTo(from, target fleet.View, deadline time.Time) string {
	copyTo := func(last bool) (string, error) {
		if err := c.g.mayUse(time.Now(), from.Service, from.Version); err != nil {
			return "", errors.Wrap(port.ErrMoveFailed, err.Error())
		}
		ctx, cancel := context.WithTimeout(c.g.context(), min(moveTimeout, time.Until(deadline)))
		defer cancel()
		return c.g.ports.Endpoints.MoveStream(ctx, from.Address, port.StreamMove{RequestID: c.req.ID, Target: target.Address, Last: last})
	}
	if _, err := copyTo(false); errors.Is(err, port.ErrNoSuchRun) {
		return "ended"
	} else if errors.Is(err, port.ErrEndless) {
		c.recordEndlessReply(from)
		return "not-copied"
	} else if err != nil {
		return "not-copied"
	}
	if time.Until(deadline) < moveMargin {
		return "too-late" // a stream stopped now could not return to its endpoint if the copy failed
	}
	m := &streamMove{target: target.ID, source: from.Address}
	c.setMove(m)
	handle, err := copyTo(true)
	if errors.Is(err, port.ErrEndless) {
		c.recordEndlessReply(from)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
	case handle != "" && time.Now().Before(from.ListedAt.Add(c.g.opts.DrainPeriod-registryLag)):
		// The run has stopped, and its KV cache is still at the source.
		m.target = from.ID
	case errors.Is(err, port.ErrNoSuchRun):
		c.move = nil
		return "ended"
	default:
		c.move, c.moveStopped = nil, true
		return "lost"
	}
	m.handle, m.ready = handle, true
	return "moved"
}

// recordEndlessReply records that an endpoint sent a reply to a command that was given up because it exceeded its bound.
func (c *call) recordEndlessReply(from fleet.View) {
	c.g.metrics.endless.Inc()
	c.markSuspect(time.Now(), &endpointAttempt{view: from}, "endless")
}

func (c *call) setMove(m *streamMove) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.move = m
}

// resumeOnOtherEndpoint ends the attempt of a resumable stream, so that the stream continues at
// another endpoint.
func (c *call) resumeOnOtherEndpoint(from fleet.View) string {
	if !c.route.Resumable || (c.streamSoftware() != nil && (!c.canContinueElsewhere(time.Now()) || !c.hasRoomElsewhere())) {
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
	if !c.g.budget(c.service.Name).AllowRetry(time.Now()) {
		return "no-budget"
	}
	c.current.cancel(errMoved)
	return "resumed"
}

// chooseMoveTarget chooses the endpoint where a stream continues.
func (c *call) chooseMoveTarget(excluded map[string]bool) (fleet.View, bool) {
	now := time.Now()
	views := slices.DeleteFunc(c.usable(now), func(v fleet.View) bool {
		return !c.g.fleet.WithinLimit(now, v.ID) || !c.g.headroom.Allows(now, c.endpointOf(v), c.workOf())
	})
	q := c.query()
	q.Excluded = excluded
	choice, ok := c.g.placement.Choose(now, q, c.g.candidates(now, views, true, c.service))
	if !ok {
		return fleet.View{}, false
	}
	c.g.placement.Release(&choice, true)
	return findView(views, choice.ID), c.g.fleet.TakeFromLimit(now, choice.ID)
}

// progress is the progress of a stream, shared with other goroutines.
type progress struct {
	// sent counts the endpoints that the request was sent to.
	sent    int
	events  int
	firstAt time.Time
	lastAt  time.Time
}

// eventInterval returns the mean time between events.
func (p *progress) eventInterval() time.Duration {
	if p.events < 2 {
		return defaultEventInterval
	}
	return p.lastAt.Sub(p.firstAt) / time.Duration(p.events-1)
}

// recordGenerationTime records the tokens of a completed stream and the time that generating them
// took.
func (c *call) recordGenerationTime() {
	engine := c.service.Engine
	if engine == nil || c.progress.events < 2 {
		return
	}
	tokens := (c.progress.events - 1) * max(engine.TokensPerEvent, 1)
	c.g.demand.Generated(time.Now(), c.service.Name, tokens, c.progress.lastAt.Sub(c.progress.firstAt))
}
