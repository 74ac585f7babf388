package daemon

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"github.com/cicadanotch/cicadanotch/intake"
)

const (
	// lingerTimeout bounds how long a connection lingers without progress: without that its caller takes bytes of the
	// answer, or after it has taken all. Callers have as long to take bytes as while the answer is written.
	lingerTimeout = writeTimeout
	// lingerCheckInterval is the interval of checks of what the caller has taken.
	lingerCheckInterval = 50 * time.Millisecond
	// maxLingerBytes bounds what is read from a lingering connection. It is above the bodies that a configuration
	// allows: a caller may read its answer only when it has sent them.
	maxLingerBytes = 16 << 20
	// maxUnhandledBytes bounds it where the last head or body was refused before it was read. A caller within the limits
	// sends no more of a head.
	maxUnhandledBytes = 64 << 10
	// lingerReadBytes is the size of one such read.
	lingerReadBytes = 2 << 10
	// maxLingering bounds the lingering connections of a process, which has 4,100 descriptors. The oldest give way, those
	// first whose callers have taken their answers.
	maxLingering = 512
)

// Reasons why a lingering connection was closed before its caller did so.
const (
	lingerEndTimeout = "timeout"
	lingerEndBytes   = "bytes"
	lingerEndCount   = "count"
	lingerEndProcess = "process"
)

// lingerReport tells how a connection was closed that its caller did not close.
type lingerReport struct {
	reason string
	// from is the caller's address, request the id of its last request; empty if none is known.
	from, request string
	// unread and untaken are in bytes: those received that nobody has read, and those of answers that the caller's kernel
	// has not confirmed; -1 if unknown. discarded are the bytes read since the end.
	unread, untaken int
	discarded       int64
	// after is the time since the end of the last answer was sent.
	after time.Duration
}

// logLost writes a report to a log, unless that is nil.
func logLost(logger *log.Logger, r lingerReport) {
	if logger == nil {
		return
	}
	logger.Warn().Str("event", "connection").Str("why", r.reason).Str("from", r.from).Str("request", r.request).Int("unread", r.unread).
		Int("untaken", r.untaken).Int64("discarded", r.discarded).Dur("after", r.after).Msg("")
}

// halfCloser is a connection of which one side can be closed, as *net.TCPConn.
type halfCloser interface {
	net.Conn
	CloseWrite() error
	SetLinger(seconds int) error
	SyscallConn() (syscall.RawConn, error)
}

// lingerListener accepts connections that linger when they are closed, as far as there is room for them.
type lingerListener struct {
	net.Listener
	lingering *lingering
}

// Accept implements net.Listener.
func (l lingerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		c, ok := conn.(halfCloser)
		if !ok || err != nil {
			return conn, err
		}
		linger := &lingerConn{halfCloser: c, lingering: l.lingering}
		if l.lingering.intake.admit(linger) {
			return linger, nil
		}
		_ = conn.Close() // nothing was read: its caller may try elsewhere
	}
}

// lingerConn is a connection whose Close ends the answer, and then reads and drops what the caller goes on to send until
// the caller closes it. The kernel resets a connection that is closed with unread bytes, or that receives bytes later, and
// drops what the caller has not taken of the answer.
type lingerConn struct {
	halfCloser
	lingering *lingering
	// entry is nil if connections are not bounded.
	entry *intake.Conn
	// unhandled is set where the connection would end in a head, or in a body that was refused before it was read.
	unhandled atomic.Bool
	// muted is set when nothing more may be sent: net/http answers 400 to a head that it can't read to its end, and callers
	// do not try again after that.
	muted atomic.Bool
	// abandoned is set when the connection has given way to others.
	abandoned atomic.Bool
	// idle is set while the server awaits a request, and no byte of one has come; awaits until its head is complete.
	// idleDeadlineDue is set if the next deadline is that for the time without a request.
	idle, awaits, idleDeadlineDue atomic.Bool
	// headBytes and headLines are what was read of the present head, lastBytes and lastLines what the last read brought. Only
	// the server's goroutine uses them.
	headBytes, headLines, lastBytes, lastLines int
	// headCounted is set if the present head is in the account.
	headCounted bool
	// request is the id of the last request; nil if none is known.
	request atomic.Pointer[string]
	// reading is held during each read, so that the server's last read ends before those of linger.
	reading sync.Mutex

	mu     sync.Mutex // guards closed and reset, and is held while deadlines are set
	closed bool
	reset  bool
}

// Read implements net.Conn. It returns net.ErrClosed after Close.
func (c *lingerConn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.isClosed() {
		return 0, c.closedError("read")
	}
	n, err := c.halfCloser.Read(p)
	if n > 0 {
		c.idle.Store(false)
		switch {
		case !c.awaits.Load():
			c.noteBody(p[:n])
		case !c.readHead(p[:n]):
			c.muted.Store(true)
			return 0, c.closedError("read")
		}
	}
	if err != nil && c.awaits.Load() {
		c.muted.Store(true)
	}
	if err != nil && c.isClosed() {
		err = c.closedError("read")
	}
	return n, err
}

// Write implements net.Conn. It fails if nothing more may be sent.
func (c *lingerConn) Write(p []byte) (int, error) {
	if c.muted.Load() {
		return 0, c.closedError("write")
	}
	if c.entry != nil {
		c.entry.BeginWrite(time.Now())
		defer func() { c.entry.EndWrite(time.Now()) }()
	}
	return c.halfCloser.Write(p)
}

// SetLinger sets how the kernel ends the connection. With 0 seconds Close resets it.
func (c *lingerConn) SetLinger(seconds int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset = seconds == 0
	return c.halfCloser.SetLinger(seconds)
}

// SetRequest sets the id of the last request on the connection.
func (c *lingerConn) SetRequest(id string) { c.request.Store(&id) }

func (c *lingerConn) lastRequest() string {
	if id := c.request.Load(); id != nil {
		return *id
	}
	return ""
}

// SetDeadline implements net.Conn.
func (c *lingerConn) SetDeadline(t time.Time) error { return c.set(c.halfCloser.SetDeadline, t) }

// SetReadDeadline implements net.Conn.
func (c *lingerConn) SetReadDeadline(t time.Time) error {
	return c.set(c.halfCloser.SetReadDeadline, c.headDeadline(t))
}

// SetWriteDeadline implements net.Conn.
func (c *lingerConn) SetWriteDeadline(t time.Time) error {
	return c.set(c.halfCloser.SetWriteDeadline, t)
}

func (c *lingerConn) set(deadline func(time.Time) error, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return c.closedError("set")
	}
	return deadline(t)
}

func (c *lingerConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed || c.abandoned.Load()
}

func (c *lingerConn) closedError(op string) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: net.ErrClosed}
}

// Close implements net.Conn. The caller receives the end of the answer at once, and the connection is closed later, except
// if it is to be reset, or is idle with nothing outstanding. It returns net.ErrClosed after the first call.
func (c *lingerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return c.closedError("close")
	}
	c.closed = true
	if c.reset || c.abandoned.Load() || c.idle.Load() && c.nothingOutstanding() {
		return c.closeAtOnce()
	}
	_ = c.halfCloser.SetDeadline(time.Unix(1, 0)) // ends reads and writes in progress; fails if the connection has failed
	if c.CloseWrite() != nil {
		return c.closeAtOnce() // the caller has reset it
	}
	if c.entry != nil && !c.entry.End(time.Now()) {
		return c.closeAtOnce() // there is no room for what the caller goes on to send
	}
	c.lingering.add(c)
	return nil
}

func (c *lingerConn) closeAtOnce() error {
	if c.entry != nil {
		c.entry.Close()
	}
	return c.halfCloser.Close()
}

// nothingOutstanding reports whether the caller has taken all that was sent, and nothing is unread.
func (c *lingerConn) nothingOutstanding() bool {
	unread, untaken := socketQueues(c.halfCloser)
	return unread == 0 && untaken == 0
}

// lingering are the connections whose answers have ended and that their callers have not closed.
type lingering struct {
	mu    sync.Mutex
	conns list.List // of *lingeringConn, the oldest first
	// report is called for each connection that its caller did not close; nil for none.
	report func(lingerReport)
	// intake bounds the connections from their begin on; nil for no bounds.
	intake *callerIntake
}

// lingeringConn is a connection in lingering.
type lingeringConn struct {
	*lingerConn
	began   time.Time
	element *list.Element
	// taken is set while its caller is known to have taken all of the answer.
	taken atomic.Bool
	// ended is the reason for which others than its own goroutine have closed it, empty for none; done is closed then.
	ended string
	done  chan struct{}
}

func (l *lingering) add(c *lingerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns.Len() >= maxLingering {
		l.end(l.dispensable(), lingerEndCount)
	}
	conn := &lingeringConn{lingerConn: c, began: time.Now(), done: make(chan struct{})}
	conn.element = l.conns.PushBack(conn)
	go l.linger(conn)
}

// dispensable returns the oldest connection whose caller has taken the answer, or else the oldest. The caller holds l.mu.
func (l *lingering) dispensable() *lingeringConn {
	for e := l.conns.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*lingeringConn); c.taken.Load() {
			return c
		}
	}
	return l.conns.Front().Value.(*lingeringConn)
}

// end closes a connection before its own goroutine does. The caller holds l.mu.
func (l *lingering) end(c *lingeringConn, reason string) {
	l.conns.Remove(c.element)
	c.ended = reason
	close(c.done)
	l.close(c, reason, 0)
}

// close closes a connection and reports it if bytes are lost by that, or a bound was reached. It is called once.
func (l *lingering) close(c *lingeringConn, reason string, discarded int64) {
	if reason != "" && l.report != nil {
		unread, untaken := c.queues()
		l.report(lingerReport{reason, c.RemoteAddr().String(), c.lastRequest(), unread, untaken, discarded, time.Since(c.began)})
	}
	_ = c.closeAtOnce() // it may have failed before
}

// give closes a connection that gives way to others. It reports false if it does not linger yet.
func (l *lingering) give(conn *lingerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.conns.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*lingeringConn); c.lingerConn == conn {
			l.end(c, lingerEndCount)
			return true
		}
	}
	return false
}

// linger drops what the caller sends until it closes the connection or a bound is reached.
func (l *lingering) linger(c *lingeringConn) {
	c.reading.Lock() // held by the server's last read, which has been ended
	reason, discarded := c.discard()
	c.reading.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.ended != "" {
		return
	}
	l.conns.Remove(c.element)
	l.close(c, reason, discarded)
}

func (c *lingeringConn) setTaken(taken bool) {
	if c.taken.Swap(taken) != taken && taken {
		c.enter(intake.PhaseTaken)
	}
}

// queues returns what socketQueues does, without the end of the sent bytes.
func (c *lingeringConn) queues() (unread, untaken int) {
	unread, untaken = socketQueues(c.halfCloser)
	if untaken > 0 {
		untaken--
	}
	return unread, untaken
}

// discard reads until the caller closes the connection, and returns no reason, or until a bound is reached.
func (c *lingeringConn) discard() (reason string, discarded int64) {
	_, untaken := c.queues()
	progress, limit := time.Now(), int64(maxLingerBytes)
	if c.unhandled.Load() {
		limit = maxUnhandledBytes
	}
	buf := make([]byte, lingerReadBytes)
	for {
		now := time.Now()
		_, left := c.queues()
		c.setTaken(left == 0)
		if left != untaken {
			untaken, progress = left, now
		}
		if now.Sub(progress) >= lingerTimeout {
			return lingerEndTimeout, discarded
		}
		if discarded >= limit {
			if c.unhandled.Load() {
				c.hold(progress.Add(lingerTimeout))
				return lingerEndTimeout, discarded
			}
			if untaken <= 0 {
				return lingerEndBytes, discarded
			}
			time.Sleep(lingerCheckInterval) // what the caller sends waits at its side
			continue
		}
		until := progress.Add(lingerTimeout)
		if untaken > 0 {
			until = now.Add(lingerCheckInterval)
		}
		if c.halfCloser.SetReadDeadline(until) != nil {
			return "", discarded // it was closed
		}
		for {
			n, err := c.halfCloser.Read(buf)
			discarded += int64(n)
			if err, ok := err.(net.Error); ok && err.Timeout() {
				break
			}
			if err != nil {
				return "", discarded // by the caller, or by end
			}
			if discarded >= limit || time.Now().After(until) {
				break
			}
		}
	}
}

// hold keeps the connection until a time, with what its caller sends unread: one that sends without end is held up at its side
// and does not connect again at once.
func (c *lingeringConn) hold(until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-c.done:
	case <-timer.C:
	}
}

// untaken returns the number of lingering connections whose callers have not taken their answers. Those of which the
// kernel does not tell it count until their callers close them.
func (l *lingering) untaken() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for e := l.conns.Front(); e != nil; e = e.Next() {
		c := e.Value.(*lingeringConn)
		if c.taken.Load() {
			continue // nothing is sent any longer
		}
		if _, left := c.queues(); left != 0 {
			n++
		}
	}
	return n
}

// await waits until no answer is untaken, at most until a time.
func (l *lingering) await(until time.Time) {
	for l.untaken() > 0 && time.Now().Before(until) {
		time.Sleep(min(lingerCheckInterval/5, time.Until(until)))
	}
}

// closeAll reports the lingering connections whose answers are not taken, and closes all.
func (l *lingering) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.conns.Front(); e != nil; e = l.conns.Front() {
		c := e.Value.(*lingeringConn)
		reason := ""
		if unread, untaken := c.queues(); unread != 0 || untaken != 0 {
			reason = lingerEndProcess
		}
		l.conns.Remove(e)
		c.ended = lingerEndProcess
		close(c.done)
		l.close(c, reason, 0)
	}
}
