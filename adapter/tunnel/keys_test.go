package tunnel

import (
	"io"
	"net"
	"strings"
	"testing"

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

// TestLeavingWithKeysWaits guards against a Close that waits to send the alert that ends a TLS connection, while the path takes
// no bytes.
func TestLeavingWithKeysWaits(t *testing.T) {
	is := is.New(t)
	authority := keystest.NewAuthority(t)
	ended := make(chan struct{})
	endpoint := serveEndpoint(t, func(conn net.Conn) {
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
	})
	b := newBed(t, bedConfig{timing: neverTicks, opts: Options{Keys: authority.Keys("jos-a-2")}})
	c := NewClient(nil, WithKeys(authority.Keys("jos-a-1"), func(string) (string, bool) { return "jos-a-2", true }))
	c.timing = neverTicks
	conn, err := c.Dial(t.Context(), b.address, Target{"e-1", endpoint})
	is.NoErr(err)
	l := conn.(*Conn).link
	l.writeMu.Lock() // a write in progress
	is.NoErr(conn.Close())
	<-ended
	l.writeMu.Unlock()
}
