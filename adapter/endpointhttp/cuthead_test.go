package endpointhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
)

// wholeAnswer is a complete answer to the request "me".
type wholeAnswer struct {
	name, interim, head, body string
	// toClose is set if the body ends with the connection.
	toClose bool
}

func (a wholeAnswer) text() string { return a.interim + a.head + a.body }

// wholeAnswers returns answers in each framing, alone and after interim answers.
func wholeAnswers() []wholeAnswer {
	const start = "HTTP/1.1 200 OK\r\nSeal: s\r\nId: me\r\n"
	var out []wholeAnswer
	for name, interim := range map[string]string{
		"":               "",
		"interim, ":      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
		"two interims, ": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n",
	} {
		out = append(out,
			wholeAnswer{name + "length", interim, start + "Content-Length: 12\r\n\r\n", "hello, world", false},
			wholeAnswer{name + "length, first", interim, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nSeal: s\r\nId: me\r\n\r\n", "hello, world", false},
			wholeAnswer{name + "chunks", interim, start + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n", false},
			wholeAnswer{name + "chunks and a trailer", interim, start + "Trailer: T\r\nTransfer-Encoding: chunked\r\n\r\n", "c\r\nhello, world\r\n0\r\nT: 1\r\n\r\n", false},
			wholeAnswer{name + "connection", interim, start + "Content-Type: text/event-stream\r\n\r\n", "", true},
			wholeAnswer{name + "connection, bare line feeds", interim, strings.ReplaceAll(start, "\r", "") + "\n", "", true},
		)
	}
	return out
}

// scriptedConn returns the parts one after another, then end.
type scriptedConn struct {
	net.Conn // not used
	parts    []string
	end      error
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if len(c.parts) == 0 {
		if err := c.end; err != nil {
			c.end = io.EOF // a socket returns a reset once
			return 0, err
		}
		return 0, io.EOF
	}
	n := copy(p, c.parts[0])
	if c.parts[0] = c.parts[0][n:]; c.parts[0] == "" {
		c.parts = c.parts[1:]
	}
	return n, nil
}

func (c *scriptedConn) Write(p []byte) (int, error) { return len(p), nil }
func (c *scriptedConn) Close() error                { return nil }

// arrivals are ways in which the first n bytes of a text may arrive.
var arrivals = map[string]func(text string) []string{
	"at once":               func(text string) []string { return []string{text} },
	"the last byte alone":   func(text string) []string { return []string{text[:len(text)-1], text[len(text)-1:]} },
	"byte by byte":          func(text string) []string { return strings.Split(text, "") },
	"line by line":          func(text string) []string { return strings.SplitAfter(text, "\n") },
	"before the line feeds": func(text string) []string { return strings.SplitAfter(text, "\r") },
}

// TestHeadThatEndsInside guards against an answer that is taken as whole although its endpoint stopped inside it, most of
// all inside its head: it ends at each byte, by a close and by a reset, in parts of any size, on a new connection and on
// one that carried another answer before.
func TestHeadThatEndsInside(t *testing.T) {
	rows := 0
	for _, answer := range wholeAnswers() {
		for cut := 1; cut < len(answer.text()); cut++ {
			for arrival, split := range arrivals {
				for how, end := range map[string]error{"closed": io.EOF, "reset": syscall.ECONNRESET} {
					for _, kept := range []bool{false, true} {
						rows++
						parts := slices.DeleteFunc(split(answer.text()[:cut]), func(s string) bool { return s == "" })
						if kept {
							parts = append([]string{response("before", "a")}, parts...)
						}
						conn := &scriptedConn{parts: parts, end: end}
						p := New(codec{}, func(context.Context, string, string) (net.Conn, error) { return conn, nil })
						if kept {
							if body, err := get(t, p, forward("x", "before")); err != nil || body != "a" {
								t.Fatalf("first answer: %q, %v", body, err)
							}
						}
						body, err := get(t, p, forward("x", "me"))
						if !errors.Is(err, port.ErrBroken) {
							t.Errorf("%s, %s, %s, kept %t, ends after %q: got the body %q and %v, want a broken answer",
								answer.name, arrival, how, kept, answer.text()[:cut], body, err)
						}
						if kept && p.Stats().Dials != 1 {
							t.Fatalf("the connection was not used again")
						}
					}
				}
			}
		}
	}
	t.Logf("%d rows", rows)
}

// TestAnswerThatIsWhole checks that the answers of TestHeadThatEndsInside are whole with their last byte.
func TestAnswerThatIsWhole(t *testing.T) {
	for _, answer := range wholeAnswers() {
		for arrival, split := range arrivals {
			t.Run(answer.name+", "+arrival, func(t *testing.T) {
				is := is.New(t)
				conn := &scriptedConn{parts: slices.DeleteFunc(split(answer.text()), func(s string) bool { return s == "" })}
				body, err := get(t, New(codec{}, func(context.Context, string, string) (net.Conn, error) { return conn, nil }), forward("x", "me"))
				is.NoErr(err)
				is.Equal(body, map[bool]string{false: "hello, world"}[answer.toClose])
			})
		}
	}
}

// TestHeadThatEndsInsideOnSockets is TestHeadThatEndsInside on real connections.
func TestHeadThatEndsInsideOnSockets(t *testing.T) {
	is := is.New(t)
	var answer atomic.Value // what is written after a request with the id "me"
	var reset atomic.Bool
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					switch id := request(r); id {
					case "":
						return
					case "me":
						_, _ = io.WriteString(c, answer.Load().(string))
						if reset.Load() {
							_ = c.(*net.TCPConn).SetLinger(0)
						}
						return
					default:
						_, _ = io.WriteString(c, response(id, "a"))
					}
				}
			}()
		}
	}()
	rows := 0
	for _, a := range wholeAnswers() {
		for cut := 1; cut < len(a.text()); cut++ {
			for _, r := range []bool{false, true} {
				for _, kept := range []bool{false, true} {
					rows++
					answer.Store(a.text()[:cut])
					reset.Store(r)
					p := New(codec{}, nil)
					if kept {
						body, err := get(t, p, forward(l.Addr().String(), "before"))
						is.NoErr(err)
						is.Equal(body, "a")
					}
					body, err := get(t, p, forward(l.Addr().String(), "me"))
					if !errors.Is(err, port.ErrBroken) {
						t.Errorf("%s, reset %t, kept %t, ends after %q: got the body %q and %v, want a broken answer", a.name, r, kept, a.text()[:cut], body, err)
					}
					if kept {
						is.Equal(p.Stats().Dials, int64(1))
					}
				}
			}
		}
	}
	t.Logf("%d rows", rows)
}

// oddHeads are heads that state the end of their body twice, or not as the protocol does, or that hold another head. The
// body that follows is read to the end of the connection.
var oddHeads = map[string]struct {
	lines string // after the status line
	body  string // what follows the head
	whole string // body of the answer; empty if it must be broken
}{
	"the same length twice":                  {"Content-Length: 5\r\nContent-Length: 5", "hello", "hello"},
	"two lengths":                            {"Content-Length: 5\r\nContent-Length: 4", "hello", ""},
	"two lengths, the longer last":           {"Content-Length: 4\r\nContent-Length: 5", "hello", ""},
	"two lengths in a line":                  {"Content-Length: 5, 4", "hello", ""},
	"the same length twice in a line":        {"Content-Length: 5, 5", "hello", ""},
	"a length that is empty":                 {"Content-Length:", "hello", ""},
	"a length with a sign":                   {"Content-Length: +5", "hello", ""},
	"a negative length":                      {"Content-Length: -5", "hello", ""},
	"a length of another base":               {"Content-Length: 0x5", "hello", ""},
	"a length with a fraction":               {"Content-Length: 5.0", "hello", ""},
	"a length beyond 64 bits":                {"Content-Length: 18446744073709551621", "hello", ""},
	"a length that is longer than the body":  {"Content-Length: 50", "hello", ""},
	"chunks twice":                           {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "5\r\nhello\r\n0\r\n\r\n", ""},
	"another coding":                         {"Transfer-Encoding: gzip, chunked", "5\r\nhello\r\n0\r\n\r\n", ""},
	"another coding alone":                   {"Transfer-Encoding: identity", "hello", ""},
	"a space before the colon":               {"Content-Length : 5", "hello", ""},
	"a space before the colon of the coding": {"Transfer-Encoding : chunked", "5\r\nhello\r\n0\r\n\r\n", ""},
	"a length on the next line":              {"Content-Length:\r\n 5", "hello", "hello"},
	"a NUL in the length":                    {"Content-Length: 5\x00", "hello", ""},
	"a carriage return in a header":          {"X: a\rContent-Length: 5", "hello", ""},
	"a length and chunks":                    {"Content-Length: 4\r\nTransfer-Encoding: chunked", "5\r\nhello\r\n0\r\n\r\n", "hello"},
	"chunks and a length":                    {"Transfer-Encoding: chunked\r\nContent-Length: 50", "5\r\nhello\r\n0\r\n\r\n", "hello"},
	"a length and chunks, not in chunks":     {"Content-Length: 5\r\nTransfer-Encoding: chunked", "hello", ""},
}

func TestOddHeads(t *testing.T) {
	for name, tc := range oddHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body, err := getFrom(t, "HTTP/1.1 200 OK\r\nSeal: s\r\nId: me\r\n"+tc.lines+"\r\n\r\n"+tc.body)
			if tc.whole != "" {
				is.NoErr(err)
				is.Equal(body, tc.whole)
				return
			}
			if !errors.Is(err, port.ErrBroken) {
				t.Errorf("got the body %q and %v, want a broken answer", body, err)
			}
		})
	}
}

// getFrom returns the body of an answer that consists of a text.
func getFrom(t *testing.T, text string) (string, error) {
	t.Helper()
	conn := &scriptedConn{parts: []string{text}}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	p := New(codec{}, func(context.Context, string, string) (net.Conn, error) { return conn, nil })
	reply, err := p.Forward(ctx, forward("x", "me"))
	if err != nil {
		return "", err
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	return string(body), err
}

// TestTwoHeadsInOne guards against an endpoint that stops inside the head of an answer and writes another one: the
// caller would get the body of the second with the status of the first.
func TestTwoHeadsInOne(t *testing.T) {
	const headers = "Server: a\r\nSeal: s\r\nId: me\r\nContent-Type: text/event-stream\r\n"
	for first, second := range map[string]string{
		"HTTP/1.1 200 OK\r\n": "HTTP/1.1 500 Internal Server Error\r\n", "HTTP/1.0 200 OK\r\n": "HTTP/1.1 404\r\n",
		"HTTP/1.1 503 Service Unavailable\r\n": "HTTP/1.1 200 OK\r\n",
	} {
		first += headers
		for cut := 1; cut <= len(first); cut++ {
			for name, interim := range map[string]string{"": "", "after an interim answer": "HTTP/1.1 103 Early Hints\r\n\r\n"} {
				body, err := getFrom(t, interim+first[:cut]+second+"Seal: s\r\nId: me\r\nContent-Length: 6\r\n\r\nfailed")
				if !errors.Is(err, port.ErrBroken) {
					t.Errorf("%s %q: got the body %q and %v, want a broken answer", name, first[:cut], body, err)
				}
			}
		}
	}
}

// TestHeaderWithAStatusLine: an answer whose headers quote its own status, or something like a status, is whole.
func TestHeaderWithAStatusLine(t *testing.T) {
	for _, header := range []string{"X: HTTP/1.1 200 OK", "Via: HTTP/1.1 proxy", "X: HTTP/1.", "X: HTTP/1.1 50", "X: HTTP/1.1"} {
		is := is.New(t)
		body, err := getFrom(t, strings.Replace(response("me", "hello"), "Seal", header+"\r\nSeal", 1))
		is.NoErr(err)
		is.Equal(body, "hello")
	}
}
