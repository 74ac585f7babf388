package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/intake"
)

// serveBounded returns the address of a host with bounds that answers each request with its body.
func serveBounded(t *testing.T, l intake.Limits, limits catalog.RequestLimits) (*intake.Table, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	h := &host{failed: make(chan struct{}, 1), logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}}
	table := intake.NewTable(l)
	h.connections.lingering.intake = &callerIntake{table: table, limits: func() catalog.RequestLimits { return limits }, logger: h.logger}
	h.serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(body) // the test reads it
	}))
	t.Cleanup(h.closeServers)
	return table, listener.Addr().String()
}

func dialTest(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	is.New(t).NoErr(conn.SetDeadline(time.Now().Add(endWaitTimeout)))
	return conn
}

// ampleLimits are limits that no test reaches.
var ampleLimits = intake.Limits{Connections: 100, Memory: 64 << 20}

// TestHeadsWithinTheLimit guards against heads within the limit that are refused, or above it that are served, however their
// bytes come and whatever came before them on their connection.
func TestHeadsWithinTheLimit(t *testing.T) {
	const limit = 16 << 10
	head := func(size int) string {
		text := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4000\r\nX: "
		return text + strings.Repeat("x", size-len(text)-len("\r\n\r\n")) + "\r\n\r\n"
	}
	body := strings.Repeat("b", 4000)
	for name, tc := range map[string]struct {
		size, step int
		status     int
	}{
		"at once":                {limit, 1 << 20, http.StatusOK},
		"in large pieces":        {limit, 4 << 10, http.StatusOK},
		"in small pieces":        {limit, 100, http.StatusOK},
		"by the byte":            {1000, 1, http.StatusOK},
		"above the limit":        {limit + 12<<10, 1 << 20, http.StatusRequestHeaderFieldsTooLarge},
		"above, in small pieces": {limit + 12<<10, 100, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, address := serveBounded(t, ampleLimits, catalog.RequestLimits{MaxHeaderBytes: limit})
			conn := dialTest(t, address)
			if nodelay, ok := conn.(*net.TCPConn); ok {
				is.NoErr(nodelay.SetNoDelay(true))
			}
			reader := bufio.NewReader(conn)
			for range 3 {
				text := head(tc.size)
				for len(text) > 0 {
					n := min(tc.step, len(text))
					if _, err := io.WriteString(conn, text[:n]); err != nil {
						break // it was refused
					}
					text = text[n:]
				}
				if tc.status == http.StatusOK {
					_, err := io.WriteString(conn, body)
					is.NoErr(err)
				}
				resp, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				got, err := io.ReadAll(resp.Body)
				is.Equal(resp.StatusCode, tc.status)
				if tc.status != http.StatusOK {
					return
				}
				is.NoErr(err)
				is.True(string(got) == body)
			}
		})
	}
}

// TestPipelinedRequestsAreServed guards against requests that are dropped, or count for good, because their heads were read
// with the request before.
func TestPipelinedRequestsAreServed(t *testing.T) {
	const requests = 200
	is := is.New(t)
	table, address := serveBounded(t, ampleLimits, catalog.RequestLimits{MaxHeaderBytes: 16 << 10})
	conn := dialTest(t, address)
	go func() {
		for n := range requests {
			body := strings.Repeat("b", n)
			if _, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", n, body); err != nil {
				return // the answers are missed below
			}
		}
	}()
	reader := bufio.NewReader(conn)
	for n := range requests {
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		got, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(len(got), n)
	}
	is.NoErr(conn.Close())
	for end := time.Now().Add(endWaitTimeout); table.Usage().Held > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(table.Usage().Held, int64(0))
}

// TestConfiguredTimeouts guards against timeouts of the configuration that are not in force: connections that wait for a head
// are closed after the one, those between requests after the other.
func TestConfiguredTimeouts(t *testing.T) {
	const short, long = 50 * time.Millisecond, time.Hour
	for name, tc := range map[string]struct {
		limits catalog.RequestLimits
		sent   string // an answer comes for each request in it
	}{
		"nothing":          {catalog.RequestLimits{HeaderTimeout: short, IdleTimeout: long}, ""},
		"a part of a head": {catalog.RequestLimits{HeaderTimeout: short, IdleTimeout: long}, "GET / HTTP/1.1\r\nHost"},
		"a part of a second head": {
			catalog.RequestLimits{HeaderTimeout: short, IdleTimeout: long}, "GET / HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\nHost",
		},
		"a request": {catalog.RequestLimits{HeaderTimeout: long, IdleTimeout: short}, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, address := serveBounded(t, ampleLimits, tc.limits)
			conn := dialTest(t, address)
			_, err := io.WriteString(conn, tc.sent)
			is.NoErr(err)
			got, err := io.ReadAll(conn)
			is.NoErr(err) // the host has closed it
			is.Equal(strings.Count(string(got), "200 OK"), strings.Count(tc.sent, "\r\n\r\n"))
			is.True(!strings.Contains(string(got), "400")) // callers do not try again after one
		})
	}
}

// TestConnectionThatGivesWayGetsNoAnswer guards against a 400 to a caller whose connection was closed for others inside a
// head: it would not try again.
func TestConnectionThatGivesWayGetsNoAnswer(t *testing.T) {
	is := is.New(t)
	table, address := serveBounded(t, intake.Limits{Connections: 3, Memory: 64 << 20}, catalog.RequestLimits{})
	var waiting []net.Conn
	for n := range 3 {
		conn := dialTest(t, address)
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n")
		is.NoErr(err)
		waiting = append(waiting, conn)
		for table.Usage().Open[intake.PhaseHead] < n+1 {
			time.Sleep(time.Millisecond)
		}
	}
	another := dialTest(t, address)
	_, err := io.WriteString(another, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(another), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	got, _ := io.ReadAll(waiting[0]) // ends by a reset or in order
	is.Equal(string(got), "")
	_, err = io.WriteString(waiting[1], "\r\n") // the others go on
	is.NoErr(err)
	resp, err = http.ReadResponse(bufio.NewReader(waiting[1]), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}

// TestSmallChunksAreNoHead guards against bodies of very small chunks that count as if their chunks were lines of a head.
func TestSmallChunksAreNoHead(t *testing.T) {
	const most = 32 << 10 // for a connection with an ordinary head
	is := is.New(t)
	table, address := serveBounded(t, ampleLimits, catalog.RequestLimits{})
	conn := dialTest(t, address)
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\nx\r\n", 600))
	is.NoErr(err)
	for table.Usage().Open[intake.PhaseServing] == 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(table.Usage().Held < most)
}
