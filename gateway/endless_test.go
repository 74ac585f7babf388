package gateway

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/memory"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

// endlessBody repeats a text until it is closed, or until stop bytes were read if that is set. It counts what was
// read, and calls stopped before it fails. If numbered is set, each repetition follows a line with an id, counted from 1.
type endlessBody struct {
	text     string
	numbered bool
	read     int
	stop     int
	stopped  func()

	rest        string // of the present repetition
	repetitions int
}

func (b *endlessBody) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		if b.rest == "" {
			b.rest = b.text
			if b.repetitions++; b.numbered {
				b.rest = "id: " + strconv.Itoa(b.repetitions) + "\n" + b.text
			}
		}
		copied := copy(p[n:], b.rest)
		b.rest = b.rest[copied:]
		n += copied
	}
	if b.read += n; b.stop > 0 && b.read > b.stop {
		b.stopped()
		return 0, port.ErrBroken
	}
	return n, nil
}

func (b *endlessBody) Close() error { return nil }

// countingResponder counts the bytes of an answer.
type countingResponder struct {
	recorder
	written int
}

func (r *countingResponder) Write(p []byte) error {
	r.written += len(p)
	return nil
}

func endlessReply(f *port.Forward, body io.ReadCloser, stream bool) *port.Reply {
	_ = f.Sending()
	return &port.Reply{Status: http.StatusOK, Authentic: true, Stream: stream, Length: -1, Framing: port.FramingConnection, Header: http.Header{}, Body: body}
}

// TestEndlessBody guards against an endpoint whose answer never ends: it is given up at a bound, the caller's
// answer does not look complete, and the endpoint is suspect for a reason of its own.
func TestEndlessBody(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		route, text string
		attempts    int
		most        int // bytes read of one answer
		status      int // of a refusal; zero if the answer is aborted
	}{
		"call":                              {"order", "x", 1, maxUnstatedBytes + maxBufferedBytes, 0},
		"call that may run again":           {"get", "x", 1, maxUnstatedBytes + maxBufferedBytes, 0}, // the caller has its beginning
		"one event":                         {"stream", "data", 1, 2 * maxEventBytes, http.StatusBadGateway},
		"one event, at every endpoint":      {"resume", "data", 2, 2 * maxEventBytes, http.StatusBadGateway},
		"events":                            {"stream", "data: " + strings.Repeat("x", 1000) + "\n\n", 1, maxUnstatedBytes + maxBufferedBytes, 0},
		"comments":                          {"stream", ": x\n", 1, 2 * maxEventBytes, http.StatusBadGateway},
		"blank lines, no event among them":  {"stream", "\n", 1, 2 * maxEventBytes, http.StatusBadGateway},
		"events that the caller has at all": {"resume", "id: 1\ndata: " + strings.Repeat("x", 1000) + "\n\n", 2, maxUnstatedBytes + maxBufferedBytes, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publish(endpoint("1", "api"), endpoint("2", "api"), endpoint("3", "llm"), endpoint("4", "llm"))
				var bodies []*endlessBody
				tp.endpoints.respond = func(_ context.Context, f *port.Forward, _ int) (*port.Reply, error) {
					body := &endlessBody{text: tc.text, numbered: strings.HasPrefix(tc.text, "data: ")}
					bodies = append(bodies, body)
					return endlessReply(f, body, f.HasTokens), nil
				}
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				r := &countingResponder{}
				req := &port.Request{ID: "req", Method: "GET", Host: "x", Path: "/" + tc.route + "/1", Target: "/" + tc.route + "/1", Key: "key", CallerTimeout: 3 * time.Second}
				req.HasTokens = tc.route == "stream" || tc.route == "resume"
				g.Serve(t.Context(), time.Now(), req, r)
				is.Equal(len(bodies), tc.attempts)
				for _, b := range bodies {
					is.True(b.read <= tc.most)
				}
				if tc.status != 0 {
					is.Equal(r.status, tc.status)
					is.Equal(r.problem.Run, problem.RunUnknown)
				} else {
					is.True(r.aborted)
				}
				is.Equal(strings.Count(tp.log(), `"why":"endless"`), tc.attempts)
			})
		})
	}
}

// TestManyEndlessAnswers guards against a host that runs out of memory when many endpoints send answers without
// end at the same time.
func TestManyEndlessAnswers(t *testing.T) {
	const (
		requests    = 200
		maxHeapGain = 32 << 20
	)
	for kind, text := range map[catalog.Kind]string{catalog.KindIdempotent: "x", catalog.KindStreaming: "data"} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			g := &Gateway{metrics: newMetrics(), account: memory.NewAccount(0), log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}}
			var before, during runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var filled, all sync.WaitGroup
			filled.Add(requests)
			release := make(chan struct{})
			for range requests {
				all.Go(func() {
					waiting := sync.OnceFunc(filled.Done)
					defer waiting() // answers that are given up earlier hold nothing
					c := &call{g: g, req: &port.Request{}, route: &catalog.Route{Kind: kind}, out: &countingResponder{}, usageCounted: true}
					body := &endlessBody{text: text, stop: maxEventBytes / 2, stopped: func() { waiting(); <-release }}
					reply := endlessReply(&port.Forward{Sending: func() error { return nil }}, body, kind == catalog.KindStreaming)
					a := &endpointAttempt{cancel: func(error) {}}
					o, err := c.forwardReply(t.Context(), a, reply, &watchdog{})
					if o != outcomeBroken || err == nil {
						t.Errorf("got %s, %v, want a broken answer", o, err)
					}
				})
			}
			filled.Wait()
			runtime.GC()
			runtime.ReadMemStats(&during)
			close(release)
			all.Wait()
			t.Logf("%d answers hold %d KB", requests, int64(during.HeapAlloc-before.HeapAlloc)>>10)
			is.True(during.HeapAlloc < before.HeapAlloc+maxHeapGain)
		})
	}
}
