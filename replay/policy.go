package replay

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/route"
)

// Names of policies.
const (
	PolicyDaemon         = "ours"
	PolicyRandom         = "random"
	PolicyLeastInFlight  = "least-in-flight"
	PolicyRoundRobin     = "round-robin"
	PolicyPrefixAffinity = "prefix-home"
)

// Policies returns the names of all policies. The daemon's own policy is the first.
func Policies() []string {
	return []string{PolicyDaemon, PolicyRandom, PolicyLeastInFlight, PolicyRoundRobin, PolicyPrefixAffinity}
}

// policy chooses the endpoint for a request.
type policy interface {
	choose(e *entry, c *call) (route.Choice, error)
}

// newPolicy returns the policy with a name, or nil if there is none.
func newPolicy(name string) policy {
	switch name {
	case PolicyDaemon:
		return daemonPolicy{}
	case PolicyRandom:
		return baseline(pickRandom)
	case PolicyLeastInFlight:
		return baseline(pickLeastInFlight)
	case PolicyRoundRobin:
		return baseline(pickRoundRobin)
	case PolicyPrefixAffinity:
		return baseline(pickPrefixAffinity)
	}
	return nil
}

// daemonPolicy is the daemon's routing code.
type daemonPolicy struct{}

func (daemonPolicy) choose(e *entry, c *call) (route.Choice, error) {
	h := &e.sim.trace.Header
	remaining := c.event.AnswerTokens - c.receivedTokens
	return e.chooser.Choose(route.Query{
		Service:          h.Service,
		PromptTokens:     c.tokens + c.receivedTokens,
		AnswerTokens:     remaining,
		Bytes:            c.tokens*4 + remaining*route.EventBytesPerToken,
		Excluded:         c.excluded,
		Target:           fromMilliseconds(h.FirstTokenMS),
		LinkBytesPerHour: h.LinkBytesPerHour,
	}, c.blocks, e.sim.clock.time())
}

// baseline picks an endpoint of the entry host's region, or of any region if its own has none.
type baseline func(e *entry, c *call, hosts []port.Host) port.Host

func (pick baseline) choose(e *entry, c *call) (route.Choice, error) {
	local, remote := e.eligible(c)
	if len(local) == 0 {
		local = remote
	}
	if len(local) == 0 {
		return route.Choice{}, route.ErrNoEndpoint
	}
	return route.Choice{Host: pick(e, c, local)}, nil
}

// eligible returns the endpoints that a request may be sent to: those that are not leaving,
// excluded or suspect.
func (e *entry) eligible(c *call) (local, remote []port.Host) {
	for _, h := range e.hosts {
		if e.rows[h.ID].Leaving || c.excluded[h.ID] || e.sim.clock.now < e.suspectUntil[h.ID] {
			continue
		}
		if h.Region == e.host.Region {
			local = append(local, h)
		} else {
			remote = append(remote, h)
		}
	}
	return local, remote
}

func pickRandom(e *entry, _ *call, hosts []port.Host) port.Host { return hosts[e.rng.IntN(len(hosts))] }

func pickRoundRobin(e *entry, _ *call, hosts []port.Host) port.Host {
	e.roundRobinIndex++
	return hosts[e.roundRobinIndex%len(hosts)]
}

// pickLeastInFlight returns the endpoint with the fewest requests: by its last report or by the
// entry host's own count, whichever is higher.
func pickLeastInFlight(e *entry, _ *call, hosts []port.Host) port.Host {
	best, fewest := hosts[0], -1
	offset := e.rng.IntN(len(hosts)) // breaks ties at random
	for i := range hosts {
		h := hosts[(i+offset)%len(hosts)]
		r := e.reports[h.ID]
		load := max(e.inFlight[h.ID], r.Running+r.Waiting)
		if fewest < 0 || load < fewest {
			best, fewest = h, load
		}
	}
	return best
}

// affinityBlocks is the number of leading blocks that decide a prompt's endpoint under prefix
// affinity.
const affinityBlocks = 4

// pickPrefixAffinity returns the endpoint with the highest rendezvous rank for the prompt's first
// blocks, whatever its load.
func pickPrefixAffinity(_ *entry, c *call, hosts []port.Host) port.Host {
	key := c.blocks[min(len(c.blocks), affinityBlocks)-1]
	best, highest := hosts[0], uint64(0)
	for _, h := range hosts {
		if rank := mix(key ^ xxhash.Sum64String(h.ID)); rank >= highest {
			best, highest = h, rank
		}
	}
	return best
}

// mix spreads the bits of a hash, so that ranks are evenly distributed.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}
