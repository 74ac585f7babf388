package port

import (
	"context"
	"errors"
	"time"
)

// Errors of Log.
var (
	// ErrLogUnavailable means that the log did not answer. An append that
	// fails with it may still have taken effect.
	ErrLogUnavailable = errors.New("log unavailable")
	// ErrLogRateLimited means that the log refused an append. It had no effect.
	ErrLogRateLimited = errors.New("log rate limit reached")
	// ErrLogExpired means that the requested offset is below that of the oldest
	// retained record. Reading can continue from Page.Oldest.
	ErrLogExpired = errors.New("log offset no longer retained")
)

// LogRecord is one record of the platform's log.
type LogRecord struct {
	// Offset is the position of the record in the log; offsets increase by one.
	Offset int64 `json:"offset"`
	// Data is the payload as appended.
	Data []byte `json:"data"`
}

// Page is the result of one Read.
type Page struct {
	Records []LogRecord `json:"records"`
	// Oldest is the smallest retained offset.
	Oldest int64 `json:"oldest"`
	// End is the offset that the next append will get.
	End int64 `json:"end"`
}

// Log is the platform's append-only log. It has no compare-and-set: an append is a
// proposal, and its position in the log decides whether it takes effect.
type Log interface {
	// Append adds data and returns its offset. After ErrLogUnavailable the record may
	// or may not have been added.
	Append(ctx context.Context, data []byte) (int64, error)
	// Read returns at most limit records, starting at offset from. If there are none,
	// it waits up to wait for one. With ErrLogExpired it returns a Page whose Oldest
	// is set.
	Read(ctx context.Context, from int64, limit int, wait time.Duration) (Page, error)
}
