package daemon

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// answerer returns an endpoint's answer to a request.
type answerer func(platformtest.RawRequest) platformtest.RawAnswer

// takeoverAnswers are answers of an endpoint that is to continue a stream, none of which continues it, by name.
func takeoverAnswers(framing platformtest.Framing) map[string]answerer {
	type request = platformtest.RawRequest
	type answer = platformtest.RawAnswer
	const failure = "data: upstream failed\n\n" // would be an event in the middle of a stream
	event := func(n int) string {
		return strings.TrimSuffix(platformtest.CompleteStream("v1", n-1), platformtest.CompleteStream("v1", n))
	}
	out := map[string]answerer{
		"200 that is no stream":                      func(r request) answer { return r.Reply(framing, 200, failure, r.Sealed()) },
		"200 that is no stream, without a signature": func(r request) answer { return r.Reply(framing, 200, failure) },
		"200 that is no stream, without a body":      func(r request) answer { return r.Reply(framing, 200, "", r.Sealed()) },
		"stream without a signature":                 func(r request) answer { return r.Reply(framing, 200, failure, platformtest.EventStream) },
		"503 that did not run":                       func(r request) answer { return r.Reply(framing, 503, failure, platformtest.NotRun) },
		"503 that did not run and asks for time":     func(r request) answer { return r.Reply(framing, 503, failure, platformtest.NotRun, "Retry-After: 1") },
		"500 with the type of a stream":              func(r request) answer { return r.Reply(framing, 500, failure, r.Sealed(), platformtest.EventStream) },
		"error text in a stream": func(r request) answer {
			return r.Reply(framing, 200, "upstream failed", r.Sealed(), platformtest.EventStream)
		},
		"error text in a line of a stream": func(r request) answer {
			return r.Reply(framing, 200, "upstream failed\n", r.Sealed(), platformtest.EventStream)
		},
		"the event before it, then an error text": func(r request) answer {
			return r.Reply(framing, 200, event(4)+"failed", r.Sealed(), platformtest.EventStream)
		},
		"stream that is broken off before an event": func(r request) answer {
			return r.Reply(framing, 200, "id", r.Sealed(), platformtest.EventStream).BrokenOff(1)
		},
		"an interim answer, then 500": func(r request) answer {
			return answer{Text: "HTTP/1.1 103 Early Hints\r\n\r\n" + r.Reply(framing, 500, failure, r.Sealed()).Text, Ends: true}
		},
		"an interim answer and nothing else": func(request) answer { return answer{Text: "HTTP/1.1 103 Early Hints\r\n\r\n", Ends: true} },
		"nothing":                            func(request) answer { return answer{Ends: true} },
		"nothing, reset":                     func(request) answer { return answer{Reset: true} },
		"answer to another request": func(request) answer {
			r := request{Endpoint: "i-x", Attempt: "another"}
			return answer{Text: r.Reply(framing, 200, failure, r.Sealed(), platformtest.EventStream).Text, Ends: true}
		},
		"head of an answer in the body of a stream": func(r request) answer {
			return r.Reply(framing, 200, r.Reply(platformtest.Length, 500, "failed").Text, r.Sealed(), platformtest.EventStream)
		},
		"bytes that are no answer": func(request) answer { return answer{Text: "upstream failed\r\n\r\n", Ends: true} },
	}
	for _, status := range []int{204, 301, 307, 400, 404, 408, 421, 429, 500, 502, 503, 504} {
		out[fmt.Sprint(status)] = func(r request) answer { return r.Reply(framing, status, failure) }
		out[fmt.Sprint(status, " with a signature")] = func(r request) answer { return r.Reply(framing, status, failure, r.Sealed()) }
	}
	for name, last := range map[string]int{"before its blank line": 1, "in its blank line": 2, "in its last header": 8, "in its status line": 1 << 10} {
		for _, reset := range []bool{false, true} {
			out[fmt.Sprint("a head that ends ", name, ", reset ", reset)] = func(r request) answer {
				a := r.Reply(framing, 200, "", r.Sealed(), platformtest.EventStream)
				if framing == platformtest.Chunks {
					a.Text = a.Text[:len(a.Text)-len("0\r\n\r\n")]
				}
				a.Reset = reset
				return a.BrokenOff(min(last, len(a.Text)-len("HTTP/1.1 20")))
			}
		}
	}
	return out
}

// brokenStream is the answer of the endpoint that begins a stream and breaks off inside an event.
func brokenStream(framing platformtest.Framing) answerer {
	return func(r platformtest.RawRequest) platformtest.RawAnswer {
		a := r.Reply(framing, 200, platformtest.CompleteStream("v1", 0), r.Sealed(), platformtest.EventStream)
		return a.BrokenOff(len(platformtest.CompleteStream("v1", 4)) - 5)
	}
}

// TestErrorOfTheNextEndpointReachesNoCaller guards against an error of the endpoint that is to continue a broken stream:
// its text or head in the middle of the caller's stream, or a stream that ends there as if it were complete.
func TestErrorOfTheNextEndpointReachesNoCaller(t *testing.T) {
	const perHost = 17 // requests that fit the budget of retries
	for _, framing := range []platformtest.Framing{platformtest.Length, platformtest.Chunks, platformtest.Connection} {
		answers := takeoverAnswers(framing)
		for part := range slices.Chunk(slices.Sorted(maps.Keys(answers)), perHost) {
			for _, goesOn := range []bool{true, false} { // the third endpoint
				t.Run(fmt.Sprintf("%s, from %s, the third goes on %t", framing, part[0], goesOn), func(t *testing.T) {
					t.Parallel()
					d := deploy(t)
					d.store.ConfigureAttempts(1, 3)
					for n, name := range part {
						t.Run(name, func(t *testing.T) { d.playTakeover(t, n, brokenStream(framing), answers[name], goesOn) })
					}
					d.cancel()
					is.New(t).NoErr(<-d.done)
				})
			}
		}
	}
}

// playTakeover sends one stream to three endpoints of their own. The first breaks off, the second gives an answer, and
// so does the third unless it goes on.
func (d *deployment) playTakeover(t *testing.T, n int, first, second answerer, goesOn bool) {
	is := is.New(t)
	var mu sync.Mutex
	var afters []string
	answer := func(r platformtest.RawRequest) platformtest.RawAnswer {
		mu.Lock()
		defer mu.Unlock()
		afters = append(afters, r.After)
		switch {
		case len(afters) == 1:
			return first(r)
		case len(afters) == 2 || !goesOn:
			return second(r)
		}
		return r.Reply(platformtest.Chunks, 200, platformtest.CompleteStream("v1", 4), r.Sealed(), platformtest.EventStream)
	}
	for i := range 3 {
		e := &platformtest.RawEndpoint{ID: fmt.Sprintf("i-%d-%d", n, i), Answer: answer}
		is.NoErr(e.Start())
		d.store.Register(e.ID, e.Entry("llm"))
		t.Cleanup(func() { d.store.Deregister(e.ID); e.Close() })
	}
	d.awaitEndpoints(fmt.Sprintf("i-%d-", n), 3)
	got := d.request(fmt.Sprint("r", n), "/stream/1", "secret", true)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(afters, []string{"", "4", "4"})
	is.Equal(got.Status, 200)
	is.True(strings.HasSuffix(got.Seal, fmt.Sprint(".r", n))) // of the first answer
	if goesOn {
		is.NoErr(got.Err)
		is.Equal(got.Body, platformtest.CompleteStream("v1", 0))
		return
	}
	is.True(got.Err != nil) // aborted
	whole := platformtest.CompleteStream("v1", 0)
	is.Equal(got.Body, whole[:len(whole)-len(platformtest.CompleteStream("v1", 4))])
}

// awaitEndpoints waits until the host is ready and knows exactly the endpoints whose ids begin with a prefix.
func (d *deployment) awaitEndpoints(prefix string, count int) {
	for {
		known, others := 0, 0
		for _, e := range d.host.gateway.State(time.Now()).Endpoints {
			if strings.HasPrefix(e.ID, prefix) {
				known++
			} else {
				others++
			}
		}
		if known == count && others == 0 && d.get(d.ready, "/v1/ready") == 200 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
