package body

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cicadanotch/cicadanotch/memory"
	"github.com/cicadanotch/cicadanotch/problem"
)

const (
	// MaxWait bounds the time that a request waits for room for its body: callers abandon one that is not read within a
	// second, or within a third of their time, of which waitDivisor leaves some.
	MaxWait     = 800 * time.Millisecond
	waitDivisor = 4
	// retryAfter is the delay after which a caller retries whose body found no room: about the time of a request with a
	// long one.
	retryAfter = time.Second
)

// Room is the room that a request's body has in an account of memory. Release must be called when the request has ended.
type Room struct {
	// Account has the room. Owner is for whom the body counts, a workspace or an address.
	Account *memory.Account
	Owner   string
	// Deadline is when the request ends at the latest.
	Deadline time.Time
	// Revoke is called if the body is to be given up before Keep; it must not block.
	Revoke func()
	// Record is called for each refusal: so many bytes of a kind found no room in a time.
	Record func(kind memory.Kind, bytes int64, waited time.Duration)

	hold *memory.Hold
}

// Reserve waits for room for so many bytes of the body, all of which may then be read. It returns a refusal if there is
// none in time; the request did not run.
func (r *Room) Reserve(ctx context.Context, bytes int64) *problem.Problem {
	kind := memory.KindBody
	if bytes <= memory.MaxSmallBody {
		kind = memory.KindSmallBody
	}
	if !r.Account.Fits(kind, bytes) {
		return r.refuse(kind, bytes, 0)
	}
	began := time.Now()
	hold := r.Account.Claim(kind, r.Owner, bytes, r.Revoke)
	if !r.await(ctx, began, hold) {
		hold.Release()
		return r.refuse(kind, bytes, time.Since(began))
	}
	r.Release()
	r.hold = hold
	return nil
}

// await reports whether a claim is granted in time.
func (r *Room) await(ctx context.Context, began time.Time, hold *memory.Hold) bool {
	select {
	case <-hold.Granted():
		return true
	default:
	}
	timer := time.NewTimer(min(MaxWait, r.Deadline.Sub(began)/waitDivisor))
	defer timer.Stop()
	select {
	case <-hold.Granted():
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (r *Room) refuse(kind memory.Kind, bytes int64, waited time.Duration) *problem.Problem {
	r.Record(kind, bytes, waited)
	proof, _ := (&problem.Guard{}).ProveNotRun()
	return problem.NotRun(proof, http.StatusServiceUnavailable, problem.TypeOverloaded, "no room for the body").WithRetryAfter(retryAfter)
}

// Keep states the length of the body that was read, which is not given up any more. It returns a refusal if it has been.
func (r *Room) Keep(length int64) *problem.Problem {
	if r.hold == nil {
		return nil
	}
	r.hold.Shrink(length)
	if r.hold.Keep() {
		return nil
	}
	return r.refuse(memory.KindBody, length, 0)
}

// Revoked returns a refusal if the body is to be given up.
func (r *Room) Revoked() *problem.Problem {
	if r.hold == nil || !r.hold.Revoked() {
		return nil
	}
	return r.refuse(memory.KindBody, 0, 0)
}

// Refuse returns the refusal of a body of a length in bytes for which its connection has no room; the length is negative if it
// is not known.
func (r *Room) Refuse(length int64) *problem.Problem { return r.refuse(memory.KindBody, length, 0) }

// Release ends the room of the body. Further calls do nothing.
func (r *Room) Release() {
	if r.hold != nil {
		r.hold.Release()
	}
}

// RemoteHost returns the IP of a caller's address, for whom a body counts that belongs to no workspace; the address itself if
// it has none.
func RemoteHost(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
