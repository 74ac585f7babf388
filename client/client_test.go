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
	problem   string // type/run
	body      string
	// cut breaks the body off after its text.
	cut bool
}

// script is a transport that answers from a list and notes what was sent.
type script struct {
	mu    sync.Mutex
	steps []step
	sent  []string
}

const addressList = `{"addresses":[{"host":"a","address":"10.0.0.1:1"},{"host":"b","address":"10.0.0.2:1"}],"lifetime_seconds":10}`

func (s *script) RoundTrip(req *http.Request) (*http.Response, error) {
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
		return nil, errors.New("no step left")
	}
	now := s.steps[0]
	s.steps = s.steps[1:]
	if now.dialError {
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}
	if now.problem != "" {
		kind, run, _ := strings.Cut(now.problem, "/")
		text := fmt.Sprintf(`{"type":%q,"status":%d,"run":%q,"error":{}}`, kind, now.status, run)
		return reply(now.status, problem.ContentType, text, false), nil
	}
	return reply(http.StatusOK, "text/event-stream", now.body, now.cut), nil
}

type cutReader struct{}

func (cutReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func reply(status int, contentType, body string, cut bool) *http.Response {
	var r io.Reader = strings.NewReader(body)
	if cut {
		r = io.MultiReader(r, cutReader{})
	}
	return &http.Response{StatusCode: status, Header: http.Header{"Content-Type": {contentType}}, Body: io.NopCloser(r)}
}

// chunks returns the events from index from up to but not including to.
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

func newClient(s *script) *client.Client {
	return client.New(client.Options{Seeds: []string{"10.0.0.1:1"}, HTTP: &http.Client{Transport: s}, Tries: 8, Pause: time.Microsecond})
}

func TestGenerate(t *testing.T) {
	notFound := step{status: 404, problem: "not-found/unknown"}
	for name, tc := range map[string]struct {
		steps   []step
		text    string
		wantErr error
		sent    string
	}{
		"one stream":                    {[]step{{body: chunks(0, 3) + finish(3)}}, "0,1,2,", nil, "POST"},
		"cut, then attached":            {[]step{{body: chunks(0, 2), cut: true}, {body: chunks(2, 3) + finish(3)}}, "0,1,2,", nil, "POST|GET after 1"},
		"ended without a finish mark":   {[]step{{body: chunks(0, 2)}, {body: chunks(2, 3) + finish(3)}}, "0,1,2,", nil, "POST|GET after 1"},
		"end event without finish mark": {[]step{{body: chunks(0, 1) + "data: [DONE]\n\n"}, {body: finish(1)}}, "0,", nil, "POST|GET after 0"},
		"chunk repeated":                {[]step{{body: chunks(0, 2) + chunks(1, 3) + finish(3)}}, "0,1,2,", nil, "POST"},
		"chunk left out":                {[]step{{body: chunks(0, 1) + chunks(2, 3) + finish(3)}, {body: chunks(1, 3) + finish(3)}}, "0,1,2,", nil, "POST|GET after 0"},
		"cut before the first byte":     {[]step{{cut: true}, {body: chunks(0, 1) + finish(1)}}, "0,", nil, "POST|GET"},
		"never sent":                    {[]step{{dialError: true}, {body: chunks(0, 1) + finish(1)}}, "0,", nil, "POST|POST"},
		"refused, not run":              {[]step{{status: 503, problem: "stopping/not-run"}, {body: chunks(0, 1) + finish(1)}}, "0,", nil, "POST|POST"},
		"attached at the second host":   {[]step{{body: chunks(0, 1), cut: true}, notFound, {body: chunks(1, 2) + finish(2)}}, "0,1,", nil, "POST|GET after 0|GET after 0"},
		"rest lost":                     {[]step{{body: chunks(0, 1), cut: true}, notFound, notFound, notFound}, "0,", client.ErrLost, "POST|GET after 0|GET after 0|GET after 0"},
		"lost before the first chunk":   {[]step{{cut: true}, notFound, notFound, notFound, {body: chunks(0, 1) + finish(1)}}, "0,", nil, "POST|GET|GET|GET|POST"},
		"no host any more":              {[]step{{body: chunks(0, 1), cut: true}}, "0,", client.ErrCut, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &script{steps: tc.steps}
			got := ""
			answer, err := newClient(s).Generate(t.Context(), client.Generate{
				Body:    []byte(`{"model":"m"}`),
				OnChunk: func(_ int, text string) { got += text },
			})
			is.True(errors.Is(err, tc.wantErr)) // error: see wantErr
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
			s := &script{steps: []step{first, {body: chunks(0, 1) + finish(1)}}}
			_, err := newClient(s).Generate(t.Context(), client.Generate{Body: []byte(`{}`)})
			var p *problem.Problem
			is.True(errors.As(err, &p))
			is.Equal(len(s.sent), 1)
		})
	}
}

func TestCallAttachesAfterCut(t *testing.T) {
	is := is.New(t)
	s := &script{steps: []step{{body: "par", cut: true}, {body: "whole"}}}
	resp, err := newClient(s).Call(context.Background(), client.Call{Service: "store-api", Method: http.MethodPost, Path: "/ventilation"})
	is.NoErr(err)
	is.Equal(string(resp.Body), "whole")
	is.Equal(strings.Join(s.sent, "|"), "POST|GET")
}
