package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// TestStreamClosedInsideEvent guards, over real connections, against a stream without length or chunks that
// its endpoint closes inside an event and that reaches the caller as complete (incident 0003), whatever
// framing the caller gets.
func TestStreamClosedInsideEvent(t *testing.T) {
	behaviour := func(attempt string, _ int) platformtest.Behaviour {
		if strings.HasPrefix(attempt, "whole") {
			return platformtest.Unframed
		}
		return platformtest.CloseInEvent
	}
	one, two := platformtest.NewEndpoint("i-1", behaviour), platformtest.NewEndpoint("i-2", behaviour)
	t.Cleanup(one.Close)
	t.Cleanup(two.Close)
	d := deploy(t)
	t.Cleanup(func() { d.cancel(); is.New(t).NoErr(<-d.done) })
	d.configure(1, "")
	d.store.Register("i-1", one.Entry("llm", "a", "ready"))
	d.store.Register("i-2", two.Entry("llm", "a", "ready"))
	d.awaitReady(2)

	for name, tc := range map[string]struct{ protocol, header string }{
		"HTTP 1.1":               {"HTTP/1.1", ""},
		"HTTP 1.1, to be closed": {"HTTP/1.1", "Connection: close\r\n"},
		"HTTP 1.0":               {"HTTP/1.0", ""},
		"HTTP 1.0, kept open":    {"HTTP/1.0", "Connection: keep-alive\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body, err := sendRaw(t, d.front, "whole "+name, tc.protocol, tc.header)
			is.NoErr(err)
			is.Equal(body, completeStream)
			// Every endpoint closes inside event 5, so the stream cannot be completed.
			body, err = sendRaw(t, d.front, "cut "+name, tc.protocol, tc.header)
			is.True(err != nil) // the answer must not look complete
			is.True(strings.HasPrefix(completeStream, body) && !strings.HasSuffix(body, "data"))
		})
	}
}

// sendRaw requests a stream and returns the body and the error that a caller receives. Between the head and
// the end of the answer it reads nothing that the framing does not announce.
func sendRaw(t *testing.T, front, id, protocol, header string) (string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", front)
	is.New(t).NoErr(err)
	defer conn.Close()
	id = strings.ReplaceAll(id, " ", "-")
	_, err = fmt.Fprintf(conn, "GET /stream/1 %s\r\nHost: x.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\nApi-Key: secret\r\nToken-Usage: 100,8\r\n%s\r\n", protocol, id, header)
	is.New(t).NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
