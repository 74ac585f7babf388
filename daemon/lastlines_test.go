package daemon

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/eventlog"
	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// TestLinesOfTheLastMoments guards against requests that are in progress when their process ends and leave no line in its
// log.
func TestLinesOfTheLastMoments(t *testing.T) {
	t.Parallel()
	const orders = 6
	is := is.New(t)
	api := platformtest.NewEndpoint("i-api", nil)
	t.Cleanup(api.Close)
	api.SetDelay(10 * time.Second) // longer than the grace period
	var out bytes.Buffer
	lines := eventlog.New(&out)
	d := deployLogged(t, lines)
	d.store.ConfigureTimeout(1, 20*time.Second)
	d.store.Register("i-api", api.Entry("api", "a", "ready"))
	d.awaitReady(1)
	for n := range orders {
		conn, err := net.Dial("tcp", d.front)
		is.NoErr(err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: last%d\r\nDeadline-Ms: 20000\r\nApi-Key: secret\r\nContent-Length: 2\r\n\r\nok", n)
		is.NoErr(err)
		go func() {
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				_ = resp.Body.Close()
			}
		}()
	}
	for len(api.Runs()) < orders {
		time.Sleep(time.Millisecond)
	}
	d.cancel()
	is.NoErr(<-d.done)
	is.NoErr(lines.Close())
	for n := range orders {
		id := fmt.Sprintf(`"request":"last%d"`, n)
		is.Equal(strings.Count(out.String(), `"event":"unfinished",`+id), 1)
		is.Equal(strings.Count(out.String(), `"event":"request",`+id), 1)
	}
}
