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
	tailLimit = 500
	tailWait  = 2 * time.Second
	tailRetry = 200 * time.Millisecond
)

// Names of the tables in checkpoints. They never change.
const (
	tableDocuments = "documents"
	tableClaims    = "claims"
	tableLeases    = "leases"
	tableDeaths    = "deaths"
	tableCapacity  = "capacity"
)

// documentTable makes config.Table a fold.Table.
type documentTable struct{ *config.Table }

// Fold implements fold.Table. A verdict against a change is no failure of the
// fold.
func (t documentTable) Fold(pos record.Position, e record.Envelope) error {
	t.Table.Fold(pos, e)
	return nil
}

// newState registers the node's tables.
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
	// page tells the bounds of the log as of the last read.
	page port.Page
	// readAt is when the log last answered, endAt when the state had reached
	// the log's end.
	readAt, endAt time.Time
	// started is set once the state stands where it can follow the log.
	started bool
	// stuck is set while records that the state needs have aged out.
	stuck bool
}

func newTail(n *Node) *tail {
	return &tail{node: n, state: n.newState(), changed: make(chan struct{})}
}

// run follows the log until the node dies.
func (t *tail) run() error {
	ctx := t.node.context()
	for ctx.Err() == nil {
		if !t.follows() {
			t.start(ctx)
			continue
		}
		page, err := t.node.relays.log.Read(ctx, t.state.Next(), tailLimit, tailWait)
		switch {
		case errors.Is(err, port.ErrLogExpired):
			t.fellOut(page)
			pause(ctx, tailRetry)
		case err != nil:
			pause(ctx, tailRetry)
		default:
			t.fold(page)
		}
	}
	return nil
}

func (t *tail) follows() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.started && !t.stuck
}

// fellOut notes that the next record has aged out: the state needs a
// checkpoint or a peer's state to go on.
func (t *tail) fellOut(page port.Page) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stuck = true
	t.node.log.Warn().Int64("offset", t.state.Next()).Int64("oldest", page.Oldest).Msg("log records aged out before they were read")
}

// start brings the state to where it can follow the log: from the newest
// checkpoint, or from the peer that is furthest.
func (t *tail) start(ctx context.Context) {
	err := catchup.Start(ctx, t.node.ports.Log, t.state)
	if err != nil {
		t.node.log.Warn().Err(err).Msg("state not brought up to date from the log")
		if t.node.fetchState(ctx) {
			err = nil
		}
	}
	t.mu.Lock()
	t.started = t.started || err == nil
	t.stuck = t.stuck && err != nil
	t.mu.Unlock()
	t.wake()
	if err != nil {
		pause(ctx, tailRetry)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (t *tail) offset() int64 { return t.state.Next() }

// fold applies the records of a page in log order; it is called from one
// goroutine.
func (t *tail) fold(page port.Page) {
	for _, r := range page.Records {
		if errors.Is(t.foldRecord(r), fold.ErrGap) {
			pause(t.node.context(), tailRetry)
			break
		}
	}
	now := time.Now()
	t.mu.Lock()
	t.page, t.readAt = port.Page{Oldest: page.Oldest, End: page.End}, now
	if t.state.Next() >= page.End {
		t.endAt = now
	}
	t.mu.Unlock()
	if len(page.Records) > 0 {
		t.wake()
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

// wake tells all waiters that the state has changed.
func (t *tail) wake() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.changed)
	t.changed = make(chan struct{})
}

// endReached returns when the state last stood at the end of the log.
func (t *tail) endReached() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endAt
}

// MethodState is the peers' method that returns the folded state.
const MethodState = "state.fetch"

// stateQuery asks for a snapshot that covers more than Next.
type stateQuery struct {
	Next int64 `json:"next"`
}

// stateReply carries a snapshot; nil when the peer has folded no more.
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
	if q.Next == 0 || next <= q.Next || !n.tail.follows() {
		return stateReply{Next: next}, nil
	}
	snap, err := n.tail.state.Snapshot()
	return stateReply{Next: snap.Next, Snapshot: &snap}, err
}
