package drain

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Peer is an entry host that a request may be offered to.
type Peer struct {
	Host   string
	Region string
}

// Candidates returns at most limit hosts to offer a request to, best first: those of
// the region, then the others, both ordered by rendezvous hashing on the
// request's id.
func Candidates(id string, peers []Peer, region string, limit int) []string {
	ranked := rank(id, peers)
	slices.SortStableFunc(ranked, func(a, b Peer) int {
		return cmp.Compare(regionRank(a, region), regionRank(b, region))
	})
	return hostIDs(ranked, limit)
}

func regionRank(p Peer, region string) int {
	if p.Region == region {
		return 0
	}
	return 1
}

// SearchOrder returns at most limit hosts to ask for a request whose sender is not
// known, best first: the first of each region, then the second of each, and so
// on.
func SearchOrder(id string, peers []Peer, limit int) []string {
	ranked := rank(id, peers)
	round := map[string]int{}
	rounds := make(map[string]int, len(ranked))
	for _, p := range ranked {
		rounds[p.Host] = round[p.Region]
		round[p.Region]++
	}
	slices.SortStableFunc(ranked, func(a, b Peer) int {
		return cmp.Compare(rounds[a.Host], rounds[b.Host])
	})
	return hostIDs(ranked, limit)
}

func hostIDs(peers []Peer, limit int) []string {
	out := make([]string, 0, min(limit, len(peers)))
	for _, p := range peers[:min(limit, len(peers))] {
		out = append(out, p.Host)
	}
	return out
}

// rank orders peers by the hash of the id and their host: every host that knows
// the same peers computes the same order.
func rank(id string, peers []Peer) []Peer {
	scores := make(map[string]uint64, len(peers))
	for _, p := range peers {
		scores[p.Host] = xxhash.Sum64String(id + "\x00" + p.Host)
	}
	out := slices.Clone(peers)
	slices.SortFunc(out, func(a, b Peer) int {
		if c := cmp.Compare(scores[b.Host], scores[a.Host]); c != 0 {
			return c
		}
		return cmp.Compare(a.Host, b.Host)
	})
	return out
}
