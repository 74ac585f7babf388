package gateway

import (
	"sync/atomic"

	"github.com/cicadanotch/cicadanotch/port"
)

// The store may return from an older copy of itself (see port.Era). What a host concluded from
// positions of an earlier era is void: it reads each topic from its newest records again, a relay
// drops its cache, and the leader takes its leadership anew. What the host knows regardless of
// positions stays: configuration versions, incarnations that left, decided usage counts and fencing
// tokens. The table is in docs/decisions/0025-store-eras.md.

// eraState is the latest era that this host has heard of, from the store or from another host.
type eraState struct{ told atomic.Int64 }

// latestEra returns the latest era known to this host.
func (g *Gateway) latestEra() port.Era {
	return max(port.Era(g.era.told.Load()), g.ports.Store.Era())
}

// learnEra records an era that another host has told.
func (g *Gateway) learnEra(era port.Era) {
	for known := g.era.told.Load(); int64(era) > known; known = g.era.told.Load() {
		if g.era.told.CompareAndSwap(known, int64(era)) {
			return
		}
	}
}

// startEra prepares a follower for the latest era. A position of another era is dropped.
func (f *follower) startEra() {
	if !f.hasSnapshot || f.era == f.g.latestEra() {
		return
	}
	f.g.log.Warn().Str("event", "store_era").Str("topic", string(f.topic)).Int64("era", int64(f.g.latestEra())).
		Int64("before", int64(f.era)).Int64("offset", f.offset).Msg("reading the topic anew")
	f.g.metrics.stateChanges.WithLabelValues("store_era").Inc()
	f.hasSnapshot = false
}
