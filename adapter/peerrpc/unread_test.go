package peerrpc_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/peerrpc"
	"github.com/cicadanotch/cicadanotch/port"
)

// pipeListener accepts the connections that are sent to it.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestPeerThatReadsNoReply guards against replies that are held for good for a peer that reads none of them and keeps its
// connection: its kernel answers keep-alive probes.
func TestPeerThatReadsNoReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := peerrpc.NewServer()
		server.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
		l := make(pipeListener, 1)
		served := make(chan error, 1)
		go func() { served <- server.Serve(t.Context(), l) }()
		near, far := net.Pipe()
		l <- far
		_, err := io.WriteString(near, "Content-Length: 54\r\n\r\n"+`{"jsonrpc":"2.0","id":1,"method":"echo","params":"ab"}`)
		is.NoErr(err)
		time.Sleep(15 * time.Second) // the peer hangs
		b, err := io.ReadAll(near)
		is.NoErr(err)
		is.Equal(string(b), "") // the connection was closed
		close(l)
		is.NoErr(<-served)
	})
}

// TestCallToAPeerThatReadsNothing guards against a call that takes longer than its timeout, because the peer reads nothing
// and the request does not fit into the buffers on the way.
func TestCallToAPeerThatReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe()
		defer far.Close()
		client := peerrpc.NewClient(func(context.Context, string, string) (net.Conn, error) { return near, nil })
		defer client.Close()
		const timeout = 400 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		began := time.Now()
		err := client.Call(ctx, "x", "echo", strings.Repeat("x", 1<<20), nil)
		is.True(errors.Is(err, port.ErrPeerBroken))
		is.Equal(time.Since(began), timeout)
	})
}
