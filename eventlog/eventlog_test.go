package eventlog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// stalledWriter blocks every write until released, as if the reader of the log had
// stalled.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// TestStalledReaderHoldsNobodyUp guards against callers that block because the reader of
// the log has stalled: Write must return, and lines that do not fit into the queue must
// be dropped, counted and reported.
func TestStalledReaderHoldsNobodyUp(t *testing.T) {
	is := is.New(t)
	s := &stalledWriter{release: make(chan struct{})}
	w := New(s)
	const lines = 3 * maxQueuedLines
	for i := range lines {
		_, err := fmt.Fprintf(w, "{\"n\":%d}\n", i)
		is.NoErr(err)
	}
	is.True(w.Dropped() > 0)
	close(s.release)
	is.NoErr(w.Close())
	<-w.done
	got := strings.Count(s.out.String(), `{"n":`)
	is.Equal(int64(lines), int64(got)+w.Dropped())
	is.True(strings.Contains(s.out.String(), fmt.Sprintf(`"event":"log_dropped","lines":%d}`, w.Dropped())))
}

func TestLinesKeepTheirOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := New(&out)
	want := ""
	for i := range 100 {
		line := fmt.Sprintf("%d\n", i)
		want += line
		_, err := w.Write([]byte(line))
		is.NoErr(err)
	}
	is.NoErr(w.Close())
	is.Equal(out.String(), want)
}

// TestWriteAfterClose: a process that ends may still log; such lines are dropped and counted.
func TestWriteAfterClose(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := New(&out)
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 200 {
				n, err := w.Write([]byte("line\n"))
				is.NoErr(err)
				is.Equal(n, 5)
			}
		})
	}
	is.NoErr(w.Close())
	is.NoErr(w.Close())
	writers.Wait()
	before := w.Dropped()
	_, err := w.Write([]byte("late\n"))
	is.NoErr(err)
	is.Equal(w.Dropped(), before+1)
}
