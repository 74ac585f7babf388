package gateway

import (
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/memory"
)

// errGivenUp cancels the attempt whose answer gives way to others.
var errGivenUp = errors.New("given up, as others need the memory")

// heldAnswer is what is held of one answer, as far as it exceeds a read buffer, for its endpoint.
type heldAnswer struct {
	c *call
	a *endpointAttempt
	// revocable is set if the answer is given up when others need the memory.
	revocable bool
	hold      *memory.Hold
}

// grow accounts for size bytes that are held. It reports false if there is no room.
func (h *heldAnswer) grow(size int) bool {
	if size <= readBufferBytes {
		if h.hold != nil {
			h.hold.Shrink(0)
		}
		return true
	}
	if h.hold == nil {
		var revoke func()
		if h.revocable {
			revoke = func() { h.a.cancel(errGivenUp) }
		}
		h.hold = h.c.g.account.Open(memory.KindAnswer, h.a.view.ID, revoke)
	}
	if h.hold.Grow(int64(size - readBufferBytes)) {
		return true
	}
	if h.revocable {
		h.c.g.recordNoMemory(memory.KindAnswer, h.a.view.ID, h.c.req.ID, int64(size), 0)
	}
	return false
}

// revoked reports whether the answer is to be given up.
func (h *heldAnswer) revoked() bool { return h.hold != nil && h.hold.Revoked() }

func (h *heldAnswer) release() {
	if h.hold != nil {
		h.hold.Release()
	}
}

// keepFailure keeps an endpoint's error answer until the request ends, with what is held of it.
func (c *call) keepFailure(b *bufferedReply, held *heldAnswer) {
	c.failureHeld.release()
	c.failure, c.failureHeld = b, *held
	held.hold = nil
}

// recordNoMemory logs and counts that there was no room for bytes of an owner, an endpoint or a workspace.
func (g *Gateway) recordNoMemory(k memory.Kind, owner, request string, bytes int64, waited time.Duration) {
	held, limit := g.account.Usage(k)
	g.metrics.noMemory.WithLabelValues(k.String()).Inc()
	g.log.Warn().Str("event", "no_memory").Str("kind", k.String()).Str("owner", owner).Str("request", request).
		Int64("bytes", bytes).Int64("held", held).Int64("limit", limit).Dur("waited", waited).Msg("")
}
