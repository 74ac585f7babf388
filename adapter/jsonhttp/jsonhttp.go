// Package jsonhttp holds what the HTTP adapters share: JSON calls and replies,
// transports, and pools of connections.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Bounds of the bodies of replies, in bytes. Each call states its own: whoever is called may send without end.
const (
	// MaxResultBytes bounds a reply that holds a result or the reason of a refusal, such as that to a command.
	MaxResultBytes = 4 << 10
	// MaxReportBytes bounds the report of one endpoint or host about itself.
	MaxReportBytes = 1 << 20
	// MaxReplyBytes bounds all others, such as pages of records.
	MaxReplyBytes = 64 << 20
)

// maxHeadBytes bounds the head of a reply with the interim replies before it.
const maxHeadBytes = 64 << 10

// ErrReplyTooLong means that the body of a reply exceeds the bound of its call.
var ErrReplyTooLong = errors.New("reply without end")

// DialFunc opens a connection; net.Dialer.DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WriteBroke reports whether the error of a write states that the connection broke. The
// kernel reports the error of a connection once: if a write gets it, a read returns io.EOF
// as after a clean end. EPIPE is the error of a write after a clean end.
func WriteBroke(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// Timeouts of connections to other systems.
const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 30 * time.Second
)

// NewTransport returns a transport that dials with dial, or directly when
// dial is nil. It uses no proxy. Use it by NewClient.
func NewTransport(dial DialFunc) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Transport{
		DialContext:         dialReporting(dial),
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// Call sends body as JSON, or no body when it is nil, and decodes the reply into out
// when the status is below 300. It returns the status. An error means that the call
// failed, that the reply could not be decoded, or ErrReplyTooLong: that its body exceeds maxReply bytes.
func Call(ctx context.Context, c *http.Client, method, url string, maxReply int, body, out any) (int, error) {
	req, err := NewRequest(ctx, method, url, body)
	if err != nil {
		return 0, err
	}
	return Do(c, req, maxReply, out)
}

// Do sends req and decodes the reply as Call does. A reply with status 410 is
// decoded too.
func Do(c *http.Client, req *http.Request, maxReply int, out any) (int, error) {
	status, raw, err := roundTrip(c, req, maxReply)
	if err != nil {
		return status, err
	}
	decode := status < http.StatusMultipleChoices || status == http.StatusGone
	if out == nil || !decode || len(raw) == 0 {
		return status, nil
	}
	return status, errors.Wrap(json.Unmarshal(raw, out), "decode reply")
}

// roundTrip sends req and reads the reply. It returns ErrReplyTooLong for one whose body exceeds maxReply bytes.
func roundTrip(c *http.Client, req *http.Request, maxReply int) (int, []byte, error) {
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, errors.Wrap(err, "call")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxReply)+1))
	if len(raw) > maxReply {
		return resp.StatusCode, nil, errors.Wrapf(ErrReplyTooLong, "more than %d bytes", maxReply)
	}
	return resp.StatusCode, raw, errors.Wrap(err, "read reply")
}

// Write writes v as a JSON reply with the given status.
func Write(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // an error means that the caller cannot be reached
}

// NewRequest returns a request with body as JSON, or without a body when it is nil.
func NewRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode call body")
		}
		reader = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, errors.Wrap(err, "make call")
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// DoAnyStatus sends req and decodes the reply into out whatever its status. A reply
// that is not JSON leaves out unchanged.
func DoAnyStatus(c *http.Client, req *http.Request, maxReply int, out any) (int, error) {
	status, raw, err := roundTrip(c, req, maxReply)
	if err != nil {
		return status, err
	}
	_ = json.Unmarshal(raw, out) // the status gives the result; the body only adds details
	return status, nil
}
