package port

import (
	"context"
	"errors"
	"time"
)

// Errors of Store.
var (
	// ErrStoreUnavailable means that the store is down or did not answer. A write that
	// fails with it may still take effect, even seconds later.
	ErrStoreUnavailable = errors.New("store unavailable")
	// ErrStoreRefused means that the store refused the call, because of a rate limit or
	// because this host may not make it. It had no effect.
	ErrStoreRefused = errors.New("store refused the call")
	// ErrStoreConflict means that a conditional append found the topic longer than
	// expected. It had no effect.
	ErrStoreConflict = errors.New("topic is longer than expected")
	// ErrStoreExpired means that the requested records are no longer retained. The
	// newest record of each key still is.
	ErrStoreExpired = errors.New("records no longer retained")
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
	// TopicLeader holds the changes of leader and the decisions of the leaders.
	TopicLeader Topic = "duties"
	// TopicStatus holds what the operator reads of the system, by key.
	TopicStatus Topic = "status"
)

// TopicRecord is one record of a topic.
// Era numbers the histories of the store. It rises when the store returns from an older
// copy: records that it had acknowledged since that copy are gone, and their offsets are
// given out again. Offsets are comparable only within one era. It is zero if the store
// states none.
type Era int64

// Position is the place of a record in a topic. Positions are ordered by era, then by
// offset.
type Position struct {
	Era    Era
	Offset int64
}

type TopicRecord struct {
	Offset int64
	// Key is empty in topics without keys.
	Key   string
	Value []byte
}

// Removed reports whether the record removes its key.
func (r TopicRecord) Removed() bool { return r.Key != "" && len(r.Value) == 0 }

// TopicPage is the result of a read.
type TopicPage struct {
	// Era is the era of the offsets.
	Era     Era
	Records []TopicRecord
	// End is the offset at which to continue reading. First is the oldest retained
	// offset; Read sets it with ErrStoreExpired too.
	End   int64
	First int64
	// More reports that Read has found records from End on which are not in the page.
	More bool
}

// Unconditional is the value of the parameter at of Store.Append for an append
// without a condition.
const Unconditional int64 = -1

// StoreReplyTimeout is how long a store may be silent, beyond the time that a read waits for records,
// before a call fails: the store answers within some milliseconds, or 60 ms from another region. A read
// whose reply is arriving continues until its context ends.
const StoreReplyTimeout = 900 * time.Millisecond

// Store is the platform's store of records. All answers are linearizable.
type Store interface {
	// Newest returns the newest record of each key of a topic with keys.
	Newest(ctx context.Context, topic Topic) (TopicPage, error)
	// Read returns records starting at offset from. If there are none, it waits up to
	// wait for one. It returns ErrStoreExpired, also for an offset that the store does
	// not have, ErrStoreRefused or ErrStoreUnavailable.
	Read(ctx context.Context, topic Topic, from int64, wait time.Duration) (TopicPage, error)
	// Append atomically adds all records and returns the position of the first. Unless
	// at is Unconditional, it returns ErrStoreConflict if the topic does not end at
	// offset at, in whichever era the store then is.
	Append(ctx context.Context, topic Topic, at int64, records ...TopicRecord) (Position, error)
	// Era returns the latest era stated in any answer so far, refusals included.
	Era() Era
}

// Errors of the calls that only the leader makes.
var (
	// ErrFenced means that the platform has seen a higher fencing token.
	ErrFenced = errors.New("platform has seen a higher fencing token")
	// ErrNoCapacity means that the platform has no more capacity of the kind in the
	// availability zone at present.
	ErrNoCapacity = errors.New("no capacity available in the availability zone")
	// ErrLeaderAPIUnavailable means that the platform did not confirm the call: it may
	// have had no effect, or may take effect seconds later.
	ErrLeaderAPIUnavailable = errors.New("platform unavailable")
)

// Tenure identifies the leader in a call: the host and its fencing token.
type Tenure struct {
	Leader       string
	FencingToken int64
}

// CapacityOrder sets the target count of endpoints of a service in an availability
// zone.
type CapacityOrder struct {
	Service string
	Zone    string
	// Spot endpoints cost less and may be reclaimed.
	Spot  bool
	Count int
}

// LeaderAPI holds the calls to the platform's cloud API that only the leader makes.
type LeaderAPI interface {
	// ReportUsage reports the number of requests of each workspace that began in a
	// window. An exact repetition has no effect. It returns ErrFenced or
	// ErrLeaderAPIUnavailable.
	ReportUsage(ctx context.Context, t Tenure, window int64, counts map[string]int) error
	// OrderCapacity sets the target count of endpoints. It returns ErrNoCapacity,
	// ErrFenced or ErrLeaderAPIUnavailable.
	OrderCapacity(ctx context.Context, t Tenure, order CapacityOrder) error
}
