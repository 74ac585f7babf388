package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// TestStreamCutByTheEnd guards against an answer that the end of the process cuts and that looks complete, in each framing.
func TestStreamCutByTheEnd(t *testing.T) {
	for name, tc := range map[string]struct{ protocol, header string }{
		"HTTP 1.1":               {"HTTP/1.1", ""},
		"HTTP 1.1, to be closed": {"HTTP/1.1", "Connection: close\r\n"},
		"HTTP 1.0":               {"HTTP/1.0", ""},
		"HTTP 1.0, kept open":    {"HTTP/1.0", "Connection: keep-alive\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			llm := platformtest.NewEndpoint("i-1", func(string, int) platformtest.Behaviour { return platformtest.Serve })
			llm.SetDelay(10 * time.Second) // longer than the grace period
			t.Cleanup(llm.Close)
			d := deploy(t)
			d.store.ConfigureTimeout(1, 30*time.Second)
			d.store.Register("i-1", llm.Entry("llm", "a", "ready"))
			d.awaitReady(1)
			conn, err := net.Dial("tcp", d.front)
			is.NoErr(err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "GET /stream/1 %s\r\nHost: x.example\r\nAttempt-Id: cut\r\nDeadline-Ms: 30000\r\nApi-Key: secret\r\nToken-Usage: 100,8\r\n%s\r\n", tc.protocol, tc.header)
			is.NoErr(err)
			for len(llm.Runs()) == 0 {
				time.Sleep(time.Millisecond)
			}
			d.cancel()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.True(err != nil) // the answer must not look complete
			is.True(strings.HasPrefix(completeStream, string(body)))
			is.True(string(body) != completeStream)
			is.NoErr(<-d.done)
		})
	}
}
