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

// Errors of appends.
var (
	// errNotAppended means that a record was never sent: it cannot land.
	errNotAppended = errors.New("record was not appended")
	// errAppendUncertain means that a record was sent and not confirmed: it may
	// land later.
	errAppendUncertain = errors.New("record may have been appended")
	// errWriterFull means that too many records wait; this one was not queued.
	errWriterFull = errors.New("too many records wait to be appended")
)

// appendClass orders records that wait for an append.
type appendClass int

// Classes of records, the first goes first.
const (
	classOrder appendClass = iota
	classControl
	classBookkeeping
	appendClasses
)

const (
	// writerLimit bounds the records that wait, over all classes.
	writerLimit = 8192
	// batchRecords and batchBytes bound one append.
	batchRecords = 128
	batchBytes   = 512 << 10
	// appendsPerSecond and appendBurst are this host's share of what the log
	// takes: several hundred a second over nine hosts.
	appendsPerSecond = 40
	appendBurst      = 40
	// Pauses between two tries of an append.
	firstAppendPause = 20 * time.Millisecond
	lastAppendPause  = time.Second
)

// pendingAppend is a record on its way into the log.
type pendingAppend struct {
	envelope record.Envelope
	class    appendClass
	// sent is set before the first append that carries the record.
	sent bool
	// gone is set when nobody waits for the record any more.
	gone bool
	// done is closed when the record is known to be in the log.
	done     chan struct{}
	finished bool
}

// writer appends records for the whole node. One append is in flight at a time;
// what comes meanwhile goes into the next one together. An append that is not
// confirmed is tried again with the same bytes, until its records are read
// back.
type writer struct {
	node    *Node
	limiter *rate.Limiter

	mu      sync.Mutex
	queues  [appendClasses][]*pendingAppend
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

// append brings a record into the log. It returns nil once the log has
// confirmed it or the record was read back, errNotAppended when it cannot land
// any more, and errAppendUncertain when ctx ended and it still may.
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

func (w *writer) submit(class appendClass, e record.Envelope) (*pendingAppend, error) {
	e.At = time.Now().UnixMilli()
	p := &pendingAppend{envelope: e, class: class, done: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.byID) >= writerLimit {
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

// withdraw gives a record up.
func (w *writer) withdraw(p *pendingAppend) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case p.finished:
		return nil
	case p.sent:
		p.gone = true
		return errAppendUncertain
	}
	p.gone = true
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
		p.finished = true
		close(p.done)
		delete(w.byID, id)
		w.node.metrics.appended.Inc()
	}
}

// run appends what waits until the node dies.
func (w *writer) run() error {
	ctx := w.node.context()
	for ctx.Err() == nil {
		batch := w.take()
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

// take returns the records of the next append, orders first.
func (w *writer) take() []*pendingAppend {
	w.mu.Lock()
	defer w.mu.Unlock()
	var batch []*pendingAppend
	size := 0
	for class := range w.queues {
		queue := w.queues[class]
		for len(queue) > 0 && len(batch) < batchRecords {
			p := queue[0]
			if len(batch) > 0 && size+len(p.envelope.Body) > batchBytes {
				break
			}
			queue = queue[1:]
			if p.gone || p.finished {
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

// write appends a batch until all its records are in the log, or nobody waits
// for them any more.
func (w *writer) write(ctx context.Context, batch []*pendingAppend) {
	data, err := w.encode(batch)
	if err != nil {
		w.node.log.Error().Err(err).Msg("records not appended")
		w.drop(batch)
		return
	}
	for wait := firstAppendPause; w.wanted(batch); wait = min(2*wait, lastAppendPause) {
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

func appendResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, port.ErrLogRateLimited):
		return "limited"
	}
	return "unavailable"
}

// wanted reports whether somebody still waits for a record of the batch.
func (w *writer) wanted(batch []*pendingAppend) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range batch {
		if !p.finished && !p.gone {
			return true
		}
	}
	return false
}

// drop forgets the records of a batch that is not tried again.
func (w *writer) drop(batch []*pendingAppend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range batch {
		delete(w.byID, p.envelope.ID)
	}
}
