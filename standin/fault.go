// Package standin provides small replacements for the external systems: the platform's log and
// cloud API, model engines and plain services. Tests and the demo use them; production code does
// not.
//
// Faults are rows of a table, triggered by the number of a call or by the time since the table was
// made, never at random.
package standin

import (
	"sync"
	"time"
)

// Point identifies a place where a fault can be injected.
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
	PointChunk   Point = "chunk"
	PointLoad    Point = "load"
	PointEvents  Point = "cache-events"
	PointCommand Point = "order"
	PointExport  Point = "export"
	PointImport  Point = "import"
	PointCall    Point = "call"
	PointHealth  Point = "health"
)

// Action is the effect of a fault.
type Action string

// Actions of faults.
const (
	// ActionFail fails the call before it takes effect.
	ActionFail Action = "fail"
	// ActionLoseReply fails the call after it took effect.
	ActionLoseReply Action = "lose-reply"
	// ActionDelay delays the call by Delay before it takes effect.
	ActionDelay Action = "delay"
	// ActionRefuse refuses the call: rate limit reached, start refused, or no new work accepted.
	ActionRefuse Action = "refuse"
	// ActionStall stalls the connection: it stays open and carries nothing more.
	ActionStall Action = "silence"
	// ActionTruncate ends a stream without the final marker.
	ActionTruncate Action = "truncate"
	// ActionRepeat sends a chunk twice or stores a record twice.
	ActionRepeat Action = "repeat"
	// ActionForeign sends a chunk of another attempt first.
	ActionForeign Action = "foreign"
	// ActionDrop omits a chunk or cache events.
	ActionDrop Action = "drop"
	// ActionCrash ends the endpoint's process.
	ActionCrash Action = "crash"
)

// Fault is one row of the table. Action happens at Point for the calls FromCall to ToCall, counted
// from 1, within the time From to To since the table was made. A bound of zero does not limit.
type Fault struct {
	Point    Point         `json:"point"`
	Action   Action        `json:"action"`
	FromCall int           `json:"from_call,omitempty"`
	ToCall   int           `json:"to_call,omitempty"`
	From     time.Duration `json:"from,omitempty"`
	To       time.Duration `json:"to,omitempty"`
	Delay    time.Duration `json:"delay,omitempty"`
}

// Faults is a table of faults. A nil table has no faults. It is safe for concurrent use.
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

// Add adds a row. FromCall and ToCall count all calls since the table was made; to count from now,
// the caller adds the current Calls to them.
func (f *Faults) Add(row Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rows = append(f.rows, row)
}

// Remove removes all rows of a point.
func (f *Faults) Remove(p Point) {
	f.mu.Lock()
	defer f.mu.Unlock()
	remaining := f.rows[:0]
	for _, row := range f.rows {
		if row.Point != p {
			remaining = append(remaining, row)
		}
	}
	f.rows = remaining
}

// Calls returns the number of calls at a point so far.
func (f *Faults) Calls(p Point) int {
	if f == nil {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[p]
}

// Check counts one call at p and returns the first row that applies.
func (f *Faults) Check(p Point) (Fault, bool) {
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

func (row Fault) applies(p Point, call int, elapsed time.Duration) bool {
	switch {
	case row.Point != p:
		return false
	case row.FromCall > 0 && call < row.FromCall:
		return false
	case row.ToCall > 0 && call > row.ToCall:
		return false
	case elapsed < row.From:
		return false
	case row.To > 0 && elapsed >= row.To:
		return false
	}
	return true
}
