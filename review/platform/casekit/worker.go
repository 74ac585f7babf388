package casekit

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func contextUntil(deadline time.Time) context.Context {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// Worker is a sound worker of a service. Set the fields before Start.
type Worker struct {
	ID, Service, Zone, Version string
	Slots                      int
	// Work is how long a request without tokens takes; Gap is the pause before each event of a stream, and Stride
	// the tokens in one event.
	Work, Gap time.Duration
	Stride    int
	// Move answers a call to copy a run to another worker; nil for a worker without such calls.
	Move   http.HandlerFunc
	Record *Record

	server *http.Server
	listen net.Listener
	born   int64

	mu   sync.Mutex
	runs []Run
	// full is set while it turns requests away. preempted holds the runs that make no progress until a time.
	full      bool
	preempted map[int]time.Time
}

// SetFull makes the worker turn new requests away, as one that is full does.
func (w *Worker) SetFull() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.full = true
}

// Preempt stops the newest streams that run, as for want of memory, and lets them go on after a pause. It returns their
// attempts.
func (w *Worker) Preempt(count int, pause time.Duration) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.preempted = map[int]time.Time{}
	var attempts []string
	for n := len(w.runs) - 1; n >= 0 && len(attempts) < count; n-- {
		if w.runs[n].Ended.IsZero() {
			w.preempted[n] = time.Now().Add(pause)
			attempts = append(attempts, w.runs[n].Attempt)
		}
	}
	return attempts
}

// untilProgress returns how long a run makes no progress yet.
func (w *Worker) untilProgress(n int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Until(w.preempted[n])
}

func (w *Worker) isFull() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.full
}

// Run is a request that a worker ran. Whole is set once it ran to its end.
type Run struct {
	Attempt string
	At      time.Time
	Whole   bool
	Ended   time.Time
}

// Start starts the worker on a free loopback port.
func (w *Worker) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.listen, w.born = l, time.Now().UnixMilli()
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(l) }() // returns after Stop
	return nil
}

// Restart ends the worker's process and starts it again after a pause at the same address and under the same id, with
// another software version. What ran there is gone.
func (w *Worker) Restart(pause time.Duration, version string) error {
	address := w.Address()
	_ = w.server.Close() // closes the listener and all connections
	time.Sleep(pause)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.listen, w.born, w.Version = l, time.Now().UnixMilli(), version
	w.mu.Unlock()
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(l) }() // returns after Stop
	return nil
}

// version returns the software version of the present process.
func (w *Worker) version() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Version
}

// Stop ends the worker.
func (w *Worker) Stop() { _ = w.server.Close() }

// Address returns the worker's ip:port.
func (w *Worker) Address() string { return w.listen.Addr().String() }

// Entry returns the worker's entry in the registry.
func (w *Worker) Entry(state string, sequence int) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":%q,"cold_remaining_ms":0,"sequence":%d,"born":%d}`,
		w.Service, w.Address(), w.Zone, w.Version, w.Slots, state, sequence, w.born)
}

// Runs returns the requests that the worker ran.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

func (w *Worker) begin(attempt string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, Run{Attempt: attempt, At: time.Now()})
	w.Record.Add("worker %s runs %s", w.ID, attempt)
	return len(w.runs) - 1
}

func (w *Worker) end(n int, whole bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[n].Whole, w.runs[n].Ended = whole, time.Now()
	what := "ended"
	if !whole {
		what = "stopped, as its connection was closed,"
	}
	w.Record.Add("worker %s %s %s", w.ID, what, w.runs[n].Attempt)
}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/kv-move" && w.Move != nil {
		w.Record.Add("worker %s is asked to copy a run", w.ID)
		w.Move(rw, r)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	if attempt == "" { // a health check
		rw.Header().Set("Instance-Id", w.ID)
		return
	}
	rw.Header().Set("Attempt-Id", attempt)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if w.isFull() {
		w.Record.Add("worker %s is full and turns %s away", w.ID, attempt)
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n := w.begin(attempt)
	rw.Header().Set("Response-Seal", w.ID+"."+attempt)
	if _, answer, ok := strings.Cut(r.Header.Get("Token-Usage"), ","); ok {
		tokens, _ := strconv.Atoi(answer) // the clients of the scripts send a number
		w.end(n, w.stream(rw, r, n, tokens/max(w.Stride, 1)))
		return
	}
	if !sleep(r.Context(), w.Work) {
		w.end(n, false)
		return
	}
	_, err := io.WriteString(rw, "ran "+attempt+" at "+w.ID)
	w.end(n, err == nil)
}

// stream writes the events of a run after the one that the request names. It reports whether it wrote all.
func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, run, events int) bool {
	rw.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // zero without the header
	version := w.version()
	for i := after + 1; i <= events; i++ {
		if !sleep(r.Context(), w.Gap) || !sleep(r.Context(), w.untilProgress(run)) {
			return false
		}
		if _, err := io.WriteString(rw, Event(i, version)); err != nil {
			return false
		}
		rw.(http.Flusher).Flush()
	}
	return true
}

// Event returns an event of a stream.
func Event(n int, version string) string {
	return fmt.Sprintf("id: %d\ndata: %d %s\n\n", n, n, version)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// Request is a request of a client.
type Request struct {
	ID, Path, Key, Body string
	// Deadline is how long the client waits.
	Deadline time.Duration
	// Tokens is the value of the header of that name, empty for none.
	Tokens string
	// Origin and After continue a stream.
	Origin, After string
}

// Answer is what a client received. Err is set if the connection ended without a complete answer.
type Answer struct {
	Status      int
	Seal, Body  string
	RetryAfter  string
	Err         error
	Sent, Ended time.Time
}

// Whole reports whether the answer is complete, of whatever status.
func (a Answer) Whole() bool { return a.Err == nil }

// TimedOut reports whether the client's own deadline ended it.
func (a Answer) TimedOut() bool { return errors.Is(a.Err, context.DeadlineExceeded) }

// NewConnection is a client that opens a connection for each request.
func NewConnection() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// Host is the host name in the requests of the scripts.
const hostName = "x.example"

// Send sends a request to a front address.
func Send(client *http.Client, front string, q Request) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	a := Answer{Sent: time.Now()}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+q.Path, bytes.NewReader([]byte(q.Body)))
	if err != nil {
		a.Err, a.Ended = err, time.Now()
		return a
	}
	req.Host = hostName
	req.Header.Set("Attempt-Id", q.ID)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	for name, value := range map[string]string{"Api-Key": q.Key, "Token-Usage": q.Tokens, "Resumes": q.Origin, "Last-Event-Id": q.After} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	resp, err := client.Do(req)
	if err != nil {
		a.Err, a.Ended = err, time.Now()
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a.Status, a.Seal, a.RetryAfter = resp.StatusCode, resp.Header.Get("Response-Seal"), resp.Header.Get("Retry-After")
	a.Body, a.Err, a.Ended = string(body), err, time.Now()
	return a
}
