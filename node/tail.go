package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/catchup"
	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/fold"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/quarantine"
	"github.com/cicadanotch/cicadanotch/record"
)

const (
	// maxPageRecords and tailPollTimeout bound one long-polling read of the log;
	// tailRetryDelay is the delay after a failed one.
	maxPageRecords  = 500
	tailPollTimeout = 2 * time.Second
	tailRetryDelay  = 200 * time.Millisecond
)

// Names of the tables in checkpoints. They never change: checkpoints in the log
// contain them.
const (
	tableDocuments = "documents"
	tableClaims    = "claims"
	tableLeases    = "leases"
	tableDeaths    = "deaths"
	tableCapacity  = "capacity"
)

// documentTable adapts config.Table to fold.Table.
type documentTable struct{ *config.Table }

// Fold implements fold.Table. A rejected change of a document is not an error
// of the fold.
func (t documentTable) Fold(pos record.Position, e record.Envelope) error {
	t.Table.Fold(pos, e)
	return nil
}

// newState returns a state with the node's tables registered.
func (n *Node) newState() *fold.State {
	state := fold.New()
	state.Register(tableDocuments, documentTable{n.documents}, record.KindDocument)
	state.Register(tableClaims, n.claims, record.KindClaim, record.KindOutcome, record.KindAbandon)
	state.Register(tableLeases, n.leases, record.KindLease)
	state.Register(tableDeaths, quarantine.NewLedger(n.quarantine, time.Now), record.KindQuarantine)
	state.Register(tableCapacity, n.capacity, record.KindCapacity)
	return state
}

// tail reads the log and folds its records into the node's tables.
type tail struct {
	node  *Node
	state *fold.State

	mu      sync.Mutex
	changed chan struct{}
	// page holds the bounds of the log as of the last read.
	page port.Page
	// readAt is when the log last answered, endReachedAt when the state was last
	// at the end of the log.
	readAt, endReachedAt time.Time
	// bootstrapped is set once the state has a position from which it can follow
	// the log.
	bootstrapped bool
	// expired is set while records that the state has not folded have aged out
	// of the log.
	expired bool
}

func newTail(n *Node) *tail {
	return &tail{node: n, state: n.newState(), changed: make(chan struct{})}
}

// run follows the log until the node stops.
func (t *tail) run() error {
	ctx := t.node.context()
	for ctx.Err() == nil {
		if !t.canFollow() {
			t.bootstrap(ctx)
			continue
		}
		page, err := t.node.relays.log.Read(ctx, t.state.Next(), maxPageRecords, tailPollTimeout)
		switch {
		case errors.Is(err, port.ErrLogExpired):
			t.markExpired(page)
			pause(ctx, tailRetryDelay)
		case err != nil:
			pause(ctx, tailRetryDelay)
		default:
			t.fold(page)
		}
	}
	return nil
}

func (t *tail) canFollow() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bootstrapped && !t.expired
}

// markExpired records that the next record has aged out of the log: the state
// needs a checkpoint or the state of a peer to continue.
func (t *tail) markExpired(page port.Page) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expired = true
	t.node.log.Warn().Int64("offset", t.state.Next()).Int64("oldest", page.Oldest).Msg("log records aged out before they were read")
}

// bootstrap brings the state to a position from which it can follow the log:
// from the newest checkpoint, or else from the most advanced peer.
func (t *tail) bootstrap(ctx context.Context) {
	err := catchup.Bootstrap(ctx, t.node.ports.Log, t.state)
	if err != nil {
		t.node.log.Warn().Err(err).Msg("state not restored from the log")
		if t.node.fetchState(ctx) {
			err = nil
		}
	}
	t.mu.Lock()
	t.bootstrapped = t.bootstrapped || err == nil
	t.expired = t.expired && err != nil
	t.mu.Unlock()
	t.notify()
	if err != nil {
		pause(ctx, tailRetryDelay)
	}
}

// pause waits for d or until ctx has ended.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (t *tail) offset() int64 { return t.state.Next() }

// fold applies the records of a page in log order. It must be called from one
// goroutine only.
func (t *tail) fold(page port.Page) {
	for _, r := range page.Records {
		if errors.Is(t.foldRecord(r), fold.ErrGap) {
			pause(t.node.context(), tailRetryDelay)
			break
		}
	}
	now := time.Now()
	t.mu.Lock()
	t.page, t.readAt = port.Page{Oldest: page.Oldest, End: page.End}, now
	if t.state.Next() >= page.End {
		t.endReachedAt = now
	}
	t.mu.Unlock()
	if len(page.Records) > 0 {
		t.notify()
	}
}

func (t *tail) foldRecord(r port.LogRecord) error {
	before := t.state.Skipped()
	ids, err := t.state.Fold(r)
	after := t.state.Skipped()
	t.node.metrics.foldErrors.Add(float64(after.Total() - before.Total()))
	t.node.metrics.logOffset.Set(float64(t.state.Next()))
	if err != nil {
		t.node.log.Warn().Int64("offset", r.Offset).Err(err).Msg("log record skipped")
	}
	t.node.writer.confirm(ids)
	return err
}

// notify wakes all waiters for a change of the state.
func (t *tail) notify() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.changed)
	t.changed = make(chan struct{})
}

// endReached returns when the state was last at the end of the log.
func (t *tail) endReached() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endReachedAt
}

// MethodState is the peer method that returns the folded state.
const MethodState = "state.fetch"

// stateQuery requests a snapshot that extends beyond Next; zero requests the
// peer's position only.
type stateQuery struct {
	Next int64 `json:"next"`
}

// stateReply is the answer to a stateQuery. Snapshot is nil when none was
// requested or the peer has no later state.
type stateReply struct {
	Next     int64          `json:"next"`
	Snapshot *fold.Snapshot `json:"snapshot,omitempty"`
}

func (n *Node) handleState(_ context.Context, params json.RawMessage) (any, error) {
	var q stateQuery
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, errors.Wrap(err, "read query")
	}
	next := n.tail.state.Next()
	if q.Next == 0 || next <= q.Next || !n.tail.canFollow() {
		return stateReply{Next: next}, nil
	}
	snap, err := n.tail.state.Snapshot()
	return stateReply{Next: snap.Next, Snapshot: &snap}, err
}
