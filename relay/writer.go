package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
)

// Bounds of a batch.
const (
	maxBatchEnvelopes = 128
	maxBatchBytes     = 256 << 10
	// maxQueued bounds the envelopes that wait for a batch.
	maxQueued = 4096
	// maxSenders bounds the appends on their way, so that one that hangs does
	// not hold up the rest.
	maxSenders = 2
	// sendTimeout bounds one append.
	sendTimeout = 3 * time.Second
)

// pending is one envelope on its way into the log.
type pending struct {
	data []byte
	// alone is set for data that cannot be part of a batch.
	alone bool
	done  chan appended
}

type appended struct {
	offset int64
	err    error
}

// writer gathers envelopes into batches: while appends are on their way, those
// that arrive wait for the next one. The envelopes keep their record ids.
type writer struct {
	ctx    context.Context
	source string
	send   func(ctx context.Context, data []byte) (int64, error)

	mu      sync.Mutex
	queue   []*pending
	senders int
	// closed forbids new senders.
	closed bool
	wg     sync.WaitGroup
}

func newWriter(ctx context.Context, source string, send func(context.Context, []byte) (int64, error)) *writer {
	return &writer{ctx: ctx, source: source, send: send}
}

// wait returns when the senders have ended; the context has ended before.
func (w *writer) wait() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.wg.Wait()
}

// append returns when the envelope stands in the log or the append failed.
func (w *writer) append(ctx context.Context, data []byte) (int64, error) {
	_, malformed := record.Decode(data)
	p := &pending{data: data, alone: malformed != nil, done: make(chan appended, 1)}
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
	if len(w.queue) >= maxQueued {
		return port.ErrLogRateLimited
	}
	w.queue = append(w.queue, p)
	if w.senders < maxSenders {
		w.senders++
		w.wg.Add(1)
		go w.drain()
	}
	return nil
}

// drain sends batches until none waits.
func (w *writer) drain() {
	defer w.wg.Done()
	for {
		batch := w.take()
		if len(batch) == 0 {
			return
		}
		offset, err := w.sendBatch(batch)
		for _, p := range batch {
			p.done <- appended{offset, err}
		}
	}
}

// take removes the next batch from the queue.
func (w *writer) take() []*pending {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, bytes := 0, 0
	for n < len(w.queue) && n < maxBatchEnvelopes {
		next := w.queue[n]
		bytes += len(next.data)
		if n > 0 && (next.alone || bytes > maxBatchBytes) {
			break
		}
		n++
		if next.alone {
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

// encode returns the bytes to append: a lone envelope as it came, several as
// one batch. An envelope that is a batch gives its parts.
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
