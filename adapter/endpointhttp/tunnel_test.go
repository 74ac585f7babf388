package endpointhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/tunnel"
	"github.com/cicadanotch/cicadanotch/port"
)

// tunnelPool returns a pool whose connections go through another host, and the number of tunnels that were opened.
func tunnelPool(t *testing.T, gate tunnel.Gate) (*Pool, *tunnel.Server, *atomic.Int64) {
	t.Helper()
	server := tunnel.NewServer((&net.Dialer{}).DialContext, gate, tunnel.Options{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	go func() { _ = server.Serve(t.Context(), l) }() // ends with the listener
	t.Cleanup(func() { _ = l.Close(); server.Close() })
	client, opened := tunnel.NewClient(nil), &atomic.Int64{}
	return New(codec{}, func(ctx context.Context, _, address string) (net.Conn, error) {
		opened.Add(1)
		return client.Dial(ctx, l.Addr().String(), tunnel.Target{Endpoint: "e-1", Address: address})
	}), server, opened
}

// TestTunnelIsReused guards against a second request on a tunnel: it is for one request, also if the endpoint would keep the
// connection. The endpoint's connection ends with the response.
func TestTunnelIsReused(t *testing.T) {
	is := is.New(t)
	ended := make(chan string, 2)
	handle := func(_ string, r *bufio.Reader, w net.Conn) {
		_, _ = io.WriteString(w, response(request(r), "hello")) // a failed write shows in the response
		ended <- request(r)
	}
	address := serve(t, handle, handle)
	p, server, opened := tunnelPool(t, func(tunnel.Target) tunnel.Reason { return "" })
	for n, id := range []string{"a", "b"} {
		body, err := get(t, p, forward(address, id))
		is.NoErr(err)
		is.Equal(body, "hello")
		is.Equal(opened.Load(), int64(n+1))
		select {
		case next := <-ended:
			is.Equal(next, "") // no further request
		case <-time.After(20 * time.Second):
			t.Fatal("the endpoint's connection is still open")
		}
	}
	is.Equal(p.Stats().Reused, int64(0))
	for end := time.Now().Add(20 * time.Second); server.Tunnels() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(server.Tunnels(), 0)
}

// TestAnswersThroughTunnel: ends differ through a tunnel as they do directly.
func TestAnswersThroughTunnel(t *testing.T) {
	untilEnd := "HTTP/1.1 200 OK\r\nSeal: s\r\nId: a\r\n\r\nhello"
	for name, tc := range map[string]struct {
		response string
		reset    bool
		err      error
	}{
		"to the end of the connection":     {untilEnd, false, nil},
		"to a reset of the connection":     {untilEnd, true, port.ErrBroken},
		"with a length, then a reset":      {response("a", "hello"), true, nil},
		"with a length, cut":               {strings.TrimSuffix(response("a", "hello."), "."), false, port.ErrBroken},
		"in chunks, ended before the last": {"HTTP/1.1 200 OK\r\nSeal: s\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false, port.ErrBroken},
		"none, the connection ends":        {"", false, port.ErrBroken},
		"none, the connection breaks":      {"", true, port.ErrBroken},
		"half a head, the connection ends": {"HTTP/1.1 200 O", false, port.ErrBroken},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			read := make(chan struct{})
			address := serve(t, func(_ string, r *bufio.Reader, w net.Conn) {
				request(r)
				_, _ = io.WriteString(w, tc.response) // a failed write shows in the response
				if tc.reset {
					if tc.response != "" {
						<-read
					}
					is.NoErr(w.(*net.TCPConn).SetLinger(0))
				}
			})
			p, _, _ := tunnelPool(t, func(tunnel.Target) tunnel.Reason { return "" })
			reply, err := p.Forward(t.Context(), forward(address, "a"))
			if err == nil {
				defer reply.Body.Close()
				body := make([]byte, len("hello"))
				_, err = io.ReadFull(reply.Body, body)
				is.NoErr(err)
				is.Equal(string(body), "hello")
				close(read)
				_, err = io.ReadAll(reply.Body)
			}
			is.True(errors.Is(err, tc.err))
		})
	}
}

// TestRefusedTunnelIsNotSent guards against a request that is given up as broken although the other host states that none of it
// was passed on, before or after the connection was opened.
func TestRefusedTunnelIsNotSent(t *testing.T) {
	for name, admitted := range map[string]int64{"before the connection is opened": 0, "before the first byte": 1} {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{0, maxInlineBodyBytes, 1 << 20} {
				is := is.New(t)
				received := make(chan int64, 1)
				address := serve(t, func(_ string, r *bufio.Reader, _ net.Conn) {
					n, _ := io.Copy(io.Discard, r) // ends with the connection
					received <- n
				})
				var asked atomic.Int64
				p, _, _ := tunnelPool(t, func(tunnel.Target) tunnel.Reason {
					if asked.Add(1) > admitted {
						return tunnel.ReasonPaused
					}
					return ""
				})
				f := forward(address, "a")
				f.Body = make([]byte, size)
				_, err := p.Forward(t.Context(), f)
				is.True(errors.Is(err, port.ErrNotSent))
				if admitted > 0 {
					is.Equal(<-received, int64(0))
				}
			}
		})
	}
}
