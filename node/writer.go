package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
)

// Errors of appends. Their texts are part of the problem details that callers receive.
var (
	// errNotAppended means that a record was never sent and cannot reach the log.
	errNotAppended = errors.New("record was not appended")
	// errAppendUncertain means that a record was sent but not confirmed; it may still
	// reach the log.
	errAppendUncertain = errors.New("record may have been appended")
	// errWriterFull means that too many records are pending; this one was not queued.
	errWriterFull = errors.New("too many records wait to be appended")
)

// appendClass is the priority of a pending record.
type appendClass int

// Append classes, the highest priority first.
const (
	classClaim appendClass = iota
	classControl
	classBookkeeping
	appendClassCount
)

const (
	// maxPendingRecords bounds the pending records of all classes together.
	maxPendingRecords = 8192
	// maxBatchRecords and maxBatchBytes bound one append.
	maxBatchRecords = 128
	maxBatchBytes   = 512 << 10
	// appendsPerSecond and appendBurst limit this host to its share of the log's rate
	// limit: several hundred appends per second for nine hosts.
	appendsPerSecond = 40
	appendBurst      = 40
	// minAppendBackoff and maxAppendBackoff bound the delay between two tries of an
	// append.
	minAppendBackoff = 20 * time.Millisecond
	maxAppendBackoff = time.Second
)

// pendingAppend is a record that is not confirmed to be in the log yet.
type pendingAppend struct {
	envelope record.Envelope
	class    appendClass
	// sent is set before the first append that carries the record.
	sent bool
	// withdrawn is set when nothing waits for the record any more.
	withdrawn bool
	// done is closed, and confirmed is set, when the record is known to be in the log.
	done      chan struct{}
	confirmed bool
}

// writer appends all records of the node to the log. One append is in flight at a
// time; records submitted in the meantime are batched into the next one. An append
// that is not confirmed is retried with the same bytes until its records have been
// read back.
type writer struct {
	node    *Node
	limiter *rate.Limiter

	mu      sync.Mutex
	queues  [appendClassCount][]*pendingAppend
	byID    map[string]*pendingAppend
	arrived chan struct{}
}

func newWriter(n *Node) *writer {
	return &writer{
		node:    n,
		limiter: rate.NewLimiter(appendsPerSecond, appendBurst),
		byID:    map[string]*pendingAppend{},
		arrived: make(chan struct{}, 1),
	}
}

// append appends a record to the log. It returns nil once the log has confirmed the
// record or it was read back, errNotAppended if it cannot reach the log any more, and
// errAppendUncertain if ctx ended and it still may.
func (n *Node) append(ctx context.Context, class appendClass, e record.Envelope) error {
	p, err := n.writer.submit(class, e)
	if err != nil {
		return err
	}
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return n.writer.withdraw(p)
	}
}

// submit queues a record for the next append; errNotAppended if the queue is full.
func (w *writer) submit(class appendClass, e record.Envelope) (*pendingAppend, error) {
	e.At = time.Now().UnixMilli()
	p := &pendingAppend{envelope: e, class: class, done: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.byID) >= maxPendingRecords {
		return nil, errors.WithMessage(errNotAppended, errWriterFull.Error())
	}
	w.byID[e.ID] = p
	w.queues[class] = append(w.queues[class], p)
	select {
	case w.arrived <- struct{}{}:
	default:
	}
	return p, nil
}

// withdraw ends the wait for a record. It returns nil if the record is in the log,
// errAppendUncertain if it was sent, and errNotAppended if it will not be sent.
func (w *writer) withdraw(p *pendingAppend) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case p.confirmed:
		return nil
	case p.sent:
		p.withdrawn = true
		return errAppendUncertain
	}
	p.withdrawn = true
	delete(w.byID, p.envelope.ID)
	return errNotAppended
}

// confirm ends the wait for records that are in the log.
func (w *writer) confirm(ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		p, ok := w.byID[id]
		if !ok {
			continue
		}
		p.confirmed = true
		close(p.done)
		delete(w.byID, id)
		w.node.metrics.appended.Inc()
	}
}

// run appends pending records until the node stops.
func (w *writer) run() error {
	ctx := w.node.context()
	for ctx.Err() == nil {
		batch := w.nextBatch()
		if len(batch) == 0 {
			select {
			case <-w.arrived:
			case <-ctx.Done():
			}
			continue
		}
		w.write(ctx, batch)
	}
	return nil
}

// nextBatch removes the records of the next append from the queues, in the order of
// their classes, and marks them as sent. A record larger than maxBatchBytes
// is a batch of its own.
func (w *writer) nextBatch() []*pendingAppend {
	w.mu.Lock()
	defer w.mu.Unlock()
	var batch []*pendingAppend
	size := 0
	for class := range w.queues {
		queue := w.queues[class]
		for len(queue) > 0 && len(batch) < maxBatchRecords {
			p := queue[0]
			if len(batch) > 0 && size+len(p.envelope.Body) > maxBatchBytes {
				break
			}
			queue = queue[1:]
			if p.withdrawn || p.confirmed {
				continue
			}
			p.sent = true
			size += len(p.envelope.Body)
			batch = append(batch, p)
		}
		w.queues[class] = queue
	}
	return batch
}

// write appends a batch, with retries, until all its records are in the log or
// nothing waits for them any more.
func (w *writer) write(ctx context.Context, batch []*pendingAppend) {
	data, err := w.encode(batch)
	if err != nil {
		w.node.log.Error().Err(err).Msg("records not appended")
		w.drop(batch)
		return
	}
	for wait := minAppendBackoff; w.hasWaiters(batch); wait = min(2*wait, maxAppendBackoff) {
		if w.limiter.Wait(ctx) != nil {
			return
		}
		_, err := w.node.relays.log.Append(ctx, data)
		w.node.metrics.appends.WithLabelValues(appendResult(err)).Inc()
		if err == nil {
			w.confirm(idsOf(batch))
			return
		}
		pause(ctx, wait/2+rand.N(wait/2))
		if ctx.Err() != nil {
			return
		}
	}
	w.drop(batch)
}

// encode returns the bytes to append for a batch.
func (w *writer) encode(batch []*pendingAppend) ([]byte, error) {
	if len(batch) == 1 {
		return batch[0].envelope.Encode()
	}
	envelopes := make([]record.Envelope, 0, len(batch))
	for _, p := range batch {
		envelopes = append(envelopes, p.envelope)
	}
	e, err := record.NewBatch(w.node.settings.Host, envelopes)
	if err != nil {
		return nil, err
	}
	return e.Encode()
}

func idsOf(batch []*pendingAppend) []string {
	ids := make([]string, 0, len(batch))
	for _, p := range batch {
		ids = append(ids, p.envelope.ID)
	}
	return ids
}

// appendResult returns the metric label for the result of an append.
func appendResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, port.ErrLogRateLimited):
		return "limited"
	}
	return "unavailable"
}

// hasWaiters reports whether any record of the batch is still waited for.
func (w *writer) hasWaiters(batch []*pendingAppend) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range batch {
		if !p.confirmed && !p.withdrawn {
			return true
		}
	}
	return false
}

// drop removes the records of a batch that is not retried.
func (w *writer) drop(batch []*pendingAppend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range batch {
		delete(w.byID, p.envelope.ID)
	}
}
