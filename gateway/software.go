package gateway

import (
	"slices"
	"time"

	"github.com/cicadanotch/cicadanotch/fleet"
)

// What endpoints of two software versions write does not fit together, and no endpoint checks it. A stream
// therefore goes on only at the software version that sent its first event.

// streamSoftware returns the software version that began the stream; nil before its first event.
func (c *call) streamSoftware() *string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.software
}

// recordSoftware records at which software version the stream began, and counts what continues it.
func (c *call) recordSoftware(a *endpointAttempt) {
	if a.continued {
		return
	}
	a.continued = true
	way := "attempt"
	c.mu.Lock()
	began := c.software
	if began == nil {
		c.software = &a.view.Version
	}
	c.mu.Unlock()
	switch {
	case began == nil:
		c.g.recordBeginning(c, a.view.Version)
		return
	case c.events == 0:
		return // of a stream that the caller continues, see resolveOrigin
	case a.kvCopy != nil:
		way = "move"
	}
	relation := "same"
	if *began != a.view.Version {
		relation = "other"
	}
	c.g.metrics.continuations.WithLabelValues(way, relation).Inc()
}

// usable returns the endpoints that the request may be sent to.
func (c *call) usable(now time.Time) []fleet.View {
	return c.withinRollout(now, ofSoftware(c.g.fleet.Usable(now, c.service.Name), c.streamSoftware()))
}

// ofSoftware returns the endpoints of a software version, all of them for nil.
func ofSoftware(views []fleet.View, software *string) []fleet.View {
	if software == nil {
		return views
	}
	return slices.DeleteFunc(views, func(v fleet.View) bool { return v.Version != *software })
}

// canContinueElsewhere reports whether the rest of a stream that has begun may be sent by another endpoint than
// the one that is sending it.
func (c *call) canContinueElsewhere(now time.Time) bool {
	current := c.endpointID()
	return slices.ContainsFunc(c.usable(now), func(v fleet.View) bool { return v.ID != current })
}
