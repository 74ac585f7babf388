package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
)

// Limits of batches and appends.
const (
	maxBatchEnvelopes = 128
	maxBatchBytes     = 256 << 10
	// maxQueuedEnvelopes is the maximum number of envelopes waiting for a batch.
	maxQueuedEnvelopes = 4096
	// maxSenders is the maximum number of appends in flight. It is above 1 so
	// that an append that hangs does not block the others.
	maxSenders = 2
	// sendTimeout is the timeout of one append to the log.
	sendTimeout = 3 * time.Second
)

// pending is an envelope that is to be appended.
type pending struct {
	data []byte
	// unbatched is set for data that does not parse as an envelope, which cannot
	// be part of a batch.
	unbatched bool
	done      chan appendResult
}

type appendResult struct {
	offset int64
	err    error
}

// writer collects envelopes into batches: envelopes that arrive while maxSenders
// appends are in flight wait for the next batch. They keep their record ids.
type writer struct {
	ctx    context.Context
	source string
	send   func(ctx context.Context, data []byte) (int64, error)

	mu      sync.Mutex
	queue   []*pending
	senders int
	// closed is set once no sender may be started.
	closed bool
	wg     sync.WaitGroup
}

func newWriter(ctx context.Context, source string, send func(context.Context, []byte) (int64, error)) *writer {
	return &writer{ctx: ctx, source: source, send: send}
}

// wait waits for the senders to end. The writer's context must have ended before.
func (w *writer) wait() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.wg.Wait()
}

// append queues an envelope and returns when it is in the log or the append has
// failed.
func (w *writer) append(ctx context.Context, data []byte) (int64, error) {
	_, malformed := record.Decode(data)
	p := &pending{data: data, unbatched: malformed != nil, done: make(chan appendResult, 1)}
	if err := w.enqueue(p); err != nil {
		return 0, err
	}
	select {
	case got := <-p.done:
		return got.offset, got.err
	case <-ctx.Done():
		return 0, errors.Wrap(port.ErrLogUnavailable, ctx.Err().Error())
	}
}

func (w *writer) enqueue(p *pending) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.ctx.Err() != nil {
		return port.ErrLogUnavailable
	}
	if len(w.queue) >= maxQueuedEnvelopes {
		return port.ErrLogRateLimited
	}
	w.queue = append(w.queue, p)
	if w.senders < maxSenders {
		w.senders++
		w.wg.Add(1)
		go w.sendBatches()
	}
	return nil
}

// sendBatches sends batches until the queue is empty.
func (w *writer) sendBatches() {
	defer w.wg.Done()
	for {
		batch := w.nextBatch()
		if len(batch) == 0 {
			return
		}
		offset, err := w.sendBatch(batch)
		for _, p := range batch {
			p.done <- appendResult{offset, err}
		}
	}
}

// nextBatch removes the next batch from the queue.
func (w *writer) nextBatch() []*pending {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, bytes := 0, 0
	for n < len(w.queue) && n < maxBatchEnvelopes {
		next := w.queue[n]
		bytes += len(next.data)
		if n > 0 && (next.unbatched || bytes > maxBatchBytes) {
			break
		}
		n++
		if next.unbatched {
			break
		}
	}
	if n == 0 {
		w.senders--
		return nil
	}
	batch := w.queue[:n:n]
	w.queue = w.queue[n:]
	return batch
}

func (w *writer) sendBatch(batch []*pending) (int64, error) {
	data, err := w.encode(batch)
	if err != nil {
		return 0, errors.Wrap(port.ErrLogUnavailable, err.Error())
	}
	ctx, cancel := context.WithTimeout(w.ctx, sendTimeout)
	defer cancel()
	return w.send(ctx, data)
}

// encode returns the data to append: a single envelope unchanged, several as one
// batch. An envelope that is a batch itself is replaced by its parts.
func (w *writer) encode(batch []*pending) ([]byte, error) {
	if len(batch) == 1 {
		return batch[0].data, nil
	}
	var parts []record.Envelope
	for _, p := range batch {
		envelopes, err := record.Decode(p.data)
		if err != nil {
			return nil, err
		}
		parts = append(parts, envelopes...)
	}
	e, err := record.NewBatch(w.source, parts)
	if err != nil {
		return nil, err
	}
	return e.Encode()
}
