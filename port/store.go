package port

import (
	"context"
	"errors"
	"time"
)

// Errors that a Store returns.
var (
	// ErrStoreUnavailable means that the store did not answer or is down. A
	// write that fails with it may still take effect, seconds later too.
	ErrStoreUnavailable = errors.New("store unavailable")
	// ErrStoreRefused means that the store refused the call: over its rate, or
	// not from this host. It had no effect.
	ErrStoreRefused = errors.New("store refused the call")
	// ErrStoreConflict means that a conditional append found the topic longer
	// than it expected. It had no effect.
	ErrStoreConflict = errors.New("topic has grown meanwhile")
	// ErrStoreExpired means that the records read from are no longer kept; the
	// newest record of each key still is.
	ErrStoreExpired = errors.New("records no longer kept")
)

// Topic names a sequence of records in the platform's store.
type Topic string

// Topics.
const (
	// TopicConfiguration holds the operator's configuration. Read only.
	TopicConfiguration Topic = "configuration"
	// TopicEndpoints holds the registry of endpoints, by id. Read only.
	TopicEndpoints Topic = "endpoints"
	// TopicHosts holds the reports of the hosts, by host and incarnation.
	TopicHosts Topic = "hosts"
	// TopicDuties holds who took the duties and what was decided under them.
	TopicDuties Topic = "duties"
)

// TopicRecord is one record of a topic.
type TopicRecord struct {
	Offset int64
	// Key is empty in topics without keys.
	Key   string
	Value []byte
}

// Removed reports whether the record removes its key.
func (r TopicRecord) Removed() bool { return r.Key != "" && len(r.Value) == 0 }

// TopicPage is the answer to a read.
type TopicPage struct {
	Records []TopicRecord
	// End is the offset to read on from. First is the oldest offset that is
	// kept; it comes with ErrStoreExpired too.
	End   int64
	First int64
}

// Unconditional is the value of at for an append without a condition.
const Unconditional int64 = -1

// Store is the platform's store of records. All answers are linearizable.
type Store interface {
	// Newest returns the newest record of each key of a topic with keys.
	Newest(ctx context.Context, topic Topic) (TopicPage, error)
	// Read returns the records from an offset on, waiting up to wait for one;
	// ErrStoreExpired, ErrStoreRefused, ErrStoreUnavailable.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (TopicPage, error)
	// Append adds records, all or none, and returns the offset of the first.
	// With at it does so only if the topic ends there: ErrStoreConflict
	// otherwise.
	Append(ctx context.Context, topic Topic, at int64, records ...TopicRecord) (int64, error)
}

// Errors of Duties.
var (
	// ErrFenced means that a higher fencing number was seen.
	ErrFenced = errors.New("a higher fencing number was seen")
	// ErrNoneToBeHad means that the platform has no such endpoint there now.
	ErrNoneToBeHad = errors.New("none to be had there now")
	// ErrDutiesUnavailable means that the platform did not carry the call out,
	// or did not say so: it may take effect seconds later.
	ErrDutiesUnavailable = errors.New("platform unavailable")
)

// Tenure names the holder of the duties in a call.
type Tenure struct {
	Holder string
	Fence  int64
}

// CapacityOrder asks for a number of endpoints.
type CapacityOrder struct {
	Service string
	Zone    string
	// Spot endpoints cost less and may be reclaimed.
	Spot  bool
	Count int
}

// Duties are the calls that one host at a time makes for all.
type Duties interface {
	// ReportUsage reports the requests of each workspace that began in a
	// window. An exact repeat changes nothing; ErrFenced, ErrDutiesUnavailable.
	ReportUsage(ctx context.Context, t Tenure, window int64, counts map[string]int) error
	// OrderCapacity sets the number of endpoints; ErrNoneToBeHad, ErrFenced,
	// ErrDutiesUnavailable.
	OrderCapacity(ctx context.Context, t Tenure, order CapacityOrder) error
}
