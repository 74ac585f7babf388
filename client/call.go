package client

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/request"
)

// maxResponse bounds the answer of a plain service, in bytes.
const maxResponse = 64 << 20

// Call is a call of a plain service.
type Call struct {
	Service     string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey marks a repeat of the same order, also from another
	// process. Without one the request id is the key.
	IdempotencyKey string
	// NotRepeatable marks the call as not repeatable whatever the service's
	// document says.
	NotRepeatable bool
	// ID is the request id; the zero value means a fresh one.
	ID request.ID
}

// Response is the whole answer of a plain service.
type Response struct {
	ID          request.ID
	Status      int
	ContentType string
	Body        []byte
}

// Call runs a call of a plain service. A call that may not be repeated is
// sent again only under its own id or idempotency key, under which it runs at
// most once. ErrCut, or a *problem.Problem that says whether the call ran.
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
	r := &wholeReader{response: Response{ID: call.ID}}
	path := "/services/" + call.Service + call.Path
	err := c.do(ctx, outgoing{id: call.ID, method: call.Method, path: path, headers: headers, body: call.Body}, r)
	return r.response, err
}

// wholeReader reads an answer in one piece. The length that the header states
// tells a whole body from a cut one.
type wholeReader struct{ response Response }

func (r *wholeReader) last() int { return -1 }

func (r *wholeReader) read(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	r.response.Status = resp.StatusCode
	r.response.ContentType = resp.Header.Get("Content-Type")
	r.response.Body = body
	return nil
}
