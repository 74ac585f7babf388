package peerrpc_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/adapter/peerrpc"
)

// scarceListener fails to accept at first, as a process does that is out of descriptors.
type scarceListener struct {
	net.Listener
	failures int
}

func (l *scarceListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestServeOutlivesScarceDescriptors guards against a host that cannot be called for good, since it could not accept one
// connection.
func TestServeOutlivesScarceDescriptors(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := peerrpc.NewServer()
	server.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
	served := make(chan error, 1)
	go func() { served <- server.Serve(t.Context(), &scarceListener{l, 3}) }()
	client := peerrpc.NewClient(nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var out string
	is.NoErr(client.Call(ctx, l.Addr().String(), "echo", "a", &out))
	is.Equal(out, "a")
	is.NoErr(l.Close())
	is.NoErr(<-served)
}

// TestCallsOnOneConnectionAreBounded guards against a peer that fills a host's memory by calls whose replies it does not read.
func TestCallsOnOneConnectionAreBounded(t *testing.T) {
	const sent, most = 3000, 1024
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := peerrpc.NewServer()
	begun, release := make(chan struct{}, sent), make(chan struct{})
	server.Handle("wait", func(context.Context, json.RawMessage) (any, error) {
		begun <- struct{}{}
		<-release
		return true, nil
	})
	go func() { _ = server.Serve(t.Context(), l) }() // ends with the listener
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	go func() {
		_, _ = io.WriteString(conn, strings.Repeat("Content-Length: 40\r\n\r\n"+`{"jsonrpc":"2.0","id":1,"method":"wait"}`, sent)) // the server may not read all
	}()
	for range most {
		<-begun
	}
	time.Sleep(100 * time.Millisecond)
	is.Equal(len(begun), 0) // no further call has begun
	close(release)
	is.NoErr(l.Close())
	server.Close()
}
