package address_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/address"
)

func hosts(n int) []address.Host {
	var out []address.Host
	for i := range n {
		zone := i % 3
		out = append(out, address.Host{
			ID: fmt.Sprintf("h%d", i), Zone: fmt.Sprintf("z%d", zone), Region: fmt.Sprintf("r%d", zone/2),
		})
	}
	return out
}

func ids(hs []address.Host) []string {
	var out []string
	for _, h := range hs {
		out = append(out, h.ID)
	}
	slices.Sort(out)
	return out
}

func zones(hs []address.Host) int {
	seen := map[string]bool{}
	for _, h := range hs {
		seen[h.Zone] = true
	}
	return len(seen)
}

func TestShard(t *testing.T) {
	for name, tc := range map[string]struct {
		hosts []address.Host
		size  int
		zones int
	}{
		"none":                   {nil, 0, 0},
		"one":                    {hosts(1), 1, 1},
		"seven":                  {hosts(7), address.ShardSize, 2},
		"many":                   {hosts(200), address.ShardSize, 2},
		"one host in the region": {hosts(3), 3, 3},
		"unavailable hosts":      {markUnavailable(hosts(7), "h0", "h1", "h2", "h3"), 3, 2},
		"all unavailable":        {markUnavailable(hosts(3), "h0", "h1", "h2"), 3, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for w := range 100 {
				shard := address.Shard(tc.hosts, "s", fmt.Sprint(w), address.Location{Region: "r0", Zone: "z1"})
				is.Equal(len(shard), tc.size)
				is.True(zones(shard) >= tc.zones)
				for i := 1; i < len(shard); i++ {
					is.True(rank(shard[i-1]) <= rank(shard[i])) // nearest first
				}
			}
		})
	}
}

func rank(h address.Host) int {
	switch {
	case h.Zone == "z1":
		return 0
	case h.Region == "r0":
		return 1
	}
	return 2
}

// markUnavailable marks only the hosts with these ids as unavailable.
func markUnavailable(hs []address.Host, unavailable ...string) []address.Host {
	for i := range hs {
		hs[i].Unavailable = slices.Contains(unavailable, hs[i].ID)
	}
	return hs
}

func TestNearPartSpansZones(t *testing.T) {
	is := is.New(t)
	for w := range 300 {
		shard := address.Shard(hosts(30), "s", fmt.Sprint(w), address.Location{Region: "r0", Zone: "z0"})
		is.Equal(zones(shard[:address.NearSize]), 2)
		is.Equal(shard[address.NearSize].Region, "r1")
	}
}

func TestSuspectComesLast(t *testing.T) {
	is := is.New(t)
	list := hosts(3)
	list[0].Suspect = true
	shard := address.Shard(list, "s", "w", address.Location{Region: "r0", Zone: "z0"})
	is.Equal(shard[2].ID, "h0")
}

func TestUnavailableHostIsInNoShard(t *testing.T) {
	is := is.New(t)
	for w := range 100 {
		shard := address.Shard(markUnavailable(hosts(9), "h4"), "s", fmt.Sprint(w), address.Location{})
		is.True(!slices.Contains(ids(shard), "h4"))
	}
}

func TestSameAnswerFromAnyHost(t *testing.T) {
	is := is.New(t)
	list := hosts(9)
	want := address.Shard(list, "s", "w", address.Location{Region: "r0", Zone: "z0"})
	slices.Reverse(list) // the order of the list must not matter
	is.Equal(address.Shard(list, "s", "w", address.Location{Region: "r0", Zone: "z0"}), want)
}

// moved returns the fraction of shard entries that change between two lists of hosts.
func moved(before, after []address.Host, workspaces int) float64 {
	changed, entries := 0, 0
	for w := range workspaces {
		from := address.Location{Region: fmt.Sprint("r", w%2), Zone: fmt.Sprint("z", w%2)}
		old := ids(address.Shard(before, "s", fmt.Sprint(w), from))
		for _, id := range ids(address.Shard(after, "s", fmt.Sprint(w), from)) {
			entries++
			if !slices.Contains(old, id) {
				changed++
			}
		}
	}
	return float64(changed) / float64(entries)
}

// TestMovementIsMinimal guards against reshuffling shards when one host is added or
// removed: about 1/N of the shard entries may change, 2/N is the limit.
func TestMovementIsMinimal(t *testing.T) {
	const workspaces = 2000
	for _, n := range []int{7, 9, 50, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			removed := moved(hosts(n), markUnavailable(hosts(n), "h2"), workspaces)
			added := moved(markUnavailable(hosts(n), "h2"), hosts(n), workspaces)
			t.Logf("hosts %d: moved on removal %.4f, on addition %.4f, 1/N %.4f", n, removed, added, 1/float64(n))
			is.True(removed < 2/float64(n))
			is.True(added < 2/float64(n))
		})
	}
}

// TestCrashesByOneWorkspace guards against one workspace making a service unavailable
// to others: when requests of one workspace crash every host of its shard, each other
// workspace must still have at least one working host.
func TestCrashesByOneWorkspace(t *testing.T) {
	const workspaces = 200
	for _, n := range []int{7, 50} {
		is := is.New(t)
		crashed := ids(address.Shard(hosts(n), "s", "poisoned", address.Location{}))
		is.True(len(crashed) < n)
		for w := range workspaces {
			working := 0
			for _, id := range ids(address.Shard(hosts(n), "s", fmt.Sprint(w), address.Location{})) {
				if !slices.Contains(crashed, id) {
					working++
				}
			}
			// With fewer hosts than two shards, shards may coincide; see below for the shard chosen then.
			is.True(working > 0 || n < 2*address.ShardSize)
		}
		after := markUnavailable(hosts(n), crashed...)
		is.Equal(len(address.Shard(after, "s", "other", address.Location{})), min(address.ShardSize, n-len(crashed)))
	}
}
