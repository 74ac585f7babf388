package hostlist_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/hostlist"
	"github.com/cicadanotch/cicadanotch/port"
)

var start = time.Unix(1_800_000_000, 0)

// lists returns the states of a list that changes in steps: rows are added, removed and
// changed.
func lists(rng *rand.Rand, steps int) [][]port.Host {
	rows := map[string]port.Host{}
	var out [][]port.Host
	for range steps {
		for range rng.IntN(4) {
			id := fmt.Sprintf("h%d", rng.IntN(40))
			switch _, ok := rows[id]; {
			case !ok:
				rows[id] = port.Host{ID: id, State: port.HostLive}
			case rng.IntN(2) == 0:
				delete(rows, id)
			default:
				rows[id] = port.Host{ID: id, State: port.HostLeaving, PricePerHour: rng.Float64()}
			}
		}
		var list []port.Host
		for _, h := range rows {
			list = append(list, h)
		}
		slices.SortFunc(list, func(a, b port.Host) int { return cmp.Compare(a.ID, b.ID) })
		out = append(out, list)
	}
	return out
}

// TestViewFollowsFeeds guards against a view that loses rows or retains removed ones when
// it switches between feeds or skips updates: it must equal the list of the feed that it
// used last.
func TestViewFollowsFeeds(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 0))
	feeds := []*hostlist.Feed{hostlist.NewFeed("a"), hostlist.NewFeed("b")}
	view := hostlist.NewView()
	for _, list := range lists(rng, 2000) {
		feed := feeds[rng.IntN(len(feeds))]
		feed.Update(start, list)
		if rng.IntN(3) > 0 {
			continue
		}
		got, _ := view.Apply(feed.Since(view.Position()))
		is.Equal(len(got), len(list))
		for i := range got {
			is.Equal(got[i], list[i])
		}
	}
}

// TestPrunedRemovals guards against a view that retains removed rows because the feed no
// longer retains their removal: such a view must receive the complete list.
func TestPrunedRemovals(t *testing.T) {
	is := is.New(t)
	feed, view := hostlist.NewFeed("a"), hostlist.NewView()
	feed.Update(start, []port.Host{{ID: "stays"}, {ID: "goes"}})
	view.Apply(feed.Since(view.Position()))
	feed.Update(start, []port.Host{{ID: "stays"}})
	for i := range 5000 {
		feed.Update(start, []port.Host{{ID: "stays"}, {ID: fmt.Sprint(i)}})
	}
	feed.Update(start, []port.Host{{ID: "stays"}})
	d := feed.Since(view.Position())
	is.True(d.All)
	list, changed := view.Apply(d)
	is.Equal(len(list), 1)
	is.True(changed)
	_, changed = view.Apply(feed.Since(view.Position()))
	is.True(!changed)
}

// deltaBytes returns the encoded sizes of the delta for an unchanged list and of the delta
// with the complete list.
func deltaBytes(tb testing.TB, hosts int) (unchanged, complete int) {
	tb.Helper()
	feed, view := hostlist.NewFeed("a"), hostlist.NewView()
	var list []port.Host
	for i := range hosts {
		list = append(list, port.Host{ID: fmt.Sprintf("jos-a-engine-%d", i), Role: port.RoleEndpoint, Region: "plateau", Zone: "jos-a", Service: "assistant-llm", State: port.HostLive, EndpointAddress: "10.0.0.1:8000"})
	}
	feed.Update(start, list)
	first, err := json.Marshal(feed.Since(view.Position()))
	is.New(tb).NoErr(err)
	view.Apply(feed.Since(view.Position()))
	feed.Update(start, list)
	next, err := json.Marshal(feed.Since(view.Position()))
	is.New(tb).NoErr(err)
	return len(next), len(first)
}

// TestUnchangedDeltaDoesNotGrow guards against deltas that grow with the list although
// nothing has changed.
func TestUnchangedDeltaDoesNotGrow(t *testing.T) {
	is := is.New(t)
	small, _ := deltaBytes(t, 10)
	large, complete := deltaBytes(t, 10_000)
	is.True(large <= small+len("9990")) // only the digits of the sequence number grow
	t.Logf("10,000 rows: %d bytes complete, %d bytes unchanged", complete, large)
}
