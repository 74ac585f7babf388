package endpointhttp

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
)

// answerAll answers each request on a connection.
func answerAll(_ string, r *bufio.Reader, w net.Conn) {
	for id := request(r); id != ""; id = request(r) {
		if _, err := w.Write([]byte(response(id, "ok"))); err != nil {
			return
		}
	}
}

// TestConnectionThroughAnotherHostIsNotReused guards against a request that is sent on a connection that another host
// carries, after that host may have learnt that the endpoint takes no more requests, and against one that is to go
// through another host and is sent on a connection of this host's own.
func TestConnectionThroughAnotherHostIsNotReused(t *testing.T) {
	is := is.New(t)
	address := serve(t, answerAll, answerAll, answerAll, answerAll)
	var dials, vias atomic.Int64
	p := New(codec{}, func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	p.DialVia = func(ctx context.Context, via, endpoint, address string) (net.Conn, error) {
		is.Equal(via, "10.0.0.9:3")
		is.Equal(endpoint, "e1")
		vias.Add(1)
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return carriedConn{conn}, err
	}
	send := func(id, via string) {
		f := forward(address, id)
		f.Via, f.Endpoint = via, "e1"
		body, err := get(t, p, f)
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	send("1", "")
	send("2", "10.0.0.9:3")
	send("3", "10.0.0.9:3")
	send("4", "")
	is.Equal(dials.Load(), int64(1))
	is.Equal(vias.Load(), int64(2))
}

// TestErrorsOfPathThroughAnotherHost guards against an endpoint that is blamed for a path that failed, and against a
// request that counts as sent although the other host passed nothing on.
func TestErrorsOfPathThroughAnotherHost(t *testing.T) {
	for name, tt := range map[string]struct {
		dial, read, want error
	}{
		"the host cannot be reached":       {dial: port.ErrHelper, want: port.ErrHelper},
		"it passes nothing on":             {read: port.ErrHelper, want: port.ErrNotSent},
		"its path ends":                    {read: port.ErrHelperBroken, want: port.ErrHelperBroken},
		"the endpoint's connection breaks": {read: errors.New("broke"), want: port.ErrBroken},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := New(codec{}, nil)
			p.DialVia = func(context.Context, string, string, string) (net.Conn, error) {
				return &failingConn{err: tt.read}, tt.dial
			}
			f := forward("10.0.0.1:1", "1")
			f.Via = "10.0.0.9:3"
			_, err := get(t, p, f)
			is.True(errors.Is(err, tt.want))
			is.Equal(errors.Is(err, port.ErrBroken), !errors.Is(tt.want, port.ErrNotSent))
		})
	}
	is := is.New(t)
	f := forward("10.0.0.1:1", "1")
	f.Via = "10.0.0.9:3"
	_, err := get(t, New(codec{}, nil), f)
	is.True(errors.Is(err, port.ErrHelper)) // no such connections
}

// carriedConn is a connection that another host carries.
type carriedConn struct{ net.Conn }

func (carriedConn) Tunnel() bool { return true }

// failingConn accepts writes and fails to read.
type failingConn struct {
	net.Conn
	err error
}

func (c *failingConn) Write(p []byte) (int, error) { return len(p), nil }
func (c *failingConn) Read([]byte) (int, error)    { return 0, c.err }
func (c *failingConn) Close() error                { return nil }
