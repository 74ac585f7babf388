package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
)

// TestRunsAreNotJoined guards against events of another run that follow those of a stream in the same body: their ids go
// back, which those of one run never do, and only the later ones would reach the caller.
func TestRunsAreNotJoined(t *testing.T) {
	t.Parallel()
	another := strings.ReplaceAll(strings.Join(events(1, 5), ""), "x", "another")
	for name, tc := range map[string]struct {
		route string
		body  string
	}{
		"not resumable": {"stream", strings.Join(events(1, 3), "")},
		"resumable":     {"resume", strings.Join(events(1, 6), "")},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := map[string]string{} // by how the stream arrives
			for how, split := range map[string]func([]string, string) []string{"own read": ownRead, "one read": oneRead, "byte by byte": eachByte} {
				synctest.Test(t, func(t *testing.T) {
					tp := newTestPlatform()
					tp.publish(endpoint("3", "llm"), endpoint("4", "llm"))
					tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
						if n == 1 {
							return streamReply(ctx, f, io.EOF, time.Millisecond, split(events(1, 3), another)...), nil
						}
						return streamReply(ctx, f, io.EOF, time.Millisecond, events(4, 6)...), nil
					}
					g := tp.startHost(t, testOptions("h1"))
					time.Sleep(settleTime)
					got[how] = sendRequest(t.Context(), g, "req", tc.route).body.String()
				})
			}
			is.Equal(got, map[string]string{"own read": tc.body, "one read": tc.body, "byte by byte": tc.body})
		})
	}
}

// TestContinuedStreamRepeatsNoEvent guards against events that a caller who continues a stream has already and gets again,
// as from an endpoint that repeats the last one. What the host does within one answer holds across answers too.
func TestContinuedStreamRepeatsNoEvent(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		after string
		parts []string
		body  []string
	}{
		"none":                       {"3", events(4, 6), events(4, 6)},
		"a byte order mark":          {"3", append([]string{"\xef\xbb\xbf"}, events(4, 6)...), append([]string{"\xef\xbb\xbf"}, events(4, 6)...)},
		"the last one":               {"3", events(3, 6), events(4, 6)},
		"all of them":                {"3", events(1, 6), events(4, 6)},
		"an id that is no number":    {"x", events(1, 6), events(1, 6)},
		"the caller has all of them": {"6", nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publish(endpoint("3", "llm"))
				tp.endpoints.respond = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
					return streamReply(ctx, f, io.EOF, time.Millisecond, tc.parts...), nil
				}
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				req := &port.Request{ID: "req", Method: "GET", Host: "x", Path: "/resume/1", Key: "key", HasTokens: true, PromptTokens: 800, AnswerTokens: 90, ResumeAfter: tc.after, Origin: "before"}
				r := &recorder{}
				g.Serve(t.Context(), time.Now(), req, r)
				is.Equal(r.status, 200)
				is.Equal(r.body.String(), strings.Join(tc.body, ""))
			})
		})
	}
}

// TestContinuedStreamAsksForTheRest: until an event is forwarded, endpoints get the id that the caller named, then that of
// the last event; and on a route that does not resume, what a caller names stands for nothing.
func TestContinuedStreamAsksForTheRest(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		route string
		after string
		parts []string // of the first attempt, which breaks off
		asked []string
		body  []string
	}{
		"broken off before any event":   {"resume", "3", nil, []string{"", ""}, events(4, 6)},
		"broken off after repetitions":  {"resume", "3", events(1, 3), []string{"", ""}, events(4, 6)},
		"broken off after a new event":  {"resume", "3", events(2, 4), []string{"", "4"}, events(4, 6)},
		"a number with zeros before it": {"resume", "003", events(3, 4), []string{"", "4"}, events(4, 6)},
		"on a route without resumption": {"stream", "3", events(1, 3), []string{""}, events(1, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publish(endpoint("3", "llm"), endpoint("4", "llm"))
				var asked []string
				tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
					asked = append(asked, f.After)
					is.Equal(f.ResumeAfter, tc.after)
					if n == 1 {
						return streamReply(ctx, f, port.ErrBroken, time.Millisecond, tc.parts...), nil
					}
					return streamReply(ctx, f, io.EOF, time.Millisecond, events(4, 6)...), nil
				}
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				req := &port.Request{ID: "req", Method: "GET", Host: "x", Path: "/" + tc.route + "/1", Key: "key", HasTokens: true, PromptTokens: 800, AnswerTokens: 90, ResumeAfter: tc.after, Origin: "before"}
				r := &recorder{}
				g.Serve(t.Context(), time.Now(), req, r)
				is.Equal(asked, tc.asked)
				is.Equal(r.body.String(), strings.Join(tc.body, ""))
				is.True(strings.Contains(tp.log(), fmt.Sprintf(`"events":%d`, len(tc.body))))
			})
		})
	}
}

// TestGarbageInsideAnEvent guards against an event that is cut and completed by the head of another answer, as in a body
// that ends with its connection: the lines of the head are taken for fields, and its blank line ends the event.
func TestGarbageInsideAnEvent(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\noops"
	for name, text := range map[string]string{
		"a head behind half a line of data":   "id: 4\ndata: y" + head,
		"a head behind a line of data":        "id: 4\ndata: y\n" + head,
		"a head behind an id":                 "id: 4\n" + head,
		"fields of a head behind a data line": "id: 4\ndata: y\nContent-Type: text/plain\r\n\r\noops",
		"fields of a head before an event":    "Content-Type: text/plain\r\nid: 4\ndata: y\n\n",
		"a body in JSON behind an id":         "id: 4\n{\"error\": \"oops\"}\n\n",
		"text behind half an id":              "id: 4oops\ndata: y\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tp := newTestPlatform()
				tp.publish(endpoint("3", "llm"), endpoint("4", "llm"))
				var after []string
				tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
					after = append(after, f.After)
					if n > 1 {
						return streamReply(ctx, f, io.EOF, time.Millisecond, events(4, 6)...), nil
					}
					reply := streamReply(ctx, f, io.EOF, time.Millisecond, append(events(1, 3), text)...)
					reply.Framing = port.FramingConnection
					return reply, nil
				}
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				r := sendRequest(t.Context(), g, "req", "resume")
				if got, want := r.body.String(), strings.Join(events(1, 6), ""); got != want {
					t.Errorf("caller got %q, want %q; resumed after %q", got, want, after)
				}
			})
		})
	}
}

// TestReportsThatAreNone guards against records and messages that name no host and count as one: the shares of all hosts
// become smaller.
func TestReportsThatAreNone(t *testing.T) {
	t.Parallel()
	var counted []string
	for _, text := range []string{"null", "{}", "[null]", "[{}]", "[]", "7", "oops", "\x1f\x8boops"} {
		for how, receive := range map[string]func(*testPlatform, *Gateway){
			"from the store": func(tp *testPlatform, _ *Gateway) {
				tp.store.mu.Lock()
				defer tp.store.mu.Unlock()
				tp.store.add(port.TopicHosts, port.TopicRecord{Key: "odd", Value: []byte(text)})
			},
			"from a host": func(_ *testPlatform, g *Gateway) {
				_, _ = g.PeerHandlers()[methodReport](t.Context(), json.RawMessage(text)) // it may refuse
			},
		} {
			synctest.Test(t, func(t *testing.T) {
				tp := newTestPlatform()
				tp.publish(endpoint("3", "llm"))
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				receive(tp, g)
				time.Sleep(2 * time.Second)
				if g.hostCount.Load() != 1 {
					counted = append(counted, text+" "+how)
				}
			})
		}
	}
	if len(counted) > 0 {
		t.Errorf("%q count as hosts, want none", counted)
	}
}

// FuzzContinuedStream: what is forwarded of a stream that goes on, and what is found in it, does not depend on the reads,
// and it holds no byte order mark.
func FuzzContinuedStream(f *testing.F) {
	for seed := range uint64(300) {
		f.Add(seed)
	}
	pieces := []string{"\xef\xbb\xbf", "\n", "\r\n", "\r", ": c\n", ":\r\n", "id: 1\n", "id: 2\r\n", "id:3\n", "data: x\n", "data\r\n", "retry: 5\n", "event: e\n", "\x00", "oops", "\xc3", "\xa9"}
	type result struct {
		forwarded, rest, last string
		garbage, inside       bool
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 9))
		var stream []byte
		for range 1 + rng.IntN(14) {
			stream = append(stream, pieces[rng.IntN(len(pieces))]...)
		}
		split := func(size int) (r result) {
			s, c := eventSplitter{continues: true}, &call{}
			for i := 0; i < len(stream) && !r.garbage; i += size {
				found, err := s.add(stream[i:min(i+size, len(stream))])
				if len(found) > 0 {
					r.forwarded += string(c.dropDuplicates(found))
				}
				r.garbage = err != nil
			}
			r.last = string(c.lastID)
			if !r.garbage {
				r.inside, r.rest = s.insideEvent(), string(s.rest())
			}
			return r
		}
		want := split(1)
		for _, size := range []int{2, 3, 5, len(stream)} {
			if got := split(size); got != want {
				t.Fatalf("%q in reads of %d: got %+v, want %+v", stream, size, got, want)
			}
		}
		if !want.inside && bytes.Contains([]byte(want.forwarded+want.rest), byteOrderMark) {
			t.Fatalf("%q: forwarded %+v", stream, want)
		}
	})
}
