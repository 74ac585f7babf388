package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/fold"
)

const (
	// checkpointRecords is how many log records may follow a checkpoint.
	checkpointRecords = 5000
	// checkpointInterval is the time between two looks at whether one is due.
	checkpointInterval = time.Second
	// checkpointStep is how long a host waits for each host that ranks before
	// it to write the checkpoint; checkpointJitter is added by chance.
	checkpointStep   = 5 * time.Second
	checkpointJitter = time.Second
	// checkpointTimeout bounds the appends of one checkpoint.
	checkpointTimeout = 30 * time.Second
	// retentionParts is how many checkpoints fall into the log's retention.
	retentionParts = 3
)

// checkpointState is what a host knows of the checkpoints in the log.
type checkpointState struct {
	mu     sync.Mutex
	latest fold.Checkpoint
	// seenAt is when latest was first seen.
	seenAt time.Time
	// dueAt is when this host writes one; zero while none is due.
	dueAt time.Time
}

// due reports whether this host has to write a checkpoint now. The first host
// in rendezvous order goes first, the others only if it does not.
func (s *checkpointState) due(now time.Time, in checkpointInput) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seenAt.IsZero() || in.latest != s.latest {
		s.latest, s.seenAt, s.dueAt = in.latest, now, time.Time{}
	}
	if !in.wanted(now.Sub(s.seenAt)) {
		s.dueAt = time.Time{}
		return false
	}
	if s.dueAt.IsZero() {
		s.dueAt = now.Add(time.Duration(in.rank)*checkpointStep + rand.N(checkpointJitter))
	}
	return !now.Before(s.dueAt)
}

// checkpointInput is what the decision to write a checkpoint rests on.
type checkpointInput struct {
	latest fold.Checkpoint
	// next is the first offset that the state has not folded.
	next int64
	// oldest and end are the log's bounds.
	oldest, end int64
	retention   time.Duration
	rank        int
}

// wanted reports whether a checkpoint is wanted, age after the last one was
// seen: well before it ages out, and when many records have come since.
func (in checkpointInput) wanted(age time.Duration) bool {
	inOlderHalf := in.oldest > 1 && in.latest.Offset < in.oldest+(in.end-in.oldest)/2
	switch {
	case in.next <= 1:
		return false
	case in.next-max(in.latest.Next, 1) >= checkpointRecords:
		return true
	}
	return inOlderHalf || age >= in.retention/retentionParts
}

// stepCheckpoint writes a checkpoint when one is due; it runs on the pool.
func (n *Node) stepCheckpoint() {
	rank, listed := n.rank("checkpoint")
	if !listed || !n.tail.follows() || n.tail.endReached().IsZero() {
		return
	}
	in := checkpointInput{
		latest: n.tail.state.Latest(), next: n.tail.offset(), retention: n.settings.LogRetention.Std(), rank: rank,
	}
	in.oldest, in.end = n.tail.bounds()
	if !n.checkpoints.due(time.Now(), in) {
		return
	}
	if err := n.writeCheckpoint(); err != nil {
		n.log.Warn().Err(err).Msg("checkpoint not written")
	}
}

func (n *Node) writeCheckpoint() error {
	snap, err := n.tail.state.Snapshot()
	if err != nil {
		return err
	}
	pieces, err := snap.Pieces(n.settings.Host)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(n.context(), checkpointTimeout)
	defer cancel()
	for _, piece := range pieces {
		if err := n.append(ctx, classBookkeeping, piece); err != nil {
			return err
		}
		n.metrics.checkpointBytes.Add(float64(len(piece.Body)))
	}
	n.log.Info().Int64("offset", snap.Next).Int("pieces", len(pieces)).Msg("checkpoint written")
	return nil
}

// bounds returns the oldest offset and the end of the log as last read.
func (t *tail) bounds() (oldest, end int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.page.Oldest, t.page.End
}
