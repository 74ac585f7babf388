package tunnel

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
)

// patience bounds waits that end much sooner unless a test fails.
const patience = 20 * time.Second

// fastTiming finds a silent end within the time of a test. Only silence is found by time.
var fastTiming = timing{aliveInterval: 20 * time.Millisecond, maxSilentIntervals: 25, openTimeout: patience, lingerTimeout: patience}

func direct(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

func admit(Target) Reason { return "" }

// events counts the events of a server.
type events struct {
	mu     sync.Mutex
	counts map[string]int
}

func (e *events) add(event string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.counts == nil {
		e.counts = map[string]int{}
	}
	e.counts[event]++
}

func (e *events) count(event string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts[event]
}

// bed is a helping host, with its events.
type bed struct {
	*Server
	events  events
	address string
}

type bedConfig struct {
	dial   jsonhttp.DialFunc
	gate   Gate
	opts   Options
	timing timing
}

func newBed(t testing.TB, c bedConfig) *bed {
	t.Helper()
	b := &bed{}
	if c.dial == nil {
		c.dial = direct
	}
	if c.gate == nil {
		c.gate = admit
	}
	c.opts.Event = b.events.add
	b.Server = NewServer(c.dial, c.gate, c.opts)
	if c.timing != (timing{}) {
		b.Server.timing = c.timing
	}
	l := listen(t)
	b.address = l.Addr().String()
	go func() { _ = b.Serve(t.Context(), l) }() // ends with the listener
	t.Cleanup(func() { _ = l.Close(); b.Close() })
	return b
}

// client returns a client that measures time as the helping host does.
func (b *bed) client() *Client {
	c := NewClient(nil)
	c.timing = b.timing
	return c
}

// dial opens a tunnel to an endpoint.
func (b *bed) dial(t testing.TB, address string) net.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	conn, err := b.client().Dial(ctx, b.address, Target{Endpoint: "e-1", Address: address})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// serveEndpoint runs an endpoint that handles each connection with handle, and closes it then.
func serveEndpoint(t testing.TB, handle func(net.Conn)) string {
	t.Helper()
	l := listen(t)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn)
			}()
		}
	}()
	return l.Addr().String()
}

// eventually waits until a condition holds.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not so after %s: %s", patience, what)
		}
	}
}

// TestTunnelCarriesBytesBothWays: bytes arrive as sent, and a clean end of the endpoint is io.EOF.
func TestTunnelCarriesBytesBothWays(t *testing.T) {
	is := is.New(t)
	endpoint := serveEndpoint(t, func(conn net.Conn) {
		b := make([]byte, 5)
		_, err := io.ReadFull(conn, b)
		is.NoErr(err)
		_, err = conn.Write(append(b, '!'))
		is.NoErr(err)
	})
	b := newBed(t, bedConfig{})
	conn := b.dial(t, endpoint)
	is.Equal(conn.RemoteAddr().String(), endpoint)
	_, err := conn.Write([]byte("hello"))
	is.NoErr(err)
	got, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(string(got), "hello!")
	eventually(t, "tunnel ended", func() bool { return b.events.count(EventEnded) == 1 && b.Tunnels() == 0 })
}
