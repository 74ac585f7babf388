package headroom

import (
	"time"

	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// slots returns how many requests this host may have at an endpoint at once.
func (t *Table) slots(now time.Time, r *row, e Endpoint, perSecond int) int {
	total := max(e.Slots, 1)
	reserved := min(max(total/reserveFraction, 1), total-1)
	t.rank(r, e.ID)
	mine := t.share(r, e.ID, total-reserved, false, min(reserved, max(perSecond-1, 0)))
	if now.Sub(t.viewedAt) <= maxViewAge && !now.Before(t.trustedAt) {
		mine += extra(r.ranks[t.host], len(r.ranks), min(reserved, max(perSecond-1, 0)))
	}
	return mine
}

// tokens returns how many tokens of the KV cache the requests of this host may occupy at once.
func (t *Table) tokens(r *row, e Endpoint) int {
	t.rank(r, e.ID)
	return t.share(r, e.ID, e.CacheTokens-e.CacheTokens/reserveFraction, true, 0)
}

// rank ranks the hosts at an endpoint: by rendezvous, so that a host that joins or leaves changes few shares.
func (t *Table) rank(r *row, id string) {
	if r.view == t.view && r.ranks != nil {
		return
	}
	hosts := make([]string, 0, len(t.peers)+1)
	for _, p := range t.peers {
		hosts = append(hosts, p.Host)
	}
	r.view, r.ranks, r.shares = t.view, make(map[string]int, len(hosts)+1), map[shareKey]int{}
	for i, host := range rendezvous.Rank("headroom/"+id, append(hosts, t.host)) {
		r.ranks[host] = i
	}
}

// share returns this host's share of total slots or tokens. What other hosts have beyond theirs, such as requests that
// they sent before the endpoint named a bound, is taken from the shares of those that have not. reserved is what may
// be used besides.
func (t *Table) share(r *row, id string, total int, tokens bool, reserved int) int {
	key := shareKey{total, reserved, tokens}
	if share, ok := r.shares[key]; ok {
		return share
	}
	hosts := len(r.ranks)
	beyond := 0
	within := make([]bool, hosts) // by rank
	mine := r.ranks[t.host]
	within[mine] = true
	for _, p := range t.peers {
		amount := p.Work[id].Requests
		if tokens {
			amount = p.Work[id].Tokens
		}
		rank := r.ranks[p.Host]
		over := amount - part(rank, hosts, total) - extra(rank, hosts, reserved)
		within[rank] = over <= 0
		beyond += max(over, 0)
	}
	place, bearers := 0, 0
	for rank, bears := range within {
		if rank == mine {
			place = bearers
		}
		if bears {
			bearers++
		}
	}
	r.shares[key] = max(part(mine, hosts, total)-part(place, bearers, beyond), 0)
	return r.shares[key]
}

// part returns the part of total of the host with a rank: the first ones get the remainder.
func part(rank, hosts, total int) int {
	if rank < total%hosts {
		return total/hosts + 1
	}
	return total / hosts
}

// extra returns the part of what is kept back: the last hosts get the remainder.
func extra(rank, hosts, reserved int) int { return part(hosts-1-rank, hosts, reserved) }
