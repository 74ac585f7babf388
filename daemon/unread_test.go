package daemon

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
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

// TestAnswerThatIsNotRead guards against a connection to the directory, the readiness address or the metrics that is held
// for good by a caller that takes no bytes: its kernel answers keep-alive probes.
func TestAnswerThatIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &host{logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, failed: make(chan struct{}, 1)}
		l := make(pipeListener, 1)
		near, far := net.Pipe()
		l <- far
		h.serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
		_, err := io.WriteString(near, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		is.NoErr(err)
		time.Sleep(writeTimeout + time.Second)
		b, err := io.ReadAll(near)
		is.NoErr(err)
		is.Equal(string(b), "") // the connection was closed
		close(l)
		is.NoErr(h.group.Wait()) // a listener that is closed ends its server
	})
}
