package tunnel

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
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
	// toEndpoint counts the bytes passed on to the endpoint, fromEndpoint those from it.
	toEndpoint   atomic.Int64
	fromEndpoint int64
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
		n, err := p.endpoint.Write(b)
		p.toEndpoint.Add(int64(n))
		if err != nil {
			return
		}
		p.link.done(n)
		spare = b
	}
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

// refusedReason returns why no byte was passed on, if none was and none will be.
func (p *passage) refusedReason(err error) Reason {
	switch {
	case p.state.Load() == nonePassed:
		return p.reason
	case err != io.EOF && p.state.CompareAndSwap(nothingPassed, nonePassed):
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
	s.opts.Logger.Info().Str("event", "tunnel").Str("from", p.link.raw.RemoteAddr().String()).Str("endpoint", p.target.Endpoint).
		Str("address", p.target.Address).Str("result", event).Int64("sent", p.toEndpoint.Load()).Int64("received", p.fromEndpoint).
		Dur("after", time.Since(p.start)).Err(err).Msg("")
}
