// Package enginehttp implements port.Engine over HTTP: the OpenAI-compatible API
// with a few additional headers and body members, which are defined by the doc
// comments of this package.
package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/port"
)

// Headers of an attempt.
const (
	// HeaderAttempt carries the attempt id. The engine echoes it in the id of
	// each event, as "attempt/index".
	HeaderAttempt = "Attempt-Id"
	// HeaderPriority carries the priority; higher values are served first.
	HeaderPriority = "Request-Priority"
	// HeaderResumeIndex and HeaderKVHandle are sent with an attempt that resumes
	// a request. The text generated so far is in the body member "resume_text".
	HeaderResumeIndex = "Resume-Index"
	HeaderKVHandle    = "KV-Handle"
	// HeaderDeadline carries the deadline of the attempt, in RFC 3339 with
	// fractional seconds.
	HeaderDeadline = "Attempt-Deadline"
	// HeaderAttemptRun with the value RunNot marks a refusal of an attempt that
	// the engine did not run. HeaderAttempt then echoes the attempt id.
	HeaderAttemptRun = "Attempt-Run"
	RunNot           = "not-run"
)

// MemberResumeText is the body member with the text generated so far.
const MemberResumeText = "resume_text"

// Paths of the engine's API.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletion  = "/v1/completions"
	PathHealth      = "/engine/health"
	PathLoad        = "/engine/load"
	PathCancel      = "/engine/cancel"
	PathCacheEvents = "/engine/cache-events"
	PathCommands    = "/engine/orders"
	PathExport      = "/engine/kv/export"
	PathImport      = "/engine/kv/import"
)

const (
	callTimeout = 2 * time.Second
	// maxLineBytes bounds one line of an event stream, in bytes.
	maxLineBytes = 1 << 20
)

// Engine is a client of model engines.
type Engine struct {
	pool *jsonhttp.Pool
	// probeClient opens a new connection for each call.
	probeClient *http.Client
}

var _ port.Engine = (*Engine)(nil)

// New returns a client that dials with dial; nil dials directly.
func New(dial jsonhttp.DialFunc) *Engine {
	unpooled := jsonhttp.NewTransport(dial)
	unpooled.DisableKeepAlives = true
	return &Engine{
		pool:        jsonhttp.NewPool(dial),
		probeClient: jsonhttp.NewClient(unpooled),
	}
}

// Generate implements port.Engine.
func (e *Engine) Generate(ctx context.Context, address string, r port.GenerateRequest) (port.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	ctx, trace := jsonhttp.TraceSend(ctx, r.OnSend)
	req, err := newGenerate(ctx, address, r)
	if err != nil {
		cancel()
		return nil, err
	}
	resp, err := e.pool.Client(address).Do(req)
	if err != nil {
		cancel()
		return nil, sendError(err, trace)
	}
	if err := generateStatus(resp, r.AttemptID); err != nil {
		resp.Body.Close()
		cancel()
		return nil, err
	}
	return newStream(resp.Body, cancel), nil
}

func newGenerate(ctx context.Context, address string, r port.GenerateRequest) (*http.Request, error) {
	body, err := generateBody(r)
	if err != nil {
		return nil, err
	}
	path := PathChat
	if r.API == port.APICompletion {
		path = PathCompletion
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make generate call")
	}
	req.GetBody = nil // without it the transport cannot send the attempt a second time
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderAttempt, r.AttemptID)
	req.Header.Set(HeaderPriority, strconv.Itoa(r.Priority))
	if r.ResumeIndex > 0 {
		req.Header.Set(HeaderResumeIndex, strconv.Itoa(r.ResumeIndex))
	}
	if r.KVHandle != "" {
		req.Header.Set(HeaderKVHandle, r.KVHandle)
	}
	if !r.Deadline.IsZero() {
		req.Header.Set(HeaderDeadline, r.Deadline.Format(time.RFC3339Nano))
	}
	return req, nil
}

// generateBody returns the body of a generate call: the caller's body, changed to
// request a stream with usage and to carry the text generated so far.
func generateBody(r port.GenerateRequest) ([]byte, error) {
	members := map[string]json.RawMessage{}
	if err := json.Unmarshal(r.Body, &members); err != nil {
		return nil, errors.Wrap(port.ErrRequestInvalid, err.Error())
	}
	members["stream"] = json.RawMessage("true")
	members["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	if r.ResumeText != "" {
		text, err := json.Marshal(r.ResumeText)
		if err != nil {
			return nil, errors.Wrap(err, "encode text so far")
		}
		members[MemberResumeText] = text
	}
	body, err := json.Marshal(members)
	return body, errors.Wrap(err, "encode generate body")
}

func generateStatus(resp *http.Response, attemptID string) error {
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case declined(resp.Header, attemptID):
		return errors.Wrapf(port.ErrDeclined, "status %d", resp.StatusCode)
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		return errors.Wrapf(port.ErrEndpointRefused, "status %d", resp.StatusCode)
	case resp.StatusCode >= http.StatusInternalServerError:
		return errors.Wrapf(port.ErrEndpointBroken, "status %d", resp.StatusCode)
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxLineBytes)) // the text is best-effort detail
	return errors.Wrapf(port.ErrRequestInvalid, "status %d: %.200s", resp.StatusCode, text)
}

// declined reports whether the engine states that it did not run this attempt.
// The echoed attempt id must match.
func declined(h http.Header, attemptID string) bool {
	return h.Get(HeaderAttemptRun) == RunNot && h.Get(HeaderAttempt) == attemptID
}

// sendError returns ErrEndpointUnreachable for a call that got no connection and
// ErrEndpointBroken for one that may have been sent.
func sendError(err error, trace *jsonhttp.SendTrace) error {
	if !trace.Connected() {
		return errors.Wrap(port.ErrEndpointUnreachable, err.Error())
	}
	return errors.Wrap(port.ErrEndpointBroken, err.Error())
}

func (e *Engine) call(ctx context.Context, c *http.Client, method, address, path string, body, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ctx, trace := jsonhttp.TraceSend(ctx, nil)
	status, err := jsonhttp.Call(ctx, c, method, "http://"+address+path, jsonhttp.MaxReportBytes, body, out)
	if err != nil {
		return status, sendError(err, trace)
	}
	if status >= http.StatusInternalServerError {
		return status, errors.Wrapf(port.ErrEndpointBroken, "%s: status %d", path, status)
	}
	return status, nil
}

// AttemptRequest is the body of a cancel or export call.
type AttemptRequest struct {
	AttemptID string `json:"attempt_id"`
}

// Cancel implements port.Engine.
func (e *Engine) Cancel(ctx context.Context, address, attemptID string) error {
	_, err := e.call(ctx, e.pool.Client(address), http.MethodPost, address, PathCancel, AttemptRequest{attemptID}, nil)
	return err
}

// Probe implements port.Engine. It removes the open connections from the pool: a
// probe is made when the endpoint is suspect, and so are its connections.
func (e *Engine) Probe(ctx context.Context, address string) error {
	e.pool.Reset(address)
	status, err := e.call(ctx, e.probeClient, http.MethodGet, address, PathHealth, nil, nil)
	if err == nil && status != http.StatusOK {
		return errors.Wrapf(port.ErrEndpointBroken, "health: status %d", status)
	}
	return err
}

// Load implements port.Engine.
func (e *Engine) Load(ctx context.Context, address string) (port.LoadReport, error) {
	var report *port.LoadReport
	switch err := e.get(ctx, address, PathLoad, &report); {
	case err != nil:
		return port.LoadReport{}, err
	case report == nil:
		return port.LoadReport{}, errors.Wrap(port.ErrEndpointBroken, "load: got null, want a report")
	}
	return *report, nil
}

// CacheEvents implements port.Engine.
func (e *Engine) CacheEvents(ctx context.Context, address string, after int64) ([]port.CacheEvent, error) {
	var events []port.CacheEvent
	err := e.get(ctx, address, PathCacheEvents+"?after="+strconv.FormatInt(after, 10), &events)
	return events, err
}

// get makes a call whose reply holds a document, and decodes that into out.
func (e *Engine) get(ctx context.Context, address, path string, out any) error {
	var raw json.RawMessage
	status, err := e.call(ctx, e.pool.Client(address), http.MethodGet, address, path, nil, &raw)
	switch {
	case err != nil:
		return err
	case status != http.StatusOK || len(raw) == 0:
		return errors.Wrapf(port.ErrEndpointBroken, "%s: got status %d with %d bytes, want status 200 with a document", path, status, len(raw))
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return errors.Wrapf(port.ErrEndpointBroken, "%s: %v", path, err)
	}
	return nil
}

// SendCommand implements port.Engine.
func (e *Engine) SendCommand(ctx context.Context, address string, command port.Command) error {
	status, err := e.call(ctx, e.pool.Client(address), http.MethodPost, address, PathCommands, command, nil)
	if err == nil && status == http.StatusConflict {
		return port.ErrStaleFencingToken
	}
	if err == nil && status != http.StatusOK {
		return errors.Wrapf(port.ErrEndpointRefused, "command: status %d", status)
	}
	return err
}

// ExportKV implements port.Engine.
func (e *Engine) ExportKV(ctx context.Context, address, attemptID string) (port.KVExport, error) {
	var export port.KVExport
	status, err := e.call(ctx, e.pool.Client(address), http.MethodPost, address, PathExport, AttemptRequest{attemptID}, &export)
	switch {
	case err != nil || status != http.StatusOK:
		return export, errors.Wrapf(port.ErrKVTransfer, "export: status %d: %v", status, err)
	case export.Handle == "":
		return export, errors.Wrap(port.ErrKVTransfer, "export: got no handle")
	}
	return export, nil
}

// ImportRequest is the body of an import call.
type ImportRequest struct {
	// Source is the ip:port from which the cache is fetched.
	Source string `json:"source"`
	port.KVExport
}

// ImportKV implements port.Engine.
func (e *Engine) ImportKV(ctx context.Context, address, source string, export port.KVExport) error {
	status, err := e.call(ctx, e.pool.Client(address), http.MethodPost, address, PathImport, ImportRequest{source, export}, nil)
	if err == nil && status == http.StatusOK {
		return nil
	}
	return errors.Wrapf(port.ErrKVTransfer, "import: status %d: %v", status, err)
}
