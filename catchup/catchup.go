// Package catchup brings a fold.State up to the end of the platform's log, from the
// newest checkpoint and the records after it.
package catchup

import (
	"context"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/fold"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
)

// ErrNoCheckpoint is returned if records that the state needs have expired from the
// log and no usable checkpoint covers them.
var ErrNoCheckpoint = errors.New("log has no checkpoint that the state can restore")

// maxPageRecords bounds the records of one read.
const maxPageRecords = 500

// NewestCheckpoint returns the newest complete checkpoint of the log that the state
// can restore, or nil if there is none. It searches backwards from the end of the
// log.
func NewestCheckpoint(ctx context.Context, log port.Log, state *fold.State) (*fold.Snapshot, error) {
	page, err := readBounds(ctx, log)
	if err != nil {
		return nil, err
	}
	minOffset := max(page.Oldest, state.Next())
	for to := page.End; to > minOffset; to -= maxPageRecords {
		snap, err := newestCheckpointFrom(ctx, log, max(to-maxPageRecords, minOffset), page.End)
		if err != nil || (snap != nil && state.CheckSnapshot(*snap) == nil) {
			return snap, err
		}
	}
	return nil, nil
}

// readBounds returns a page with the oldest offset and the end of the log.
func readBounds(ctx context.Context, log port.Log) (port.Page, error) {
	page, err := log.Read(ctx, 1, 1, 0)
	if errors.Is(err, port.ErrLogExpired) {
		page, err = log.Read(ctx, page.Oldest, 1, 0)
	}
	if errors.Is(err, port.ErrLogExpired) {
		return page, nil
	}
	return page, err
}

// newestCheckpointFrom returns the newest complete checkpoint that begins in the page
// at offset from; its other pieces may be in later pages. It returns nil if there is none.
func newestCheckpointFrom(ctx context.Context, log port.Log, from, end int64) (*fold.Snapshot, error) {
	var assembler fold.Assembler
	var newest *fold.Snapshot
	for first := true; from < end; first = false {
		page, err := log.Read(ctx, from, maxPageRecords, 0)
		if err != nil || len(page.Records) == 0 {
			return newest, ignoreExpired(err)
		}
		pieces := 0
		for _, r := range page.Records {
			snap, n := addPieces(&assembler, r)
			pieces += n
			if snap != nil {
				newest = snap
			}
		}
		if newest != nil || (first && pieces == 0) {
			return newest, nil
		}
		from = page.Records[len(page.Records)-1].Offset + 1
	}
	return newest, nil
}

func ignoreExpired(err error) error {
	if errors.Is(err, port.ErrLogExpired) {
		return nil
	}
	return err
}

// addPieces adds the checkpoint pieces of a log record to the assembler. It returns
// the last snapshot that they completed, if any, and the number of pieces.
func addPieces(a *fold.Assembler, r port.LogRecord) (*fold.Snapshot, int) {
	envelopes, err := record.Decode(r.Data)
	if err != nil {
		return nil, 0
	}
	var newest *fold.Snapshot
	pieces := 0
	for _, e := range envelopes {
		if e.Kind != record.KindCheckpoint || !record.Known(e.Kind, e.Version) {
			continue
		}
		pieces++
		snap, err := a.Add(e)
		if err == nil && snap != nil {
			newest = snap
		}
	}
	return newest, pieces
}

// Bootstrap prepares a state for folding the log if the state is new, or if the records
// that it needs next have expired from the log. It restores the newest checkpoint
// that the state can restore; without one the state is unchanged. Bootstrap returns
// ErrNoCheckpoint if the log then lacks the next record of the state.
func Bootstrap(ctx context.Context, log port.Log, state *fold.State) error {
	snap, err := NewestCheckpoint(ctx, log, state)
	if err != nil {
		return err
	}
	if snap != nil {
		if err := state.Restore(*snap); err != nil {
			return err
		}
	}
	page, err := readBounds(ctx, log)
	if err != nil {
		return err
	}
	if page.Oldest > state.Next() {
		return errors.Wrapf(ErrNoCheckpoint, "state is at offset %d, log begins at offset %d", state.Next(), page.Oldest)
	}
	return nil
}

// Sync prepares the state and folds the log up to its end as of the last read.
func Sync(ctx context.Context, log port.Log, state *fold.State) error {
	if err := Bootstrap(ctx, log, state); err != nil {
		return err
	}
	return FoldToEnd(ctx, log, state)
}

// FoldToEnd folds the records from state.Next up to the end of the log as of the last
// read.
func FoldToEnd(ctx context.Context, log port.Log, state *fold.State) error {
	for {
		page, err := log.Read(ctx, state.Next(), maxPageRecords, 0)
		if err != nil {
			return err
		}
		for _, r := range page.Records {
			// The state counts the records of other errors as skipped.
			if _, err := state.Fold(r); errors.Is(err, fold.ErrGap) {
				return errors.Wrap(port.ErrLogUnavailable, err.Error())
			}
		}
		if state.Next() >= page.End {
			return nil
		}
		if len(page.Records) == 0 {
			return errors.Wrap(port.ErrLogUnavailable, "log returned no records before its end")
		}
	}
}
