package node

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/answer"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/record"
	"github.com/cicadanotch/cicadanotch/request"
)

const (
	maxAttempts  = 5
	retryBackoff = 50 * time.Millisecond
)

// errChunkGap ends an attempt whose stream left a chunk out.
var errChunkGap = errors.New("gap in the stream")

// execute runs an accepted request to its end.
func (n *Node) execute(ctx context.Context, a *Accepted) {
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
	p.RequestID = a.Request.ID.String()
	_ = a.Answer.Finish(answer.End{Problem: p}) // ended before: the first end stands
}

// executeGenerate tries endpoints until the answer is whole, resuming after
// the chunks that came.
func (n *Node) executeGenerate(ctx context.Context, a *Accepted) {
	n.retry(ctx, a, func(host port.Host) error { return n.generateOnce(ctx, a, host) })
}

// executeCall runs a repeatable call of a plain service.
func (n *Node) executeCall(ctx context.Context, a *Accepted) {
	n.retry(ctx, a, func(host port.Host) error { return n.callOnce(ctx, a, host, record.NewID()) })
}

func (n *Node) retry(ctx context.Context, a *Accepted, attempt func(port.Host) error) {
	excluded := map[string]bool{}
	for range maxAttempts {
		host, ok := n.acquire(a, excluded)
		if !ok {
			clear(excluded)
			pause(ctx, retryBackoff)
			continue
		}
		err := attempt(host)
		n.endpoints.release(a.Request, host.ID, usageOf(a))
		n.metrics.attempts.WithLabelValues(a.Request.Service, result(err)).Inc()
		switch {
		case err == nil:
			return
		case errors.Is(err, port.ErrRequestInvalid):
			n.fail(a, problem.Refuse(&a.guard, http.StatusBadRequest, problem.TypeBadRequest, err.Error()))
			return
		case ctx.Err() != nil:
			n.fail(a, problem.Refuse(&a.guard, http.StatusGatewayTimeout, problem.TypeTimeout, "the deadline passed"))
			return
		}
		excluded[host.ID] = true
		n.log.Warn().Str("request", a.Request.ID.String()).Str("service", a.Request.Service).
			Str("workspace", a.Request.Workspace).Str("endpoint", host.ID).Err(err).Msg("attempt failed")
	}
	n.fail(a, problem.Refuse(&a.guard, http.StatusServiceUnavailable, problem.TypeUnavailable, "no endpoint took the request"))
}

func result(err error) string {
	if err == nil {
		return "ok"
	}
	return "failed"
}

func (n *Node) generateOnce(ctx context.Context, a *Accepted, host port.Host) error {
	attempt := port.GenerateRequest{
		AttemptID:   record.NewID(),
		API:         a.Request.API,
		Body:        a.Request.Body,
		Priority:    a.Request.Priority,
		ResumeIndex: a.Answer.Len(),
		ResumeText:  a.Answer.Text(),
		Deadline:    a.Request.Deadline,
	}
	a.guard.Send()
	stream, err := n.ports.Engine.Generate(ctx, host.EndpointAddress, attempt)
	if err != nil {
		return err
	}
	defer stream.Close()
	return n.relay(a, attempt.AttemptID, host.ID, stream)
}

// relay moves chunks from the stream into the answer until the finish mark.
// Only the current attempt's next chunk in order is taken.
func (n *Node) relay(a *Accepted, attemptID, endpoint string, stream port.Stream) error {
	for {
		c, err := stream.Recv()
		if err != nil {
			return err
		}
		next := a.Answer.Len()
		switch {
		case c.AttemptID != attemptID:
			n.metrics.droppedChunks.WithLabelValues("foreign").Inc()
		case c.Index < next:
			n.metrics.droppedChunks.WithLabelValues("repeated").Inc()
		case c.Index > next:
			n.metrics.droppedChunks.WithLabelValues("gap").Inc()
			return errChunkGap
		case c.FinishReason != "":
			return a.Answer.Finish(answer.End{FinishReason: c.FinishReason, Usage: c.Usage})
		default:
			if err := a.Answer.Append(answer.Chunk{Index: c.Index, Text: c.Text}); err != nil {
				return err
			}
			n.endpoints.started(a.Request, endpoint)
			if c.Index == 0 {
				n.metrics.firstToken.Observe(time.Since(a.Request.Arrived).Seconds())
			}
		}
	}
}

func (n *Node) callOnce(ctx context.Context, a *Accepted, host port.Host, attemptID string) error {
	a.guard.Send()
	resp, err := n.ports.Services.Call(ctx, host.EndpointAddress, serviceRequest(a.Request, attemptID))
	if err != nil {
		return err
	}
	return a.Answer.Finish(answer.End{Response: &resp})
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

func (n *Node) loadOf(ctx context.Context, h port.Host) (port.LoadReport, error) {
	rev, ok := n.documents.Service(h.Service)
	if ok && rev.Document.Kind == "plain" {
		return n.ports.Services.Load(ctx, h.EndpointAddress)
	}
	return n.ports.Engine.Load(ctx, h.EndpointAddress)
}
