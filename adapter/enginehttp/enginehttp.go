// Package enginehttp implements port.Engine over HTTP: the OpenAI-compatible
// calls with a few headers and members more, which doc comments here define.
package enginehttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/port"
)

// Headers of an attempt.
const (
	// HeaderAttempt carries the attempt id; the engine echoes it in the id
	// of each event, as "attempt/index".
	HeaderAttempt = "Attempt-Id"
	// HeaderPriority carries the priority; higher goes first.
	HeaderPriority = "Request-Priority"
	// HeaderResumeIndex and HeaderKVHandle go with the resumed attempt; the
	// text so far is the member "resume_text" of the body.
	HeaderResumeIndex = "Resume-Index"
	HeaderKVHandle    = "KV-Handle"
	// HeaderDeadline carries the attempt's deadline, RFC 3339 with fractions.
	HeaderDeadline = "Attempt-Deadline"
)

// MemberResumeText is the member of the body with the text so far.
const MemberResumeText = "resume_text"

// Paths of the engine's API.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletion  = "/v1/completions"
	PathHealth      = "/engine/health"
	PathLoad        = "/engine/load"
	PathCancel      = "/engine/cancel"
	PathCacheEvents = "/engine/cache-events"
	PathOrders      = "/engine/orders"
	PathExport      = "/engine/kv/export"
	PathImport      = "/engine/kv/import"
)

const (
	callTimeout = 2 * time.Second
	// maxLine bounds one line of an event stream, in bytes.
	maxLine = 1 << 20
)

// Engine is a client of model engines.
type Engine struct {
	client *http.Client
	// probe opens a new connection for each call.
	probe *http.Client
}

var _ port.Engine = (*Engine)(nil)

// New returns a client that dials with dial; nil dials directly.
func New(dial jsonhttp.DialFunc) *Engine {
	fresh := jsonhttp.NewTransport(dial)
	fresh.DisableKeepAlives = true
	return &Engine{
		client: &http.Client{Transport: jsonhttp.NewTransport(dial)},
		probe:  &http.Client{Transport: fresh},
	}
}

// Generate implements port.Engine.
func (e *Engine) Generate(ctx context.Context, address string, r port.GenerateRequest) (port.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	req, err := newGenerate(ctx, address, r)
	if err != nil {
		cancel()
		return nil, err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		cancel()
		return nil, connectError(err)
	}
	if err := generateStatus(resp); err != nil {
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
	req.GetBody = nil // the transport must not send an attempt twice
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

// generateBody asks for a stream with usage and adds the text so far.
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

func generateStatus(resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		return errors.Wrapf(port.ErrEndpointRefused, "status %d", resp.StatusCode)
	case resp.StatusCode >= http.StatusInternalServerError:
		return errors.Wrapf(port.ErrEndpointBroken, "status %d", resp.StatusCode)
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxLine)) // best effort detail
	return errors.Wrapf(port.ErrRequestInvalid, "status %d: %.200s", resp.StatusCode, text)
}

// connectError tells a connection that was never opened from one that broke.
func connectError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(port.ErrEndpointUnreachable, err.Error())
	}
	return errors.Wrap(port.ErrEndpointBroken, err.Error())
}

type stream struct {
	body   io.ReadCloser
	lines  *bufio.Scanner
	cancel context.CancelFunc
	done   bool
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *stream {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	return &stream{body: body, lines: lines, cancel: cancel}
}

// event is the JSON of one server-sent event of an engine.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens        int `json:"prompt_tokens"`
		CompletionTokens    int `json:"completion_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// Recv implements port.Stream.
func (s *stream) Recv() (port.Chunk, error) {
	if s.done {
		return port.Chunk{}, io.EOF
	}
	id := ""
	for s.lines.Scan() {
		line := s.lines.Text()
		switch {
		case strings.HasPrefix(line, "id:"):
			id = strings.TrimSpace(line[len("id:"):])
		case strings.HasPrefix(line, "data:"):
			data := strings.TrimSpace(line[len("data:"):])
			if data == "[DONE]" {
				return port.Chunk{}, errors.Wrap(port.ErrEndpointBroken, "end without finish mark")
			}
			return s.chunk(id, data)
		}
	}
	if err := s.lines.Err(); err != nil {
		return port.Chunk{}, errors.Wrap(port.ErrEndpointBroken, err.Error())
	}
	return port.Chunk{}, errors.Wrap(port.ErrEndpointBroken, "stream truncated")
}

func (s *stream) chunk(id, data string) (port.Chunk, error) {
	attempt, indexText, ok := strings.Cut(id, "/")
	index, err := strconv.Atoi(indexText)
	if !ok || err != nil {
		return port.Chunk{}, errors.Wrapf(port.ErrEndpointBroken, "event id %q", id)
	}
	var ev event
	if err := json.Unmarshal([]byte(data), &ev); err != nil {
		return port.Chunk{}, errors.Wrap(port.ErrEndpointBroken, err.Error())
	}
	c := port.Chunk{AttemptID: attempt, Index: index}
	if len(ev.Choices) > 0 {
		c.Text = ev.Choices[0].Delta.Content + ev.Choices[0].Text
		c.FinishReason = ev.Choices[0].FinishReason
	}
	if ev.Usage != nil {
		c.Usage = &port.Usage{
			PromptTokens:     ev.Usage.PromptTokens,
			CompletionTokens: ev.Usage.CompletionTokens,
			CachedTokens:     ev.Usage.PromptTokensDetails.CachedTokens,
		}
	}
	s.done = c.FinishReason != ""
	return c, nil
}

// Close implements port.Stream.
func (s *stream) Close() error {
	if s.done {
		// Read the end mark, so that the connection can be used again.
		_, _ = io.Copy(io.Discard, io.LimitReader(s.body, maxLine))
	}
	s.cancel()
	return s.body.Close()
}

func (e *Engine) call(ctx context.Context, c *http.Client, method, address, path string, body, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := jsonhttp.Call(ctx, c, method, "http://"+address+path, body, out)
	if err != nil {
		return status, connectError(err)
	}
	if status >= http.StatusInternalServerError {
		return status, errors.Wrapf(port.ErrEndpointBroken, "%s: status %d", path, status)
	}
	return status, nil
}

// CancelRequest is the body of a cancel or export call.
type CancelRequest struct {
	AttemptID string `json:"attempt_id"`
}

// Cancel implements port.Engine.
func (e *Engine) Cancel(ctx context.Context, address, attemptID string) error {
	_, err := e.call(ctx, e.client, http.MethodPost, address, PathCancel, CancelRequest{attemptID}, nil)
	return err
}

// Probe implements port.Engine.
func (e *Engine) Probe(ctx context.Context, address string) error {
	status, err := e.call(ctx, e.probe, http.MethodGet, address, PathHealth, nil, nil)
	if err == nil && status != http.StatusOK {
		return errors.Wrapf(port.ErrEndpointBroken, "health: status %d", status)
	}
	return err
}

// Load implements port.Engine.
func (e *Engine) Load(ctx context.Context, address string) (port.LoadReport, error) {
	var report port.LoadReport
	_, err := e.call(ctx, e.client, http.MethodGet, address, PathLoad, nil, &report)
	return report, err
}

// CacheEvents implements port.Engine.
func (e *Engine) CacheEvents(ctx context.Context, address string, after int64) ([]port.CacheEvent, error) {
	var events []port.CacheEvent
	path := PathCacheEvents + "?after=" + strconv.FormatInt(after, 10)
	_, err := e.call(ctx, e.client, http.MethodGet, address, path, nil, &events)
	return events, err
}

// Order implements port.Engine.
func (e *Engine) Order(ctx context.Context, address string, order port.Order) error {
	status, err := e.call(ctx, e.client, http.MethodPost, address, PathOrders, order, nil)
	if err == nil && status == http.StatusConflict {
		return port.ErrStaleFence
	}
	if err == nil && status != http.StatusOK {
		return errors.Wrapf(port.ErrEndpointRefused, "order: status %d", status)
	}
	return err
}

// ExportKV implements port.Engine.
func (e *Engine) ExportKV(ctx context.Context, address, attemptID string) (port.KVExport, error) {
	var export port.KVExport
	status, err := e.call(ctx, e.client, http.MethodPost, address, PathExport, CancelRequest{attemptID}, &export)
	if err == nil && status == http.StatusOK {
		return export, nil
	}
	return export, errors.Wrapf(port.ErrKVTransfer, "export: status %d: %v", status, err)
}

// ImportRequest is the body of an import call.
type ImportRequest struct {
	// Source is the ip:port to fetch the cache from.
	Source string `json:"source"`
	port.KVExport
}

// ImportKV implements port.Engine.
func (e *Engine) ImportKV(ctx context.Context, address, source string, export port.KVExport) error {
	status, err := e.call(ctx, e.client, http.MethodPost, address, PathImport, ImportRequest{source, export}, nil)
	if err == nil && status == http.StatusOK {
		return nil
	}
	return errors.Wrapf(port.ErrKVTransfer, "import: status %d: %v", status, err)
}
