package attempt

import "github.com/cicadanotch/cicadanotch/port"

// Verdict is what becomes of one chunk.
type Verdict string

// Verdicts on chunks.
const (
	VerdictAccept Verdict = "accept"
	// VerdictFinish: the chunk carries the finish mark and is the next.
	VerdictFinish Verdict = "finish"
	// VerdictLate: a chunk of an earlier attempt of the request; dropped.
	VerdictLate Verdict = "late"
	// VerdictForeign: a chunk of no attempt of the request; dropped.
	VerdictForeign Verdict = "foreign"
	// VerdictRepeated: the index was taken before; dropped.
	VerdictRepeated Verdict = "repeated"
	// VerdictGap: an index was left out; the attempt ends.
	VerdictGap Verdict = "gap"
)

// Sequencer accepts the chunks of one request: only those of the current
// attempt, each index once and in order. It is used by one goroutine.
type Sequencer struct {
	current string
	earlier map[string]bool
	next    int
}

// NewSequencer returns a sequencer that wants the chunk with index next.
func NewSequencer(next int) *Sequencer {
	return &Sequencer{earlier: map[string]bool{}, next: next}
}

// Begin makes attemptID the current attempt.
func (s *Sequencer) Begin(attemptID string) {
	if s.current != "" {
		s.earlier[s.current] = true
	}
	s.current = attemptID
}

// Next returns the index that is wanted.
func (s *Sequencer) Next() int { return s.next }

// Take judges one chunk.
func (s *Sequencer) Take(c *port.Chunk) Verdict {
	switch {
	case c.AttemptID != s.current && s.earlier[c.AttemptID]:
		return VerdictLate
	case c.AttemptID != s.current:
		return VerdictForeign
	case c.Index < s.next:
		return VerdictRepeated
	case c.Index > s.next:
		return VerdictGap
	case c.FinishReason != "":
		return VerdictFinish
	}
	s.next++
	return VerdictAccept
}
