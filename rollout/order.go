package rollout

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/pkg/errors"
)

// Order is an operator's order to move the traffic of a service to a software version.
type Order struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Duration is the time from the order within which the move is to be complete.
	Duration time.Duration `json:"duration"`
	// Era and Offset are the place of the order's record. Offset is comparable within one era only.
	Era    int64 `json:"era,omitempty"`
	Offset int64 `json:"offset"`
}

const (
	// minDuration is the shortest duration that an order is carried out with: below it there is no time
	// for evidence.
	minDuration = 3 * time.Second
	// MaxDuration is the longest duration of an order: a longer one is taken for a wrong unit.
	MaxDuration = time.Hour
)

// Errors of Order.Check.
var (
	// ErrNoService means that an order names no service, ErrNoTarget that it names no version.
	ErrNoService = errors.New("service is missing")
	ErrNoTarget  = errors.New("target is missing")
	// ErrDuration means that a duration cannot be carried out.
	ErrDuration = errors.New("duration is out of range")
)

// Check returns an error that says what was seen and what is expected if the order cannot be carried out as
// stated.
func (o Order) Check() error {
	switch {
	case o.Service == "":
		return ErrNoService
	case o.Target == "":
		return ErrNoTarget
	case o.Duration < minDuration || o.Duration > MaxDuration:
		return errors.Wrapf(ErrDuration, "seen %v, expected %v to %v", o.Duration, minDuration, MaxDuration)
	}
	return nil
}

// SameContent reports whether two orders ask for the same, wherever they are recorded.
func (o Order) SameContent(other Order) bool {
	return o.Service == other.Service && o.Target == other.Target && o.Duration == other.Duration
}

// Is reports whether two hosts speak of the same order: of the same record, or of the same content in different eras.
func (o Order) Is(other Order) bool {
	return o.SameContent(other) && (o.Era != other.Era || o.Offset == other.Offset)
}

// Repeats reports whether the order is the same as one that is known. The same content in another era is the
// same order, because the operator writes its records again when the store was restored. In one era it is the
// same while the known one has not ended, and a new one if it was written after that.
func (o Order) Repeats(known Order, ended bool) bool {
	return o.SameContent(known) && (o.Era != known.Era || o.Offset == known.Offset || !ended)
}

// Share reports whether a request belongs to a fraction of all requests. A request that belongs to a fraction
// belongs to each larger one.
func Share(id string, fraction float64) bool {
	switch {
	case fraction <= 0:
		return false
	case fraction >= 1:
		return true
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	// The low bits of FNV are mixed better than the high ones; the multiplication spreads them.
	mixed := h.Sum64() * 0x9E3779B97F4A7C15
	mixed ^= mixed >> 32
	mixed *= 0xD6E8FEB86659FD93
	mixed ^= mixed >> 32
	return float64(mixed) < fraction*math.MaxUint64
}
