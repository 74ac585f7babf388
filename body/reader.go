// Package body reads bodies of requests from callers as far as a host has room for them: fronts of all kinds use it.
// Package memory decides who gives way.
package body

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/memory"
	"github.com/cicadanotch/cicadanotch/problem"
)

const (
	// ReadTimeout bounds the time to read a body, with the wait for room.
	ReadTimeout = 10 * time.Second
	// growthFactor is how many times larger the next buffer of a body is: a length that is stated is no reason to
	// allocate it.
	growthFactor = 4
)

// ErrTooLarge is returned for a body above the limit of the configuration.
var ErrTooLarge = errors.New("the body is too large")

// Space is the room in memory for one body; Room implements it.
type Space interface {
	// Reserve waits for room for so many bytes, in place of those reserved before.
	Reserve(ctx context.Context, bytes int64) *problem.Problem
	// Keep states the length that was read. Revoked returns a refusal if the body is to be given up.
	Keep(length int64) *problem.Problem
	Revoked() *problem.Problem
}

// Reader reads the body of one request.
type Reader struct {
	request  *http.Request
	limit    int64
	deadline *readDeadline
	// Room must be set before Read. Conn is nil if the connection does not account for bodies; Refuse returns the refusal of a
	// body of a length for which it has no room.
	Room   Space
	Conn   Conn
	Refuse func(length int64) *problem.Problem
}

// NewReader returns the reader of a request's body, which may have up to limit bytes and take up to ReadTimeout.
func NewReader(control *http.ResponseController, r *http.Request, limit int64) *Reader {
	return NewReaderWithin(control, r, limit, ReadTimeout)
}

// NewReaderWithin returns a reader as NewReader, with a timeout.
func NewReaderWithin(control *http.ResponseController, r *http.Request, limit int64, timeout time.Duration) *Reader {
	return &Reader{request: r, limit: limit, deadline: newReadDeadline(control, time.Now().Add(timeout))}
}

// GiveUp ends the read.
func (b *Reader) GiveUp() { b.deadline.set(time.Now()) }

// Read reads the complete body, so that it can be sent again in a further attempt. No byte of it is read before there is
// room for all that it may have, except for the first memory.MaxSmallBody bytes of one without a stated length. It
// returns ErrTooLarge if the body is longer than the limit, a *problem.Problem if there is no room, and an
// os.ErrDeadlineExceeded if it takes too long.
func (b *Reader) Read(watch func(setDeadline func(time.Time)) (stop func() bool)) ([]byte, error) {
	length := b.request.ContentLength
	if length > b.limit {
		return nil, ErrTooLarge
	}
	read, err := b.readInTime(length, watch)
	b.deadline.end(err == nil)
	if b.Conn != nil && err == nil {
		b.Conn.EndBody()
	}
	return read, err
}

func (b *Reader) readInTime(length int64, watch func(setDeadline func(time.Time)) (stop func() bool)) ([]byte, error) {
	defer watch(b.deadline.set)()
	if b.Conn != nil {
		if !b.Conn.BeginBody(length) {
			return nil, b.Refuse(length)
		}
	}
	most, first := length, length
	if length < 0 {
		most, first = b.limit+1, min(b.limit, memory.MaxSmallBody)
	}
	if p := b.Room.Reserve(b.request.Context(), first); p != nil {
		return nil, p
	}
	body, err := b.fill(most, first)
	switch {
	case err != nil && b.Room.Revoked() != nil:
		return nil, b.Room.Revoked()
	case err != nil:
		return nil, errors.Wrap(err, "read body")
	case int64(len(body)) > b.limit:
		return nil, errors.Wrap(ErrTooLarge, "read body")
	case int64(len(body)) < length:
		return nil, errors.Wrap(io.ErrUnexpectedEOF, "read body")
	}
	if p := b.Room.Keep(int64(len(body))); p != nil {
		return nil, p
	}
	return body, nil
}

// fill reads up to most bytes, when there is room for reserved ones.
func (b *Reader) fill(most, reserved int64) ([]byte, error) {
	body := make([]byte, 0, min(most, memory.MaxSmallBody))
	for int64(len(body)) < most {
		if len(body) == cap(body) {
			if reserved < b.limit && int64(len(body)) >= reserved {
				if p := b.Room.Reserve(b.request.Context(), b.limit); p != nil {
					return nil, p
				}
				reserved = b.limit
			}
			larger := make([]byte, len(body), min(most, growthFactor*int64(cap(body))))
			copy(larger, body)
			body = larger
		}
		n, err := b.request.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

// readDeadline is the read deadline of a connection while a body is read. net/http cancels the request if it passes
// later, so it can't be set once it is cleared.
type readDeadline struct {
	control *http.ResponseController
	mu      sync.Mutex
	at      time.Time
	cleared bool
}

func newReadDeadline(control *http.ResponseController, at time.Time) *readDeadline {
	_ = control.SetReadDeadline(at) // if unsupported, the read has no timeout
	return &readDeadline{control: control, at: at}
}

// set sets a deadline earlier than the present one.
func (d *readDeadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.cleared && at.Before(d.at) {
		d.at = at
		_ = d.control.SetReadDeadline(at)
	}
}

// end ends the deadline if the body was read. Otherwise it stays: net/http reads what is left of the body before an answer.
func (d *readDeadline) end(read bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cleared = true
	if read {
		_ = d.control.SetReadDeadline(time.Time{})
	}
}
