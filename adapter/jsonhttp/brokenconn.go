package jsonhttp

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// dialReporting returns a dial function whose connections are reportingConns.
func dialReporting(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &reportingConn{Conn: conn}, nil
	}
}

// reportingConn is a connection whose reads tell that it broke, also if a write got the error. http.Transport writes a call while it
// reads the answer, and takes io.EOF for the end of an answer without a length, whatever the write got.
type reportingConn struct {
	net.Conn
	// writeMu is held while bytes are written.
	writeMu sync.Mutex
	// broke is the error of a write that broke, see WriteBroke.
	broke error
}

// Write implements net.Conn.
func (c *reportingConn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	if WriteBroke(err) {
		c.broke = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *reportingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.end()
	}
	return n, err
}

// end returns io.EOF if the connection has ended, or the error of the write that it broke. A write under way is ended: it has got
// the error, or waits for a peer that has closed its side.
func (c *reportingConn) end() error {
	if !c.writeMu.TryLock() {
		if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
			return err // the connection was closed here
		}
		c.writeMu.Lock()
	}
	defer c.writeMu.Unlock()
	if c.broke != nil {
		return c.broke
	}
	return io.EOF
}
