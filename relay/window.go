package relay

import (
	"sync"

	"github.com/cicadanotch/cicadanotch/port"
)

// window caches the latest records of the log, without gaps, in at most maxBytes.
// It is safe for concurrent use.
type window struct {
	maxBytes int

	mu      sync.Mutex
	records []port.LogRecord
	bytes   int
	// start is the offset of the first cached record, end that of the next one to
	// be added. Both are 0 while the window has no position.
	start int64
	end   int64
	// changed is closed when end moves.
	changed chan struct{}
}

func newWindow(limitBytes int) *window {
	return &window{maxBytes: limitBytes, changed: make(chan struct{})}
}

// initAt sets the start of a window that has no position yet. It returns the end.
func (w *window) initAt(offset int64) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.end == 0 {
		w.start, w.end = offset, offset
	}
	return w.end
}

// reset empties the window and sets its start to offset.
func (w *window) reset(offset int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records, w.bytes = nil, 0
	w.start, w.end = offset, offset
}

// add appends the records that continue the window without a gap and ignores the
// others.
func (w *window) add(records []port.LogRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	oldEnd := w.end
	for _, r := range records {
		if r.Offset != w.end {
			continue
		}
		w.records = append(w.records, r)
		w.bytes += len(r.Data)
		w.end++
	}
	w.trim()
	if w.end != oldEnd {
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

// trim evicts the oldest records beyond maxBytes, but never the last record.
func (w *window) trim() {
	n := 0
	for w.bytes > w.maxBytes && n < len(w.records)-1 {
		w.bytes -= len(w.records[n].Data)
		n++
	}
	clear(w.records[:n])
	w.records = w.records[n:]
	w.start += int64(n)
}

// view is the content of a window from an offset on, and the window's bounds.
type view struct {
	records []port.LogRecord
	start   int64
	end     int64
	changed <-chan struct{}
}

// covers reports whether reading can continue at from.
func (v view) covers(from int64) bool { return v.end > 0 && from >= v.start }

// viewFrom returns a view with at most limit records from an offset on.
func (w *window) viewFrom(offset int64, limit int) view {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := view{start: w.start, end: w.end, changed: w.changed}
	if w.end == 0 || offset < w.start || offset >= w.end {
		return v
	}
	tail := w.records[offset-w.start:]
	v.records = append([]port.LogRecord(nil), tail[:min(limit, len(tail))]...)
	return v
}

// size returns the number of cached records and their size in bytes.
func (w *window) size() (records, bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.records), w.bytes
}
