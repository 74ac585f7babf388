package port

import (
	"context"
	"errors"
	"time"
)

// Errors that a Log returns.
var (
	// ErrLogUnavailable means that the log did not answer. An append that
	// fails with it may still have taken effect.
	ErrLogUnavailable = errors.New("log unavailable")
	// ErrLogRateLimited means that the log refused an append. It had no effect.
	ErrLogRateLimited = errors.New("log rate limit reached")
	// ErrLogExpired means that the requested offset is older than the oldest
	// record kept. Page.Oldest tells where reading can go on.
	ErrLogExpired = errors.New("log offset no longer kept")
)

// LogRecord is one record of the platform's log.
type LogRecord struct {
	// Offset is the record's place in the log; offsets grow by one.
	Offset int64 `json:"offset"`
	// Data is the payload as appended.
	Data []byte `json:"data"`
}

// Page is the answer to one Read.
type Page struct {
	Records []LogRecord `json:"records"`
	// Oldest is the smallest offset still kept.
	Oldest int64 `json:"oldest"`
	// End is the offset that the next append will get.
	End int64 `json:"end"`
}

// Log is the platform's append-only log. It offers no compare-and-set: an
// append is a proposal and the order of the log decides.
type Log interface {
	// Append adds data and returns its offset. ErrLogUnavailable leaves it
	// open whether the record was added.
	Append(ctx context.Context, data []byte) (int64, error)
	// Read returns at most limit records from offset from on. With none to
	// return it waits up to wait for one. ErrLogExpired comes with a Page
	// whose Oldest is set.
	Read(ctx context.Context, from int64, limit int, wait time.Duration) (Page, error)
}
