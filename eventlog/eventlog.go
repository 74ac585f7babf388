// Package eventlog writes structured log lines to a file without blocking the caller:
// lines pass through a bounded queue, and lines that do not fit are dropped, counted
// and reported in the log itself.
package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the queue: it holds some seconds of the lines of a host under
	// load, about 1 MB.
	maxQueuedLines = 4096
	// maxBatchBytes is the size from which no further lines are added to one write.
	maxBatchBytes = 32 << 10
	// dropReportInterval is the minimum interval between two reports of dropped lines.
	dropReportInterval = 5 * time.Second
	// closeTimeout bounds how long Close waits if the reader of the log has stalled.
	closeTimeout = 500 * time.Millisecond
)

// Writer queues log lines and writes them in the background. Safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	pool    sync.Pool

	// mu is held for reading while a line is queued, so that lines is not closed meanwhile.
	mu     sync.RWMutex
	closed bool
}

// New returns a writer to out and starts its background goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	w.pool.New = func() any { b := make([]byte, 0, 512); return &b }
	go w.run()
	return w
}

// Write implements io.Writer; each call must be one line. It never blocks and never
// fails: a line for which the queue has no room, or that comes after Close, is dropped.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		w.dropped.Add(1)
		return len(p), nil
	}
	line := append((*w.pool.Get().(*[]byte))[:0], p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
		w.pool.Put(&line)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// run writes the queued lines until the queue is closed.
func (w *Writer) run() {
	defer close(w.done)
	buf := make([]byte, 0, maxBatchBytes)
	reported, last := int64(0), time.Now()
	for line := range w.lines {
		buf = append(buf[:0], line...)
		w.pool.Put(&line)
		buf = w.appendQueued(buf)
		if n := w.dropped.Load(); n > reported && time.Since(last) > dropReportInterval {
			buf = append(buf, droppedLine(n-reported)...)
			reported, last = n, time.Now()
		}
		_, _ = w.out.Write(buf) // a failed write of the log cannot be reported
	}
	if n := w.dropped.Load(); n > reported {
		_, _ = w.out.Write(droppedLine(n - reported)) // as above
	}
}

// appendQueued appends the lines that are queued now to a batch, without waiting for more.
func (w *Writer) appendQueued(buf []byte) []byte {
	for len(buf) < maxBatchBytes {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return buf
			}
			buf = append(buf, line...)
			w.pool.Put(&line)
		default:
			return buf
		}
	}
	return buf
}

func droppedLine(n int64) []byte {
	return fmt.Appendf(nil, `{"level":"warn","event":"log_dropped","lines":%d}`+"\n", n)
}

// Close writes the queued lines and ends the writer. It waits at most closeTimeout if
// the reader of the log has stalled.
func (w *Writer) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
	return nil
}
