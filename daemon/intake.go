package daemon

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"github.com/cicadanotch/cicadanotch/body"
	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/intake"
)

const (
	// callerReceiveBytes is the size of the kernel's buffer for what a connection of a caller receives, peerReceiveBytes for
	// one of another host, which may be in a region far away. The kernel takes twice as much, see intake.WindowBytes.
	callerReceiveBytes = 32 << 10
	peerReceiveBytes   = 256 << 10
	// readBufferBytes is the size of net/http's buffer. When a head begins, as much of what was read with the request before
	// may be counted with it, and when it ends, as much of its body.
	readBufferBytes = 4 << 10
	// tooLargeTimeout bounds the time to write the refusal of a head.
	tooLargeTimeout = time.Second
	// pipelineDelay is the time between the answer to a request and a further one whose whole head has come before. Without it
	// callers that send requests without end leave no processor time to others.
	pipelineDelay = 5 * time.Millisecond
	// givenWayInterval is the interval of log lines on connections that gave way.
	givenWayInterval = time.Second
)

// tooLargeAnswer refuses a head above the limit, as net/http does.
const tooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"

// boundReceiveBuffers bounds the receive buffers of the connections that a TCP listener accepts. Without it, the kernel lets
// them grow while a caller sends more than is read.
func boundReceiveBuffers(l net.Listener, size int) {
	conn, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return // it was closed
	}
	_ = raw.Control(func(fd uintptr) { // a platform that refuses it bounds the buffers itself
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
	})
}

// callerIntake accepts the connections of callers as far as the process has room for them.
type callerIntake struct {
	// table is nil if connections are not bounded.
	table *intake.Table
	// limits returns the configured limits of requests; nil for none.
	limits func() catalog.RequestLimits
	// logger may be nil.
	logger *log.Logger

	mu       sync.Mutex
	loggedAt time.Time
	// givenWay counts the connections that gave way since the last log line, by reason and phase.
	givenWay map[string]int
}

// admit adds a connection to the table. It returns false if there is no room for it.
func (i *callerIntake) admit(c *lingerConn) bool {
	if i == nil || i.table == nil {
		return true
	}
	c.entry = i.table.Open(time.Now(), c.giveWay)
	if c.entry == nil {
		i.record(c.RemoteAddr().String(), "refused", intake.PhaseNew)
	}
	return c.entry != nil
}

// requestLimits returns the limits in force.
func (i *callerIntake) requestLimits() catalog.RequestLimits {
	var l catalog.RequestLimits
	if i != nil && i.limits != nil {
		l = i.limits()
	}
	if l.MaxHeaderBytes <= 0 || l.MaxHeaderBytes > maxHeadBytes {
		l.MaxHeaderBytes = maxHeadBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = headerTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = idleTimeout
	}
	return l
}

// record counts a connection that gave way, and logs what gave way since the last line.
func (i *callerIntake) record(from, reason string, phase intake.Phase) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.givenWay == nil {
		i.givenWay = map[string]int{}
	}
	i.givenWay[reason+"/"+phase.String()]++
	if i.logger == nil || time.Since(i.loggedAt) < givenWayInterval {
		return
	}
	u := i.table.Usage()
	line := i.logger.Warn().Str("event", "connections_closed").Str("from", from)
	for name, n := range i.givenWay {
		line.Int(name, n)
	}
	line.Int("limit", u.Connections).Int64("held", u.Held).Int64("held_limit", u.Memory).Str("open", fmt.Sprint(u.Open)).Msg("")
	i.loggedAt, i.givenWay = time.Now(), nil
}

// giveWay closes the connection for others. It is called by the table.
func (c *lingerConn) giveWay(reason intake.Reason, phase intake.Phase) {
	c.lingering.intake.record(c.RemoteAddr().String(), string(reason), phase)
	if (phase == intake.PhaseEnding || phase == intake.PhaseTaken) && c.lingering.give(c) {
		return
	}
	c.abandon()
}

// abandon closes the connection at once. What its caller sends is not read, and it gets no answer.
func (c *lingerConn) abandon() {
	c.abandoned.Store(true)
	_ = c.halfCloser.Close() // its caller may have reset it
}

// enter moves the connection to a phase.
func (c *lingerConn) enter(p intake.Phase) {
	if c.entry != nil {
		c.entry.Enter(p, time.Now())
	}
}

// noteBody records the last read of a body: the next head may be a part of it.
func (c *lingerConn) noteBody(p []byte) {
	if len(p) > 1 && len(p) <= readBufferBytes { // net/http reads single bytes while it answers, and more at once of bodies only
		c.lastBytes, c.lastLines = len(p), countLines(p)
	}
}

// readHead accounts for bytes of a head. It reports false if the connection must be closed.
func (c *lingerConn) readHead(p []byte) bool {
	rest := p[:0]
	if end := bytes.Index(p, headEnd); end >= 0 {
		p, rest = p[:end+len(headEnd)], p[end+len(headEnd):]
	}
	c.headBytes += len(p)
	c.headLines += countLines(p)
	c.lastBytes, c.lastLines = len(rest), countLines(rest)
	if c.headBytes > c.lingering.intake.requestLimits().MaxHeaderBytes+2*readBufferBytes {
		_ = c.halfCloser.SetWriteDeadline(time.Now().Add(tooLargeTimeout)) // fails if the connection has ended, as does the write
		_, _ = c.halfCloser.Write([]byte(tooLargeAnswer))
		return false
	}
	return c.countHead()
}

// headEnd ends a head. Lines behind it belong to a body, or to the next head.
var headEnd = []byte("\r\n\r\n")

func countLines(p []byte) int { return bytes.Count(p, []byte{'\n'}) }

// countHead accounts for what was read of a head. It reports false if there is no room for it.
func (c *lingerConn) countHead() bool {
	c.headCounted = true
	if c.entry == nil {
		return true
	}
	if !c.entry.ReadHead(c.headBytes, c.headLines, time.Now()) {
		c.lingering.intake.record(c.RemoteAddr().String(), string(intake.ReasonMemory), intake.PhaseHead)
		return false
	}
	return true
}

// BeginBody states that the body of a request is read, of a length in bytes; negative if it is not known. It reports false
// if there is no room for it.
func (c *lingerConn) BeginBody(length int64) bool {
	return c.entry == nil || c.entry.ReadBody(length, time.Now())
}

// EndBody states that a body was read.
func (c *lingerConn) EndBody() { c.enter(intake.PhaseServing) }

// headDeadline returns the deadline in place of that of net/http while a request is awaited: the limits that are configured
// may change. After an answer, net/http first sets that for the time without a request, then that for the head.
func (c *lingerConn) headDeadline(t time.Time) time.Time {
	if !c.awaits.Load() || t.IsZero() {
		return t
	}
	l := c.lingering.intake.requestLimits()
	if c.idleDeadlineDue.Swap(false) {
		return time.Now().Add(l.IdleTimeout)
	}
	return time.Now().Add(l.HeaderTimeout)
}

// begin states that the head of a request is complete. It reports false if the connection has given way.
func (c *lingerConn) begin() bool {
	if !c.headCounted {
		time.Sleep(pipelineDelay) // it may give way meanwhile
	}
	c.unhandled.Store(false)
	if c.entry == nil {
		return true
	}
	return (c.headCounted || c.countHead()) && c.entry.Enter(intake.PhaseServing, time.Now())
}

// serveAdmitted returns a handler for requests whose connections are kept. Others are dropped before they run.
func serveAdmitted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := body.NetConn(r.Context()).(*lingerConn); ok && !c.begin() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// setState follows the state of a connection of net/http.
func setState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*lingerConn)
	if !ok {
		return
	}
	awaits := state == http.StateIdle || state == http.StateNew
	c.idle.Store(awaits)
	c.idleDeadlineDue.Store(state == http.StateIdle)
	c.awaits.Store(awaits)
	if awaits {
		c.unhandled.Store(true)
	}
	switch state {
	case http.StateIdle:
		c.headBytes, c.headLines, c.headCounted = c.lastBytes, c.lastLines, false // the next head may have been read with this request
		c.enter(intake.PhaseIdle)
	case http.StateHijacked:
		c.unhandled.Store(true)
		if c.entry != nil && !c.entry.End(time.Now()) {
			c.abandon()
		}
	}
}
