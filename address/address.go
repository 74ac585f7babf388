// Package address chooses the entry hosts that a caller of a service should use. Each
// (service, workspace) has a shard of its own, chosen by rendezvous hashing: some hosts
// of the caller's region and some of other regions. If one workspace overloads or
// crashes its entry hosts, other workspaces still have working ones. Adding or removing
// a host changes only the shards that contain it.
//
// The choice depends only on the list of hosts, their verdicts and the caller's
// location, so that every entry host returns the same shard once it has the same list.
package address

import (
	"slices"

	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// Sizes of a shard.
const (
	// ShardSize is how many entry hosts a caller receives. NearSize is how many of
	// them are in the caller's region, if it has that many; it may be more if other
	// regions have too few.
	ShardSize = 5
	NearSize  = 3
	// MinZones is how many availability zones the hosts of the caller's region
	// span, if the region has that many.
	MinZones = 2
)

// Host is one entry host.
type Host struct {
	ID      string
	Region  string
	Zone    string
	Address string
	// Unavailable is set for a host that is leaving, dead or stale. It is excluded from
	// shards.
	Unavailable bool
	// Suspect hosts are ordered last in a shard.
	Suspect bool
}

// Location is the region and availability zone of the caller.
type Location struct {
	Region string
	Zone   string
}

// Shard returns the entry hosts for a service and workspace, nearest to from first. If
// all hosts are unavailable, it chooses among them: some may still respond, which is
// better than an empty shard.
func Shard(hosts []Host, service, workspace string, from Location) []Host {
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

// usable returns the hosts that are available, or all hosts if none is.
func usable(hosts []Host) []Host {
	available := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Unavailable })
	if len(available) == 0 {
		return hosts
	}
	return available
}

// ranked returns the hosts ordered by their rendezvous rank for key.
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

// spread returns the first n hosts. If they are all in one availability zone, the last
// is replaced by the highest-ranked host of another, if there is one.
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

// distance returns the sort key of a host in a shard: same availability zone, same
// region, other region, suspect.
func distance(from Location, h Host) int {
	switch {
	case h.Suspect:
		return 3
	case h.Zone == from.Zone:
		return 0
	case h.Region == from.Region:
		return 1
	}
	return 2
}
