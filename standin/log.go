package standin

import (
	"bytes"
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cicadanotch/cicadanotch/port"
)

// LogOptions configures a Log.
type LogOptions struct {
	// AppendsPerSecond is the rate limit of appends; zero means 500.
	AppendsPerSecond float64
	// MaxRecords is the number of newest records that are retained; zero retains all.
	MaxRecords int
	Faults     *Faults
}

const defaultAppendsPerSecond = 500

// Log is an in-memory implementation of the platform's log service. It implements port.Log, so that
// tests can use it without a network. The first offset is 1.
type Log struct {
	opts    LogOptions
	limiter *rate.Limiter

	mu      sync.Mutex
	records []port.LogRecord
	next    int64
	changed chan struct{}
	appends int
	reads   int
}

var _ port.Log = (*Log)(nil)

// NewLog returns an empty log.
func NewLog(opts LogOptions) *Log {
	if opts.AppendsPerSecond == 0 {
		opts.AppendsPerSecond = defaultAppendsPerSecond
	}
	return &Log{
		opts:    opts,
		limiter: rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), int(opts.AppendsPerSecond)),
		next:    1,
		changed: make(chan struct{}),
	}
}

// Append implements port.Log.
func (l *Log) Append(ctx context.Context, data []byte) (int64, error) {
	fault, hit := l.opts.Faults.Check(PointAppend)
	if hit {
		switch fault.Action {
		case ActionFail:
			return 0, port.ErrLogUnavailable
		case ActionRefuse:
			return 0, port.ErrLogRateLimited
		case ActionDelay:
			if !sleep(ctx, fault.Delay) {
				return 0, port.ErrLogUnavailable
			}
		}
	}
	if !l.limiter.Allow() {
		return 0, port.ErrLogRateLimited
	}
	offset := l.appendRecord(data)
	if hit && fault.Action == ActionRepeat {
		l.appendRecord(data)
	}
	if hit && fault.Action == ActionLoseReply {
		return 0, port.ErrLogUnavailable
	}
	return offset, nil
}

func (l *Log) appendRecord(data []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := l.next
	l.next++
	l.appends++
	l.records = append(l.records, port.LogRecord{Offset: offset, Data: bytes.Clone(data)})
	if l.opts.MaxRecords > 0 && len(l.records) > l.opts.MaxRecords {
		l.records = l.records[len(l.records)-l.opts.MaxRecords:]
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return offset
}

// Read implements port.Log.
func (l *Log) Read(ctx context.Context, from int64, limit int, wait time.Duration) (port.Page, error) {
	if fault, hit := l.opts.Faults.Check(PointRead); hit {
		switch fault.Action {
		case ActionFail, ActionRefuse:
			return port.Page{}, port.ErrLogUnavailable
		case ActionDelay:
			if !sleep(ctx, fault.Delay) {
				return port.Page{}, port.ErrLogUnavailable
			}
		}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := l.page(from, limit)
		if err != nil || len(page.Records) > 0 || wait == 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, port.ErrLogUnavailable
		}
	}
}

// page returns the records from an offset and a channel that is closed at the next append.
func (l *Log) page(from int64, limit int) (port.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	oldest := l.next - int64(len(l.records))
	page := port.Page{Oldest: oldest, End: l.next}
	if from < oldest {
		return page, l.changed, port.ErrLogExpired
	}
	if from < l.next {
		records := l.records[from-oldest:]
		page.Records = records[:min(limit, len(records))]
	}
	return page, l.changed, nil
}

// Counts returns the number of appends that took effect and the number of read attempts; a waiting
// Read counts one each time it checks for records.
func (l *Log) Counts() (appends, reads int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
