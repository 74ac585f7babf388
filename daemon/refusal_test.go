package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// repeatingEndpoint is an endpoint that writes the refusal of a request a second time on its kept connection.
type repeatingEndpoint struct {
	id      string
	withID  bool // of the copy
	moment  string
	refuses func(attempt string) bool

	listener net.Listener
	mu       sync.Mutex
	runs     []string
	refused  map[string]bool
	// pending is a copy of a refusal that is written before the answer to the request after wait others, on whatever
	// connection that comes; copies counts those written, carried the requests on a connection after a refusal.
	pending         string
	wait            int
	copies, carried int
}

// Moments at which the copy of a refusal is written.
const (
	glued      = "glued to the refusal"
	atOnce     = "after the refusal"
	split      = "after the refusal, in two packets"
	beforeNext = "before the next answer"
	beforeThat = "before the next answer but one"
	splitNext  = "before the next answer, in two packets"
)

const packetPause = 10 * time.Millisecond

func (e *repeatingEndpoint) start(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	e.listener, e.refused = l, map[string]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
}

func (e *repeatingEndpoint) entry(service string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"a","version":"v1","slots":8,"state":"ready","sequence":1,"born":1700000000000}`, service, e.listener.Addr())
}

// begin records a request. It reports whether it is refused, which happens to each at most once.
func (e *repeatingEndpoint) begin(attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refuses(attempt) && !e.refused[attempt] {
		e.refused[attempt] = true
		return true
	}
	e.runs = append(e.runs, attempt)
	return false
}

// refusal returns a refusal of a request; one follows the other through the statuses that state that it did not run.
func (e *repeatingEndpoint) refusal(attempt string, withID bool) string {
	e.mu.Lock()
	status := []int{503, 429, 421, 400}[len(e.refused)%4]
	e.mu.Unlock()
	id := ""
	if withID {
		id = "Attempt-Id: " + attempt + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d Refused\r\n%sNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull", status, id)
}

// takeCopy returns the copy that is to be written before the answer to the next request, empty for none.
func (e *repeatingEndpoint) takeCopy() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pending == "" {
		return ""
	}
	if e.wait--; e.wait > 0 {
		return ""
	}
	text := e.pending
	e.pending = ""
	e.copies++
	return text
}

func (e *repeatingEndpoint) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	write := func(text string, packets bool) {
		if packets {
			_, _ = io.WriteString(c, text[:len(text)/2]) // an error ends the connection
			time.Sleep(packetPause)
			text = text[len(text)/2:]
		}
		_, _ = io.WriteString(c, text)
	}
	for refused := false; ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		attempt := req.Header.Get("Attempt-Id")
		if refused {
			e.mu.Lock()
			e.carried++
			e.mu.Unlock()
		}
		if text := e.takeCopy(); text != "" {
			write(text, e.moment == splitNext)
		}
		if e.begin(attempt) {
			refused = true
			own, again := e.refusal(attempt, true), e.refusal(attempt, e.withID)
			switch e.moment {
			case glued:
				write(own+again, false)
			case atOnce, split:
				write(own, false)
				time.Sleep(packetPause)
				write(again, e.moment == split)
			default:
				write(own, false)
				e.mu.Lock()
				e.pending, e.wait = again, map[string]int{beforeNext: 1, splitNext: 1, beforeThat: 2}[e.moment]
				e.mu.Unlock()
			}
			continue
		}
		body, kind := "ran "+attempt, ""
		if req.Header.Get("Token-Usage") != "" {
			body, kind = platformtest.CompleteStream("v1", 0), "Content-Type: text/event-stream\r\n"
		}
		time.Sleep(packetPause)
		write(fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s.%s\r\n%sContent-Length: %d\r\n\r\n%s", attempt, e.id, attempt, kind, len(body), body), false)
	}
}

// TestRefusalWrittenAgain guards against an endpoint that writes an earlier refusal once more on a kept connection: callers
// are told that a request did not run which did (REFUSED), or it runs at a second endpoint (TWICE).
func TestRefusalWrittenAgain(t *testing.T) {
	isPromise := func(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }
	for _, count := range []int{1, 2} { // endpoints of a service
		for _, moment := range []string{glued, atOnce, split, beforeNext, beforeThat, splitNext} {
			for _, withID := range []bool{true, false} {
				t.Run(fmt.Sprint(moment, ", with id: ", withID, ", endpoints: ", count), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					d := deploy(t)
					t.Cleanup(func() { d.cancel(); is.NoErr(<-d.done) })
					d.configure(1, "")
					refuses := func(attempt string) bool { return strings.Contains(attempt, "full") }
					var endpoints []*repeatingEndpoint
					for _, service := range []string{"api", "llm"} {
						for n := range count {
							e := &repeatingEndpoint{id: fmt.Sprint(service, n), withID: withID, moment: moment, refuses: refuses}
							e.start(t)
							d.store.Register(e.id, e.entry(service))
							endpoints = append(endpoints, e)
						}
					}
					d.awaitReady(2 * count)
					answers := map[string]platformtest.Answer{}
					idempotent := func(id string) bool { return strings.HasPrefix(id, "get") || strings.HasPrefix(id, "stream") }
					for _, route := range []string{"order", "get", "stream"} {
						for n := range 16 {
							id := fmt.Sprint(route, n)
							if n%4 < 2 { // two refusals in a row: the next answer is a refusal itself
								id += "-full"
							}
							answers[id] = d.request(id, "/"+route+"/1", "secret", route == "stream")
						}
					}
					ran, copies, carried := map[string]int{}, 0, 0
					for _, e := range endpoints {
						e.mu.Lock()
						for _, id := range e.runs {
							ran[id]++
						}
						copies += e.copies
						carried += e.carried
						e.mu.Unlock()
					}
					served := 0
					for id, a := range answers {
						if isPromise(a.Status) && ran[id] > 0 && !idempotent(id) {
							t.Errorf("%s was answered %d and has run", id, a.Status)
						}
						if ran[id] > 1 && !idempotent(id) {
							t.Errorf("%s ran %d times", id, ran[id])
						}
						if a.Status == http.StatusOK {
							served++
							want := "ran " + id
							if strings.HasPrefix(id, "stream") {
								want = completeStream
							}
							is.Equal(a.Body, want)
						}
					}
					is.True(served > 0)
					is.True(served >= len(answers)/3 || !withID) // a copy without an id leaves open whose it is
					is.Equal(carried, 0)                         // no connection is used again that brought a refusal
					is.True(copies > 0 || moment == glued || moment == atOnce || moment == split)
				})
			}
		}
	}
}
