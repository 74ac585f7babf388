package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/fold"
)

const (
	// maxRecordsSinceCheckpoint bounds the log records after the latest
	// checkpoint.
	maxRecordsSinceCheckpoint = 5000
	// checkpointInterval is the interval at which a host checks whether a
	// checkpoint is due.
	checkpointInterval = time.Second
	// checkpointRankDelay is how long a host waits for each host of better rank
	// to write the checkpoint; a random delay of up to maxCheckpointJitter is
	// added.
	checkpointRankDelay = 5 * time.Second
	maxCheckpointJitter = time.Second
	// checkpointTimeout bounds the appends of one checkpoint.
	checkpointTimeout = 30 * time.Second
	// checkpointsPerRetention is the minimum number of checkpoints within the
	// log's retention time.
	checkpointsPerRetention = 3
)

// checkpointState is a host's view of the checkpoints in the log.
type checkpointState struct {
	mu     sync.Mutex
	latest fold.Checkpoint
	// seenAt is when latest was first seen.
	seenAt time.Time
	// dueAt is when this host writes a checkpoint; zero while none is needed.
	dueAt time.Time
}

// due reports whether this host must write a checkpoint now. Hosts are ranked
// in rendezvous order; a host writes only if none of better rank has.
func (s *checkpointState) due(now time.Time, in checkpointInput) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seenAt.IsZero() || in.latest != s.latest {
		s.latest, s.seenAt, s.dueAt = in.latest, now, time.Time{}
	}
	if !in.needed(now.Sub(s.seenAt)) {
		s.dueAt = time.Time{}
		return false
	}
	if s.dueAt.IsZero() {
		s.dueAt = now.Add(time.Duration(in.rank)*checkpointRankDelay + rand.N(maxCheckpointJitter))
	}
	return !now.Before(s.dueAt)
}

// checkpointInput is the input of the decision to write a checkpoint.
type checkpointInput struct {
	latest fold.Checkpoint
	// next is the first offset that is not folded into the state.
	next int64
	// oldest and end are the bounds of the log.
	oldest, end int64
	retention   time.Duration
	rank        int
}

// needed reports whether a new checkpoint is needed, given the time since the
// latest one was first seen. It is needed well before the latest one ages out
// of the log, and when many records have followed it.
func (in checkpointInput) needed(age time.Duration) bool {
	inOlderHalf := in.oldest > 1 && in.latest.Offset < in.oldest+(in.end-in.oldest)/2
	switch {
	case in.next <= 1:
		return false
	case in.next-max(in.latest.Next, 1) >= maxRecordsSinceCheckpoint:
		return true
	}
	return inOlderHalf || age >= in.retention/checkpointsPerRetention
}

// writeCheckpointIfDue runs periodically on the worker pool.
func (n *Node) writeCheckpointIfDue() {
	rank, listed := n.rank("checkpoint")
	if !listed || !n.tail.canFollow() || n.tail.endReached().IsZero() {
		return
	}
	in := checkpointInput{
		latest: n.tail.state.LatestCheckpoint(), next: n.tail.offset(), retention: n.settings.LogRetention.Std(), rank: rank,
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

// bounds returns the oldest offset and the end of the log as of the last read.
func (t *tail) bounds() (oldest, end int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.page.Oldest, t.page.End
}
