package daemon

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// TestLostAnswerNamesItsRequest guards against a connection whose answer was not taken, and that can't be told apart from
// others in the log.
func TestLostAnswerNamesItsRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const answerBytes = 1 << 20 // more than the caller's buffers hold
	out, err := os.Create(filepath.Join(t.TempDir(), "log"))
	is.NoErr(err)
	defer out.Close()
	api := platformtest.NewEndpoint("i-1", nil)
	api.SetBodyBytes(func(string) int { return answerBytes })
	t.Cleanup(api.Close)
	d := deployLogged(t, out)
	d.store.Configure(1, "")
	d.store.Register("i-1", api.Entry("api", "a", "ready"))
	d.awaitReady(1)
	conn := dialSlow(t, d.front, endReceiveBytes)
	for _, id := range []string{"first", "last"} {
		_, err = fmt.Fprintf(conn, "GET /get/1 HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: %s\r\nApi-Key: secret\r\n\r\n", id)
		is.NoErr(err)
		if id == "first" {
			for read := 0; read < answerBytes; {
				n, err := conn.Read(make([]byte, answerBytes))
				is.NoErr(err)
				read += n
			}
		}
	}
	for len(api.Runs()) < 2 {
		time.Sleep(time.Millisecond)
	}
	d.cancel()
	is.NoErr(<-d.done)
	raw, err := os.ReadFile(out.Name())
	is.NoErr(err)
	named := 0
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, `"event":"connection"`) {
			is.True(strings.Contains(line, `"request":"last"`))
			named++
		}
	}
	is.Equal(named, 1)
}
