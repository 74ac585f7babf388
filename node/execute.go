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

// execute runs an accepted request to its end.
func (n *Node) execute(ctx context.Context, a *Accepted) {
	if !n.awaitStart(ctx, a) {
		return
	}
	defer n.releaseStart(a)
	switch {
	case a.Request.Kind == request.KindGenerate:
		n.executeGenerate(ctx, a)
	case a.Request.Repeatable:
		n.executeCall(ctx, a)
	default:
		n.executeOrder(ctx, a)
	}
}

// fail ends a request with a problem.
func (n *Node) fail(a *Accepted, p *problem.Problem) {
	if a.isFrozen() || n.context().Err() != nil {
		return // a peer goes on with it, or the caller finds the connection cut
	}
	p.RequestID = a.Request.ID.String()
	_ = a.Answer.Finish(answer.End{Problem: p}) // ended before: the first end stands
}

// executeGenerate tries endpoints until the answer is whole, resuming after
// the chunks that came.
func (n *Node) executeGenerate(ctx context.Context, a *Accepted) {
	g := &generation{node: n, a: a, sequence: attempt.NewSequencer(a.Answer.Len())}
	_ = n.retry(ctx, a, g.attempt) // the caller has its final answer
}

// generation is the state of one generate request over its attempts.
type generation struct {
	node     *Node
	a        *Accepted
	sequence *attempt.Sequencer
	// fruitless counts the attempts in a row without a chunk.
	fruitless int
}

// attempt runs one attempt at an engine.
func (g *generation) attempt(ctx context.Context, r *running) error {
	before := g.sequence.Next()
	err := g.stream(ctx, r)
	if g.sequence.Next() > before {
		g.fruitless = 0
	} else {
		g.fruitless++
	}
	if err != nil && g.mayRun(err) {
		g.node.abandon(r.host, r.id)
	}
	return err
}

// mayRun reports whether the engine may still work on a failed attempt.
func (g *generation) mayRun(err error) bool {
	return !isAny(err, port.ErrEndpointUnreachable, port.ErrEndpointRefused, port.ErrRequestInvalid)
}

func (g *generation) stream(ctx context.Context, r *running) error {
	n, a := g.node, g.a
	g.sequence.Begin(r.id)
	limits := limitsFor(n.documentOf(a.Request.Service), a.Request.PromptTokens, g.fruitless)
	dog := n.watch(ctx, r, limits.first)
	defer dog.stop()
	sending := a.sending()
	stream, err := n.ports.Engine.Generate(ctx, r.host.EndpointAddress, port.GenerateRequest{
		AttemptID:   r.id,
		API:         a.Request.API,
		Body:        a.Request.Body,
		Priority:    a.Request.Priority,
		ResumeIndex: a.Answer.Len(),
		ResumeText:  a.Answer.Text(),
		KVHandle:    r.kvHandle,
		Deadline:    a.Request.Deadline,
		Sending:     sending.begin,
	})
	sending.end(err)
	if err != nil {
		return err
	}
	defer stream.Close()
	return g.relay(r, stream, dog, limits.between)
}

// relay moves chunks from the stream into the answer until the finish mark.
func (g *generation) relay(r *running, stream port.Stream, dog *watchdog, between time.Duration) error {
	n, a := g.node, g.a
	for {
		c, err := stream.Recv()
		if err != nil {
			return err
		}
		verdict := g.sequence.Take(&c)
		switch verdict {
		case attempt.VerdictFinish:
			return a.Answer.Finish(answer.End{FinishReason: c.FinishReason, Usage: c.Usage})
		case attempt.VerdictAccept:
			if err := g.accept(r, c); err != nil {
				return err
			}
			dog.progress(between)
		default:
			n.metrics.droppedChunks.WithLabelValues(string(verdict)).Inc()
			if verdict == attempt.VerdictGap {
				return errGap
			}
		}
	}
}

func (g *generation) accept(r *running, c port.Chunk) error {
	n, a := g.node, g.a
	if err := a.Answer.Append(answer.Chunk{Index: c.Index, Text: c.Text}); err != nil {
		return err
	}
	n.endpoints.started(a.Request, r.host.ID)
	if c.Index == 0 {
		n.metrics.firstToken.Observe(time.Since(a.Request.Arrived).Seconds())
	}
	return nil
}

// executeCall runs a repeatable call of a plain service.
func (n *Node) executeCall(ctx context.Context, a *Accepted) {
	attempts := 0
	_ = n.retry(ctx, a, func(ctx context.Context, r *running) error { // the caller has its final answer
		limits := limitsFor(n.documentOf(a.Request.Service), 0, attempts)
		attempts++
		dog := n.watch(ctx, r, limits.first)
		defer dog.stop()
		resp, err := n.callOnce(ctx, a, r.host, r.id)
		if err != nil {
			return err
		}
		return a.Answer.Finish(answer.End{Response: &resp})
	})
}

func (n *Node) callOnce(ctx context.Context, a *Accepted, host port.Host, attemptID string) (port.ServiceResponse, error) {
	req := serviceRequest(a.Request, attemptID)
	sending := a.sending()
	req.Sending = sending.begin
	resp, err := n.ports.Services.Call(ctx, host.EndpointAddress, req)
	sending.end(err)
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
		Once:           !req.Repeatable,
	}
}
