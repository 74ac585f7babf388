package client

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/request"
)

// maxResponseBytes bounds the part of a plain service's answer that is read.
const maxResponseBytes = 64 << 20

// Call is a call of a plain service.
type Call struct {
	Service     string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey identifies repeats of one non-idempotent request, also
	// those from another process. If it is empty, the request id is the key.
	IdempotencyKey string
	// NotRepeatable marks a call that must not be repeated, whatever the
	// service's document states.
	NotRepeatable bool
	// ID is the request id; the zero value means that the client makes a new one.
	ID request.ID
}

// Response is the complete answer of a plain service.
type Response struct {
	ID          request.ID
	Status      int
	ContentType string
	Body        []byte
}

// Call calls a plain service. A call that must not be repeated is sent again only
// under the same id or idempotency key, under which it runs at most once. Call
// returns ErrDisconnected, or a *problem.Problem that states whether the call ran.
func (c *Client) Call(ctx context.Context, call Call) (Response, error) {
	if call.ID == (request.ID{}) {
		call.ID = request.NewID()
	}
	headers := http.Header{}
	if call.ContentType != "" {
		headers.Set("Content-Type", call.ContentType)
	}
	if call.IdempotencyKey != "" {
		headers.Set(headerIdempotencyKey, call.IdempotencyKey)
	}
	if call.NotRepeatable {
		headers.Set(headerRepeatable, "false")
	}
	r := &responseReader{response: Response{ID: call.ID}}
	path := "/services/" + call.Service + call.Path
	err := c.do(ctx, outgoingRequest{id: call.ID, method: call.Method, path: path, headers: headers, body: call.Body}, r)
	return r.response, err
}

// responseReader reads an answer that is not a stream. net/http detects a truncated
// body by the length in the header.
type responseReader struct{ response Response }

func (r *responseReader) lastIndex() int { return -1 }

func (r *responseReader) read(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if len(body) > maxResponseBytes {
		return errors.Errorf("answer exceeds %d bytes", maxResponseBytes)
	}
	r.response.Status = resp.StatusCode
	r.response.ContentType = resp.Header.Get("Content-Type")
	r.response.Body = body
	return nil
}
