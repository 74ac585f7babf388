package drain

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Peer is an entry host as the choice of takers sees it.
type Peer struct {
	Host   string
	Region string
}

// Takers returns the hosts to offer a request to, best first: those of the
// region, then the others, each by rendezvous on the request's id. The first
// limit are returned.
func Takers(id string, peers []Peer, region string, limit int) []string {
	ranked := rank(id, peers)
	slices.SortStableFunc(ranked, func(a, b Peer) int {
		return cmp.Compare(elsewhere(a, region), elsewhere(b, region))
	})
	return names(ranked, limit)
}

func elsewhere(p Peer, region string) int {
	if p.Region == region {
		return 0
	}
	return 1
}

// Searched returns the hosts to ask for a request whose giver is not known,
// best first: the first of each region, then the second of each, and so on.
func Searched(id string, peers []Peer, limit int) []string {
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
	return names(ranked, limit)
}

func names(peers []Peer, limit int) []string {
	out := make([]string, 0, min(limit, len(peers)))
	for _, p := range peers[:min(limit, len(peers))] {
		out = append(out, p.Host)
	}
	return out
}

// rank orders peers by the hash of the id with their name: every host that
// knows the same peers computes the same order.
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
