package tunnel

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
)

// State of the bytes that go to the endpoint.
const (
	nothingPassed int32 = iota
	// somePassed is set before the first byte is written.
	somePassed
	// nonePassed is set when no byte will be passed on any more.
	nonePassed
)

// passage is a tunnel at the helping host.
type passage struct {
	server *Server
	link   *link
	target Target
	start  time.Time

	endpoint net.Conn
	state    atomic.Int32
	// reason is why the Gate refused the second time; set before the state becomes nonePassed.
	reason      Reason
	inboundDone chan struct{}
	// fromEndpoint counts the bytes passed on from the endpoint.
	fromEndpoint int64

	// mu is held while bytes are written to the endpoint.
	mu sync.Mutex
	// toEndpoint counts the bytes passed on to the endpoint, writeErr is why no more were.
	toEndpoint int64
	writeErr   error
}

// run opens the connection to the endpoint and passes bytes on until one side has ended.
func (p *passage) run() {
	if reason := p.server.reserve(); reason != "" {
		p.refuse(reason, nil)
		return
	}
	conn, reason, err := p.server.connect(p.link.ctx, p.target)
	if reason != "" {
		p.server.release()
		p.refuse(reason, err)
		return
	}
	p.endpoint, p.inboundDone = conn, make(chan struct{})
	closeOnEnd := context.AfterFunc(p.link.ctx, p.closeEndpoint)
	p.server.opts.Event(EventOpened)
	if p.link.writeFrame(frame(frameOpened, nil)) == nil {
		go p.passInbound()
		err = p.passOutbound()
	} else {
		close(p.inboundDone)
	}
	closeOnEnd()
	p.closeEndpoint()
	p.end(err)
}

func (p *passage) closeEndpoint() {
	_ = p.endpoint.Close() // may be closed already
}

// passInbound passes bytes on to the endpoint. After an error the reads from the endpoint
// tell how its connection ended.
func (p *passage) passInbound() {
	defer close(p.inboundDone)
	var spare []byte
	for {
		b, err := p.link.take(spare)
		if err != nil {
			return
		}
		if p.state.Load() != somePassed && !p.beginToPass() {
			return
		}
		if p.write(b) != nil {
			return
		}
		p.link.done(len(b))
		spare = b
	}
}

// write writes bytes to the endpoint.
func (p *passage) write(b []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, err := p.endpoint.Write(b)
	p.toEndpoint += int64(n)
	p.writeErr = err
	return err
}

// beginToPass asks the Gate once more before the first byte is passed on.
func (p *passage) beginToPass() bool {
	if p.reason = p.server.ask(p.target); p.reason != "" {
		p.state.CompareAndSwap(nothingPassed, nonePassed)
		p.closeEndpoint() // ends passOutbound
		return false
	}
	return p.state.CompareAndSwap(nothingPassed, somePassed)
}

// passOutbound passes bytes from the endpoint on. It returns io.EOF when the endpoint has
// ended the connection.
func (p *passage) passOutbound() error {
	b := make([]byte, headerBytes+maxDataBytes)
	for {
		n, err := p.endpoint.Read(b[headerBytes:])
		if n > 0 {
			p.fromEndpoint += int64(n)
			if _, err := p.link.send(b[:headerBytes+n]); err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
	}
}

// end states how the endpoint's connection ended, unless the caller has left.
func (p *passage) end(err error) {
	s := p.server
	if left := p.link.failure(); left != nil {
		s.release()
		p.reportLeft(left)
		p.link.fail(left)
		<-p.inboundDone
		return
	}
	last, event := frame(frameEnd, nil), EventEnded
	if err == io.EOF {
		err = p.cleanEnd()
	}
	reason := p.refusedReason(err)
	switch {
	case reason != "":
		last, event = frame(frameRefused, []byte(reason)), EventRefused+string(reason)
	case err != io.EOF:
		last, event = frame(frameBroke, nil), EventBroke
	default:
		err = nil
	}
	s.release()
	p.report(event, err)
	if p.link.writeFrame(last) == nil {
		p.link.linger()
	}
	p.link.fail(net.ErrClosed)
	<-p.inboundDone
}

// cleanEnd returns io.EOF if the endpoint has ended the connection, and the error if it broke
// and a write got the error.
func (p *passage) cleanEnd() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if jsonhttp.WriteBroke(p.writeErr) {
		return p.writeErr
	}
	return io.EOF
}

// refusedReason returns why no byte was passed on, if none was and none will be.
func (p *passage) refusedReason(err error) Reason {
	if p.state.Load() == nonePassed {
		return p.reason
	}
	if err == io.EOF || p.fromEndpoint > 0 {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.CompareAndSwap(nothingPassed, nonePassed) || (p.writeErr != nil && p.toEndpoint == 0) {
		return ReasonUnreachable
	}
	return ""
}

// refuse states that no connection was opened.
func (p *passage) refuse(reason Reason, err error) {
	if left := p.link.failure(); left != nil {
		p.reportLeft(left)
		return
	}
	p.report(EventRefused+string(reason), err)
	if p.link.writeFrame(frame(frameRefused, []byte(reason))) == nil {
		p.link.linger()
	}
	p.link.fail(net.ErrClosed)
}

// reportLeft reports that the caller has left, or that the tunnel broke.
func (p *passage) reportLeft(err error) {
	for _, broke := range []error{ErrSilent, ErrInvalidFrame, errIdle, net.ErrClosed} {
		if errors.Is(err, broke) {
			p.report(EventBroke, err)
			return
		}
	}
	p.report(EventLeft, err)
}

// report logs the end of a tunnel.
func (p *passage) report(event string, err error) {
	s := p.server
	s.opts.Event(event)
	p.mu.Lock()
	sent := p.toEndpoint
	p.mu.Unlock()
	s.opts.Logger.Info().Str("event", "tunnel").Str("from", p.link.raw.RemoteAddr().String()).Str("endpoint", p.target.Endpoint).
		Str("address", p.target.Address).Str("result", event).Int64("sent", sent).Int64("received", p.fromEndpoint).
		Dur("after", time.Since(p.start)).Err(err).Msg("")
}
