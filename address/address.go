// Package address chooses the entry hosts that a caller of a service shall
// use. Each (service, workspace) has a shard of its own by rendezvous: some
// hosts of the caller's region and some of others. What one workspace does to
// its entry hosts leaves others with hosts that still work, and a host that
// comes or goes moves only its own share.
//
// The choice depends on the list of hosts, the verdicts and the caller's place
// alone: every entry host gives the same answer, up to lag.
package address

import (
	"slices"

	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// Sizes of a shard.
const (
	// ShardSize is how many entry hosts a caller is given, NearSize how many
	// of them stand in the caller's region where there are as many.
	ShardSize = 5
	NearSize  = 3
	// MinZones is how many availability zones the near part spans, where the
	// region has as many.
	MinZones = 2
)

// Host is one entry host.
type Host struct {
	ID      string
	Region  string
	Zone    string
	Address string
	// Out hosts are given to nobody: leaving, dead or stale.
	Out bool
	// Suspect hosts come last.
	Suspect bool
}

// Place is where the caller stands.
type Place struct {
	Region string
	Zone   string
}

// Shard returns the entry hosts for a service and workspace, nearest to the
// place first. With all hosts out it returns those, which is better than none.
func Shard(hosts []Host, service, workspace string, from Place) []Host {
	var near, far []Host
	for _, h := range usable(hosts) {
		if h.Region == from.Region {
			near = append(near, h)
		} else {
			far = append(far, h)
		}
	}
	near, far = ranked(near, service+"/"+workspace), ranked(far, service+"/"+workspace)
	farSize := min(len(far), ShardSize-min(len(near), NearSize))
	near = spread(near, min(len(near), ShardSize-farSize))
	shard := append(near, far[:farSize]...)
	slices.SortStableFunc(shard, func(a, b Host) int { return distance(from, a) - distance(from, b) })
	return shard
}

func usable(hosts []Host) []Host {
	in := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Out })
	if len(in) == 0 {
		return hosts
	}
	return in
}

// ranked returns the hosts in the order of their rank for key.
func ranked(hosts []Host, key string) []Host {
	byID := make(map[string]Host, len(hosts))
	ids := make([]string, 0, len(hosts))
	for _, h := range hosts {
		byID[h.ID] = h
		ids = append(ids, h.ID)
	}
	out := make([]Host, 0, len(hosts))
	for _, id := range rendezvous.Rank(key, ids) {
		out = append(out, byID[id])
	}
	return out
}

// spread returns the first n hosts. The last place goes to another
// availability zone when the others are all of one.
func spread(ranked []Host, n int) []Host {
	shard := slices.Clone(ranked[:n])
	zones := map[string]bool{}
	for _, h := range shard {
		zones[h.Zone] = true
	}
	if len(zones) >= MinZones || n < MinZones {
		return shard
	}
	for _, h := range ranked[n:] {
		if !zones[h.Zone] {
			shard[n-1] = h
			return shard
		}
	}
	return shard
}

// distance ranks a host: same zone, same region, elsewhere, suspect.
func distance(p Place, h Host) int {
	switch {
	case h.Suspect:
		return 3
	case h.Zone == p.Zone:
		return 0
	case h.Region == p.Region:
		return 1
	}
	return 2
}
