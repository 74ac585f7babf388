package daemon

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/node"
)

// TestWholeAnswerOfANode guards against an answer of a node that is lost because its caller sends bytes behind the request,
// as TestWholeAnswerBeforeTheClose.
func TestWholeAnswerOfANode(t *testing.T) {
	is := is.New(t)
	settings := node.Settings{
		Host: "h1", Region: "r", Zone: "a", LogURL: "http://127.0.0.1:1", CloudURL: "http://127.0.0.1:1", // nobody listens
		CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
	}
	listeners, err := Listen(settings)
	is.NoErr(err)
	listeners.Operator = sendBufferListener{listeners.Operator}
	n, err := Start(settings, listeners, Options{})
	is.NoErr(err)
	defer func() { _ = n.Stop() }()                            // the platform cannot be reached
	conn := dialSlow(t, listeners.Operator.Addr().String(), 1) // the kernel takes its minimum
	_, err = io.WriteString(conn, "GET /metrics HTTP/1.0\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	time.Sleep(endReadDelay)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHo")
	is.NoErr(err)
	time.Sleep(endReadDelay)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)

	is.NoErr(err)
	is.True(strings.HasSuffix(string(body), "\n"))
}
