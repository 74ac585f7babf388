package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

const (
	// maxBufferedBytes bounds an answer that is buffered until it is complete, so that the request
	// can still be retried; longer answers are forwarded as they arrive.
	maxBufferedBytes = 1 << 20
	// maxEventBytes bounds one event of a stream.
	maxEventBytes   = 1 << 20
	readBufferBytes = 8 << 10
)

// bufferedReply is an endpoint's answer that was read completely.
type bufferedReply struct {
	status int
	header http.Header
	body   []byte
}

// forwardReply forwards an endpoint's answer to the caller.
func (c *call) forwardReply(ctx context.Context, a *endpointAttempt, reply *port.Reply, wd *watchdog) (outcome, error) {
	if reply.Stream && reply.Status == http.StatusOK {
		return c.forwardStream(a, reply, wd)
	}
	if c.headSent {
		return outcomeBroken, errors.Errorf("resumed stream: got status %d, want an event stream with status 200", reply.Status)
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxBufferedBytes+1))
	if err != nil {
		return outcomeBroken, err
	}
	if len(body) > maxBufferedBytes {
		return c.forwardLongReply(reply, body)
	}
	a.answered = true
	c.countUsage()
	if reply.Status >= http.StatusInternalServerError {
		c.failure = &bufferedReply{reply.Status, reply.Header, body}
		return outcomeFailed, errors.Errorf("status %d", reply.Status)
	}
	c.writeReply(&bufferedReply{reply.Status, reply.Header, body})
	return outcomeComplete, nil
}

// forwardLongReply forwards an answer that is too long to buffer.
func (c *call) forwardLongReply(reply *port.Reply, chunk []byte) (outcome, error) {
	c.countUsage()
	c.status, c.headSent = reply.Status, true
	if err := c.out.Begin(reply.Status, reply.Header, reply.Length); err != nil {
		return outcomeCanceled, err
	}
	buf := make([]byte, readBufferBytes)
	for {
		if err := c.out.Write(chunk); err != nil {
			return outcomeCanceled, err
		}
		n, err := reply.Body.Read(buf)
		chunk = buf[:n]
		if err == io.EOF {
			if err := c.out.Write(chunk); err != nil {
				return outcomeCanceled, err
			}
			return outcomeComplete, nil
		}
		if err != nil {
			return outcomeBroken, err
		}
	}
}

// writeReply sends a complete answer to the caller.
func (c *call) writeReply(b *bufferedReply) {
	c.status, c.headSent = b.status, true
	if c.out.Begin(b.status, b.header, int64(len(b.body))) != nil {
		return // the caller has disconnected
	}
	_ = c.out.Write(b.body) // a failed write means that the caller has disconnected
}

// writeFailure forwards the endpoint's error answer to the caller.
func (c *call) writeFailure() {
	if c.failure != nil && !c.headSent {
		c.writeReply(c.failure)
	}
}

// forwardStream forwards complete events as they arrive.
func (c *call) forwardStream(a *endpointAttempt, reply *port.Reply, wd *watchdog) (outcome, error) {
	var splitter eventSplitter
	buf := make([]byte, readBufferBytes)
	for {
		n, err := reply.Body.Read(buf)
		if events := splitter.add(buf[:n]); len(events) > 0 {
			if writeErr := c.forwardEvents(a, reply, events); writeErr != nil {
				return outcomeCanceled, writeErr
			}
			wd.reset(c.gapTimeout())
		}
		switch {
		case len(splitter.rest()) > maxEventBytes:
			return outcomeBroken, errors.New("stream event exceeds the maximum size")
		case err == io.EOF:
			return c.endStream(a, reply, splitter.rest())
		case err != nil:
			return outcomeBroken, err
		}
	}
}

// forwardEvents forwards complete events.
func (c *call) forwardEvents(a *endpointAttempt, reply *port.Reply, events []byte) error {
	now := time.Now()
	if !a.answered {
		a.answered = true
		c.g.placement.Started(&a.choice, now.Sub(a.startedAt))
		c.g.settle(c.placer, settlement{Ticket: c.ticket, Started: now.Sub(a.startedAt)})
	}
	c.recordSoftware(a)
	if c.events == 0 {
		c.firstAt = now
		c.countUsage()
		c.g.metrics.firstEvent.WithLabelValues(string(c.route.Kind)).Observe(now.Sub(c.arrived).Seconds())
	}
	events = c.dropDuplicates(events)
	c.updateProgress(now)
	if len(events) == 0 {
		return nil
	}
	if err := c.beginStream(reply); err != nil {
		return err
	}
	return c.out.Write(events)
}

// updateProgress publishes the stream's progress to other goroutines.
func (c *call) updateProgress(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.events, c.progress.lastAt = c.events, now
	if c.progress.firstAt.IsZero() {
		c.progress.firstAt = now
	}
}

func (c *call) beginStream(reply *port.Reply) error {
	if c.headSent {
		return nil
	}
	c.status, c.headSent = reply.Status, true
	return c.out.Begin(reply.Status, reply.Header, -1)
}

// endStream finishes a stream whose body ended without an error. The framing states where the body ends, not
// that the stream is complete: an endpoint may break off inside an event, and a body that ends with its
// connection also ends when the endpoint fails.
func (c *call) endStream(a *endpointAttempt, reply *port.Reply, rest []byte) (outcome, error) {
	switch {
	case endsInsideEvent(rest):
		c.ending.kind, c.ending.unfinished = endingInEvent, len(rest)
		return outcomeBroken, errors.Errorf("stream ended inside an event, after %d bytes of it", len(rest))
	case !a.answered && reply.Framing == port.FramingConnection:
		c.ending.kind = endingNoEvent
		return outcomeBroken, errors.New("connection closed before the first event of the stream")
	case reply.Framing == port.FramingConnection && c.awaitMove():
		return outcomeMoved, errMoved
	case reply.Framing == port.FramingConnection && c.stoppedByMove():
		return outcomeBroken, errors.New("connection closed by an engine that was told to stop the stream")
	}
	if err := c.beginStream(reply); err != nil {
		return outcomeCanceled, err
	}
	if len(rest) > 0 {
		if err := c.out.Write(rest); err != nil {
			return outcomeCanceled, err
		}
	}
	return outcomeComplete, nil
}

// dropDuplicates records the ids of events and drops those that the caller already has: an endpoint
// that resumes a stream may repeat the last event.
func (c *call) dropDuplicates(events []byte) []byte {
	out := events[:0:0]
	copied := false
	for rest := events; len(rest) > 0; {
		n := firstEventLen(rest)
		event := rest[:n]
		rest = rest[n:]
		id := eventID(event)
		if id != "" && !isLaterID(id, c.lastID) {
			if !copied {
				out = append(out, events[:len(events)-len(rest)-n]...)
				copied = true
			}
			continue
		}
		if id != "" {
			c.lastID = id
		}
		c.events++
		if copied {
			out = append(out, event...)
		}
	}
	if copied {
		return out
	}
	return events
}

// countUsage counts the request once in the workspace's usage, when its answer begins.
func (c *call) countUsage() {
	if c.usageCounted {
		return
	}
	c.usageCounted = true
	if c.workspace != nil {
		c.g.usage.Count(c.g.clock.Wall(time.Now()), c.workspace.Name)
	}
}
