// Package porttest holds contract tests, with injected faults, that every
// implementation of a port must pass.
package porttest

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
)

// LogFault is a fault of a log.
type LogFault string

// Faults of a log.
const (
	// LogOutageBefore makes appends fail before they take effect.
	LogOutageBefore LogFault = "outage before the effect"
	// LogReplyLost makes appends fail after they have taken effect.
	LogReplyLost LogFault = "reply lost"
	// LogDuplicate makes appends take effect twice.
	LogDuplicate LogFault = "duplicate delivery"
	// LogRateLimited refuses appends with a rate limit error.
	LogRateLimited LogFault = "rate limited"
	// LogSlow delays appends by a short time.
	LogSlow LogFault = "slow"
	// LogReadOutage makes reads fail.
	LogReadOutage LogFault = "read outage"
)

// LogRig is a log under test.
type LogRig struct {
	Log port.Log
	// Inject applies a fault to that many of the next calls or, if calls is 0, to all
	// calls until the faults are removed.
	Inject func(f LogFault, calls int)
	// ClearFaults removes all faults.
	ClearFaults func()
	// MaxRecords is the number of records that the log retains.
	MaxRecords int
}

// TestLog checks the contract of port.Log. open returns an empty log.
func TestLog(t *testing.T, open func(t *testing.T) LogRig) {
	for name, check := range map[string]func(*testing.T, LogRig){
		"offsets increase by one":         offsetsIncrease,
		"concurrent appends":              concurrentAppends,
		"binary data":                     binaryData,
		"read limits":                     readLimits,
		"read waits for a record":         readWaits,
		"read returns after its wait":     readTimesOut,
		"read ends with its context":      readEnds,
		"offset no longer retained":       offsetExpired,
		"outage before the effect":        outageBefore,
		"reply lost":                      replyLost,
		"duplicate delivery":              duplicate,
		"rate limited":                    rateLimited,
		"slow":                            slow,
		"read outage":                     readOutage,
		"append ends with its context":    appendEnds,
		"reads of the same offsets agree": readsAgree,
		"read from the end":               readFromEnd,
	} {
		t.Run(name, func(t *testing.T) { check(t, open(t)) })
	}
}

func appendAll(t *testing.T, rig LogRig, count int) {
	t.Helper()
	for i := range count {
		_, err := rig.Log.Append(t.Context(), fmt.Append(nil, i))
		is.New(t).NoErr(err)
	}
}

func read(t *testing.T, rig LogRig, from int64) port.Page {
	t.Helper()
	page, err := rig.Log.Read(t.Context(), from, rig.MaxRecords, 0)
	is.New(t).NoErr(err)
	return page
}

func offsetsIncrease(t *testing.T, rig LogRig) {
	is := is.New(t)
	empty := read(t, rig, 1)
	is.Equal(len(empty.Records), 0)
	is.Equal(empty.End, int64(1))
	for want := int64(1); want <= 3; want++ {
		offset, err := rig.Log.Append(t.Context(), []byte("x"))
		is.NoErr(err)
		is.Equal(offset, want)
	}
	page := read(t, rig, 1)
	is.Equal(page.Oldest, int64(1))
	is.Equal(page.End, int64(4))
	for i, r := range page.Records {
		is.Equal(r.Offset, int64(i+1))
	}
}

func concurrentAppends(t *testing.T, rig LogRig) {
	is := is.New(t)
	offsets := make([]int64, rig.MaxRecords)
	var wg sync.WaitGroup
	for i := range offsets {
		wg.Go(func() {
			offset, err := rig.Log.Append(t.Context(), fmt.Append(nil, i))
			if err == nil {
				offsets[i] = offset
			}
		})
	}
	wg.Wait()
	page := read(t, rig, 1)
	is.Equal(len(page.Records), rig.MaxRecords)
	for i, offset := range offsets {
		is.Equal(string(page.Records[offset-1].Data), fmt.Sprint(i)) // the reply is the offset of the record
	}
}

func binaryData(t *testing.T, rig LogRig) {
	is := is.New(t)
	data := []byte{0, 255, '\n', '"', 0xc3, 0x28}
	_, err := rig.Log.Append(t.Context(), data)
	is.NoErr(err)
	data[0] = 9 // the log must have its own copy
	is.Equal(read(t, rig, 1).Records[0].Data, []byte{0, 255, '\n', '"', 0xc3, 0x28})
}

func readLimits(t *testing.T, rig LogRig) {
	is := is.New(t)
	appendAll(t, rig, 5)
	page, err := rig.Log.Read(t.Context(), 2, 2, 0)
	is.NoErr(err)
	is.Equal(len(page.Records), 2)
	is.Equal(page.Records[0].Offset, int64(2))
	is.Equal(page.End, int64(6))
}

func readWaits(t *testing.T, rig LogRig) {
	is := is.New(t)
	done := make(chan port.Page, 1)
	go func() {
		page, _ := rig.Log.Read(t.Context(), 1, 10, time.Minute) // an empty page fails the test
		done <- page
	}()
	_, err := rig.Log.Append(t.Context(), []byte("x"))
	is.NoErr(err)
	page := <-done
	is.Equal(len(page.Records), 1)
}

func readTimesOut(t *testing.T, rig LogRig) {
	is := is.New(t)
	page, err := rig.Log.Read(t.Context(), 1, 10, 10*time.Millisecond)
	is.NoErr(err)
	is.Equal(len(page.Records), 0)
	is.Equal(page.End, int64(1))
}

func readEnds(t *testing.T, rig LogRig) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := rig.Log.Read(ctx, 1, 10, time.Hour)
		done <- err
	}()
	cancel()
	is.New(t).True(errors.Is(<-done, port.ErrLogUnavailable))
}

func offsetExpired(t *testing.T, rig LogRig) {
	is := is.New(t)
	appendAll(t, rig, rig.MaxRecords+3)
	page, err := rig.Log.Read(t.Context(), 1, 10, 0)
	is.True(errors.Is(err, port.ErrLogExpired))
	is.Equal(page.Oldest, int64(4))
	is.Equal(read(t, rig, page.Oldest).Records[0].Offset, int64(4))
}

func outageBefore(t *testing.T, rig LogRig) {
	is := is.New(t)
	rig.Inject(LogOutageBefore, 1)
	_, err := rig.Log.Append(t.Context(), []byte("lost"))
	is.True(errors.Is(err, port.ErrLogUnavailable))
	is.Equal(read(t, rig, 1).End, int64(1))
	offset, err := rig.Log.Append(t.Context(), []byte("x"))
	is.NoErr(err)
	is.Equal(offset, int64(1))
}

func replyLost(t *testing.T, rig LogRig) {
	is := is.New(t)
	rig.Inject(LogReplyLost, 1)
	_, err := rig.Log.Append(t.Context(), []byte("kept"))
	is.True(errors.Is(err, port.ErrLogUnavailable))
	page := read(t, rig, 1)
	is.Equal(len(page.Records), 1) // once: the adapter must not retry by itself
	is.Equal(string(page.Records[0].Data), "kept")
}

func duplicate(t *testing.T, rig LogRig) {
	is := is.New(t)
	rig.Inject(LogDuplicate, 1)
	offset, err := rig.Log.Append(t.Context(), []byte("x"))
	is.NoErr(err)
	page := read(t, rig, 1)
	is.Equal(len(page.Records), 2)
	is.Equal(page.Records[0].Offset, offset)
}

func rateLimited(t *testing.T, rig LogRig) {
	is := is.New(t)
	rig.Inject(LogRateLimited, 1)
	_, err := rig.Log.Append(t.Context(), []byte("x"))
	is.True(errors.Is(err, port.ErrLogRateLimited))
	is.Equal(read(t, rig, 1).End, int64(1)) // it had no effect
}

func slow(t *testing.T, rig LogRig) {
	is := is.New(t)
	rig.Inject(LogSlow, 1)
	offset, err := rig.Log.Append(t.Context(), []byte("x"))
	is.NoErr(err)
	is.Equal(offset, int64(1))
	is.Equal(len(read(t, rig, 1).Records), 1)
}

func readOutage(t *testing.T, rig LogRig) {
	is := is.New(t)
	appendAll(t, rig, 2)
	rig.Inject(LogReadOutage, 0)
	_, err := rig.Log.Read(t.Context(), 1, 10, 0)
	is.True(errors.Is(err, port.ErrLogUnavailable))
	rig.ClearFaults()
	is.Equal(len(read(t, rig, 1).Records), 2)
}

func appendEnds(t *testing.T, rig LogRig) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	rig.Inject(LogSlow, 1)
	_, err := rig.Log.Append(ctx, []byte("x"))
	is.True(errors.Is(err, port.ErrLogUnavailable)) // it may or may not have taken effect
}

func readsAgree(t *testing.T, rig LogRig) {
	is := is.New(t)
	appendAll(t, rig, 6)
	full := read(t, rig, 1)
	var pieces []port.LogRecord
	for from := int64(1); from < full.End; {
		page, err := rig.Log.Read(t.Context(), from, 2, 0)
		is.NoErr(err)
		pieces = append(pieces, page.Records...)
		from = page.Records[len(page.Records)-1].Offset + 1
	}
	is.Equal(pieces, full.Records)
}

func readFromEnd(t *testing.T, rig LogRig) {
	is := is.New(t)
	appendAll(t, rig, 2)
	end := read(t, rig, 1).End
	appendAll(t, rig, 1)
	page := read(t, rig, end)
	is.Equal(len(page.Records), 1)
	is.Equal(page.Records[0].Offset, end)
}
