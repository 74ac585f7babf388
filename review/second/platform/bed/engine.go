package bed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Engine is a stand-in for a worker that streams answers. Set the exported fields before Start.
type Engine struct {
	ID, Service, Zone, Version string
	// Events is the number of events of a stream, Interval the time between two.
	Events   int
	Interval time.Duration
	// Slots is how many requests it runs at once, as its entry says.
	Slots int
	// Ran is called for each request that it runs.
	Ran func(attempt string, after int)

	listener net.Listener
	runs     atomic.Int64
}

// Start starts the engine on the loopback interface.
func (e *Engine) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the listener is closed
			}
			go e.serve(c)
		}
	}()
	return nil
}

// Runs returns the number of requests that it ran.
func (e *Engine) Runs() int64 { return e.runs.Load() }

// Entry returns the registry entry of the engine.
func (e *Engine) Entry() []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":%d}`,
		e.Service, e.listener.Addr(), e.Zone, e.Version, e.Slots, time.Now().UnixMilli())
}

func (e *Engine) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		attempt := req.Header.Get("Attempt-Id")
		switch {
		case req.URL.Path == "/health":
			_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.ID)
		case req.Header.Get("Expect-Instance") != e.ID:
			_, err = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
		default:
			err = e.stream(c, attempt, req.Header.Get("Last-Event-Id"))
		}
		if err != nil {
			return
		}
	}
}

// stream answers a request with the events after the one that it names.
func (e *Engine) stream(c net.Conn, attempt, lastEvent string) error {
	after, _ := strconv.Atoi(lastEvent) // zero without the header
	e.runs.Add(1)
	if e.Ran != nil {
		e.Ran(attempt, after)
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", attempt, e.ID, attempt)
	for n := after + 1; n <= e.Events && err == nil; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, e.Service, e.Version)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(e.Interval)
	}
	if err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return err
}
