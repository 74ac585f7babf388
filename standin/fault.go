// Package standin holds small stand-ins for the systems outside: the
// platform's log and cloud API, model engines and plain services. Tests and
// the demo use them; nothing that serves callers does.
//
// Faults are rows of a table, triggered by the number of a call or by the time
// passed, never by chance.
package standin

import (
	"sync"
	"time"
)

// Point names a place where a fault can happen.
type Point string

// Points of the stand-ins.
const (
	PointAppend   Point = "append"
	PointRead     Point = "read"
	PointHosts    Point = "hosts"
	PointNotices  Point = "notices"
	PointStart    Point = "start"
	PointGenerate Point = "generate"
	// PointChunk is passed before each chunk of an engine's stream.
	PointChunk  Point = "chunk"
	PointLoad   Point = "load"
	PointEvents Point = "cache-events"
	PointOrder  Point = "order"
	PointExport Point = "export"
	PointImport Point = "import"
	PointCall   Point = "call"
	PointHealth Point = "health"
)

// Action is what a fault does.
type Action string

// Actions of faults.
const (
	// ActionFail fails the call before it takes effect.
	ActionFail Action = "fail"
	// ActionLoseReply fails the call after it took effect.
	ActionLoseReply Action = "lose-reply"
	// ActionDelay holds the call up for Delay before it takes effect.
	ActionDelay Action = "delay"
	// ActionRefuse refuses the call: rate limit, start refused, no new work.
	ActionRefuse Action = "refuse"
	// ActionSilence keeps the connection open and sends nothing more.
	ActionSilence Action = "silence"
	// ActionTruncate ends a stream without a finish mark.
	ActionTruncate Action = "truncate"
	// ActionRepeat sends a chunk twice or returns a record twice.
	ActionRepeat Action = "repeat"
	// ActionForeign sends a chunk of another attempt.
	ActionForeign Action = "foreign"
	// ActionDrop leaves a chunk or a cache event out.
	ActionDrop Action = "drop"
	// ActionCrash ends the endpoint's process.
	ActionCrash Action = "crash"
)

// Fault is one row: Action happens at Point for the calls FromCall to ToCall,
// counted from 1, and for the time From to To since the table was made. Zero
// bounds are open.
type Fault struct {
	Point    Point         `json:"point"`
	Action   Action        `json:"action"`
	FromCall int           `json:"from_call,omitempty"`
	ToCall   int           `json:"to_call,omitempty"`
	From     time.Duration `json:"from,omitempty"`
	To       time.Duration `json:"to,omitempty"`
	Delay    time.Duration `json:"delay,omitempty"`
}

// Faults is a table of faults. The nil table has none. Safe for concurrent
// use.
type Faults struct {
	mu    sync.Mutex
	start time.Time
	rows  []Fault
	calls map[Point]int
}

// NewFaults returns a table whose time starts now.
func NewFaults(rows ...Fault) *Faults {
	return &Faults{start: time.Now(), rows: rows, calls: map[Point]int{}}
}

// Add adds a row. Its calls count from now on when relative is set by the
// caller through Calls.
func (f *Faults) Add(row Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rows = append(f.rows, row)
}

// Clear drops all rows of a point.
func (f *Faults) Clear(p Point) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := f.rows[:0]
	for _, row := range f.rows {
		if row.Point != p {
			kept = append(kept, row)
		}
	}
	f.rows = kept
}

// Calls returns how often a point was passed.
func (f *Faults) Calls(p Point) int {
	if f == nil {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[p]
}

// Hit counts one call at p and returns the first row that applies.
func (f *Faults) Hit(p Point) (Fault, bool) {
	if f == nil {
		return Fault{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[p]++
	for _, row := range f.rows {
		if row.applies(p, f.calls[p], time.Since(f.start)) {
			return row, true
		}
	}
	return Fault{}, false
}

func (row Fault) applies(p Point, call int, passed time.Duration) bool {
	switch {
	case row.Point != p:
		return false
	case row.FromCall > 0 && call < row.FromCall:
		return false
	case row.ToCall > 0 && call > row.ToCall:
		return false
	case passed < row.From:
		return false
	case row.To > 0 && passed >= row.To:
		return false
	}
	return true
}
