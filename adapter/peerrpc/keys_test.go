package peerrpc_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/peerrpc"
	"github.com/cicadanotch/cicadanotch/adapter/peerrpc/keystest"
	"github.com/cicadanotch/cicadanotch/port"
)

// serve starts a server and returns its address. Its method "whoami" reports whether
// the caller is authorized to act as host jos-a-1; its method "wait" never answers.
func serve(t *testing.T, keys *peerrpc.Keys) string {
	is := is.New(t)
	server := peerrpc.NewServer()
	server.UseKeys(keys)
	server.Handle("whoami", func(ctx context.Context, _ json.RawMessage) (any, error) {
		return port.PeerMayActAs(ctx, "jos-a-1"), nil
	})
	server.Handle("wait", func(ctx context.Context, _ json.RawMessage) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = server.Serve(ctx, l) }() // ends with the listener
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		server.Close()
	})
	return l.Addr().String()
}

func TestMutualTLS(t *testing.T) {
	own, other := keystest.NewAuthority(t), keystest.NewAuthority(t)
	listed := func(name string) func(string) (string, bool) {
		return func(string) (string, bool) { return name, name != "" }
	}
	for name, tc := range map[string]struct {
		client  *peerrpc.Keys
		hostAt  func(string) (string, bool)
		err     error
		allowed bool
	}{
		"peer":                  {own.Keys("jos-a-1"), listed("jos-a-2"), nil, true},
		"peer, another name":    {own.Keys("jos-a-3"), listed("jos-a-2"), nil, false},
		"wrong host at address": {own.Keys("jos-a-1"), listed("jos-b-9"), port.ErrPeerUnreachable, false},
		"unlisted address":      {own.Keys("jos-a-1"), listed(""), port.ErrPeerUnreachable, false},
		"other authority":       {other.Keys("jos-a-1"), listed("jos-a-2"), port.ErrPeerUnreachable, false},
		"no keys":               {nil, nil, port.ErrPeerBroken, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, own.Keys("jos-a-2"))
			var opts []peerrpc.ClientOption
			if tc.client != nil {
				opts = append(opts, peerrpc.WithKeys(tc.client, tc.hostAt))
			}
			client := peerrpc.NewClient(nil, opts...)
			defer client.Close()
			var allowed bool
			err := client.Call(t.Context(), address, "whoami", nil, &allowed)
			is.True(errors.Is(err, tc.err))
			is.Equal(allowed, tc.allowed)
		})
	}
}

func TestKeysMustCarryTheHostsName(t *testing.T) {
	is := is.New(t)
	cert, key, ca := keystest.NewAuthority(t).WriteKeyPair("jos-a-1")
	_, err := peerrpc.LoadKeys(cert, key, ca, "jos-a-2")
	is.True(errors.Is(err, peerrpc.ErrInvalidKeys))
	_, err = peerrpc.LoadKeys(cert, key, key, "jos-a-1") // the file holds no certificate
	is.True(errors.Is(err, peerrpc.ErrInvalidKeys))
}

func TestBadMessages(t *testing.T) {
	for name, sent := range map[string]string{
		"too large":    fmt.Sprintf("Content-Length: %d\r\n\r\n", peerrpc.MaxMessageBytes+1),
		"no number":    "Content-Length: x\r\n\r\n",
		"negative":     "Content-Length: -1\r\n\r\n",
		"no header":    "{\"jsonrpc\":\"2.0\",\"method\":\"whoami\",\"id\":1}\r\n\r\n",
		"long header":  "Content-Length: " + string(bytes.Repeat([]byte("0"), 200)),
		"other header": "Content-Type: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", serve(t, nil))
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write([]byte(sent))
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
			_, err = io.ReadAll(conn)
			is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // the server closed the connection
		})
	}
}

// TestCallThatTimesOutLeavesOthersAlone guards against a call that times out and
// closes the connection that other calls share: one call is never answered, others
// on the same connection are, and no second connection is dialed.
func TestCallThatTimesOutLeavesOthersAlone(t *testing.T) {
	is := is.New(t)
	dials := 0
	client := peerrpc.NewClient(func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	defer client.Close()
	address := serve(t, nil)
	var allowed bool
	is.NoErr(client.Call(t.Context(), address, "whoami", nil, &allowed))
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	ended := make(chan error)
	go func() { ended <- client.Call(ctx, address, "wait", nil, nil) }()
	for ctx.Err() == nil {
		is.NoErr(client.Call(t.Context(), address, "whoami", nil, &allowed))
	}
	is.True(errors.Is(<-ended, port.ErrPeerBroken))
	is.NoErr(client.Call(t.Context(), address, "whoami", nil, &allowed))
	is.Equal(dials, 1)
}

// TestStalledConnectionIsReplaced guards against calls that wait without limit on a
// connection on which nothing arrives any more, as after a network fault that neither
// side detects. A call without a deadline must end, and the next call must use a new
// connection.
func TestStalledConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	address := serve(t, nil)
	var first *stalledConn
	client := peerrpc.NewClient(func(ctx context.Context, network, at string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, at)
		if first == nil && err == nil {
			first = &stalledConn{Conn: conn, stalled: make(chan struct{}), closed: make(chan struct{})}
			return first, nil
		}
		return conn, err
	})
	defer client.Close()
	var allowed bool
	is.NoErr(client.Call(t.Context(), address, "whoami", nil, &allowed))
	close(first.stalled)
	is.True(errors.Is(client.Call(t.Context(), address, "whoami", nil, &allowed), port.ErrPeerBroken))
	is.NoErr(client.Call(t.Context(), address, "whoami", nil, &allowed))
}

// stalledConn is a connection that delivers nothing once stalled is closed.
type stalledConn struct {
	net.Conn
	stalled, closed chan struct{}
}

func (c *stalledConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.stalled:
		if err == nil {
			<-c.closed
		}
	default:
	}
	return n, err
}

func (c *stalledConn) Close() error {
	close(c.closed)
	return c.Conn.Close()
}
