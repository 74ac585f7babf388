package relay

import (
	"sync"

	"github.com/cicadanotch/cicadanotch/port"
)

// window keeps the latest records of the log, without gaps, within a bound of
// bytes. Safe for concurrent use.
type window struct {
	limit int

	mu      sync.Mutex
	records []port.LogRecord
	bytes   int
	// start is the offset of the first record kept, end that of the next one
	// to come; both are 0 while the window is not placed.
	start   int64
	end     int64
	changed chan struct{}
}

func newWindow(limitBytes int) *window {
	return &window{limit: limitBytes, changed: make(chan struct{})}
}

// place sets where an unplaced window begins; it returns the end.
func (w *window) place(offset int64) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.end == 0 {
		w.start, w.end = offset, offset
	}
	return w.end
}

// reset empties the window and places it at offset.
func (w *window) reset(offset int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records, w.bytes = nil, 0
	w.start, w.end = offset, offset
}

// add appends the records that come next; others are left out.
func (w *window) add(records []port.LogRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.end
	for _, r := range records {
		if r.Offset != w.end {
			continue
		}
		w.records = append(w.records, r)
		w.bytes += len(r.Data)
		w.end++
	}
	w.trim()
	if w.end != before {
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

// trim drops the oldest records beyond the bound, but never the last one.
func (w *window) trim() {
	drop := 0
	for w.bytes > w.limit && drop < len(w.records)-1 {
		w.bytes -= len(w.records[drop].Data)
		drop++
	}
	clear(w.records[:drop])
	w.records = w.records[drop:]
	w.start += int64(drop)
}

// view is what the window holds from an offset on.
type view struct {
	records []port.LogRecord
	start   int64
	end     int64
	changed <-chan struct{}
}

// covers reports whether reading can go on at from.
func (v view) covers(from int64) bool { return v.end > 0 && from >= v.start }

// from returns at most limit records from an offset on.
func (w *window) from(offset int64, limit int) view {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := view{start: w.start, end: w.end, changed: w.changed}
	if w.end == 0 || offset < w.start || offset >= w.end {
		return v
	}
	kept := w.records[offset-w.start:]
	v.records = append([]port.LogRecord(nil), kept[:min(limit, len(kept))]...)
	return v
}

// size returns the number of records and their bytes.
func (w *window) size() (records, bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.records), w.bytes
}
