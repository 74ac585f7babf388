package peerrpc

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// ErrMessage is returned for a message that is too large or badly framed.
var ErrMessage = errors.New("peer message refused")

// MaxMessage bounds one message, in bytes.
const MaxMessage = 64 << 20

const (
	lengthHeader = "Content-Length: "
	headerEnd    = "\r\n\r\n"
	// maxHeader is the length of the longest header that is accepted.
	maxHeader = len(lengthHeader) + 10 + len(headerEnd)
)

// codec frames messages as the library does, and refuses those above a bound
// before it reads them.
type codec struct {
	jsonrpc2.VSCodeObjectCodec
	limit int
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c codec) ReadObject(stream *bufio.Reader, v any) error {
	if err := c.checkHeader(stream); err != nil {
		return err
	}
	return c.VSCodeObjectCodec.ReadObject(stream, v)
}

// checkHeader looks at the header without taking it from the stream.
func (c codec) checkHeader(stream *bufio.Reader) error {
	for n := 1; n <= maxHeader; n++ {
		header, err := stream.Peek(n)
		if err != nil {
			return err
		}
		if bytes.HasSuffix(header, []byte(headerEnd)) {
			return c.checkLength(header)
		}
	}
	return errors.Wrap(ErrMessage, "header too long")
}

func (c codec) checkLength(header []byte) error {
	digits, ok := bytes.CutPrefix(bytes.TrimSuffix(header, []byte(headerEnd)), []byte(lengthHeader))
	if !ok {
		return errors.Wrap(ErrMessage, "header without a length")
	}
	length, err := strconv.Atoi(string(digits))
	if err != nil || length < 0 || length > c.limit {
		return errors.Wrapf(ErrMessage, "length %q is above %d bytes", digits, c.limit)
	}
	return nil
}

func newStream(conn io.ReadWriteCloser) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, codec{limit: MaxMessage})
}

// watchedConn notes when bytes last arrived.
type watchedConn struct {
	net.Conn
	lastRead atomic.Int64
}

func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// readSince reports whether bytes arrived after t.
func (c *watchedConn) readSince(t time.Time) bool { return c.lastRead.Load() > t.UnixNano() }
