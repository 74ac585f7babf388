// Package servicehttp implements port.ServiceCaller over HTTP.
package servicehttp

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/port"
)

// Headers of a call.
const (
	// HeaderAttempt carries the attempt id, which the service echoes.
	HeaderAttempt = "Attempt-Id"
	// HeaderIdempotencyKey carries the idempotency key of the request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttemptRun with the value RunNot marks the response of a service that
	// declined the call and did not run it. HeaderAttempt then echoes the attempt id.
	HeaderAttemptRun = "Attempt-Run"
	RunNot           = "not-run"
)

// Paths that every plain service serves in addition to its own routes. A plain service
// is an endpoint that is not a model engine; it answers a call with one HTTP response.
const (
	PathHealth = "/service/health"
	PathLoad   = "/service/load"
)

// getTimeout bounds the calls of Probe and Load. Call has only the deadline of its context.
const getTimeout = 2 * time.Second

// Client is a client of plain services.
type Client struct {
	pool *jsonhttp.Pool
	// unpooled opens a new connection for each call, so that the transport cannot send
	// a non-idempotent call again, and so that a probe uses no suspect connection.
	unpooled *http.Client
}

var _ port.ServiceCaller = (*Client)(nil)

// New returns a client that dials with dial; nil dials directly.
func New(dial jsonhttp.DialFunc) *Client {
	unpooled := jsonhttp.NewTransport(dial)
	unpooled.DisableKeepAlives = true
	return &Client{
		pool:     jsonhttp.NewPool(dial),
		unpooled: jsonhttp.NewClient(unpooled),
	}
}

// Call implements port.ServiceCaller.
func (c *Client) Call(ctx context.Context, address string, r port.ServiceRequest) (port.ServiceResponse, error) {
	ctx, trace := jsonhttp.TraceSend(ctx, r.OnSend)
	req, err := newRequest(ctx, address, r)
	if err != nil {
		return port.ServiceResponse{}, err
	}
	client := c.pool.Client(address)
	if r.NonIdempotent {
		client = c.unpooled
	}
	resp, err := client.Do(req)
	if err != nil {
		return port.ServiceResponse{}, sendError(err, trace)
	}
	defer resp.Body.Close()
	if resp.Header.Get(HeaderAttempt) != r.AttemptID {
		return port.ServiceResponse{}, errors.Wrap(port.ErrEndpointBroken, "answer to another attempt")
	}
	if resp.Header.Get(HeaderAttemptRun) == RunNot {
		return port.ServiceResponse{}, errors.Wrapf(port.ErrDeclined, "status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, jsonhttp.MaxReplyBytes+1))
	if err != nil {
		return port.ServiceResponse{}, errors.Wrap(port.ErrEndpointBroken, err.Error())
	}
	if len(body) > jsonhttp.MaxReplyBytes {
		return port.ServiceResponse{}, errors.Wrap(port.ErrEndpointBroken, "answer is too large")
	}
	return port.ServiceResponse{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

func newRequest(ctx context.Context, address string, r port.ServiceRequest) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(port.ErrRequestInvalid, err.Error())
	}
	// Without GetBody the transport cannot send a call that has a body a second time; it
	// makes no difference to a call without one.
	req.GetBody = nil
	req.Header.Set(HeaderAttempt, r.AttemptID)
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	if r.IdempotencyKey != "" {
		req.Header.Set(HeaderIdempotencyKey, r.IdempotencyKey)
	}
	return req, nil
}

// sendError returns ErrEndpointUnreachable for a call that got no connection and
// ErrEndpointBroken for one that may have been sent.
func sendError(err error, trace *jsonhttp.SendTrace) error {
	if !trace.Connected() {
		return errors.Wrap(port.ErrEndpointUnreachable, err.Error())
	}
	return errors.Wrap(port.ErrEndpointBroken, err.Error())
}

// Probe implements port.ServiceCaller. It removes the open connections from the pool:
// a probe is made when the endpoint is suspect, and so are its connections.
func (c *Client) Probe(ctx context.Context, address string) error {
	c.pool.Reset(address)
	return c.get(ctx, c.unpooled, address, PathHealth, nil)
}

// Load implements port.ServiceCaller.
func (c *Client) Load(ctx context.Context, address string) (port.LoadReport, error) {
	var report *port.LoadReport
	switch err := c.get(ctx, c.pool.Client(address), address, PathLoad, &report); {
	case err != nil:
		return port.LoadReport{}, err
	case report == nil:
		return port.LoadReport{}, errors.Wrap(port.ErrEndpointBroken, "load: got no document, want a report")
	}
	return *report, nil
}

func (c *Client) get(ctx context.Context, client *http.Client, address, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()
	ctx, trace := jsonhttp.TraceSend(ctx, nil)
	status, err := jsonhttp.Call(ctx, client, http.MethodGet, "http://"+address+path, jsonhttp.MaxReportBytes, nil, out)
	if err != nil {
		return sendError(err, trace)
	}
	if status != http.StatusOK {
		return errors.Wrapf(port.ErrEndpointBroken, "%s: status %d", path, status)
	}
	return nil
}
