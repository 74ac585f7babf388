package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// TestCallerThatClosesItsSide guards against an answer that ends early and looks complete: a caller that has sent its
// request and closes its side of the connection still reads.
func TestCallerThatClosesItsSide(t *testing.T) {
	is := is.New(t)
	llm := platformtest.NewEndpoint("i-1", func(string, int) platformtest.Behaviour { return platformtest.Serve })
	llm.SetDelay(30 * time.Millisecond)
	t.Cleanup(llm.Close)
	d := deploy(t)
	t.Cleanup(func() { d.cancel(); is.NoErr(<-d.done) })
	d.configure(1, "")
	d.store.Register("i-1", llm.Entry("llm", "a", "ready"))
	d.awaitReady(1)
	conn, err := net.Dial("tcp", d.front)
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /stream/1 HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: half\r\nDeadline-Ms: 8000\r\nApi-Key: secret\r\nToken-Usage: 100,8\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	body, err := io.ReadAll(resp.Body)
	t.Log(len(body), len(completeStream), err)
	is.True(err != nil || string(body) == completeStream)
}
