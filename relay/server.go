// Package relay distributes the platform's log among entry hosts. A few relays
// in each availability zone read the log and cache a window of its latest
// records. The other hosts read from them by long polls and append through them,
// so that the load on the log grows with the number of zones and not of
// processes.
//
// Log is a port.Log that uses the relays and falls back to the log itself. Each
// read carries the offset to continue from, so that a broken connection, an
// unresponsive relay or a change of relay neither loses nor repeats records.
//
// Locking: no lock is held during a call or while another lock is acquired.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// Timeouts and limits of relays.
const (
	// longPollTimeout is how long one long poll waits for records, replyGrace how
	// long its reply may take beyond that. Their sum bounds the time in which an
	// unresponsive relay or log is noticed.
	longPollTimeout = 500 * time.Millisecond
	replyGrace      = 250 * time.Millisecond
	// maxStaleness is the maximum time since the log's last reply. Beyond it a
	// relay reports that it is stale, and its readers use another source.
	maxStaleness = 1200 * time.Millisecond
	// idleTimeout is how long a relay continues to read the log after a process
	// last read from it.
	idleTimeout = 10 * time.Second
	// retryInterval is the time between two attempts to read a log that fails.
	retryInterval = 200 * time.Millisecond
	// maxReadRecords is the maximum number of records in one read.
	maxReadRecords = 500
	// DefaultWindowBytes is the default size of the records cached by a relay.
	DefaultWindowBytes = 2 << 20
)

// Status is the result of a call to a relay.
type Status string

// Results of a call to a relay.
const (
	StatusOK Status = "ok"
	// StatusOutside means that the offset is before the start of the relay's
	// window, or that the window has no position yet.
	StatusOutside Status = "outside-window"
	// StatusStale means that the log has not replied to the relay for more than
	// maxStaleness, or that the relay has not yet reached the offset.
	StatusStale Status = "stale"
	// StatusUnavailable and StatusRateLimited stand for the log's errors.
	StatusUnavailable Status = "unavailable"
	StatusRateLimited Status = "rate-limited"
)

// ReadCall requests records from an offset on.
type ReadCall struct {
	From  int64 `json:"from"`
	Limit int   `json:"limit"`
	// WaitMS is the time to wait for a record, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// ReadReply is the reply to a ReadCall.
type ReadReply struct {
	Status Status    `json:"status"`
	Page   port.Page `json:"page"`
}

// AppendCall requests to append one envelope.
type AppendCall struct {
	Data []byte `json:"data"`
}

// AppendReply is the reply to an AppendCall.
type AppendReply struct {
	Status Status `json:"status"`
	Offset int64  `json:"offset"`
}

// Counts are the numbers of calls that a process made and served, and the size of
// its window.
type Counts struct {
	LogReads     int64 `json:"log_reads"`
	LogAppends   int64 `json:"log_appends"`
	ReadsServed  int64 `json:"reads_served"`
	Appended     int64 `json:"envelopes_appended"`
	WindowBytes  int   `json:"window_bytes"`
	WindowLength int   `json:"window_records"`
}

// Server is a relay. It reads the log on behalf of processes as long as one of
// them reads from it.
type Server struct {
	direct port.Log
	window *window
	writer *writer
	counts counters
	// logGrace is the grace period for replies of the log.
	logGrace *adaptiveGrace

	mu      sync.Mutex
	running bool
	// closed is set once no goroutine may be started.
	closed     bool
	lastReadAt time.Time
	// logReplyAt is the time of the log's last reply, oldest and logEnd are the
	// bounds that it stated.
	logReplyAt time.Time
	oldest     int64
	logEnd     int64
	ctx        context.Context
	wg         sync.WaitGroup
}

// NewServer returns a relay that reads from and appends to direct until ctx ends.
// source is the host named in the batches that it appends.
func NewServer(ctx context.Context, direct port.Log, source string, windowBytes int) *Server {
	s := &Server{direct: direct, window: newWindow(windowBytes), logGrace: newAdaptiveGrace(), ctx: ctx}
	s.writer = newWriter(ctx, source, s.appendDirect)
	return s
}

// Wait waits for the relay's goroutines to end. The relay's context must have
// ended before.
func (s *Server) Wait() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.wg.Wait()
	s.writer.wait()
}

// Counts returns the relay's counts.
func (s *Server) Counts() Counts {
	records, bytes := s.window.size()
	c := s.counts.snapshot()
	c.WindowLength, c.WindowBytes = records, bytes
	return c
}

// Read serves one long poll.
func (s *Server) Read(ctx context.Context, call ReadCall) ReadReply {
	s.counts.served.Add(1)
	s.ensureFollowing(call.From)
	timer := time.NewTimer(min(time.Duration(call.WaitMS)*time.Millisecond, longPollTimeout))
	defer timer.Stop()
	for {
		v := s.window.viewFrom(call.From, min(max(call.Limit, 1), maxReadRecords))
		switch {
		case !v.covers(call.From):
			return ReadReply{Status: StatusOutside}
		case len(v.records) > 0:
			return s.reply(v)
		}
		select {
		case <-v.changed:
		case <-timer.C:
			return s.replyEmpty(call.From)
		case <-ctx.Done():
			return ReadReply{Status: StatusStale}
		}
	}
}

func (s *Server) reply(v view) ReadReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := port.Page{Records: v.records, Oldest: s.oldest, End: v.end}
	if len(v.records) > 0 {
		page.End = max(v.end, s.logEnd)
	}
	return ReadReply{Status: StatusOK, Page: page}
}

// replyEmpty returns the reply to a poll without records: StatusOK, or StatusStale
// if the relay is too far behind. A longer grace period for the log raises the
// staleness limit by as much.
func (s *Server) replyEmpty(from int64) ReadReply {
	v := s.window.viewFrom(from, 1)
	limit := maxStaleness + s.logGrace.get() - replyGrace
	s.mu.Lock()
	stale := time.Since(s.logReplyAt) > limit || from > v.end
	s.mu.Unlock()
	if stale {
		return ReadReply{Status: StatusStale}
	}
	return s.reply(v)
}

// ensureFollowing starts reading the log into the window, from offset from, unless
// the relay is reading already.
func (s *Server) ensureFollowing(from int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReadAt = time.Now()
	if s.running || s.closed || s.ctx.Err() != nil {
		return
	}
	s.running = true
	s.logReplyAt = time.Now()
	s.window.reset(from)
	s.wg.Add(1)
	go s.follow()
}

// follow reads the log into the window until no host has read from the relay for
// idleTimeout.
func (s *Server) follow() {
	defer s.wg.Done()
	for s.continueFollowing() {
		page, err := s.readDirect(s.ctx, s.window.initAt(1), maxReadRecords, longPollTimeout)
		switch {
		case errors.Is(err, port.ErrLogExpired):
			s.window.reset(page.Oldest)
			s.recordLogReply(page)
		case err != nil:
			sleep(s.ctx, retryInterval)
		default:
			s.window.add(page.Records)
			s.recordLogReply(page)
		}
	}
}

// continueFollowing reports whether to continue reading the log. If not, the next
// ensureFollowing starts again.
func (s *Server) continueFollowing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = s.ctx.Err() == nil && time.Since(s.lastReadAt) < idleTimeout
	return s.running
}

func (s *Server) recordLogReply(page port.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logReplyAt = time.Now()
	s.oldest = page.Oldest
	s.logEnd = max(s.logEnd, page.End)
}

// readDirect reads from the log. A call that does not return in time is canceled,
// so that the next one uses another connection.
func (s *Server) readDirect(ctx context.Context, from int64, limit int, wait time.Duration) (port.Page, error) {
	s.counts.reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, wait+s.logGrace.get())
	defer cancel()
	start := time.Now()
	page, err := s.direct.Read(ctx, from, limit, wait)
	if errors.Is(err, port.ErrLogExpired) {
		s.logGrace.observe(time.Since(start), wait, nil)
	} else {
		s.logGrace.observe(time.Since(start), wait, err)
	}
	return page, err
}

func (s *Server) appendDirect(ctx context.Context, data []byte) (int64, error) {
	s.counts.appends.Add(1)
	return s.direct.Append(ctx, data)
}

// Append appends one envelope, in a batch with others that are queued.
func (s *Server) Append(ctx context.Context, call AppendCall) AppendReply {
	s.counts.appended.Add(1)
	offset, err := s.writer.append(ctx, call.Data)
	return AppendReply{Status: statusOf(err), Offset: offset}
}

func statusOf(err error) Status {
	switch {
	case err == nil:
		return StatusOK
	case errors.Is(err, port.ErrLogRateLimited):
		return StatusRateLimited
	}
	return StatusUnavailable
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
