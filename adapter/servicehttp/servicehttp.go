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
	// HeaderAttempt carries the attempt id; the service echoes it.
	HeaderAttempt = "Attempt-Id"
	// HeaderIdempotencyKey carries the caller's key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttemptRun with the value RunNot comes with a refusal of a call
	// that the service did not run, beside the echoed attempt id.
	HeaderAttemptRun = "Attempt-Run"
	RunNot           = "not-run"
)

// Paths that every plain service offers beside its own routes.
const (
	PathHealth = "/service/health"
	PathLoad   = "/service/load"
)

const callTimeout = 2 * time.Second

// Caller is a client of plain services.
type Caller struct {
	pool *jsonhttp.Pool
	// fresh opens a new connection for each call.
	fresh *http.Client
}

var _ port.ServiceCaller = (*Caller)(nil)

// New returns a client that dials with dial; nil dials directly.
func New(dial jsonhttp.DialFunc) *Caller {
	fresh := jsonhttp.NewTransport(dial)
	fresh.DisableKeepAlives = true
	return &Caller{
		pool:  jsonhttp.NewPool(dial),
		fresh: &http.Client{Transport: fresh},
	}
}

// Call implements port.ServiceCaller.
func (c *Caller) Call(ctx context.Context, address string, r port.ServiceRequest) (port.ServiceResponse, error) {
	ctx, trace := jsonhttp.TraceSend(ctx, r.Sending)
	req, err := newCall(ctx, address, r)
	if err != nil {
		return port.ServiceResponse{}, err
	}
	client := c.pool.Client(address)
	if r.Once {
		client = c.fresh
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, jsonhttp.MaxReply+1))
	if err != nil {
		return port.ServiceResponse{}, errors.Wrap(port.ErrEndpointBroken, err.Error())
	}
	if len(body) > jsonhttp.MaxReply {
		return port.ServiceResponse{}, errors.Wrap(port.ErrEndpointBroken, "answer is too large")
	}
	return port.ServiceResponse{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

func newCall(ctx context.Context, address string, r port.ServiceRequest) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(port.ErrRequestInvalid, err.Error())
	}
	req.GetBody = nil // the transport must not send a call twice
	req.Header.Set(HeaderAttempt, r.AttemptID)
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	if r.IdempotencyKey != "" {
		req.Header.Set(HeaderIdempotencyKey, r.IdempotencyKey)
	}
	return req, nil
}

// sendError tells a call that had no connection from one that broke.
func sendError(err error, trace *jsonhttp.SendTrace) error {
	if !trace.Connected() {
		return errors.Wrap(port.ErrEndpointUnreachable, err.Error())
	}
	return errors.Wrap(port.ErrEndpointBroken, err.Error())
}

// Probe implements port.ServiceCaller. The connections that were open before
// take no further calls: whoever probes doubts them.
func (c *Caller) Probe(ctx context.Context, address string) error {
	c.pool.Reset(address)
	return c.get(ctx, c.fresh, address, PathHealth, nil)
}

// Load implements port.ServiceCaller.
func (c *Caller) Load(ctx context.Context, address string) (port.LoadReport, error) {
	var report port.LoadReport
	err := c.get(ctx, c.pool.Client(address), address, PathLoad, &report)
	return report, err
}

func (c *Caller) get(ctx context.Context, client *http.Client, address, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ctx, trace := jsonhttp.TraceSend(ctx, nil)
	status, err := jsonhttp.Call(ctx, client, http.MethodGet, "http://"+address+path, nil, out)
	if err != nil {
		return sendError(err, trace)
	}
	if status != http.StatusOK {
		return errors.Wrapf(port.ErrEndpointBroken, "%s: status %d", path, status)
	}
	return nil
}
