package jsonhttp

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// TestWriteBroke: only the errors of a connection that broke count, not those of a write after the other end has ended it or after
// this end has closed it.
func TestWriteBroke(t *testing.T) {
	for name, tc := range map[string]struct {
		err  error
		want bool
	}{
		"none":           {nil, false},
		"reset":          {syscall.ECONNRESET, true},
		"no answer":      {syscall.ETIMEDOUT, true},
		"not reachable":  {syscall.EHOSTUNREACH, true},
		"ended":          {syscall.EPIPE, false},
		"closed here":    {net.ErrClosed, false},
		"another reason": {io.ErrShortWrite, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(WriteBroke(tc.err), tc.want)
			if tc.err != nil {
				wrapped := errors.Wrap(&net.OpError{Op: "write", Err: os.NewSyscallError("write", tc.err)}, "send")
				is.Equal(WriteBroke(wrapped), tc.want)
			}
		})
	}
}
