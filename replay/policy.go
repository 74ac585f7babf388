package replay

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/route"
)

// Names of policies.
const (
	PolicyOurs          = "ours"
	PolicyRandom        = "random"
	PolicyLeastInFlight = "least-in-flight"
	PolicyRoundRobin    = "round-robin"
	PolicyPrefixHome    = "prefix-home"
)

// Policies returns the names of all policies, ours first.
func Policies() []string {
	return []string{PolicyOurs, PolicyRandom, PolicyLeastInFlight, PolicyRoundRobin, PolicyPrefixHome}
}

// policy chooses the endpoint for a request.
type policy interface {
	choose(e *entry, c *call) (route.Choice, error)
}

// newPolicy returns the policy of a name, or nil.
func newPolicy(name string) policy {
	switch name {
	case PolicyOurs:
		return ours{}
	case PolicyRandom:
		return baseline(pickRandom)
	case PolicyLeastInFlight:
		return baseline(pickLeast)
	case PolicyRoundRobin:
		return baseline(pickNext)
	case PolicyPrefixHome:
		return baseline(pickHome)
	}
	return nil
}

// ours is the daemon's decision code.
type ours struct{}

func (ours) choose(e *entry, c *call) (route.Choice, error) {
	h := &e.world.trace.Header
	left := c.event.AnswerTokens - c.received
	return e.chooser.Choose(route.Query{
		Service:          h.Service,
		PromptTokens:     c.tokens + c.received,
		AnswerTokens:     left,
		Bytes:            c.tokens*4 + left*route.EventBytesPerToken,
		Excluded:         c.excluded,
		Target:           milliseconds(h.FirstTokenMS),
		LinkBytesPerHour: h.LinkBytesPerHour,
	}, c.blocks, e.world.clock.time())
}

// baseline picks among the endpoints of the own region, or of all when the
// region has none.
type baseline func(e *entry, c *call, hosts []port.Host) port.Host

func (pick baseline) choose(e *entry, c *call) (route.Choice, error) {
	near, far := e.eligible(c)
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return route.Choice{}, route.ErrNoEndpoint
	}
	return route.Choice{Host: pick(e, c, near)}, nil
}

func (e *entry) eligible(c *call) (near, far []port.Host) {
	for _, h := range e.hosts {
		if e.rows[h.ID].Leaving || c.excluded[h.ID] || e.world.clock.now < e.suspect[h.ID] {
			continue
		}
		if h.Region == e.host.Region {
			near = append(near, h)
		} else {
			far = append(far, h)
		}
	}
	return near, far
}

func pickRandom(e *entry, _ *call, hosts []port.Host) port.Host { return hosts[e.rng.IntN(len(hosts))] }

func pickNext(e *entry, _ *call, hosts []port.Host) port.Host {
	e.turn++
	return hosts[e.turn%len(hosts)]
}

// pickLeast takes the endpoint with the least requests, by the last report or
// by the entry host's own count, whichever is higher.
func pickLeast(e *entry, _ *call, hosts []port.Host) port.Host {
	best, least := hosts[0], -1
	offset := e.rng.IntN(len(hosts)) // ties fall anywhere
	for i := range hosts {
		h := hosts[(i+offset)%len(hosts)]
		r := e.reports[h.ID]
		load := max(e.inFlight[h.ID], r.Running+r.Waiting)
		if least < 0 || load < least {
			best, least = h, load
		}
	}
	return best
}

// homeBlocks is how many blocks prompts have in common that share a home.
const homeBlocks = 4

// pickHome takes the first in rendezvous rank for the first blocks, whatever
// its load.
func pickHome(_ *entry, c *call, hosts []port.Host) port.Host {
	key := c.blocks[min(len(c.blocks), homeBlocks)-1]
	best, highest := hosts[0], uint64(0)
	for _, h := range hosts {
		if rank := mix(key ^ xxhash.Sum64String(h.ID)); rank >= highest {
			best, highest = h, rank
		}
	}
	return best
}

func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}
