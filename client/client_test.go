package client_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/client"
	"github.com/cicadanotch/cicadanotch/problem"
)

// step is one scripted reply of the deployment.
type step struct {
	dialError bool
	status    int
	problem   string // as "type/run"
	body      string
	// truncated makes the connection fail after the text of body.
	truncated bool
}

// scriptedTransport is a transport that answers with steps, in order, and records
// what was sent.
type scriptedTransport struct {
	mu    sync.Mutex
	steps []step
	sent  []string
}

const addressList = `{"addresses":[{"host":"a","address":"10.0.0.1:1"},{"host":"b","address":"10.0.0.2:1"}],"lifetime_seconds":10}`

func (s *scriptedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.URL.Path == "/v1/addresses" {
		return reply(http.StatusOK, "application/json", addressList, false), nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	line := req.Method
	if last := req.Header.Get("Last-Event-ID"); last != "" {
		line += " after " + last
	}
	s.sent = append(s.sent, line)
	if len(s.steps) == 0 {
		return nil, errors.New("no scripted reply left")
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	if next.dialError {
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}
	if next.problem != "" {
		kind, run, _ := strings.Cut(next.problem, "/")
		text := fmt.Sprintf(`{"type":%q,"status":%d,"run":%q,"error":{}}`, kind, next.status, run)
		return reply(next.status, problem.ContentType, text, false), nil
	}
	return reply(http.StatusOK, "text/event-stream", next.body, next.truncated), nil
}

// truncatedReader fails as the body of a connection that was lost.
type truncatedReader struct{}

func (truncatedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func reply(status int, contentType, body string, truncated bool) *http.Response {
	var r io.Reader = strings.NewReader(body)
	if truncated {
		r = io.MultiReader(r, truncatedReader{})
	}
	return &http.Response{StatusCode: status, Header: http.Header{"Content-Type": {contentType}}, Body: io.NopCloser(r)}
}

// chunks returns the events with the indexes from from up to, but not including, to.
func chunks(from, to int) string {
	var out strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&out, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"%d,\"}}]}\n\n", i, i)
	}
	return out.String()
}

func finish(index int) string {
	return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", index)
}

func newClient(s *scriptedTransport) *client.Client {
	return client.New(client.Options{Seeds: []string{"10.0.0.1:1"}, HTTP: &http.Client{Transport: s}, MaxTries: 8, RetryDelay: time.Microsecond})
}

func TestGenerate(t *testing.T) {
	notFound := step{status: 404, problem: "not-found/unknown"}
	for name, tc := range map[string]struct {
		steps   []step
		text    string
		wantErr error
		sent    string
	}{
		"one stream":                         {[]step{{body: chunks(0, 3) + finish(3)}}, "0,1,2,", nil, "POST"},
		"disconnected, then attached":        {[]step{{body: chunks(0, 2), truncated: true}, {body: chunks(2, 3) + finish(3)}}, "0,1,2,", nil, "POST|GET after 1"},
		"ended without a finish reason":      {[]step{{body: chunks(0, 2)}, {body: chunks(2, 3) + finish(3)}}, "0,1,2,", nil, "POST|GET after 1"},
		"end marker without finish reason":   {[]step{{body: chunks(0, 1) + "data: [DONE]\n\n"}, {body: finish(1)}}, "0,", nil, "POST|GET after 0"},
		"chunk repeated":                     {[]step{{body: chunks(0, 2) + chunks(1, 3) + finish(3)}}, "0,1,2,", nil, "POST"},
		"chunk missing":                      {[]step{{body: chunks(0, 1) + chunks(2, 3) + finish(3)}, {body: chunks(1, 3) + finish(3)}}, "0,1,2,", nil, "POST|GET after 0"},
		"disconnected before the first byte": {[]step{{truncated: true}, {body: chunks(0, 1) + finish(1)}}, "0,", nil, "POST|GET"},
		"not sent":                           {[]step{{dialError: true}, {body: chunks(0, 1) + finish(1)}}, "0,", nil, "POST|POST"},
		"refused, not run":                   {[]step{{status: 503, problem: "stopping/not-run"}, {body: chunks(0, 1) + finish(1)}}, "0,", nil, "POST|POST"},
		"attached at the second host":        {[]step{{body: chunks(0, 1), truncated: true}, notFound, {body: chunks(1, 2) + finish(2)}}, "0,1,", nil, "POST|GET after 0|GET after 0"},
		"rest lost":                          {[]step{{body: chunks(0, 1), truncated: true}, notFound, notFound, notFound}, "0,", client.ErrLost, "POST|GET after 0|GET after 0|GET after 0"},
		"lost before the first chunk":        {[]step{{truncated: true}, notFound, notFound, notFound, {body: chunks(0, 1) + finish(1)}}, "0,", nil, "POST|GET|GET|GET|POST"},
		"no entry host left":                 {[]step{{body: chunks(0, 1), truncated: true}}, "0,", client.ErrDisconnected, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &scriptedTransport{steps: tc.steps}
			got := ""
			answer, err := newClient(s).Generate(t.Context(), client.Generate{
				Body:    []byte(`{"model":"m"}`),
				OnChunk: func(_ int, text string) { got += text },
			})
			is.True(errors.Is(err, tc.wantErr)) // error, want tc.wantErr
			is.Equal(answer.Text, tc.text)
			is.Equal(got, tc.text)
			if tc.sent != "" {
				is.Equal(strings.Join(s.sent, "|"), tc.sent)
			}
		})
	}
}

func TestProblemsAreNotRepeated(t *testing.T) {
	for name, first := range map[string]step{
		"outcome unknown":           {status: 503, problem: "outcome-unknown/unknown"},
		"not run, and never will":   {status: 400, problem: "bad-request/not-run"},
		"problem within the stream": {body: chunks(0, 1) + "id: 1\ndata: {\"type\":\"timeout\",\"status\":504,\"run\":\"unknown\",\"error\":{}}\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &scriptedTransport{steps: []step{first, {body: chunks(0, 1) + finish(1)}}}
			_, err := newClient(s).Generate(t.Context(), client.Generate{Body: []byte(`{}`)})
			var p *problem.Problem
			is.True(errors.As(err, &p))
			is.Equal(len(s.sent), 1)
		})
	}
}

func TestCallAttachesAfterDisconnect(t *testing.T) {
	is := is.New(t)
	s := &scriptedTransport{steps: []step{{body: "par", truncated: true}, {body: "whole"}}}
	resp, err := newClient(s).Call(context.Background(), client.Call{Service: "store-api", Method: http.MethodPost, Path: "/ventilation"})
	is.NoErr(err)
	is.Equal(string(resp.Body), "whole")
	is.Equal(strings.Join(s.sent, "|"), "POST|GET")
}
