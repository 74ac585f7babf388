package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
)

const (
	tailLimit = 500
	tailWait  = 2 * time.Second
	tailRetry = 200 * time.Millisecond
)

// tail reads the log and folds its records into the node's tables.
type tail struct {
	node *Node

	mu      sync.Mutex
	next    int64
	seen    map[string]record.Position
	changed chan struct{}
	// verdicts of document records that came by, by record id.
	verdicts map[string]config.Verdict
}

func newTail(n *Node) *tail {
	return &tail{
		node:     n,
		next:     1,
		seen:     map[string]record.Position{},
		changed:  make(chan struct{}),
		verdicts: map[string]config.Verdict{},
	}
}

func (t *tail) run() error {
	ctx := t.node.context()
	for ctx.Err() == nil {
		page, err := t.node.ports.Log.Read(ctx, t.offset(), tailLimit, tailWait)
		switch {
		case errors.Is(err, port.ErrLogExpired):
			t.skipTo(page.Oldest)
		case err != nil:
			pause(ctx, tailRetry)
		default:
			t.fold(page.Records)
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (t *tail) offset() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

func (t *tail) skipTo(offset int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = max(t.next, offset)
}

// fold applies records in log order; it is called from one goroutine.
func (t *tail) fold(records []port.LogRecord) {
	for _, r := range records {
		if r.Offset < t.offset() {
			continue
		}
		t.foldRecord(r)
	}
}

func (t *tail) foldRecord(r port.LogRecord) {
	envelopes, err := record.Decode(r.Data)
	if err != nil {
		t.node.metrics.foldErrors.Inc()
		t.node.log.Warn().Int64("offset", r.Offset).Err(err).Msg("log record skipped")
	}
	for i, e := range envelopes {
		t.apply(record.Position{Offset: r.Offset, Index: i}, e)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = r.Offset + 1
	t.node.metrics.logOffset.Set(float64(t.next))
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *tail) apply(pos record.Position, e record.Envelope) {
	var err error
	switch e.Kind {
	case record.KindDocument:
		verdict := t.node.documents.Fold(pos, e)
		t.keepVerdict(verdict)
	case record.KindClaim, record.KindOutcome, record.KindAbandon:
		err = t.node.claims.Fold(pos, e)
	default:
		t.node.metrics.foldErrors.Inc()
	}
	if err != nil {
		t.node.metrics.foldErrors.Inc()
		t.node.log.Warn().Int64("offset", pos.Offset).Str("kind", string(e.Kind)).Err(err).Msg("log record skipped")
	}
}

func (t *tail) keepVerdict(v config.Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.verdicts[v.RecordID] = v
}
