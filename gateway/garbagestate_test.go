package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
)

// TestGarbageIsNotRemembered guards against bytes that are no event and are counted, recorded or told to others as one:
// a request has begun, at a software version, with its first sound event only.
func TestGarbageIsNotRemembered(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		route  string
		before int // sound events before the garbage of the first attempt
		body   string
		usage  int
		began  int // the attempt whose endpoint began the stream; zero if none did
	}{
		"garbage only, not resumable":      {"stream", 0, "", 0, 0},
		"garbage only, then another":       {"resume", 0, strings.Join(events(1, 6), ""), 1, 2},
		"behind events, none may go on":    {"resume", 3, strings.Join(events(1, 3), ""), 1, 1},
		"behind one event, not resumable":  {"stream", 1, events(1, 1)[0], 1, 1},
		"behind the first, none may go on": {"resume", 1, events(1, 1)[0], 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				versions := map[string]string{"3": "v3", "4": "v4"}
				tp.publish(versionedEndpoint("llm", "3"), versionedEndpoint("llm", "4"))
				tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
					if n == 1 {
						return streamReply(ctx, f, io.EOF, time.Millisecond, append(events(1, tc.before), garbage["an event without an id"])...), nil
					}
					return streamReply(ctx, f, io.EOF, time.Millisecond, events(1, 6)...), nil
				}
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				r := sendRequest(t.Context(), g, "req", tc.route)
				is.Equal(r.body.String(), tc.body)
				sent := tp.endpoints.attempts("req")
				usage := 0
				for _, counts := range g.usage.Recent() {
					usage += counts["w"]
				}
				is.Equal(usage, tc.usage)
				_, line, _ := strings.Cut(tp.log(), `"event":"request","request":"req"`)
				if tc.began == 0 {
					is.True(!strings.Contains(line, `"software"`))
				} else {
					is.True(strings.Contains(line, fmt.Sprintf(`"software":%q`, versions[sent[tc.began-1].Endpoint])))
				}
				measured := httpMetrics(t, g)
				is.True(strings.Contains(measured, "cicadanotch_gateway_garbage_answers_total 1\n"))
				is.Equal(strings.Contains(measured, "cicadanotch_gateway_first_event_seconds_count"), tc.began > 0)
			})
		})
	}
}

// TestEndpointThatSpoilsStreams states how many streams an endpoint that sends garbage gets from a host while others serve:
// it is suspect for 0.25 s after the first, for up to 4 s while it serves none, and for 0.25 s again once it has served one.
func TestEndpointThatSpoilsStreams(t *testing.T) {
	t.Parallel()
	const (
		duration = 30 * time.Second
		interval = 50 * time.Millisecond
	)
	for name, tc := range map[string]struct {
		each int // of that many of its streams one is spoilt
		most int
	}{
		"all of them":       {1, 12},
		"each second":       {2, int(duration / (250 * time.Millisecond))},
		"one of twenty":     {20, int(duration / interval / 20)},
		"all, of two hosts": {1, 24},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publish(endpoint("3", "llm"), endpoint("4", "llm"))
				got, spoilt := 0, 0
				tp.endpoints.respond = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
					parts := events(1, 3)
					if f.Endpoint == "3" {
						if got++; got%tc.each == 0 {
							spoilt++
							parts[1] = garbage["text"]
						}
					}
					return streamReply(ctx, f, io.EOF, time.Millisecond, parts...), nil
				}
				hosts := []*Gateway{tp.startHost(t, testOptions("h1"))}
				if strings.HasSuffix(name, "of two hosts") {
					hosts = append(hosts, tp.startHost(t, testOptions("h2")))
				}
				time.Sleep(settleTime)
				begin := time.Now()
				for n := 0; time.Since(begin) < duration; n++ {
					sendRequest(t.Context(), hosts[n%len(hosts)], fmt.Sprint("req", n), "stream")
					time.Sleep(interval)
				}
				t.Logf("%d of %d streams at the endpoint were spoilt", spoilt, got)
				is.True(spoilt >= 1)
				is.True(spoilt <= tc.most)
			})
		})
	}
}

// stoppableStream is a stream of events that goes on with garbage when it is stopped, and then ends.
type stoppableStream struct {
	stopped <-chan struct{}
	sent    int
}

func (s *stoppableStream) Read(p []byte) (int, error) {
	if s.sent < 0 {
		return 0, io.EOF
	}
	select {
	case <-s.stopped:
		s.sent = -1
		return copy(p, garbage["an event without an id"]), nil
	case <-time.After(150 * time.Millisecond):
	}
	s.sent++
	return copy(p, events(s.sent, s.sent)[0]), nil
}

func (s *stoppableStream) Close() error { return nil }

// TestMovedStreamForwardsNoGarbage guards against an engine that sends garbage when it is told to stop a stream for a
// move: the stream goes on from the copy behind its last sound event.
func TestMovedStreamForwardsNoGarbage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := newTestPlatform()
		tp.publish(endpoint("3", "llm"), endpoint("4", "llm"), endpoint("5", "llm"))
		stopped := make(chan struct{})
		tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
			if n == 1 {
				_ = f.Sending()
				return &port.Reply{Status: http.StatusOK, Authentic: true, Stream: true, Length: -1, Header: http.Header{}, Body: &stoppableStream{stopped: stopped}}, nil
			}
			is.True(f.Copy != nil) // without the copy it would run a second time
			last := 0
			_, _ = fmt.Sscan(f.After, &last)
			return streamReply(ctx, f, io.EOF, time.Millisecond, events(last+1, 15)...), nil
		}
		tp.endpoints.move = func(_ string, m port.StreamMove) (string, error) {
			if m.Last {
				close(stopped)
				time.Sleep(100 * time.Millisecond)
			}
			return "h", nil
		}
		g := tp.startHost(t, testOptions("h1"))
		time.Sleep(settleTime)
		time.AfterFunc(500*time.Millisecond, func() {
			at := tp.endpoints.attempts("req")[0].Endpoint
			e := endpoint(at, "llm")
			e.State, e.Leaving, e.Leaves = "draining", true, time.Second
			tp.store.put(port.TopicEndpoints, at, e)
		})
		r := sendRequest(t.Context(), g, "req", "stream")
		is.Equal(r.body.String(), strings.Join(events(1, 15), ""))
		is.True(!r.aborted)
		sent := tp.endpoints.attempts("req")
		is.Equal(len(sent), 2)
		is.True(sent[0].Endpoint != sent[1].Endpoint)
		is.Equal(strings.Count(tp.log(), `"why":"garbage"`), 1)
	})
}

// httpMetrics returns the metrics of a host as text.
func httpMetrics(t *testing.T, g *Gateway) string {
	t.Helper()
	w := httptest.NewRecorder()
	g.MetricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}
