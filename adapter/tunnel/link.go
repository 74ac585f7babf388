package tunnel

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// readBufferBytes is the size of the buffer between a connection and its frames.
const readBufferBytes = 4 << 10

// link is one end of the connection between two hosts. One goroutine runs read; the other
// methods are safe for concurrent use.
type link struct {
	raw    net.Conn
	reader *bufio.Reader
	timing timing
	// caller is set at the end that opened the tunnel.
	caller bool
	// maxIdle closes the tunnel if no byte was passed on for so long; zero for no bound.
	maxIdle time.Duration
	// ctx ends with the link.
	ctx    context.Context
	cancel context.CancelFunc
	// opened is closed when the helping host has connected; only at the caller's end.
	opened chan struct{}

	// writeMu is held while one frame is written.
	writeMu sync.Mutex
	// sent, heard and carried state whether a frame was sent, bytes were received and
	// bytes were passed on since the last tick.
	sent, heard, carried atomic.Bool
	// begun is set when the first frame was sent, at the caller's end frameOpen.
	begun atomic.Bool

	mu sync.Mutex
	// changed is signaled when a field below changes that a reader or writer waits for.
	changed *sync.Cond
	// inbound holds the received bytes; those before offset have been read.
	inbound []byte
	offset  int
	// granted is how much the other side may still send, unread the number of bytes read
	// that were not granted anew, credit how much this side may still send.
	granted, ungranted, credit int
	// passed is set when the other side has granted bytes anew, so that it has passed some on.
	passed bool
	// err is why the link ended, writeErr why a write failed.
	err, writeErr error
	// writing is set while bytes are written with a deadline.
	writing                     bool
	readDeadline, writeDeadline deadline
	ticker                      *time.Timer
	silentTicks                 int
	lastCarried                 time.Time
}

// deadline ends waiting at a time.
type deadline struct {
	timer   *time.Timer
	expired bool
}

// stop stops the timer.
func (d *deadline) stop() {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
}

func newLink(ctx context.Context, raw net.Conn, t timing, caller bool) *link {
	l := &link{raw: raw, reader: bufio.NewReaderSize(raw, readBufferBytes), timing: t, caller: caller, granted: windowBytes, credit: windowBytes}
	l.changed = sync.NewCond(&l.mu)
	l.opened = make(chan struct{})
	l.ctx, l.cancel = context.WithCancel(ctx)
	return l
}

// start begins to read frames and to send keep-alives.
func (l *link) start() {
	l.mu.Lock()
	l.lastCarried = time.Now()
	l.ticker = time.AfterFunc(l.timing.aliveInterval, l.tick)
	l.mu.Unlock()
	context.AfterFunc(l.ctx, func() { l.fail(net.ErrClosed) })
	go func() { l.fail(l.read()) }()
}

// fail ends the link. The first error counts.
func (l *link) fail(err error) {
	l.mu.Lock()
	if l.err == nil {
		if l.writeErr != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			err = l.writeErr // the deadline was set because of it
		}
		l.err = err
		if l.ticker != nil {
			l.ticker.Stop()
		}
		l.readDeadline.stop()
		l.writeDeadline.stop()
		l.changed.Broadcast()
	}
	l.mu.Unlock()
	l.cancel()
	closeNow(l.raw)
}

// closeNow closes a connection without waiting for a write in progress. The alert that
// ends a TLS connection is not needed: frames state the end.
func closeNow(conn net.Conn) {
	if tlsConn, ok := conn.(*tls.Conn); ok {
		conn = tlsConn.NetConn()
	}
	_ = conn.Close() // may be closed already
}

// abandon closes the link at this side. Unread bytes are dropped.
func (l *link) abandon() {
	l.fail(net.ErrClosed)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err, l.inbound, l.offset = net.ErrClosed, nil, 0
}

// failure returns why the link ended or is about to; nil while it is open.
func (l *link) failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.err
	}
	return l.writeErr
}

// tick runs at each aliveInterval. It ends a silent link and sends a keep-alive if nothing
// else was sent.
func (l *link) tick() {
	l.mu.Lock()
	if l.err != nil {
		l.mu.Unlock()
		return
	}
	l.silentTicks++
	if l.heard.Swap(false) {
		l.silentTicks = 0
	}
	if l.carried.Swap(false) {
		l.lastCarried = time.Now()
	}
	silent := l.silentTicks > l.timing.maxSilentIntervals
	idle := l.maxIdle > 0 && time.Since(l.lastCarried) > l.maxIdle
	l.ticker.Reset(l.timing.aliveInterval)
	l.mu.Unlock()
	switch {
	case silent:
		l.fail(ErrSilent)
	case idle:
		l.fail(errIdle)
	case l.caller && !l.begun.Load(): // a keep-alive must not be the first frame
	case !l.sent.Swap(false) && l.writeMu.TryLock():
		_, err := l.raw.Write(aliveFrame)
		l.writeMu.Unlock()
		if err != nil {
			l.writeFailed(err)
		}
	}
}

var aliveFrame = frame(frameAlive, nil)

// writeFrame writes one frame.
func (l *link) writeFrame(b []byte) error {
	l.writeMu.Lock()
	_, err := l.raw.Write(b)
	l.writeMu.Unlock()
	l.sent.Store(true)
	l.begun.Store(true)
	if err != nil {
		return l.writeFailed(err)
	}
	return nil
}

// writeFailed records that a write failed. The link ends when what has arrived was read:
// it may state why the other side closed the connection.
func (l *link) writeFailed(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writeErr == nil {
		l.writeErr = errors.Wrap(err, "write to the other end of the tunnel")
		_ = l.raw.SetReadDeadline(time.Now().Add(l.timing.aliveInterval)) // fails on a closed connection, whose read ends too
	}
	if l.err != nil {
		return l.writeError()
	}
	return l.writeErr
}

// writeError returns the error of a write on a link that has ended. The caller holds l.mu.
func (l *link) writeError() error {
	if l.err == io.EOF {
		return ErrEndpointEnded
	}
	return l.err
}

// send sends the bytes of b after its first headerBytes, which are used for the header. It
// overwrites b and returns the number of bytes that were sent.
func (l *link) send(b []byte) (int, error) {
	sent := 0
	for len(b) > headerBytes {
		n, err := l.takeCredit(min(len(b)-headerBytes, maxDataBytes))
		if err != nil {
			return sent, err
		}
		putHeader(b, frameData, n)
		err = l.writeFrame(b[:headerBytes+n])
		l.mu.Lock()
		l.writing = false
		l.mu.Unlock()
		if err != nil {
			return sent, err
		}
		l.carried.Store(true)
		sent += n
		b = b[n:] // the next header overwrites the last bytes sent
	}
	return sent, nil
}

// takeCredit waits until bytes may be sent and returns how many, at most want.
func (l *link) takeCredit(want int) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		switch {
		case l.err != nil:
			return 0, l.writeError()
		case l.writeErr != nil:
			return 0, l.writeErr
		case l.writeDeadline.expired:
			return 0, os.ErrDeadlineExceeded
		case l.credit > 0:
			n := min(want, l.credit)
			l.credit -= n
			l.writing = true
			return n, nil
		}
		l.changed.Wait()
	}
}

// receive waits for bytes and copies them to p. Bytes that arrived before the end of the
// link are returned first, unless this side has closed it.
func (l *link) receive(p []byte) (int, error) {
	l.mu.Lock()
	for {
		switch {
		case l.err == net.ErrClosed:
			l.mu.Unlock()
			return 0, net.ErrClosed
		case l.readDeadline.expired:
			l.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case len(p) == 0:
			l.mu.Unlock()
			return 0, nil
		case l.offset < len(l.inbound):
			n := copy(p, l.inbound[l.offset:])
			l.offset += n
			grant := l.grant(n)
			l.mu.Unlock()
			l.sendCredit(grant)
			return n, nil
		case l.err != nil:
			defer l.mu.Unlock()
			return 0, l.err
		}
		l.changed.Wait()
	}
}

// take waits for bytes and returns all of them. They count as unread until done is called
// with their number. spare is used for the bytes that arrive next. Bytes that arrived before
// the end of the link are dropped.
func (l *link) take(spare []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.inbound) == 0 && l.err == nil {
		l.changed.Wait()
	}
	if l.err != nil {
		return nil, l.err
	}
	p := l.inbound
	l.inbound = spare[:0]
	return p, nil
}

// done grants the other side the bytes that were passed on.
func (l *link) done(n int) {
	l.carried.Store(true)
	l.mu.Lock()
	grant := l.grant(n)
	l.mu.Unlock()
	l.sendCredit(grant)
}

// grant counts n bytes as read and returns how many are granted anew. The caller holds l.mu.
func (l *link) grant(n int) int {
	l.ungranted += n
	if l.ungranted < creditBytes || l.err != nil {
		return 0
	}
	grant := l.ungranted
	l.granted += grant
	l.ungranted = 0
	return grant
}

// sendCredit tells the other side that it may send n further bytes.
func (l *link) sendCredit(n int) {
	if n == 0 {
		return
	}
	var b [headerBytes + creditLength]byte
	putHeader(b[:], frameCredit, creditLength)
	binary.BigEndian.PutUint32(b[headerBytes:], uint32(n))
	_ = l.writeFrame(b[:]) // recorded as writeErr
}

// linger keeps the connection after the last frame until the other side has closed it, and
// then ends the link.
func (l *link) linger() {
	timer := time.NewTimer(l.timing.lingerTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.ctx.Done():
	}
	l.fail(net.ErrClosed)
}

// setDeadline sets one of the two deadlines.
func (l *link) setDeadline(d *deadline, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d.stop()
	remaining := time.Until(at)
	d.expired = !at.IsZero() && remaining <= 0
	if l.err == nil && !at.IsZero() && remaining > 0 {
		var timer *time.Timer
		timer = time.AfterFunc(remaining, func() { l.expire(d, &timer) })
		d.timer = timer
	}
	if d.expired {
		l.wakeExpired()
	}
}

// expire is called at the time of a deadline, unless another one was set meanwhile.
func (l *link) expire(d *deadline, timer **time.Timer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.timer == *timer {
		d.expired = true
		l.wakeExpired()
	}
}

// wakeExpired wakes up those who wait. A frame whose write is cut cannot be continued, so
// the link ends if one is being written. The caller holds l.mu.
func (l *link) wakeExpired() {
	l.changed.Broadcast()
	if l.writing && l.writeDeadline.expired {
		go l.fail(os.ErrDeadlineExceeded)
	}
}
