package claim

import (
	"container/heap"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"
	"unique"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/record"
)

// Table is the folded state of all claims. Safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[Sum]*Entry
	// abandoned holds the ids of claims that lost or were given up and must
	// never own a key, with the log time at which they are forgotten.
	abandoned map[string]int64
	clock     logClock
	timers    timers
	// answers lists the keys with a response, oldest outcome first.
	answers     []answerRef
	answerBytes int
	refused     int64
	maxKeys     int
	maxAnswers  int
	changed     chan struct{}
}

// barredFor is how long a claim that lost or was abandoned is remembered. No
// append is tried for that long.
const barredFor = time.Hour

// answerRef names an outcome whose answer is kept.
type answerRef struct {
	sum     Sum
	claimID string
}

// NewTable returns an empty table.
func NewTable() *Table { return newTable(MaxKeys, MaxAnswers) }

func newTable(maxKeys, maxAnswers int) *Table {
	return &Table{
		entries:    map[Sum]*Entry{},
		abandoned:  map[string]int64{},
		maxKeys:    maxKeys,
		maxAnswers: maxAnswers,
		changed:    make(chan struct{}),
	}
}

// Fold applies a claim, outcome or abandon record; ErrMalformed.
func (t *Table) Fold(pos record.Position, e record.Envelope) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.wake()
	t.clock.observe(e.Source, e.At)
	t.expire()
	switch e.Kind {
	case record.KindClaim:
		return t.foldClaim(pos, e)
	case record.KindOutcome:
		return t.foldOutcome(pos, e)
	case record.KindAbandon:
		return t.foldAbandon(e)
	}
	return nil
}

func (t *Table) foldClaim(pos record.Position, e record.Envelope) error {
	var c Claim
	if err := json.Unmarshal(e.Body, &c); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	if _, abandoned := t.abandoned[e.ID]; abandoned {
		return nil
	}
	sum := c.Sum()
	if entry, taken := t.entries[sum]; taken {
		if entry.ClaimID != e.ID {
			t.bar(e)
		}
		return nil
	}
	if len(t.entries) >= t.maxKeys {
		t.refused++
		t.bar(e)
		return nil
	}
	window := windowOf(c)
	from := max(t.clock.now(), e.At)
	entry := &Entry{
		ClaimID: e.ID, Digest: c.Digest, At: pos,
		Owner: unique.Make(c.Owner).Value(), Incarnation: unique.Make(c.Incarnation).Value(),
		Expires: from + window, Forget: from + keyWindows*window,
	}
	t.entries[sum] = entry
	t.timers.add(timer{at: entry.Expires, sum: sum, claimID: e.ID})
	return nil
}

// windowOf returns how long the outcome of a claim is kept, in milliseconds.
func windowOf(c Claim) int64 {
	if c.Window == 0 {
		return DefaultWindow.Milliseconds()
	}
	return min(max(c.Window, MinWindow.Milliseconds()), MaxWindow.Milliseconds())
}

func (t *Table) foldOutcome(pos record.Position, e record.Envelope) error {
	var o Outcome
	if err := json.Unmarshal(e.Body, &o); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	sum := o.Sum()
	entry, ok := t.entries[sum]
	if !ok || entry.ClaimID != o.ClaimID || entry.Done {
		return nil
	}
	entry.Done, entry.DoneAt = true, pos
	if o.Dropped || len(o.Response.Body) > MaxAnswer {
		return nil
	}
	entry.Response = &o.Response
	t.answers = append(t.answers, answerRef{sum: sum, claimID: entry.ClaimID})
	t.answerBytes += len(o.Response.Body)
	t.trimAnswers()
	return nil
}

// trimAnswers drops the bodies of the oldest outcomes beyond maxAnswers.
func (t *Table) trimAnswers() {
	for t.answerBytes > t.maxAnswers && len(t.answers) > 0 {
		ref := t.answers[0]
		t.answers = t.answers[1:]
		if entry, ok := t.entries[ref.sum]; ok && entry.ClaimID == ref.claimID {
			t.dropAnswer(entry)
		}
	}
	// Answers that expired leave their place in the list behind.
	for len(t.answers) > 0 {
		ref := t.answers[0]
		if entry, ok := t.entries[ref.sum]; ok && entry.ClaimID == ref.claimID && entry.Response != nil {
			return
		}
		t.answers = t.answers[1:]
	}
}

func (t *Table) dropAnswer(entry *Entry) {
	if entry.Response == nil {
		return
	}
	t.answerBytes -= len(entry.Response.Body)
	entry.Response = nil
}

// foldAbandon frees the key if the claim owns it without an outcome, and bars
// the claim from owning it later.
func (t *Table) foldAbandon(e record.Envelope) error {
	var a Abandon
	if err := json.Unmarshal(e.Body, &a); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	sum := a.Sum()
	entry, ok := t.entries[sum]
	owns := ok && entry.ClaimID == a.ClaimID
	if owns && entry.Done {
		return nil
	}
	if owns {
		delete(t.entries, sum)
	}
	t.barID(a.ClaimID, e.At)
	return nil
}

// bar keeps a claim that lost from owning its key when its record lands again
// after the key has become free.
func (t *Table) bar(e record.Envelope) { t.barID(e.ID, e.At) }

func (t *Table) barID(claimID string, at int64) {
	if _, known := t.abandoned[claimID]; known || len(t.abandoned) >= t.maxKeys {
		return
	}
	forget := max(t.clock.now(), at) + barredFor.Milliseconds()
	t.abandoned[claimID] = forget
	t.timers.add(timer{at: forget, claimID: claimID, abandoned: true})
}

// expire drops what the log's time has passed.
func (t *Table) expire() {
	now := t.clock.now()
	for len(t.timers) > 0 && t.timers[0].at <= now {
		due := t.timers.take()
		entry, ok := t.entries[due.sum]
		switch {
		case due.abandoned:
			delete(t.abandoned, due.claimID)
		case !ok || entry.ClaimID != due.claimID:
		case due.at < entry.Forget:
			t.dropAnswer(entry)
			t.timers.add(timer{at: entry.Forget, sum: due.sum, claimID: due.claimID})
		default:
			t.dropAnswer(entry)
			delete(t.entries, due.sum)
		}
	}
}

func (t *Table) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Get returns what is known of a key, and a channel that is closed on the
// next change of the table.
func (t *Table) Get(k Key) (Entry, bool, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[k.Sum()]
	if !ok {
		return Entry{}, false, t.changed
	}
	return *e, true, t.changed
}

// Count tells what the table holds.
type Count struct {
	Keys        int `json:"keys"`
	Open        int `json:"open"`
	Abandoned   int `json:"abandoned"`
	AnswerBytes int `json:"answer_bytes"`
	// Refused counts claims refused because the table was full.
	Refused int64 `json:"refused"`
	// LogTime is the time of the log, zero before two hosts have written.
	LogTime time.Time `json:"log_time"`
}

// Count returns what the table holds. It looks at every key.
func (t *Table) Count() Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Count{Keys: len(t.entries), Abandoned: len(t.abandoned), AnswerBytes: t.answerBytes, Refused: t.refused}
	if now := t.clock.now(); now > 0 {
		c.LogTime = time.UnixMilli(now).UTC()
	}
	for _, e := range t.entries {
		if !e.Done {
			c.Open++
		}
	}
	return c
}

// exported is the table in a checkpoint.
type exported struct {
	Clock     logClock         `json:"clock"`
	Entries   []exportedRow    `json:"entries"`
	Abandoned map[string]int64 `json:"abandoned"`
}

type exportedRow struct {
	Sum Sum `json:"sum"`
	Entry
}

// Export returns the table for a checkpoint. Equal tables export equal bytes.
func (t *Table) Export() (json.RawMessage, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := exported{Clock: t.clock, Abandoned: t.abandoned, Entries: make([]exportedRow, 0, len(t.entries))}
	for sum, e := range t.entries {
		out.Entries = append(out.Entries, exportedRow{Sum: sum, Entry: *e})
	}
	slices.SortFunc(out.Entries, func(a, b exportedRow) int { return compare(a.At, b.At, a.ClaimID, b.ClaimID) })
	raw, err := json.Marshal(out)
	return raw, errors.Wrap(err, "encode claims")
}

func compare(p, q record.Position, a, b string) int {
	switch {
	case p.Before(q):
		return -1
	case q.Before(p):
		return 1
	}
	return strings.Compare(a, b)
}

// Import replaces the table by an exported one, which must be no older.
func (t *Table) Import(raw json.RawMessage) error {
	var in exported
	if err := json.Unmarshal(raw, &in); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.wake()
	t.clock = in.Clock
	t.entries, t.abandoned = make(map[Sum]*Entry, len(in.Entries)), map[string]int64{}
	t.timers, t.answers, t.answerBytes = nil, nil, 0
	for id, at := range in.Abandoned {
		t.abandoned[id] = at
		t.timers.add(timer{at: at, claimID: id, abandoned: true})
	}
	for _, row := range in.Entries {
		t.entries[row.Sum] = &row.Entry
		t.timers.add(timer{at: row.nextTimer(t.clock.now()), sum: row.Sum, claimID: row.ClaimID})
	}
	t.listAnswers(in.Entries)
	return nil
}

// nextTimer returns when the entry changes next by the passing of time.
func (e *Entry) nextTimer(now int64) int64 {
	if now < e.Expires {
		return e.Expires
	}
	return e.Forget
}

// listAnswers lists the kept answers in the order of their outcomes.
func (t *Table) listAnswers(rows []exportedRow) {
	kept := slices.Clone(rows)
	slices.SortFunc(kept, func(a, b exportedRow) int { return compare(a.DoneAt, b.DoneAt, a.ClaimID, b.ClaimID) })
	for _, row := range kept {
		if row.Response != nil {
			t.answers = append(t.answers, answerRef{sum: row.Sum, claimID: row.ClaimID})
			t.answerBytes += len(row.Response.Body)
		}
	}
}

// timer is something that happens to a claim at a log time.
type timer struct {
	at        int64
	sum       Sum
	claimID   string
	abandoned bool
}

// timers is a heap, the earliest first.
type timers []timer

func (h *timers) add(t timer) { heap.Push(h, t) }

func (h *timers) take() timer { return heap.Pop(h).(timer) }

// Len implements heap.Interface.
func (h timers) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timers) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h timers) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timers) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timers) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
