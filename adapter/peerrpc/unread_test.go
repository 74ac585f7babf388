package peerrpc_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/adapter/peerrpc"
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
