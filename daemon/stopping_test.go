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

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// TestRefusalWhileTheBodyIsSent guards against a stopping host that reads the body of a request which it will not serve, and
// against a refusal that the caller does not get because the connection is closed while it still sends.
func TestRefusalWhileTheBodyIsSent(t *testing.T) {
	const (
		parts    = 20
		pause    = 50 * time.Millisecond
		bodySize = 12_000
	)
	for name, tc := range map[string]struct {
		chunked    bool
		begins     int  // the part of the body before which the stop begins
		sendsFirst bool // the caller reads the answer only when it has sent everything
	}{
		"with a length":                     {false, 0, false},
		"with a length, all is sent":        {false, 0, true},
		"with a length, stop in the middle": {false, parts / 2, true},
		"in chunks":                         {true, 0, false},
		"in chunks, all is sent":            {true, 0, true},
		"in chunks, stop in the middle":     {true, parts / 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			api := platformtest.NewEndpoint("i-api", nil)
			t.Cleanup(api.Close)
			d := deploy(t)
			t.Cleanup(func() { d.cancel(); is.NoErr(<-d.done) })
			d.store.ConfigureTimeout(1, 20*time.Second) // later than the end of a process that stops
			d.store.Register("i-api", api.Entry("api", "a", "ready"))
			d.awaitReady(1)
			stop := func() {
				d.cancel()
				for !d.host.gateway.Leaving() {
					time.Sleep(time.Millisecond)
				}
			}
			if tc.begins == 0 {
				stop()
			}
			conn, err := net.Dial("tcp", d.front)
			is.NoErr(err)
			defer conn.Close()
			framing := fmt.Sprintf("Content-Length: %d", bodySize)
			if tc.chunked {
				framing = "Transfer-Encoding: chunked"
			}
			// The deadline is later than the end of the process.
			_, err = fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: late\r\nDeadline-Ms: 15000\r\nApi-Key: secret\r\n%s\r\n\r\n", framing)
			is.NoErr(err)
			sent := make(chan int, 1)
			go func() {
				n := 0
				defer func() { sent <- n }()
				part := strings.Repeat("x", bodySize/parts)
				if tc.chunked {
					part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
				}
				for ; n < parts; n++ {
					if n == tc.begins && n > 0 {
						stop()
					}
					if _, err := io.WriteString(conn, part); err != nil {
						return
					}
					time.Sleep(pause)
				}
				if tc.chunked {
					_, _ = io.WriteString(conn, "0\r\n\r\n") // the answer may have come before
				}
			}()
			if tc.sendsFirst {
				is.Equal(<-sent, parts)
			}
			began := time.Now()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.True(resp.Close)
			is.True(resp.Header.Get("Retry-After") != "")
			_, err = io.ReadAll(resp.Body)
			is.NoErr(err)
			is.True(tc.sendsFirst || time.Since(began) < parts*pause/2)
			if !tc.sendsFirst {
				is.Equal(len(sent), 0) // the answer came first
				_ = conn.Close()
				<-sent
			}
			is.Equal(len(api.Runs()), 0)
		})
	}
}

// TestKeptConnectionsWhileStopping guards against callers that go on using a kept connection to a host until it closes
// it: they are asked for a new one with the first answer after the stop began.
func TestKeptConnectionsWhileStopping(t *testing.T) {
	is := is.New(t)
	api := platformtest.NewEndpoint("i-api", nil)
	t.Cleanup(api.Close)
	d := deploy(t)
	d.store.ConfigureTimeout(1, 20*time.Second) // later than the end of a process that stops
	d.store.Register("i-api", api.Entry("api", "a", "ready"))
	d.awaitReady(1)
	kept := make([]net.Conn, 3)
	send := func(conn net.Conn, id, path string, deadline time.Duration) *http.Response {
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: secret\r\nContent-Length: 2\r\n\r\nok", path, id, deadline.Milliseconds())
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		_, err = io.ReadAll(resp.Body)
		is.NoErr(err)
		return resp
	}
	for n := range kept {
		conn, err := net.Dial("tcp", d.front)
		is.NoErr(err)
		defer conn.Close()
		kept[n] = conn
		is.True(!send(conn, fmt.Sprint("before", n), "/order/1", 2*time.Second).Close)
	}
	d.cancel()
	for !d.host.gateway.Leaving() {
		time.Sleep(time.Millisecond)
	}
	for n, tc := range []struct {
		path     string
		deadline time.Duration
		status   int
	}{
		{"/order/1", 2 * time.Second, http.StatusOK},
		{"/order/1", 15 * time.Second, http.StatusServiceUnavailable}, // nothing shows that it ends in time
		{"/none/1", 2 * time.Second, http.StatusNotFound},
	} {
		resp := send(kept[n], fmt.Sprint("after", n), tc.path, tc.deadline)
		is.Equal(resp.StatusCode, tc.status)
		is.True(resp.Close)
	}
	is.NoErr(<-d.done)
}
