// Package loghttp implements port.Log over the platform's HTTP log service.
package loghttp

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/port"
)

// callTimeout bounds one call, in addition to the time that the service is asked to
// wait for records.
const callTimeout = 3 * time.Second

// Log is a client of the platform's log service.
type Log struct {
	baseURL string
	client  *http.Client
}

var _ port.Log = (*Log)(nil)

// New returns a client for the service at baseURL, such as "http://10.0.0.1:80".
func New(baseURL string, dial jsonhttp.DialFunc) *Log {
	return &Log{baseURL: baseURL, client: jsonhttp.NewClient(jsonhttp.NewTransport(dial))}
}

// AppendReply is the reply to an append.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// Append implements port.Log.
func (l *Log) Append(ctx context.Context, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.baseURL+"/records", bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(err, "make append")
	}
	// Without GetBody the transport cannot send the append again when the reply is lost.
	// The record may be in the log by then, and would be appended twice.
	req.GetBody = nil
	var reply AppendReply
	status, err := jsonhttp.Do(l.client, req, jsonhttp.MaxResultBytes, &reply)
	switch {
	case err != nil:
		return 0, errors.Wrap(port.ErrLogUnavailable, err.Error())
	case status == http.StatusTooManyRequests:
		return 0, port.ErrLogRateLimited
	case status != http.StatusOK:
		return 0, errors.Wrapf(port.ErrLogUnavailable, "append: status %d", status)
	}
	return reply.Offset, nil
}

// Read implements port.Log.
func (l *Log) Read(ctx context.Context, from int64, maxRecords int, wait time.Duration) (port.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	q := url.Values{}
	q.Set("from", strconv.FormatInt(from, 10))
	q.Set("limit", strconv.Itoa(maxRecords))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var page port.Page
	status, err := jsonhttp.Call(ctx, l.client, http.MethodGet, l.baseURL+"/records?"+q.Encode(), jsonhttp.MaxReplyBytes, nil, &page)
	switch {
	case err != nil:
		return page, errors.Wrap(port.ErrLogUnavailable, err.Error())
	case status == http.StatusGone:
		return page, port.ErrLogExpired
	case status != http.StatusOK:
		return page, errors.Wrapf(port.ErrLogUnavailable, "read: status %d", status)
	}
	return page, nil
}
