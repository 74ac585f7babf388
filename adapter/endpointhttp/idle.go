package endpointhttp

import (
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// allowedIdleTime returns how long a connection may stay idle after a response. The
// connection must not be reused if the result is zero or less.
func allowedIdleTime(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds <= 0 {
			return 0 // invalid: do not rely on the connection
		}
		return time.Duration(seconds)*time.Second - keepAliveMargin
	}
	return unstatedIdleTime
}

// isTunnel reports whether the connection goes through another host. It is for one request:
// the direct way is tried again for the next one.
func (c *conn) isTunnel() bool {
	t, ok := c.Conn.(interface{ Tunnel() bool })
	return ok && t.Tunnel()
}

// provesNothingSent reports whether an error of a connection states that the endpoint
// received no byte of what was written.
func provesNothingSent(err error) bool {
	var e interface{ NothingSent() bool }
	return errors.As(err, &e) && e.NothingSent()
}

// reusable reports whether an idle connection has neither ended nor received bytes.
// Bytes received while it is idle belong to no request.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true // only in tests; a read would block
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
