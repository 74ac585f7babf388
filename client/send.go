package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/request"
)

// maxProblemBytes bounds the part of a problem document that is read.
const maxProblemBytes = 1 << 20

// outgoingRequest is a request, which may be sent more than once.
type outgoingRequest struct {
	id      request.ID
	method  string
	path    string
	headers http.Header
	body    []byte
}

// outcome is the result of one exchange with an entry host.
type outcome int

const (
	// outcomeDone means that the answer is complete or that an error is permanent.
	outcomeDone outcome = iota
	// outcomeNotRun means that the request did not run: send it again.
	outcomeNotRun
	// outcomeDisconnected means that the request may be running: attach to it.
	outcomeDisconnected
	// outcomeNotFound means that this entry host did not find the request.
	outcomeNotFound
)

// reader reads a reply that is not a problem document up to its end. An error that
// matches errPermanent is returned to the caller. After any other error the reply
// counts as truncated.
type reader interface {
	// lastIndex returns the index of the last chunk that was read, -1 for none.
	lastIndex() int
	read(resp *http.Response) error
}

// errPermanent marks an error after which a further try cannot succeed.
var errPermanent = errors.New("final")

// do sends a request, then attaches to it after each lost connection, until its
// answer is complete.
func (c *Client) do(ctx context.Context, out outgoingRequest, r reader) error {
	attach, notFound := false, 0
	var lastErr error
	for tries := 0; tries < c.opts.MaxTries; tries++ {
		address, err := c.chooseAddress(ctx, tries)
		if err != nil {
			lastErr = err
			if !c.waitRetryDelay(ctx, 0) {
				return ctx.Err()
			}
			continue
		}
		before := r.lastIndex()
		result, delay, err := c.exchange(ctx, address, out, attach, r)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		lastErr = err
		if r.lastIndex() > before {
			tries, notFound = 0, 0
		}
		switch result {
		case outcomeDone:
			return err
		case outcomeNotRun:
			attach = false
		case outcomeDisconnected:
			attach, notFound = true, 0
			c.reportDisconnect(out.id, address, err)
		case outcomeNotFound:
			notFound++
			if notFound <= c.addressCount() {
				break
			}
			if r.lastIndex() >= 0 {
				return errors.Wrap(ErrLost, out.id.String())
			}
			attach, notFound = false, 0 // sent under the same id, so it is claimed only once
		}
		c.expire()
		if !c.waitRetryDelay(ctx, delay) {
			return ctx.Err()
		}
	}
	return errors.Wrapf(ErrDisconnected, "request %s: %v", out.id, lastErr)
}

func (c *Client) reportDisconnect(id request.ID, address string, err error) {
	if c.opts.OnDisconnect != nil {
		c.opts.OnDisconnect(id, address, err)
	}
}

// addressCount returns the number of cached addresses.
func (c *Client) addressCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.addresses)
}

// exchange sends the request to one entry host, or attaches to it there, and reads
// the reply. The duration is the Retry-After that the host stated, zero for none.
func (c *Client) exchange(ctx context.Context, address string, out outgoingRequest, attach bool, r reader) (outcome, time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := c.newRequest(ctx, address, out, attach, r.lastIndex())
	if err != nil {
		return outcomeDone, 0, err
	}
	stall := time.AfterFunc(c.opts.StallTimeout, cancel)
	defer stall.Stop()
	resp, err := c.opts.HTTP.Do(req)
	if err != nil {
		return transportOutcome(err, attach), 0, err
	}
	defer resp.Body.Close()
	if err := jsonhttp.CheckStatus(resp.StatusCode); err != nil {
		return outcomeDisconnected, 0, err
	}
	stall.Reset(c.opts.StallTimeout)
	if resp.Header.Get("Content-Type") == problem.ContentType {
		return readProblem(resp, attach)
	}
	resp.Body = &stallReader{resp.Body, c.opts.StallTimeout, stall}
	switch err := r.read(resp); {
	case err == nil:
		return outcomeDone, 0, nil
	case errors.Is(err, errPermanent):
		return outcomeDone, 0, errors.Unwrap(err)
	default:
		return outcomeDisconnected, 0, err
	}
}

func (c *Client) newRequest(ctx context.Context, address string, out outgoingRequest, attach bool, last int) (*http.Request, error) {
	method, path, body := out.method, out.path, out.body
	if attach {
		method, path, body = http.MethodGet, "/v1/requests/"+out.id.String(), nil
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	req.GetBody = nil // without it the transport cannot send the request a second time
	if !attach {
		req.Header = out.headers.Clone()
		req.Header.Set(headerRequestID, out.id.String())
	}
	if attach && last >= 0 {
		req.Header.Set(headerLastEventID, strconv.Itoa(last))
	}
	c.authorize(req)
	return req, nil
}

// transportOutcome returns the outcome for a transport error. A request whose connection
// could not be opened was not sent; any other may be running.
func transportOutcome(err error, attach bool) outcome {
	var op *net.OpError
	if !attach && errors.As(err, &op) && op.Op == "dial" {
		return outcomeNotRun
	}
	return outcomeDisconnected
}

// readProblem reads a problem document and returns the outcome, the Retry-After delay
// and the problem.
func readProblem(resp *http.Response, attach bool) (outcome, time.Duration, error) {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	if err != nil {
		return outcomeDisconnected, 0, errors.Wrap(err, "read problem")
	}
	p := &problem.Problem{}
	if err := json.Unmarshal(raw, p); err != nil {
		return outcomeDisconnected, 0, errors.Wrap(err, "decode problem")
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // 0 if absent
	p.RetryAfter = time.Duration(seconds) * time.Second
	switch {
	case attach && p.Type == problem.TypeNotFound:
		return outcomeNotFound, 0, p
	case retryable(p):
		return outcomeNotRun, p.RetryAfter, p
	}
	return outcomeDone, 0, p
}

// stallReader is a reply body that restarts the stall timer on each read.
type stallReader struct {
	io.ReadCloser
	timeout time.Duration
	timer   *time.Timer
}

// Read implements io.Reader.
func (s *stallReader) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	s.timer.Reset(s.timeout)
	return n, err
}
