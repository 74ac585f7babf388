// Package catchup brings a folded state up to the end of the platform's log:
// from the newest checkpoint and the records after it.
package catchup

import (
	"context"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/fold"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
)

// ErrNoCheckpoint is returned when records that the state needs have aged out
// of the log and no checkpoint covers them.
var ErrNoCheckpoint = errors.New("log holds no checkpoint that the state can start from")

// pageLimit is how many records one read asks for.
const pageLimit = 500

// Newest returns the newest whole checkpoint of the log that the state can take
// over, searching from the log's end, or nil when there is none.
func Newest(ctx context.Context, log port.Log, state *fold.State) (*fold.Snapshot, error) {
	page, err := bounds(ctx, log)
	if err != nil {
		return nil, err
	}
	floor := max(page.Oldest, state.Next())
	for to := page.End; to > floor; to -= pageLimit {
		snap, err := newestFrom(ctx, log, max(to-pageLimit, floor), page.End)
		if err != nil || (snap != nil && state.Usable(*snap) == nil) {
			return snap, err
		}
	}
	return nil, nil
}

// bounds returns a page with the log's oldest offset and end.
func bounds(ctx context.Context, log port.Log) (port.Page, error) {
	page, err := log.Read(ctx, 1, 1, 0)
	if errors.Is(err, port.ErrLogExpired) {
		page, err = log.Read(ctx, page.Oldest, 1, 0)
	}
	if errors.Is(err, port.ErrLogExpired) {
		return page, nil
	}
	return page, err
}

// newestFrom returns the newest checkpoint whose first piece stands in the
// page at from; its other pieces may stand in later pages.
func newestFrom(ctx context.Context, log port.Log, from, end int64) (*fold.Snapshot, error) {
	var assembler fold.Assembler
	var newest *fold.Snapshot
	for first := true; from < end; first = false {
		page, err := log.Read(ctx, from, pageLimit, 0)
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

// addPieces adds the checkpoint pieces of a log record and counts them.
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

// Start brings a state that is new, or has fallen out of the log's retention,
// to where it can follow the log record by record: to the newest checkpoint, or
// to the log's beginning when nothing has aged out. ErrNoCheckpoint.
func Start(ctx context.Context, log port.Log, state *fold.State) error {
	snap, err := Newest(ctx, log, state)
	if err != nil {
		return err
	}
	if snap != nil {
		if err := state.Restore(*snap); err != nil {
			return err
		}
	}
	page, err := bounds(ctx, log)
	if err != nil {
		return err
	}
	if page.Oldest > state.Next() {
		return errors.Wrapf(ErrNoCheckpoint, "state is at %d, the log begins at %d", state.Next(), page.Oldest)
	}
	return nil
}

// Sync starts the state and folds the log up to its end as of the last read.
func Sync(ctx context.Context, log port.Log, state *fold.State) error {
	if err := Start(ctx, log, state); err != nil {
		return err
	}
	return Follow(ctx, log, state)
}

// Follow folds records from state.Next up to the log's end.
func Follow(ctx context.Context, log port.Log, state *fold.State) error {
	for {
		page, err := log.Read(ctx, state.Next(), pageLimit, 0)
		if err != nil {
			return err
		}
		for _, r := range page.Records {
			if _, err := state.Fold(r); errors.Is(err, fold.ErrGap) {
				return errors.Wrap(port.ErrLogUnavailable, err.Error())
			} // records that cannot be read are counted by the state
		}
		if state.Next() >= page.End {
			return nil
		}
		if len(page.Records) == 0 {
			return errors.Wrap(port.ErrLogUnavailable, "log gave no records below its end")
		}
	}
}
