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
		"none":               {nil, 0, 0},
		"one":                {hosts(1), 1, 1},
		"seven":              {hosts(7), address.ShardSize, 2},
		"many":               {hosts(200), address.ShardSize, 2},
		"region of one host": {hosts(3), 3, 3},
		"out hosts left out": {out(hosts(7), "h0", "h1", "h2", "h3"), 3, 2},
		"all out":            {out(hosts(3), "h0", "h1", "h2"), 3, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for w := range 100 {
				shard := address.Shard(tc.hosts, "s", fmt.Sprint(w), address.Place{Region: "r0", Zone: "z1"})
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

func out(hs []address.Host, gone ...string) []address.Host {
	for i := range hs {
		hs[i].Out = slices.Contains(gone, hs[i].ID)
	}
	return hs
}

func TestNearPartSpansZones(t *testing.T) {
	is := is.New(t)
	for w := range 300 {
		shard := address.Shard(hosts(30), "s", fmt.Sprint(w), address.Place{Region: "r0", Zone: "z0"})
		is.Equal(zones(shard[:address.NearSize]), 2)
		is.Equal(shard[address.NearSize].Region, "r1")
	}
}

func TestSuspectComesLast(t *testing.T) {
	is := is.New(t)
	list := hosts(3)
	list[0].Suspect = true
	shard := address.Shard(list, "s", "w", address.Place{Region: "r0", Zone: "z0"})
	is.Equal(shard[2].ID, "h0")
}

func TestOutHostIsGivenToNobody(t *testing.T) {
	is := is.New(t)
	for w := range 100 {
		shard := address.Shard(out(hosts(9), "h4"), "s", fmt.Sprint(w), address.Place{})
		is.True(!slices.Contains(ids(shard), "h4"))
	}
}

func TestSameAnswerFromAnyHost(t *testing.T) {
	is := is.New(t)
	list := hosts(9)
	want := address.Shard(list, "s", "w", address.Place{Region: "r0", Zone: "z0"})
	slices.Reverse(list) // another order of the list
	is.Equal(address.Shard(list, "s", "w", address.Place{Region: "r0", Zone: "z0"}), want)
}

// moved returns the share of shard places that change between two lists.
func moved(before, after []address.Host, workspaces int) float64 {
	changed, places := 0, 0
	for w := range workspaces {
		from := address.Place{Region: fmt.Sprint("r", w%2), Zone: fmt.Sprint("z", w%2)}
		old := ids(address.Shard(before, "s", fmt.Sprint(w), from))
		for _, id := range ids(address.Shard(after, "s", fmt.Sprint(w), from)) {
			places++
			if !slices.Contains(old, id) {
				changed++
			}
		}
	}
	return float64(changed) / float64(places)
}

func TestMovementIsMinimal(t *testing.T) {
	const workspaces = 2000
	for _, n := range []int{7, 9, 50, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			removed := moved(hosts(n), out(hosts(n), "h2"), workspaces)
			added := moved(out(hosts(n), "h2"), hosts(n), workspaces)
			t.Logf("hosts %d: moved on removal %.4f, on addition %.4f, 1/N %.4f", n, removed, added, 1/float64(n))
			is.True(removed < 2/float64(n))
			is.True(added < 2/float64(n))
		})
	}
}

// TestDeathWaveOfOneWorkspace takes out every host of one shard: other
// workspaces must keep at least one host of theirs.
func TestDeathWaveOfOneWorkspace(t *testing.T) {
	const workspaces = 200
	for _, n := range []int{7, 50} {
		is := is.New(t)
		wave := ids(address.Shard(hosts(n), "s", "poisoned", address.Place{}))
		is.True(len(wave) < n)
		for w := range workspaces {
			left := 0
			for _, id := range ids(address.Shard(hosts(n), "s", fmt.Sprint(w), address.Place{})) {
				if !slices.Contains(wave, id) {
					left++
				}
			}
			is.True(left > 0 || n < 2*address.ShardSize) // small sites: the shard moves instead
		}
		after := out(hosts(n), wave...)
		is.Equal(len(address.Shard(after, "s", "other", address.Place{})), min(address.ShardSize, n-len(wave)))
	}
}
