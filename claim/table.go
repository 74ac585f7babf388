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

// Table is the state of all claims in the log. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[Sum]*Entry
	// excluded holds the ids of claims that lost or were abandoned and must
	// never own a key, with the log time at which each id is removed.
	excluded map[string]int64
	clock    logClock
	timers   timers
	// answers lists the entries with a response, oldest outcome first. It may
	// also list entries whose response has expired; see evictAnswers.
	answers             []answerRef
	answerBytes         int
	refused             int64
	maxKeys             int
	maxTotalAnswerBytes int
	changed             chan struct{}
}

// excludedClaimTTL is how long the id of a claim that lost or was abandoned is
// retained. No host retries the append of a claim for that long.
const excludedClaimTTL = time.Hour

// answerRef identifies an outcome whose answer is retained.
type answerRef struct {
	sum     Sum
	claimID string
}

// NewTable returns an empty table.
func NewTable() *Table { return newTable(MaxKeys, MaxTotalAnswerBytes) }

func newTable(maxKeys, maxTotalAnswerBytes int) *Table {
	return &Table{
		entries:             map[Sum]*Entry{},
		excluded:            map[string]int64{},
		maxKeys:             maxKeys,
		maxTotalAnswerBytes: maxTotalAnswerBytes,
		changed:             make(chan struct{}),
	}
}

// Fold applies a claim, outcome or abandon record. It returns ErrMalformed for a
// body that does not parse.
func (t *Table) Fold(pos record.Position, e record.Envelope) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.notify()
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
	if _, excluded := t.excluded[e.ID]; excluded {
		return nil
	}
	sum := c.Sum()
	if entry, owned := t.entries[sum]; owned {
		if entry.ClaimID != e.ID {
			t.exclude(e)
		}
		return nil
	}
	if len(t.entries) >= t.maxKeys {
		t.refused++
		t.exclude(e)
		return nil
	}
	window := retentionMillis(c)
	start := max(t.clock.now(), e.At)
	entry := &Entry{
		ClaimID: e.ID, Digest: c.Digest, At: pos,
		Owner: unique.Make(c.Owner).Value(), Incarnation: unique.Make(c.Incarnation).Value(),
		ResponseExpiresMillis: start + window, KeyExpiresMillis: start + keyRetentionWindows*window,
	}
	t.entries[sum] = entry
	t.timers.add(timer{at: entry.ResponseExpiresMillis, sum: sum, claimID: e.ID})
	return nil
}

// retentionMillis returns how long the outcome of a claim is retained.
func retentionMillis(c Claim) int64 {
	if c.WindowMillis == 0 {
		return DefaultWindow.Milliseconds()
	}
	return min(max(c.WindowMillis, MinWindow.Milliseconds()), MaxWindow.Milliseconds())
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
	if o.Dropped || len(o.Response.Body) > MaxAnswerBytes {
		return nil
	}
	entry.Response = &o.Response
	t.answers = append(t.answers, answerRef{sum: sum, claimID: entry.ClaimID})
	t.answerBytes += len(o.Response.Body)
	t.evictAnswers()
	return nil
}

// evictAnswers evicts the oldest answers beyond maxTotalAnswerBytes.
func (t *Table) evictAnswers() {
	for t.answerBytes > t.maxTotalAnswerBytes && len(t.answers) > 0 {
		ref := t.answers[0]
		t.answers = t.answers[1:]
		if entry, ok := t.entries[ref.sum]; ok && entry.ClaimID == ref.claimID {
			t.evictAnswer(entry)
		}
	}
	// Expired answers are still listed; remove those at the front.
	for len(t.answers) > 0 {
		ref := t.answers[0]
		if entry, ok := t.entries[ref.sum]; ok && entry.ClaimID == ref.claimID && entry.Response != nil {
			return
		}
		t.answers = t.answers[1:]
	}
}

func (t *Table) evictAnswer(entry *Entry) {
	if entry.Response == nil {
		return
	}
	t.answerBytes -= len(entry.Response.Body)
	entry.Response = nil
}

// foldAbandon removes the key if the claim owns it and has no outcome, and
// excludes the claim from owning it later.
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
	t.excludeID(a.ClaimID, e.At)
	return nil
}

// exclude prevents a claim that lost from owning its key if its record is appended
// again after the key was removed.
func (t *Table) exclude(e record.Envelope) { t.excludeID(e.ID, e.At) }

func (t *Table) excludeID(claimID string, at int64) {
	if _, known := t.excluded[claimID]; known || len(t.excluded) >= t.maxKeys {
		return
	}
	expiresAt := max(t.clock.now(), at) + excludedClaimTTL.Milliseconds()
	t.excluded[claimID] = expiresAt
	t.timers.add(timer{at: expiresAt, claimID: claimID, excluded: true})
}

// expire applies the timers that are due by the time of the log.
func (t *Table) expire() {
	now := t.clock.now()
	for len(t.timers) > 0 && t.timers[0].at <= now {
		due := t.timers.popEarliest()
		entry, ok := t.entries[due.sum]
		switch {
		case due.excluded:
			delete(t.excluded, due.claimID)
		case !ok || entry.ClaimID != due.claimID:
		case due.at < entry.KeyExpiresMillis:
			t.evictAnswer(entry)
			t.timers.add(timer{at: entry.KeyExpiresMillis, sum: due.sum, claimID: due.claimID})
		default:
			t.evictAnswer(entry)
			delete(t.entries, due.sum)
		}
	}
}

func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Get returns the entry of a key and whether there is one, and a channel that is
// closed on the next change of the table.
func (t *Table) Get(k Key) (Entry, bool, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[k.Sum()]
	if !ok {
		return Entry{}, false, t.changed
	}
	return *e, true, t.changed
}

// Stats is the size and the counters of a table.
type Stats struct {
	Keys int `json:"keys"`
	// Open counts keys without an outcome.
	Open int `json:"open"`
	// Excluded counts claims that must never own a key; see Table.excluded.
	Excluded    int `json:"abandoned"`
	AnswerBytes int `json:"answer_bytes"`
	// Refused counts claims refused because the table was full.
	Refused int64 `json:"refused"`
	// LogTime is the time of the log; zero before two hosts have written.
	LogTime time.Time `json:"log_time"`
}

// Stats returns the size and the counters of the table. It visits every key.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Stats{Keys: len(t.entries), Excluded: len(t.excluded), AnswerBytes: t.answerBytes, Refused: t.refused}
	if now := t.clock.now(); now > 0 {
		s.LogTime = time.UnixMilli(now).UTC()
	}
	for _, e := range t.entries {
		if !e.Done {
			s.Open++
		}
	}
	return s
}

// exported is the encoding of a table in a checkpoint.
type exported struct {
	Clock    logClock         `json:"clock"`
	Entries  []exportedRow    `json:"entries"`
	Excluded map[string]int64 `json:"abandoned"`
}

type exportedRow struct {
	Sum Sum `json:"sum"`
	Entry
}

// Export encodes the table for a checkpoint. Equal tables give equal bytes.
func (t *Table) Export() (json.RawMessage, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := exported{Clock: t.clock, Excluded: t.excluded, Entries: make([]exportedRow, 0, len(t.entries))}
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

// Import replaces the table with an exported one, which must not be older.
func (t *Table) Import(raw json.RawMessage) error {
	var in exported
	if err := json.Unmarshal(raw, &in); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.notify()
	t.clock = in.Clock
	t.entries, t.excluded = make(map[Sum]*Entry, len(in.Entries)), map[string]int64{}
	t.timers, t.answers, t.answerBytes = nil, nil, 0
	for id, at := range in.Excluded {
		t.excluded[id] = at
		t.timers.add(timer{at: at, claimID: id, excluded: true})
	}
	for _, row := range in.Entries {
		t.entries[row.Sum] = &row.Entry
		t.timers.add(timer{at: row.nextTimer(t.clock.now()), sum: row.Sum, claimID: row.ClaimID})
	}
	t.indexAnswers(in.Entries)
	return nil
}

// nextTimer returns the log time at which the response expires, or the key if the
// response has expired.
func (e *Entry) nextTimer(now int64) int64 {
	if now < e.ResponseExpiresMillis {
		return e.ResponseExpiresMillis
	}
	return e.KeyExpiresMillis
}

// indexAnswers fills answers with the retained answers in the order of their
// outcomes.
func (t *Table) indexAnswers(rows []exportedRow) {
	sorted := slices.Clone(rows)
	slices.SortFunc(sorted, func(a, b exportedRow) int { return compare(a.DoneAt, b.DoneAt, a.ClaimID, b.ClaimID) })
	for _, row := range sorted {
		if row.Response != nil {
			t.answers = append(t.answers, answerRef{sum: row.Sum, claimID: row.ClaimID})
			t.answerBytes += len(row.Response.Body)
		}
	}
}

// timer is the log time at which a response, a key or an excluded claim expires.
type timer struct {
	at       int64
	sum      Sum
	claimID  string
	excluded bool
}

// timers is a heap of timers, the earliest first.
type timers []timer

func (h *timers) add(t timer) { heap.Push(h, t) }

func (h *timers) popEarliest() timer { return heap.Pop(h).(timer) }

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
