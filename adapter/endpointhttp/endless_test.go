package endpointhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
)

// endlessHeads are heads of responses that never end: a beginning, and what is repeated after it.
var endlessHeads = map[string][2]string{
	"header lines":      {"HTTP/1.1 200 OK\r\n", "X-Header: abcdefghijklmnop\r\n"},
	"one header line":   {"HTTP/1.1 200 OK\r\nX-Header: ", "abcdefghijklmnop"},
	"a status line":     {"HTTP/1.1 200 ", "abcdefghijklmnop"},
	"interim responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"blank bytes":       {"", "\x00"},
}

// endlessDialer returns a dial function whose connections answer each request with an endless head. sent counts
// the bytes that were read of all heads.
func endlessDialer(head [2]string, sent *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			request(bufio.NewReader(far))
			n, err := far.Write([]byte(head[0]))
			block := []byte(strings.Repeat(head[1], 4096/len(head[1])))
			for sent.Add(int64(n)); err == nil; sent.Add(int64(n)) {
				n, err = far.Write(block)
			}
		}()
		return near, nil
	}
}

// TestEndlessHead guards against an endpoint whose bytes never become an answer: the head is read up to a bound, the
// connection is closed at once, and the failure can be told from others.
func TestEndlessHead(t *testing.T) {
	for name, head := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := New(codec{}, endlessDialer(head, &sent)).Forward(ctx, forward("x", "me"))
			is.NoErr(ctx.Err())                     // not ended by the request's deadline
			is.True(errors.Is(err, port.ErrBroken)) // it may have run
			is.True(errors.Is(err, port.ErrEndless) || name == "blank bytes")
			is.True(sent.Load() <= maxHeadBytes+2*readBufferBytes)
		})
	}
}

// TestManyEndlessHeads guards against a host that runs out of memory when many endpoints send heads without end.
func TestManyEndlessHeads(t *testing.T) {
	const (
		requests    = 200
		maxHeapGain = 32 << 20
	)
	is := is.New(t)
	var sent atomic.Int64
	pool := New(codec{}, endlessDialer(endlessHeads["one header line"], &sent))
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var all sync.WaitGroup
	var peak atomic.Uint64
	for n := range requests {
		all.Go(func() {
			_, err := pool.Forward(t.Context(), forward("x", fmt.Sprint(n)))
			if !errors.Is(err, port.ErrEndless) {
				t.Errorf("got %v, want an endless answer", err)
			}
		})
	}
	done := make(chan struct{})
	go func() { all.Wait(); close(done) }()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(5 * time.Millisecond):
		}
		runtime.ReadMemStats(&during)
		peak.Store(max(peak.Load(), during.HeapAlloc))
	}
	t.Logf("heap grew by %d KB, %d KB read", int64(peak.Load()-before.HeapAlloc)>>10, sent.Load()>>10)
	is.True(peak.Load() < before.HeapAlloc+maxHeapGain)
}

// TestLongHead: a head below the bound is read, also behind an interim response and on a reused connection.
func TestLongHead(t *testing.T) {
	is := is.New(t)
	long := "X-Header: " + strings.Repeat("x", maxHeadBytes/2) + "\r\n"
	address := serve(t, func(_ string, r *bufio.Reader, w net.Conn) {
		for range 3 {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n%sId: %s\r\nContent-Length: 2\r\n\r\nok", long, request(r))
		}
	})
	pool := New(codec{}, nil)
	for n := range 3 {
		body, err := get(t, pool, forward(address, fmt.Sprint("request", n)))
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	is.Equal(pool.Stats().Dials, int64(1))
}
