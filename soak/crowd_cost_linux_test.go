//go:build crowd && linux

package soak

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

// TestConnectionCosts logs what one connection costs a host in each state, as a mean over many.
func TestConnectionCosts(t *testing.T) {
	const (
		connections = 400
		settleDelay = 300 * time.Millisecond
		// siteMemoryMB is the limit on the users' first sites.
		siteMemoryMB = 284
	)
	answered := func(conn net.Conn, text string) error {
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	send := func(text string) func(net.Conn) error {
		return func(conn net.Conn) error {
			_, err := io.WriteString(conn, text)
			return err
		}
	}
	program := buildProgram(t)
	for n, tc := range []struct {
		name string
		send func(conn net.Conn) error
	}{
		{"accepted", send("")},
		{"half a head", send(openHead)},
		{"15 KB of a head, one field", send(openHead + "X-H: " + strings.Repeat("x", 15<<10))},
		{"15 KB of a head, many fields", send(openHead + shortFields(15<<10))},
		{"half a body of 64 KB in chunks", send(chunkedHead + chunk(32<<10))},
		{"half a body of 64 KB in chunks of a byte", send(chunkedHead + strings.Repeat(chunk(1), 32<<10))},
		{"half a body of 4 MB", send(openHead + "Content-Length: 4194304\r\n\r\n" + strings.Repeat("x", 2<<20))},
		{"refused, 1 MB goes on to come", func(conn net.Conn) error {
			_ = conn.SetWriteDeadline(time.Now().Add(settleDelay)) // the host does not read all of it
			_, _ = io.WriteString(conn, openHead+"X-H: "+strings.Repeat("x", 1<<20))
			return nil
		}},
		{"idle after an answer", func(conn net.Conn) error {
			return answered(conn, platformtest.Head("i", "/order/1", "sound")+"Content-Length: 0\r\n\r\n")
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, h, _ := startCrowded(t, 9950+n, siteMemoryMB, crowdDescriptors, program)
			pid := h.pid()
			before := observe(pid, h.IP)
			errs := make(chan error, connections)
			for range connections {
				go func() {
					conn, err := net.Dial("tcp", h.Front)
					if err == nil {
						t.Cleanup(func() { _ = conn.Close() })
						err = tc.send(conn)
					}
					errs <- err
				}()
			}
			failed := 0
			for range connections {
				if err := <-errs; err != nil {
					failed++
				}
			}
			time.Sleep(settleDelay)
			after := observe(pid, h.IP)
			each := func(a, b int64) string { return fmt.Sprintf("%.1f KB", float64(a-b)/1024/connections) }
			t.Logf("%s: resident %s, unread %s, descriptors %.2f; %d of %d failed", tc.name, each(after.resident, before.resident),
				each(after.unread, before.unread), float64(after.sockets-before.sockets)/connections, failed, connections)
			is.Equal(h.incarnation(), h.Name+"/1")
		})
	}
}
