// Package relay carries the platform's log between entry hosts. A few relays
// in each availability zone read the log and keep a window of its latest
// records; the other hosts read from them by long polls and append through
// them, so that the log's load grows with zones and not with processes.
//
// Log is a port.Log that uses the relays and falls back to the log itself. A
// read carries the offset from which to go on, so that a broken connection, a
// silent relay or a change of relay loses nothing and repeats nothing.
//
// Lock order: no lock is held across a call or while another is taken.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
)

// Times and bounds of relays.
const (
	// pollWait is how long one long poll waits for records. Together with
	// replyGrace it bounds how long a silent relay or log goes unnoticed.
	pollWait   = 500 * time.Millisecond
	replyGrace = 250 * time.Millisecond
	// staleAfter is the age of the last word from the log beyond which
	// subscribers turn elsewhere.
	staleAfter = 1200 * time.Millisecond
	// idleAfter is how long a relay reads on when nobody asks.
	idleAfter = 10 * time.Second
	// retryPause is the time between two tries to read a log that fails.
	retryPause = 200 * time.Millisecond
	// readLimit is the most records of one read.
	readLimit = 500
	// DefaultWindowBytes bounds the records kept by a relay.
	DefaultWindowBytes = 2 << 20
)

// Status tells how a relay answered.
type Status string

// Answers of a relay.
const (
	StatusOK Status = "ok"
	// StatusOutside means that the offset is older than the relay's window.
	StatusOutside Status = "outside-window"
	// StatusStale means that the relay has not heard from the log lately or
	// has not yet reached the offset.
	StatusStale Status = "stale"
	// StatusUnavailable and StatusRateLimited pass on the log's errors.
	StatusUnavailable Status = "unavailable"
	StatusRateLimited Status = "rate-limited"
)

// ReadCall asks for records from an offset on.
type ReadCall struct {
	From  int64 `json:"from"`
	Limit int   `json:"limit"`
	// WaitMS is how long to wait for a record, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// ReadReply answers a ReadCall.
type ReadReply struct {
	Status Status    `json:"status"`
	Page   port.Page `json:"page"`
}

// AppendCall asks to append one envelope.
type AppendCall struct {
	Data []byte `json:"data"`
}

// AppendReply answers an AppendCall.
type AppendReply struct {
	Status Status `json:"status"`
	Offset int64  `json:"offset"`
}

// Counts are the calls that a process made and served.
type Counts struct {
	LogReads     int64 `json:"log_reads"`
	LogAppends   int64 `json:"log_appends"`
	ReadsServed  int64 `json:"reads_served"`
	Appended     int64 `json:"envelopes_appended"`
	WindowBytes  int   `json:"window_bytes"`
	WindowLength int   `json:"window_records"`
}

// Server is the relay's side: it reads the log on behalf of others while
// anyone asks.
type Server struct {
	direct port.Log
	window *window
	writer *writer
	counts counters
	// patience is for the log's replies.
	patience *patience

	mu      sync.Mutex
	running bool
	// closed forbids new goroutines.
	closed bool
	asked  time.Time
	// fresh is when the log last answered, oldest and logEnd what it said.
	fresh  time.Time
	oldest int64
	logEnd int64
	ctx    context.Context
	wg     sync.WaitGroup
}

// NewServer returns a relay that reads and appends at direct until ctx ends.
// source names the host in the batches that it appends.
func NewServer(ctx context.Context, direct port.Log, source string, windowBytes int) *Server {
	s := &Server{direct: direct, window: newWindow(windowBytes), patience: newPatience(), ctx: ctx}
	s.writer = newWriter(ctx, source, s.appendDirect)
	return s
}

// Wait returns when the relay's goroutines have ended, after its context has.
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
	c := s.counts.read()
	c.WindowLength, c.WindowBytes = records, bytes
	return c
}

// Read answers one long poll.
func (s *Server) Read(ctx context.Context, call ReadCall) ReadReply {
	s.counts.served.Add(1)
	s.demand(call.From)
	timer := time.NewTimer(min(time.Duration(call.WaitMS)*time.Millisecond, pollWait))
	defer timer.Stop()
	for {
		v := s.window.from(call.From, min(max(call.Limit, 1), readLimit))
		switch {
		case !v.covers(call.From):
			return ReadReply{Status: StatusOutside}
		case len(v.records) > 0:
			return s.reply(v)
		}
		select {
		case <-v.changed:
		case <-timer.C:
			return s.empty(call.From)
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

// empty answers a poll that had no record: fresh, or stale.
func (s *Server) empty(from int64) ReadReply {
	v := s.window.from(from, 1)
	s.mu.Lock()
	limit := staleAfter + s.patience.get() - replyGrace
	stale := time.Since(s.fresh) > limit || from > v.end
	s.mu.Unlock()
	if stale {
		return ReadReply{Status: StatusStale}
	}
	return s.reply(v)
}

// demand keeps the relay reading; the first call places the window.
func (s *Server) demand(from int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = time.Now()
	if s.running || s.closed || s.ctx.Err() != nil {
		return
	}
	s.running = true
	s.fresh = time.Now()
	s.window.reset(from)
	s.wg.Add(1)
	go s.follow()
}

// follow reads the log into the window until nobody asks.
func (s *Server) follow() {
	defer s.wg.Done()
	for s.wanted() {
		page, err := s.readDirect(s.ctx, s.window.place(1), readLimit, pollWait)
		switch {
		case errors.Is(err, port.ErrLogExpired):
			s.window.reset(page.Oldest)
			s.heard(page)
		case err != nil:
			sleep(s.ctx, retryPause)
		default:
			s.window.add(page.Records)
			s.heard(page)
		}
	}
}

// wanted reports whether to read on; when not, the next demand starts anew.
func (s *Server) wanted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = s.ctx.Err() == nil && time.Since(s.asked) < idleAfter
	return s.running
}

func (s *Server) heard(page port.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fresh = time.Now()
	s.oldest = page.Oldest
	s.logEnd = max(s.logEnd, page.End)
}

// readDirect reads the log; a call that does not come back in time is given
// up, so that the next one goes over another connection.
func (s *Server) readDirect(ctx context.Context, from int64, limit int, wait time.Duration) (port.Page, error) {
	s.counts.reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, wait+s.patience.get())
	defer cancel()
	start := time.Now()
	page, err := s.direct.Read(ctx, from, limit, wait)
	if errors.Is(err, port.ErrLogExpired) {
		s.patience.learn(time.Since(start), wait, nil)
	} else {
		s.patience.learn(time.Since(start), wait, err)
	}
	return page, err
}

func (s *Server) appendDirect(ctx context.Context, data []byte) (int64, error) {
	s.counts.appends.Add(1)
	return s.direct.Append(ctx, data)
}

// Append appends one envelope, together with others that wait.
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
