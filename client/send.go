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

	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/request"
)

// maxProblem bounds a problem document that is read, in bytes.
const maxProblem = 1 << 20

// outgoing is one request as it is sent at first and again.
type outgoing struct {
	id      request.ID
	method  string
	path    string
	headers http.Header
	body    []byte
}

// try says how one exchange with an entry host went.
type try int

const (
	// tryDone: the answer is whole, or a problem is final.
	tryDone try = iota
	// tryUnsent: the request did not run; send it again.
	tryUnsent
	// tryCut: the request may be running; attach to it.
	tryCut
	// tryUnknown: this entry host does not find the request.
	tryUnknown
)

// reader reads a reply with status 200 up to its end. An error that wraps
// errFinal is returned to the caller; after any other the reply counts as cut.
type reader interface {
	// last is the index of the last chunk that was read, -1 for none.
	last() int
	read(resp *http.Response) error
}

// errFinal marks an error that no further try can mend.
var errFinal = errors.New("final")

// do sends a request and follows it until its answer is whole.
func (c *Client) do(ctx context.Context, out outgoing, r reader) error {
	attach, missing := false, 0
	var lastErr error
	for tries := 0; tries < c.opts.Tries; tries++ {
		at, err := c.choose(ctx, tries)
		if err != nil {
			lastErr = err
			if !c.pause(ctx, 0) {
				return ctx.Err()
			}
			continue
		}
		before := r.last()
		result, wait, err := c.exchange(ctx, at, out, attach, r)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		lastErr = err
		if r.last() > before {
			tries, missing = 0, 0
		}
		switch result {
		case tryDone:
			return err
		case tryUnsent:
			attach = false
		case tryCut:
			attach, missing = true, 0
			c.noteCut(out.id, at, err)
		case tryUnknown:
			missing++
			if missing <= c.size() {
				break
			}
			if r.last() >= 0 {
				return errors.Wrap(ErrLost, out.id.String())
			}
			attach, missing = false, 0 // the same id: it is claimed once
		}
		c.forget()
		if !c.pause(ctx, wait) {
			return ctx.Err()
		}
	}
	return errors.Wrapf(ErrCut, "request %s: %v", out.id, lastErr)
}

func (c *Client) noteCut(id request.ID, address string, err error) {
	if c.opts.OnCut != nil {
		c.opts.OnCut(id, address, err)
	}
}

// size returns the number of known addresses.
func (c *Client) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.known)
}

// exchange sends the request, or attaches to it, at one entry host.
func (c *Client) exchange(ctx context.Context, at string, out outgoing, attach bool, r reader) (try, time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := c.build(ctx, at, out, attach, r.last())
	if err != nil {
		return tryDone, 0, err
	}
	silence := time.AfterFunc(c.opts.SilenceLimit, cancel)
	defer silence.Stop()
	resp, err := c.opts.HTTP.Do(req)
	if err != nil {
		return afterTransport(err, attach), 0, err
	}
	defer resp.Body.Close()
	silence.Reset(c.opts.SilenceLimit)
	if resp.Header.Get("Content-Type") == problem.ContentType {
		return readProblem(resp, attach)
	}
	resp.Body = &silenceWatch{resp.Body, c.opts.SilenceLimit, silence}
	switch err := r.read(resp); {
	case err == nil:
		return tryDone, 0, nil
	case errors.Is(err, errFinal):
		return tryDone, 0, errors.Unwrap(err)
	default:
		return tryCut, 0, err
	}
}

func (c *Client) build(ctx context.Context, at string, out outgoing, attach bool, last int) (*http.Request, error) {
	method, path, body := out.method, out.path, out.body
	if attach {
		method, path, body = http.MethodGet, "/v1/requests/"+out.id.String(), nil
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	req.GetBody = nil // the transport must not send a request twice
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

// afterTransport tells a request that was never sent from one that was cut.
func afterTransport(err error, attach bool) try {
	var op *net.OpError
	if !attach && errors.As(err, &op) && op.Op == "dial" {
		return tryUnsent
	}
	return tryCut
}

// readProblem decides on a problem document.
func readProblem(resp *http.Response, attach bool) (try, time.Duration, error) {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxProblem))
	if err != nil {
		return tryCut, 0, errors.Wrap(err, "read problem")
	}
	p := &problem.Problem{}
	if err := json.Unmarshal(raw, p); err != nil {
		return tryCut, 0, errors.Wrap(err, "decode problem")
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // absent means 0
	p.RetryAfter = time.Duration(seconds) * time.Second
	switch {
	case attach && p.Type == problem.TypeNotFound:
		return tryUnknown, 0, p
	case mayRepeat(p):
		return tryUnsent, p.RetryAfter, p
	}
	return tryDone, 0, p
}

// silenceWatch puts the end of a silent reply off with each read.
type silenceWatch struct {
	io.ReadCloser
	limit time.Duration
	timer *time.Timer
}

// Read implements io.Reader.
func (s *silenceWatch) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	s.timer.Reset(s.limit)
	return n, err
}
