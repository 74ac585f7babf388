package endpointhttp

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/port"
)

// responseBody returns the connection to the pool when the response is complete.
type responseBody struct {
	io.ReadCloser
	exchange *exchange
	// done is set when the connection was returned to the pool or closed.
	done bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.exchange.untilEnd {
		err = b.end()
	}
	switch {
	case err == io.EOF:
		b.finish()
	case err != nil:
		b.closeConn()
		if !errors.Is(err, port.ErrHelperBroken) {
			err = errors.Wrap(port.ErrBroken, err.Error())
		}
	}
	return n, err
}

// end returns io.EOF if the connection has ended, or why it broke: a body that was still
// being written may have got the error.
func (b *responseBody) end() error {
	ex := b.exchange
	if b.done || ex.written == nil {
		return io.EOF
	}
	ex.conn.close() // ends the write
	<-ex.written
	if jsonhttp.WriteBroke(ex.writeErr) {
		return ex.writeErr
	}
	return io.EOF
}

// finish returns the connection to the pool if the request was written completely
// and its context was not canceled. Otherwise it closes the connection.
func (b *responseBody) finish() {
	if b.done {
		return
	}
	b.done = true
	c := b.exchange.conn
	if !b.exchange.cancelClose() {
		c.close()
		return
	}
	if b.exchange.written != nil {
		select {
		case <-b.exchange.written:
		default:
			c.close() // the endpoint responded early; closing stops the rest of the body
			return
		}
		if b.exchange.writeErr != nil {
			c.close()
			return
		}
	}
	c.pool.put(c, b.exchange.idleTime)
}

// closeConn closes the connection unless finish or closeConn was called before.
func (b *responseBody) closeConn() {
	if !b.done {
		b.done = true
		b.exchange.cancelClose()
		b.exchange.conn.close()
	}
}

// Close implements io.Closer. If the response was not read to its end, the connection
// is closed, so that the endpoint stops its work.
func (b *responseBody) Close() error {
	b.closeConn()
	return nil
}

// boundedReader reads at most remaining bytes while bounded is set.
type boundedReader struct {
	io.Reader
	bounded   bool
	remaining int
}

// Read implements io.Reader. It returns port.ErrEndless beyond the bound.
func (r *boundedReader) Read(p []byte) (int, error) {
	if !r.bounded {
		return r.Reader.Read(p)
	}
	if r.remaining <= 0 {
		return 0, port.ErrEndless
	}
	n, err := r.Reader.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

// framing returns how the end of a response is marked.
func framing(resp *http.Response) port.Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return port.FramingChunks
	case resp.ContentLength >= 0:
		return port.FramingLength
	}
	return port.FramingConnection
}
