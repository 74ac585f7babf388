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

// ErrBadMessage is returned for a message that is too large or has an invalid frame.
var ErrBadMessage = errors.New("peer message refused")

// MaxMessageBytes bounds the size of one message.
const MaxMessageBytes = 64 << 20

const (
	lengthHeader = "Content-Length: "
	headerEnd    = "\r\n\r\n"
	// maxHeaderBytes is the length of the longest accepted header: a length of ten
	// digits.
	maxHeaderBytes = len(lengthHeader) + 10 + len(headerEnd)
)

// codec frames messages as jsonrpc2.VSCodeObjectCodec does, but rejects a message
// above maxBytes before reading it.
type codec struct {
	jsonrpc2.VSCodeObjectCodec
	maxBytes int
	// ended is called when a whole message was read; nil for none.
	ended func()
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c codec) ReadObject(stream *bufio.Reader, v any) error {
	if err := c.checkHeader(stream); err != nil {
		return err
	}
	if err := c.VSCodeObjectCodec.ReadObject(stream, v); err != nil {
		return err
	}
	if c.ended != nil {
		c.ended()
	}
	return nil
}

// checkHeader checks the next header without consuming it.
func (c codec) checkHeader(stream *bufio.Reader) error {
	for n := 1; n <= maxHeaderBytes; n++ {
		header, err := stream.Peek(n)
		if err != nil {
			return err
		}
		if bytes.HasSuffix(header, []byte(headerEnd)) {
			return c.checkLength(header)
		}
	}
	return errors.Wrap(ErrBadMessage, "header too long")
}

func (c codec) checkLength(header []byte) error {
	digits, ok := bytes.CutPrefix(bytes.TrimSuffix(header, []byte(headerEnd)), []byte(lengthHeader))
	if !ok {
		return errors.Wrap(ErrBadMessage, "header without a length")
	}
	length, err := strconv.Atoi(string(digits))
	if err != nil || length < 0 || length > c.maxBytes {
		return errors.Wrapf(ErrBadMessage, "length %q is above %d bytes", digits, c.maxBytes)
	}
	return nil
}

func newStream(conn io.ReadWriteCloser) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, codec{maxBytes: MaxMessageBytes})
}

// trackedConn records when bytes last arrived.
type trackedConn struct {
	net.Conn
	// lastRead is in Unix nanoseconds.
	lastRead atomic.Int64
}

func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// readSince reports whether bytes arrived after t.
func (c *trackedConn) readSince(t time.Time) bool { return c.lastRead.Load() > t.UnixNano() }

// boundedConn closes the connection when a write is not done within replyTimeout: a part of a message has been sent by
// then.
type boundedConn struct{ net.Conn }

func (c boundedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(replyTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		_ = c.Close() // may be closed already
	}
	return n, err
}
