package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cicadanotch/cicadanotch/memory"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

const (
	// maxBodyWait bounds the time that a request waits for room for its body: callers abandon one that is not read
	// within a second, or within a third of their time.
	maxBodyWait     = 800 * time.Millisecond
	bodyWaitDivisor = 4
	// noMemoryRetryAfter is the delay after which a caller retries whose body found no room: about the time of a
	// request with a long one.
	noMemoryRetryAfter = time.Second
)

// Body is the room that a request's body has in the account of memory.
type Body struct {
	g              *Gateway
	owner, request string
	deadline       time.Time
	revoke         func()
	hold           *memory.Hold
}

// OpenBody returns the room for the body of a request whose head was read; Release must be called when the request has
// ended. remote is the address of the caller, ip:port. revoke is called if the body is to be given up before Keep; it
// must not block.
func (g *Gateway) OpenBody(arrived time.Time, head *port.Request, remote string, revoke func()) *Body {
	c := &call{g: g, req: head, arrived: arrived}
	b := &Body{g: g, owner: remoteHost(remote), request: head.ID, deadline: arrived.Add(defaultRequestTimeout), revoke: revoke}
	if c.plan(g.catalog.Current()) == nil {
		b.deadline = c.deadline
	}
	if c.workspace != nil {
		b.owner = c.workspace.Name
	}
	return b
}

// remoteHost returns the IP of a caller's address, the address itself if it has none.
func remoteHost(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// Reserve waits for room for so many bytes of the body, all of which may then be read. It returns a refusal if there is
// none in time; the request did not run.
func (b *Body) Reserve(ctx context.Context, bytes int64) *problem.Problem {
	kind := memory.KindBody
	if bytes <= memory.MaxSmallBody {
		kind = memory.KindSmallBody
	}
	if !b.g.account.Fits(kind, bytes) {
		return b.refuse(kind, bytes, 0)
	}
	began := time.Now()
	hold := b.g.account.Claim(kind, b.owner, bytes, b.revoke)
	if !b.await(ctx, began, hold) {
		hold.Release()
		return b.refuse(kind, bytes, time.Since(began))
	}
	b.Release()
	b.hold = hold
	return nil
}

// await reports whether a claim is granted in time.
func (b *Body) await(ctx context.Context, began time.Time, hold *memory.Hold) bool {
	select {
	case <-hold.Granted():
		return true
	default:
	}
	timer := time.NewTimer(min(maxBodyWait, b.deadline.Sub(began)/bodyWaitDivisor))
	defer timer.Stop()
	select {
	case <-hold.Granted():
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (b *Body) refuse(kind memory.Kind, bytes int64, waited time.Duration) *problem.Problem {
	b.g.recordNoMemory(kind, b.owner, b.request, bytes, waited)
	proof, _ := (&problem.Guard{}).ProveNotRun()
	return problem.NotRun(proof, http.StatusServiceUnavailable, problem.TypeOverloaded, "no room for the body").WithRetryAfter(noMemoryRetryAfter)
}

// Keep states the length of the body that was read, which is not given up any more. It returns a refusal if it has been.
func (b *Body) Keep(length int64) *problem.Problem {
	if b.hold == nil {
		return nil
	}
	b.hold.Shrink(length)
	if b.hold.Keep() {
		return nil
	}
	return b.refuse(memory.KindBody, length, 0)
}

// Revoked returns a refusal if the body is to be given up.
func (b *Body) Revoked() *problem.Problem {
	if b.hold == nil || !b.hold.Revoked() {
		return nil
	}
	return b.refuse(memory.KindBody, 0, 0)
}

// Release ends the room of the body. Further calls do nothing.
func (b *Body) Release() {
	if b.hold != nil {
		b.hold.Release()
	}
}
