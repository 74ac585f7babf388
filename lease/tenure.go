package lease

import "time"

// Tenure is one process's view of a lease whose records are appended on the
// condition that no other process has appended meanwhile. The log accepts at most
// one process as holder, so readers need not decide which record is accepted. The
// fencing token is the number of the record that took the lease, counted from 1; zero
// means that the lease is not held.
//
// The holder measures the TTL from before its last confirmed renewal began, and
// stops acting Margin before other processes may take over. A Tenure is not safe
// for concurrent use.
type Tenure struct {
	opts         Options
	fencingToken int64
	validUntil   time.Time
}

// NewTenure returns a lease that is not held.
func NewTenure(opts Options) *Tenure { return &Tenure{opts: opts} }

// Acquired records that the process took the lease with a fencing token, by an append
// that began at startedAt.
func (t *Tenure) Acquired(startedAt time.Time, fencingToken int64) {
	t.fencingToken = fencingToken
	t.validUntil = startedAt.Add(t.opts.TTL - t.opts.Margin)
}

// Renewed records a renewal that began at startedAt and that the other processes
// will read. It does not extend a lease that had expired by then.
func (t *Tenure) Renewed(startedAt time.Time) {
	if t.fencingToken != 0 && startedAt.Before(t.validUntil) {
		t.validUntil = startedAt.Add(t.opts.TTL - t.opts.Margin)
	}
}

// Lost records that the process no longer holds the lease.
func (t *Tenure) Lost() { t.fencingToken, t.validUntil = 0, time.Time{} }

// Held reports whether the process may act now, and with which fencing token.
func (t *Tenure) Held(now time.Time) (int64, bool) {
	if t.fencingToken == 0 || !now.Before(t.validUntil) {
		return 0, false
	}
	return t.fencingToken, true
}

// Remaining returns how long the process may act from now on; zero if it may not.
func (t *Tenure) Remaining(now time.Time) time.Duration {
	if _, held := t.Held(now); !held {
		return 0
	}
	return t.validUntil.Sub(now)
}

// Expired reports whether the process held the lease and it has expired.
func (t *Tenure) Expired(now time.Time) bool { return t.fencingToken != 0 && !now.Before(t.validUntil) }
