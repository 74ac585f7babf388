package gateway

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

// garbage holds bytes that are no event of a stream, by what is wrong with them. Where they hold an id, it is later than
// those of all events before.
var garbage = map[string]string{
	"text":                                 "no event\n\n",
	"text, a blank line among it":          "no\n\nevent\n\n",
	"text that looks like a field":         "no event: at all\n\n",
	"an event without an id":               "data: x\n\n",
	"an event without an id, among others": "id: 7\ndata: x\n\ndata: x\n\nid: 8\ndata: x\n\n",
	"an event with an empty id":            "id:\ndata: x\n\n",
	"an event with a bare id":              "id\ndata: x\n\n",
	"an id that is no number":              "id: x7\ndata: x\n\n",
	"an id with a sign":                    "id: +7\ndata: x\n\n",
	"an id below zero":                     "id: -7\ndata: x\n\n",
	"an id with a fraction":                "id: 7.5\ndata: x\n\n",
	"an id that is too long":               "id: " + strings.Repeat("7", 1000) + "\ndata: x\n\n",
	"an event with two ids":                "id: 7\nid: 8\ndata: x\n\n",
	"NUL in an id":                         "id: 7\x00\ndata: x\n\n",
	"NUL in the data":                      "id: 7\ndata: \x00\n\n",
	"NUL in a comment":                     ": \x00\n\n",
	"invalid UTF-8 in the data":            "id: 7\ndata: \xff\n\n",
	"invalid UTF-8 in a comment":           ": \xc3\n\n",
	"an odd line among fields":             "id: 7\nodd\ndata: x\n\n",
	"an odd field among fields":            "id: 7\ndata: x\nodd line: x\n\n",
	"a version behind an id":               "id: 7\nweight-versions: 3\ndata: x\n\n",
	"a version behind a retry time":        "retry: 1\nweight-versions: 3\nid: 7\n\n",
	"two versions":                         "weight-versions: 3\nweight-versions: 4\nid: 7\ndata: x\n\n",
	"a version that is no number":          "weight-versions: new\nid: 7\ndata: x\n\n",
	"a version without a number":           "weight-versions:\nid: 7\ndata: x\n\n",
	"a field of a head before an id":       "Content-Length: 4\nid: 7\ndata: x\n\n",
	"a carriage return in a line":          "id: 7\ndata: x\rid: 8\n\n",
	"a byte order mark":                    "id: 7\ndata: x\n\n\xef\xbb\xbfid: 8\ndata: x\n\n",
	"a retry time that is no number":       "retry: soon\n\n",
	"a head of an answer":                  "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\noops",
	"lines of a head":                      "Content-Type: text/plain\r\nContent-Length: 4\r\n\r\noops",
	"a body in JSON":                       "{\"error\": \"oops\"}\n\n",
	"bytes":                                "\x8b\x00\n\xfe\n\n\x13\xd4:\n\r\n\x00\xc0",
}

// soundBeginning returns the events before the fault, where garbage holds any.
func soundBeginning(form string) string {
	switch form {
	case "an event without an id, among others", "a byte order mark":
		return "id: 7\ndata: x\n\n"
	}
	return ""
}

// garbageStream is a stream of six events with garbage in it.
type garbageStream struct {
	before int // sound events before the garbage
	form   string
	// split returns the reads in which the stream arrives.
	split func(sound []string, garbage string) []string
	pause time.Duration
}

func ownRead(sound []string, garbage string) []string { return append(sound, garbage) }

func oneRead(sound []string, garbage string) []string {
	return []string{strings.Join(sound, "") + garbage}
}

func eachByte(sound []string, garbage string) []string {
	var out []string
	for _, b := range []byte(strings.Join(sound, "") + garbage) {
		out = append(out, string([]byte{b}))
	}
	return out
}

// TestStreamForwardsNoGarbage guards against bytes of an endpoint that are no event and reach the caller: for each kind of
// them, before, among and behind the events, on a route that may resume and on one that may not, at the first attempt
// and at a resumed one.
func TestStreamForwardsNoGarbage(t *testing.T) {
	for form := range garbage {
		for _, before := range []int{0, 3, 6} {
			t.Run(fmt.Sprintf("%s/after %d", form, before), func(t *testing.T) {
				testGarbage(t, garbageStream{before, form, ownRead, time.Millisecond})
			})
		}
	}
	for how, s := range map[string]garbageStream{
		"glued to events":                     {3, "text", oneRead, time.Millisecond},
		"glued to events, with sound ones":    {3, "an event without an id, among others", oneRead, time.Millisecond},
		"byte by byte":                        {3, "bytes", eachByte, time.Millisecond},
		"a head, byte by byte":                {3, "a head of an answer", eachByte, time.Millisecond},
		"without an id, byte by byte":         {3, "an event without an id", eachByte, time.Millisecond},
		"after a silence":                     {3, "text", ownRead, 250 * time.Millisecond},
		"glued to events, behind the last":    {6, "a head of an answer", oneRead, time.Millisecond},
		"glued to comments, before the first": {0, "text", func(sound []string, g string) []string { return append(sound, ": x\n\n"+g) }, time.Millisecond},
	} {
		t.Run(how, func(t *testing.T) { testGarbage(t, s) })
	}
}

func testGarbage(t *testing.T, s garbageStream) {
	// Where the garbage holds a sound event, the caller has six events and a seventh, and resumes behind that.
	total := 6
	sound := soundBeginning(s.form)
	if sound != "" {
		total = 7
	}
	last := func(n int) int {
		if sound != "" {
			return 7
		}
		return n
	}
	received := strings.Join(events(1, s.before), "") + sound
	for _, tc := range []struct {
		route    string
		at       int // the attempt that brings garbage
		body     string
		aborted  bool
		attempts int
	}{
		{"stream", 1, received, received != "", 1},
		{"resume", 1, received + strings.Join(events(last(s.before)+1, total), ""), false, 2},
		{"resume", 2, received, received != "", 2},
	} {
		for how, after := range map[string][]string{"ends": nil, "goes on": events(8, 9)} {
			name := fmt.Sprintf("%s, attempt %d, %s", tc.route, tc.at, how)
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publish(endpoint("3", "llm"), endpoint("4", "llm"), endpoint("5", "llm"))
				tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
					from := 0
					_, _ = fmt.Sscan(f.After, &from) // empty at the start
					switch {
					case n == tc.at:
						return streamReply(ctx, f, io.EOF, s.pause, append(s.split(events(from+1, s.before), garbage[s.form]), after...)...), nil
					case n < tc.at: // at most one event is sent before
						return streamReply(ctx, f, port.ErrBroken, time.Millisecond, events(1, min(s.before, 1))...), nil
					}
					return streamReply(ctx, f, io.EOF, time.Millisecond, events(from+1, total)...), nil
				}
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				r := sendRequest(t.Context(), g, "req", tc.route)
				if got := r.body.String(); got != tc.body {
					t.Errorf("%s: caller got %.200q, want %q", name, got, tc.body)
				}
				if n := strings.Count(tp.log(), `"why":"garbage"`); n != 1 {
					t.Errorf("%s: the endpoint was suspect for garbage %d times, want once", name, n)
				}
				sent := tp.endpoints.attempts("req")
				is.Equal(len(sent), tc.attempts)
				if tc.at == 1 && tc.attempts == 2 {
					is.Equal(sent[1].After, strings.TrimPrefix(fmt.Sprint(last(s.before)), "0"))
				}
				is.Equal(r.aborted, tc.aborted)
				if tc.body == "" { // nothing was forwarded, so there is an answer of the host itself
					is.Equal(r.status, 502)
					is.Equal(r.problem.Run, problem.RunUnknown)
				}
			})
		}
	}
}

// TestSoundStreamsAreForwarded: what the grammar of event streams and the users' pages allow is forwarded unchanged.
func TestSoundStreamsAreForwarded(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"events":                     strings.Join(events(1, 6), ""),
		"carriage returns":           "id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n",
		"some carriage returns":      "id: 1\ndata: x\r\n\nid: 2\r\ndata: y\n\r\n",
		"a byte order mark":          "\xef\xbb\xbfid: 1\ndata: x\n\n",
		"comments":                   ":\n\n: x\nid: 1\n: x\ndata: x\n\n: x\n\nid: 2\ndata: y\n\n:\n",
		"a comment with a colon":     ": x: y\n\nid: 1\ndata: x\n\n",
		"a retry time":               "retry: 100\n\nid: 1\ndata: x\n\nretry: 200\nid: 2\ndata: y\n\nretry: 300\n\n",
		"a version":                  "id: 1\ndata: x\n\nweight-versions: 3\nid: 2\ndata: y\n\n",
		"a version behind a comment": ": x\nweight-versions: 3\r\nid: 1\ndata: x\n\nweight-versions:4\nid: 2\ndata: y\n\n",
		"an event type":              "event: token\nid: 1\ndata: x\n\n",
		"data in lines":              "id: 1\ndata: x\ndata:\ndata\ndata: : y\n\n",
		"no space behind the colon":  "id:1\ndata:x\n\n",
		"no data":                    "id: 1\n\n",
		"ids that start at zero":     "id: 0\ndata: x\n\nid: 1\ndata: y\n\n",
		"ids with gaps":              "id: 5\ndata: x\n\nid: 90\ndata: y\n\nid: 18446744073709551615\ndata: z\n\n",
		"ids behind the data":        "data: x\nid: 1\n\ndata: y\nid: 2\n\n",
		"text in other scripts":      "id: 1\ndata: \u00e9 \u6f22 \U0001f600\n\n",
		"blank lines":                "\n\r\nid: 1\ndata: x\n\n\n\nid: 2\ndata: y\n\n\n",
		"control characters":         "id: 1\ndata: \x01\t\x7f\n\n",
		"nothing":                    "",
	} {
		for how, split := range map[string]func([]string, string) []string{"one read": oneRead, "byte by byte": eachByte} {
			for _, route := range []string{"stream", "resume"} {
				t.Run(name+"/"+how+"/"+route, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						tp := newTestPlatform()
						tp.publish(endpoint("3", "llm"), endpoint("4", "llm"))
						tp.endpoints.respond = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
							return streamReply(ctx, f, io.EOF, time.Millisecond, split(nil, text)...), nil
						}
						g := tp.startHost(t, testOptions("h1"))
						time.Sleep(settleTime)
						r := sendRequest(t.Context(), g, "req", route)
						is.Equal(r.body.String(), text)
						is.Equal(r.status, 200)
						is.True(!r.aborted)
						is.Equal(len(tp.endpoints.attempts("req")), 1)
						is.True(!strings.Contains(tp.log(), `"endpoint_suspect"`))
					})
				})
			}
		}
	}
}

// TestCallInTheFormOfAStream: only streaming routes promise events with ids, so an answer to a call is forwarded as it is.
func TestCallInTheFormOfAStream(t *testing.T) {
	t.Parallel()
	for _, route := range []string{"get", "order"} {
		t.Run(route, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publish(endpoint("1", "api"))
				tp.endpoints.respond = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
					return streamReply(ctx, f, io.EOF, time.Millisecond, "data: x\n\n", "no event\n"), nil
				}
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				r := sendRequest(t.Context(), g, "req", route)
				is.Equal(r.body.String(), "data: x\n\nno event\n")
				is.Equal(r.status, 200)
			})
		})
	}
}

// TestAnswerInsteadOfAStream guards against an answer with success on a streaming route that is no event stream and reaches
// the caller, such as a page of another service. A stream that states another type, or none, is one nevertheless.
func TestAnswerInsteadOfAStream(t *testing.T) {
	t.Parallel()
	const page = "<html>\nit works\n</html>\n"
	stream := strings.Join(events(1, 6), "")
	for name, tc := range map[string]struct {
		route   string
		answer  string
		code    int
		at      int // the attempt that brings the answer
		before  int // sound events before it
		status  int
		body    string
		suspect string
	}{
		"not resumable":                  {"stream", page, 200, 1, 0, 502, "", "garbage"},
		"not resumable, another success": {"stream", page, 201, 1, 0, 502, "", "garbage"},
		"not resumable, a line":          {"stream", "it works", 200, 1, 0, 502, "", "broken"},
		"resumable":                      {"resume", page, 200, 1, 0, 200, stream, "garbage"},
		"resumable, at a second attempt": {"resume", page, 200, 2, 0, 502, "", "garbage"},
		"resumable, in place of its end": {"resume", page, 200, 2, 3, 200, strings.Join(events(1, 3), ""), "garbage"},
		"a stream of another type":       {"stream", stream, 200, 1, 0, 200, stream, ""},
		"the end of one of another type": {"resume", stream, 200, 2, 3, 200, stream, ""},
		"a failure":                      {"stream", page, 500, 1, 0, 500, page, ""},
		"a refusal of the endpoint":      {"resume", page, 404, 1, 0, 404, page, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tp := newTestPlatform()
				tp.publish(endpoint("3", "llm"), endpoint("4", "llm"), endpoint("5", "llm"))
				tp.endpoints.respond = func(ctx context.Context, f *port.Forward, n int) (*port.Reply, error) {
					switch {
					case n == tc.at:
						return completeReply(f, tc.code, tc.answer), nil
					case n < tc.at:
						return streamReply(ctx, f, port.ErrBroken, time.Millisecond, events(1, tc.before)...), nil
					}
					return streamReply(ctx, f, io.EOF, time.Millisecond, events(1, 6)...), nil
				}
				g := tp.startHost(t, testOptions("h1"))
				time.Sleep(settleTime)
				r := sendRequest(t.Context(), g, "req", tc.route)
				is.Equal(r.status, tc.status)
				is.Equal(r.body.String(), tc.body)
				is.Equal(r.aborted, tc.suspect != "" && tc.before > 0)
				if r.problem != nil {
					is.Equal(r.problem.Run, problem.RunUnknown)
				}
				if tc.suspect != "" {
					is.Equal(strings.Count(tp.log(), fmt.Sprintf(`"why":%q`, tc.suspect)), 1)
				}
				is.Equal(strings.Contains(tp.log(), `"endpoint_header"`), tc.code < 300)
			})
		})
	}
}
