package attempt

import "github.com/cicadanotch/cicadanotch/port"

// Verdict is the decision about one chunk.
type Verdict string

// Verdicts on chunks.
const (
	// VerdictAccept means that the chunk has the expected index.
	VerdictAccept Verdict = "accept"
	// VerdictFinish means that the chunk has the expected index and a finish reason. It
	// ends the answer; the expected index does not advance.
	VerdictFinish Verdict = "finish"
	// VerdictStale means that the chunk is from an earlier attempt of the request; it
	// is dropped.
	VerdictStale Verdict = "late"
	// VerdictUnknownAttempt means that the chunk is from no attempt of the request; it
	// is dropped.
	VerdictUnknownAttempt Verdict = "foreign"
	// VerdictDuplicate means that the index was accepted before; the chunk is dropped.
	VerdictDuplicate Verdict = "repeated"
	// VerdictGap means that an index was skipped; the attempt ends.
	VerdictGap Verdict = "gap"
)

// Sequencer accepts the chunks of one request: only those of the current attempt, each
// index once and in order. It is not safe for concurrent use.
type Sequencer struct {
	current  string
	previous map[string]bool
	next     int
}

// NewSequencer returns a sequencer that expects the chunk with index next.
func NewSequencer(next int) *Sequencer {
	return &Sequencer{previous: map[string]bool{}, next: next}
}

// Begin makes attemptID the current attempt. The expected index stays, because a further
// attempt continues the answer where the previous one stopped.
func (s *Sequencer) Begin(attemptID string) {
	if s.current != "" {
		s.previous[s.current] = true
	}
	s.current = attemptID
}

// Next returns the expected index.
func (s *Sequencer) Next() int { return s.next }

// Accept checks one chunk. Only VerdictAccept advances the expected index.
func (s *Sequencer) Accept(c *port.Chunk) Verdict {
	switch {
	case c.AttemptID != s.current && s.previous[c.AttemptID]:
		return VerdictStale
	case c.AttemptID != s.current:
		return VerdictUnknownAttempt
	case c.Index < s.next:
		return VerdictDuplicate
	case c.Index > s.next:
		return VerdictGap
	case c.FinishReason != "":
		return VerdictFinish
	}
	s.next++
	return VerdictAccept
}
