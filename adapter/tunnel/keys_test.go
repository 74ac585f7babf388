package tunnel

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/peerrpc"
	"github.com/cicadanotch/cicadanotch/adapter/peerrpc/keystest"
)

// TestTunnelWithKeys guards against a tunnel port that carries bytes for hosts without a certificate of the authority, and
// against a caller that hands its bytes to another host than the one listed.
func TestTunnelWithKeys(t *testing.T) {
	own, other := keystest.NewAuthority(t), keystest.NewAuthority(t)
	for name, tc := range map[string]struct {
		client *peerrpc.Keys
		listed string
		opens  bool
	}{
		"host":                  {own.Keys("jos-a-1"), "jos-a-2", true},
		"wrong host at address": {own.Keys("jos-a-1"), "jos-b-9", false},
		"unlisted address":      {own.Keys("jos-a-1"), "", false},
		"other authority":       {other.Keys("jos-a-1"), "jos-a-2", false},
		"no keys":               {nil, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answer := strings.Repeat("answer", windowBytes)
			endpoint := serveEndpoint(t, func(conn net.Conn) {
				_, err := io.ReadFull(conn, make([]byte, 3*windowBytes))
				is.NoErr(err)
				_, err = io.WriteString(conn, answer)
				is.NoErr(err)
			})
			b := newBed(t, bedConfig{opts: Options{Keys: own.Keys("jos-a-2")}})
			var opts []ClientOption
			if tc.client != nil {
				opts = append(opts, WithKeys(tc.client, func(string) (string, bool) { return tc.listed, tc.listed != "" }))
			}
			conn, err := NewClient(nil, opts...).Dial(t.Context(), b.address, Target{"e-1", endpoint})
			is.Equal(err == nil, tc.opens)
			if err != nil {
				is.True(!errors.Is(err, ErrRefused)) // nobody entitled to has stated anything
				return
			}
			defer conn.Close()
			_, err = conn.Write(make([]byte, 3*windowBytes))
			is.NoErr(err)
			got, err := readAll(t, conn)
			is.NoErr(err)
			is.Equal(string(got), answer)
		})
	}
}

// stalledConn is a connection whose writes block, once it is stalled, until it is closed.
type stalledConn struct {
	*stuckConn
	stalled atomic.Bool
}

func (c *stalledConn) Write(p []byte) (int, error) {
	if c.stalled.Load() {
		return c.stuckConn.Write(p)
	}
	return c.Conn.Write(p)
}

// TestLeavingWithKeysWaits guards against a Close that waits to send the alert that ends a TLS connection, while the path takes
// no bytes: the endpoint would stay at work meanwhile.
func TestLeavingWithKeysWaits(t *testing.T) {
	is := is.New(t)
	authority := keystest.NewAuthority(t)
	ended := make(chan struct{})
	endpoint := serveEndpoint(t, func(conn net.Conn) {
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
	})
	b := newBed(t, bedConfig{timing: neverTicks, opts: Options{Keys: authority.Keys("jos-a-2")}})
	var raw *stalledConn
	c := NewClient(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := direct(ctx, network, address)
		is.NoErr(err)
		raw = &stalledConn{stuckConn: newStuckConn(conn)}
		return raw, nil
	}, WithKeys(authority.Keys("jos-a-1"), func(string) (string, bool) { return "jos-a-2", true }))
	c.timing = neverTicks
	conn, err := c.Dial(t.Context(), b.address, Target{"e-1", endpoint})
	is.NoErr(err)
	raw.stalled.Store(true)
	go conn.Close()
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("the endpoint's connection is still open")
	}
}
