package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/port"
)

const (
	// maxBufferedBytes bounds an answer that is buffered until it is complete, so that the request
	// can still be retried; longer answers are forwarded as they arrive.
	maxBufferedBytes = 256 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 256 << 10
	// maxUnstatedBytes bounds an answer whose length is not stated: endpoints in trouble send without end.
	maxUnstatedBytes = 64 << 20
	// readBufferBytes is held of each answer beside what the account of memory counts.
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
	if c.isStream(reply) {
		if !reply.Stream {
			c.recordHeaderFault(a, "the content type of a stream is not that of event streams")
		}
		return c.forwardStream(a, reply, wd)
	}
	if c.headSent {
		return outcomeBroken, errors.Errorf("resumed stream: got status %d, want an event stream", reply.Status)
	}
	held := heldAnswer{c: c, a: a}
	defer held.release()
	body, complete, err := c.bufferReply(reply, &held)
	if err != nil {
		return outcomeBroken, err
	}
	if !complete {
		wd.reset(0) // its beginning is forwarded, so no other endpoint can answer
		return c.forwardLongReply(reply, body, &held)
	}
	a.answered = true
	c.countUsage()
	if reply.Status >= http.StatusInternalServerError {
		c.keepFailure(&bufferedReply{reply.Status, reply.Header, body}, &held)
		if c.endedWithProcess(time.Now(), a) {
			return outcomeProcessEnds, errors.Errorf("status %d", reply.Status)
		}
		return outcomeFailed, errors.Errorf("status %d", reply.Status)
	}
	c.writeReply(&bufferedReply{reply.Status, reply.Header, body})
	return outcomeComplete, nil
}

// isStream reports whether an answer is to be a series of events: each one with success on a streaming route,
// whatever type it states.
func (c *call) isStream(reply *port.Reply) bool {
	return c.route.Kind == catalog.KindStreaming && reply.Status < http.StatusMultipleChoices
}

// bufferReply reads an answer. complete is false if it is too long to buffer, or too much is held of others; body
// is then its beginning.
func (c *call) bufferReply(reply *port.Reply, held *heldAnswer) (body []byte, complete bool, err error) {
	buf := make([]byte, readBufferBytes)
	for {
		n, err := reply.Body.Read(buf)
		body = append(body, buf[:n]...)
		switch {
		case err == io.EOF:
			return body, true, nil
		case err != nil:
			return nil, false, err
		case len(body) > maxBufferedBytes || !held.grow(len(body)):
			return body, false, nil
		}
	}
}

// forwardLongReply forwards an answer that is too long to buffer.
func (c *call) forwardLongReply(reply *port.Reply, chunk []byte, held *heldAnswer) (outcome, error) {
	c.countUsage()
	if !c.claimAnswer() {
		return outcomeProcessEnds, errProcessEnds
	}
	c.status, c.headSent = reply.Status, true
	if err := c.out.Begin(reply.Status, reply.Header, reply.Length); err != nil {
		return outcomeCanceled, err
	}
	buf := make([]byte, readBufferBytes)
	for forwarded := 0; ; {
		if err := c.out.Write(chunk); err != nil {
			return outcomeCanceled, err
		}
		held.release()
		if forwarded += len(chunk); reply.Length < 0 && forwarded > maxUnstatedBytes {
			return outcomeBroken, errors.Wrapf(port.ErrEndless, "answer without a length exceeds %d bytes", maxUnstatedBytes)
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
	var (
		splitter = eventSplitter{continues: c.headSent}
		held     = heldAnswer{c: c, a: a, revocable: true}
		received int
	)
	defer held.release()
	buf := make([]byte, readBufferBytes)
	for {
		n, err := reply.Body.Read(buf)
		received += n
		events, garbage := splitter.add(buf[:n])
		if len(events) > 0 {
			first, before := !a.answered, c.events
			if writeErr := c.forwardEvents(a, reply, events); writeErr != nil {
				return writeFailureOutcome(writeErr), writeErr
			}
			if first || c.events > before { // an endpoint that has stalled may repeat its last event
				wd.reset(c.gapTimeout())
			}
		}
		rest := splitter.rest()
		switch {
		case garbage != nil:
			return outcomeBroken, garbage
		case len(rest) > maxEventBytes:
			return outcomeBroken, errors.Wrapf(port.ErrEndless, "event of a stream exceeds %d bytes", maxEventBytes)
		case reply.Length < 0 && received > maxUnstatedBytes:
			return outcomeBroken, errors.Wrapf(port.ErrEndless, "stream without a length exceeds %d bytes", maxUnstatedBytes)
		case held.revoked():
			return outcomeBroken, errors.Wrapf(port.ErrEndless, "given up for others with %d bytes of an event", len(rest))
		case !held.grow(len(rest)):
			return outcomeBroken, errors.Errorf("no room for %d bytes of an event", len(rest))
		case err == io.EOF:
			return c.endStream(a, reply, &splitter)
		case err != nil:
			return outcomeBroken, err
		}
	}
}

// forwardEvents forwards complete events.
func (c *call) forwardEvents(a *endpointAttempt, reply *port.Reply, events []event) error {
	now := time.Now()
	if !a.answered {
		a.answered, a.firstEventAt = true, now
		c.recordFirstEvent(a)
		sample, ok := c.g.placement.Started(&a.choice, now.Sub(a.startedAt))
		stated := statedPercent(reply)
		if c.placer.Host != c.g.opts.Host || c.ticket == 0 {
			c.g.observeSpeed(now, c.service.Name, a.view.ID, sample, ok, stated)
		}
		c.g.settle(c.placer, settlement{Ticket: c.ticket, Started: now.Sub(a.startedAt), StatedPercent: stated})
	}
	c.recordSoftware(a)
	c.recordAnswering(now, a)
	c.countUsage()
	before := c.events
	unseen := c.dropDuplicates(events)
	if c.events > 0 && c.firstAt.IsZero() {
		c.firstAt = now
		c.g.metrics.firstEvent.WithLabelValues(string(c.route.Kind)).Observe(now.Sub(c.arrived).Seconds())
	}
	if c.events > before { // an endpoint that has stalled may repeat its last event
		c.updateProgress(now)
		c.g.fleet.Progressed(now, a.view.ID)
	}
	if len(unseen) == 0 {
		return nil
	}
	if err := c.beginStream(reply); err != nil {
		return err
	}
	return c.out.Write(unseen)
}

// writeFailureOutcome returns the outcome of an attempt whose answer can't be written: its caller has disconnected, or the
// process ends.
func writeFailureOutcome(err error) outcome {
	if errors.Is(err, errProcessEnds) {
		return outcomeProcessEnds
	}
	return outcomeCanceled
}

// updateProgress publishes the stream's progress to other goroutines.
func (c *call) updateProgress(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.events, c.progress.lastAt = c.events, now
	if c.events > 0 && c.progress.firstAt.IsZero() {
		c.progress.firstAt = now
	}
}

func (c *call) beginStream(reply *port.Reply) error {
	if c.headSent {
		return nil
	}
	if !c.claimAnswer() {
		return errProcessEnds
	}
	c.status, c.headSent = reply.Status, true
	return c.out.Begin(reply.Status, reply.Header, -1)
}

// endStream finishes a stream whose body ended without an error. The framing states where the body ends, not
// that the stream is complete: an endpoint may break off inside an event, and a body that ends with its
// connection also ends when the endpoint fails.
func (c *call) endStream(a *endpointAttempt, reply *port.Reply, splitter *eventSplitter) (outcome, error) {
	rest := splitter.rest()
	switch {
	case splitter.insideEvent():
		c.ending.kind, c.ending.unfinished = endingInEvent, len(rest)
		return outcomeBroken, errors.Errorf("stream ended inside an event, after %d bytes of it", len(rest))
	case !a.answered && (reply.Framing == port.FramingConnection || !reply.Stream):
		c.ending.kind = endingNoEvent
		return outcomeBroken, errors.New("answer ended before the first event of the stream")
	case reply.Framing == port.FramingConnection && c.awaitMove():
		return outcomeMoved, errMoved
	case reply.Framing == port.FramingConnection && c.stoppedByMove():
		return outcomeBroken, errors.New("connection closed by an engine that was told to stop the stream")
	}
	if err := c.beginStream(reply); err != nil {
		return writeFailureOutcome(err), err
	}
	if len(rest) > 0 {
		if err := c.out.Write(rest); err != nil {
			return outcomeCanceled, err
		}
	}
	return outcomeComplete, nil
}

// dropDuplicates records the ids of consecutive events and returns them without those that the caller already has: an
// endpoint that resumes a stream may repeat the events before. It moves the bytes of the events.
func (c *call) dropDuplicates(events []event) []byte {
	unseen := events[0].bytes[:0]
	for _, e := range events {
		if !isLaterID(e.id, c.lastID) {
			continue
		}
		c.lastID = append(c.lastID[:0], e.id...)
		c.events++
		unseen = append(unseen, e.bytes...)
	}
	return unseen
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
