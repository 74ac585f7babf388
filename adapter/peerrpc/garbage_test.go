package peerrpc_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/peerrpc"
	"github.com/cicadanotch/cicadanotch/port"
)

// TestReplyThatIsNone guards against bytes at a peer's address that are no reply and are taken for one: an empty reply to
// a read would remove all that the host knows.
func TestReplyThatIsNone(t *testing.T) {
	frame := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }
	for name, tc := range map[string]struct {
		reply string // %s is the id of the call
		want  error
	}{
		"text":                     {"no reply\r\n\r\n", port.ErrPeerBroken},
		"a response of HTTP":       {"HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\n{}", port.ErrPeerBroken},
		"a frame of text":          {frame("no reply"), port.ErrPeerBroken},
		"a frame cut":              {"Content-Length: 100\r\n\r\n{}", port.ErrPeerBroken},
		"an empty frame":           {frame(""), port.ErrPeerBroken},
		"null":                     {frame("null"), port.ErrPeerBroken},
		"an empty object":          {frame("{}"), port.ErrPeerBroken},
		"of another call":          {frame(`{"jsonrpc":"2.0","id":77,"result":"x"}`), port.ErrPeerBroken},
		"neither result nor error": {`{"jsonrpc":"2.0","id":%s}`, port.ErrPeerBroken},
		"a result of null":         {`{"jsonrpc":"2.0","id":%s,"result":null}`, nil}, // a host's empty list
		"of another type":          {`{"jsonrpc":"2.0","id":%s,"result":{"a":1}}`, port.ErrPeerBroken},
		"an error":                 {`{"jsonrpc":"2.0","id":%s,"error":{"code":1,"message":"no"}}`, port.ErrPeerRefused},
		"a result":                 {`{"jsonrpc":"2.0","id":%s,"result":"x"}`, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				r := bufio.NewReader(c)
				var length int
				if _, err := fmt.Fscanf(r, "Content-Length: %d\r\n\r\n", &length); err != nil {
					return
				}
				body := make([]byte, length)
				if _, err := io.ReadFull(r, body); err != nil {
					return
				}
				reply := tc.reply
				if strings.Contains(reply, "%s") {
					reply = frame(fmt.Sprintf(reply, regexp.MustCompile(`"id":("?[^,}]*)`).FindSubmatch(body)[1]))
				}
				_, _ = io.WriteString(c, reply)
			}()
			client := peerrpc.NewClient(nil)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			var out string
			err = client.Call(ctx, l.Addr().String(), "echo", "a", &out)
			is.NoErr(ctx.Err())
			if tc.want == nil {
				is.NoErr(err)
				is.Equal(out == "x", name == "a result")
				return
			}
			is.True(errors.Is(err, tc.want))
			is.Equal(out, "")
		})
	}
}
