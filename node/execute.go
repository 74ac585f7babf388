package node

import (
	"context"
	"time"

	"github.com/cicadanotch/cicadanotch/answer"
	"github.com/cicadanotch/cicadanotch/attempt"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/request"
)

// execute runs an accepted request until its answer has ended.
func (n *Node) execute(ctx context.Context, a *Accepted) {
	if !n.awaitSlot(ctx, a) {
		return
	}
	defer n.releaseSlot(a)
	switch {
	case a.Request.Kind == request.KindGenerate:
		n.executeGenerate(ctx, a)
	case a.Request.Repeatable:
		n.executeCall(ctx, a)
	default:
		n.executeNonIdempotent(ctx, a)
	}
}

// fail ends a request with a problem.
func (n *Node) fail(a *Accepted, p *problem.Problem) {
	if a.isFrozen() || n.context().Err() != nil {
		return // a peer continues the request, or the stopping node closes the caller's connection
	}
	p.RequestID = a.Request.ID.String()
	_ = a.Answer.Finish(answer.End{Problem: p}) // an error means that it has ended already; the first end is final
}

// executeGenerate makes attempts until the answer is complete. Each attempt
// resumes after the chunks received so far.
func (n *Node) executeGenerate(ctx context.Context, a *Accepted) {
	g := &generation{node: n, a: a, sequence: attempt.NewSequencer(a.Answer.Len())}
	_ = n.retry(ctx, a, g.attempt) // retry has set the final answer
}

// generation is the state of a generate request across its attempts.
type generation struct {
	node     *Node
	a        *Accepted
	sequence *attempt.Sequencer
	// emptyAttempts counts consecutive attempts that returned no chunk.
	emptyAttempts int
}

// attempt runs one attempt at an engine. A failed attempt that the engine may
// still run is cancelled there.
func (g *generation) attempt(ctx context.Context, r *runningAttempt) error {
	before := g.sequence.Next()
	err := g.stream(ctx, r)
	if g.sequence.Next() > before {
		g.emptyAttempts = 0
	} else {
		g.emptyAttempts++
	}
	if err != nil && g.mayStillRun(err) {
		g.node.cancelAttempt(r.host, r.id)
	}
	return err
}

// mayStillRun reports whether the engine may still run a failed attempt.
func (g *generation) mayStillRun(err error) bool {
	return !isAny(err, port.ErrEndpointUnreachable, port.ErrEndpointRefused, port.ErrRequestInvalid)
}

// stream opens the stream of an attempt and copies its chunks into the answer.
func (g *generation) stream(ctx context.Context, r *runningAttempt) error {
	n, a := g.node, g.a
	g.sequence.Begin(r.id)
	timeouts := progressTimeoutsFor(n.documentOf(a.Request.Service), a.Request.PromptTokens, g.emptyAttempts)
	wd := n.startWatchdog(ctx, r, timeouts.first)
	defer wd.stop()
	recorder := a.newSendRecorder()
	stream, err := n.ports.Engine.Generate(ctx, r.host.EndpointAddress, port.GenerateRequest{
		AttemptID:   r.id,
		API:         a.Request.API,
		Body:        a.Request.Body,
		Priority:    a.Request.Priority,
		ResumeIndex: a.Answer.Len(),
		ResumeText:  a.Answer.Text(),
		KVHandle:    r.kvHandle,
		Deadline:    a.Request.Deadline,
		OnSend:      recorder.begin,
	})
	recorder.end(err)
	if err != nil {
		return err
	}
	defer stream.Close()
	return g.relay(r, stream, wd, timeouts.between)
}

// relay appends the chunks of a stream to the answer until the final chunk.
func (g *generation) relay(r *runningAttempt, stream port.Stream, wd *watchdog, between time.Duration) error {
	n, a := g.node, g.a
	for {
		c, err := stream.Recv()
		if err != nil {
			return err
		}
		verdict := g.sequence.Accept(&c)
		switch verdict {
		case attempt.VerdictFinish:
			return a.Answer.Finish(answer.End{FinishReason: c.FinishReason, Usage: c.Usage})
		case attempt.VerdictAccept:
			if err := g.accept(r, c); err != nil {
				return err
			}
			wd.progress(between)
		default:
			n.metrics.droppedChunks.WithLabelValues(string(verdict)).Inc()
			if verdict == attempt.VerdictGap {
				return errChunkGap
			}
		}
	}
}

// accept appends a chunk to the answer and records the time to first token.
func (g *generation) accept(r *runningAttempt, c port.Chunk) error {
	n, a := g.node, g.a
	if err := a.Answer.Append(answer.Chunk{Index: c.Index, Text: c.Text}); err != nil {
		return err
	}
	n.endpoints.recordFirstToken(a.Request, r.host.ID)
	n.recordAnswering(a, r)
	if c.Index == 0 {
		n.metrics.firstToken.Observe(time.Since(a.Request.Arrived).Seconds())
	}
	return nil
}

// executeCall runs a repeatable call of a plain service.
func (n *Node) executeCall(ctx context.Context, a *Accepted) {
	attempts := 0
	_ = n.retry(ctx, a, func(ctx context.Context, r *runningAttempt) error { // retry has set the final answer
		timeouts := progressTimeoutsFor(n.documentOf(a.Request.Service), 0, attempts)
		attempts++
		wd := n.startWatchdog(ctx, r, timeouts.first)
		defer wd.stop()
		resp, err := n.callOnce(ctx, a, r.host, r.id)
		if err != nil {
			return err
		}
		return a.Answer.Finish(answer.End{Response: &resp})
	})
}

// callOnce makes one attempt of a call at an endpoint.
func (n *Node) callOnce(ctx context.Context, a *Accepted, host port.Host, attemptID string) (port.ServiceResponse, error) {
	req := serviceRequest(a.Request, attemptID)
	recorder := a.newSendRecorder()
	req.OnSend = recorder.begin
	resp, err := n.ports.Services.Call(ctx, host.EndpointAddress, req)
	recorder.end(err)
	return resp, err
}

func serviceRequest(req *request.Request, attemptID string) port.ServiceRequest {
	return port.ServiceRequest{
		AttemptID:      attemptID,
		Method:         req.Method,
		Path:           req.Path,
		ContentType:    req.ContentType,
		Body:           req.Body,
		IdempotencyKey: req.IdempotencyKey,
		Deadline:       req.Deadline,
		NonIdempotent:  !req.Repeatable,
	}
}
