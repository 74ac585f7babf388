package lineage

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestRecords(t *testing.T) {
	is := is.New(t)
	table := NewTable(start)
	table.Began(start, "a", Origin{"llm", "v1"})
	table.Began(start, "b", Origin{"llm", "v2"})
	table.Began(start, "c", Origin{"other", "v1"})
	table.Learn(start, "d", Origin{"llm", "v1"})
	table.Completed("llm", "b")
	origin, ok := table.Lookup("b")
	is.True(ok && origin == Origin{"llm", "v2"})
	is.Equal(table.TakeUntold("llm"), map[string]string{"a": "v1"}) // neither completed, nor of another service, nor learned
	is.Equal(len(table.TakeUntold("llm")), 0)                       // they count as told
	// A record is kept for RecordTTL at least, and for twice that at most while others come.
	for age := time.Duration(0); age <= 2*RecordTTL; age += RecordTTL / 9 {
		table.Learn(start.Add(age), fmt.Sprint("new", age), Origin{"llm", "v3"})
		origin, ok := table.Lookup("a")
		is.True(ok || age > RecordTTL)
		is.True(!ok || origin == Origin{"llm", "v1"})
	}
	_, ok = table.Lookup("a")
	is.True(!ok)
	is.Equal(len(table.TakeUntold("other")), 0)
}

// TestRecordsAreBounded guards against memory that grows with the number of streams.
func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	table := NewTable(start)
	for i := range 3*maxRecords + 1 {
		table.Began(start, fmt.Sprint(i), Origin{"llm", "v1"})
	}
	is.True(table.Len() <= 2*maxRecords)
	_, ok := table.Lookup(fmt.Sprint(3 * maxRecords))
	is.True(ok) // the newest are kept
	is.True(len(table.TakeUntold("llm")) <= 2*maxRecords)
}

// TestHolders: hosts agree on the holders of a stream, the loss of a host moves no others, and the holders
// are spread over availability zones.
func TestHolders(t *testing.T) {
	is := is.New(t)
	var hosts []Host
	for n := range 24 {
		hosts = append(hosts, Host{fmt.Sprint("h", n), fmt.Sprint("z", n%4)})
	}
	rng := rand.New(rand.NewPCG(1, 1))
	held := map[string]int{}
	for n := range 4000 {
		stream := fmt.Sprint("s", n)
		holders := Holders(stream, hosts)
		is.Equal(len(holders), 3)
		zones := map[string]bool{}
		for _, name := range holders {
			held[name]++
			zones[hosts[slices.IndexFunc(hosts, func(h Host) bool { return h.Name == name })].Zone] = true
		}
		is.Equal(len(zones), 3)
		other := slices.Clone(hosts)
		rng.Shuffle(len(other), func(i, j int) { other[i], other[j] = other[j], other[i] })
		is.Equal(Holders(stream, other), holders)
		without := Holders(stream, slices.DeleteFunc(other, func(h Host) bool { return h.Name == holders[1] }))
		is.True(slices.Contains(without, holders[0]))
	}
	for _, h := range hosts {
		is.True(held[h.Name] > 300 && held[h.Name] < 700) // 500 on average
	}
	is.Equal(len(Holders("s", []Host{{"a", "z"}, {"b", "z"}, {"c", "z"}, {"d", "z"}})), 4) // one zone only
}

// TestSmallDeploymentsHoldAllRecords guards against streams that are refused once all but one host have been lost.
func TestSmallDeploymentsHoldAllRecords(t *testing.T) {
	for n := 1; n <= 2*maxHostsHoldingAll; n++ {
		is := is.New(t)
		var hosts []Host
		var names []string
		for i := range n {
			hosts = append(hosts, Host{fmt.Sprint("h", i), fmt.Sprint("z", i%4)})
			names = append(names, hosts[i].Name)
		}
		holders := Holders("s", hosts)
		slices.Sort(holders)
		slices.Sort(names)
		if n > maxHostsHoldingAll {
			names = holders[:holderCount]
		}
		is.Equal(holders, names)
	}
}

func TestOnly(t *testing.T) {
	for name, tc := range map[string]struct {
		served  []Origin
		current bool
		origin  Origin
		ok      bool
	}{
		"one version":                     {[]Origin{{"a", "v1"}, {"a", "v1"}}, true, Origin{"a", "v1"}, true},
		"two versions":                    {[]Origin{{"a", "v1"}, {"a", "v2"}}, true, Origin{}, false},
		"one name in two services":        {[]Origin{{"a", "v1"}, {"b", "v1"}}, true, Origin{}, false},
		"one version, knowledge outdated": {[]Origin{{"a", "v1"}}, false, Origin{}, false},
		"none":                            {nil, true, Origin{}, false},
		"one version without a name":      {[]Origin{{"a", ""}}, true, Origin{"a", ""}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			origin, ok := Knowledge{tc.served, tc.current}.Only()
			is.Equal(ok, tc.ok)
			is.Equal(origin, tc.origin)
		})
	}
}

// TestRecordsOfOlderBuildsReplaceNone guards against a record without a service, of a host of an older build, that
// replaces a whole one.
func TestRecordsOfOlderBuildsReplaceNone(t *testing.T) {
	is := is.New(t)
	table := NewTable(start)
	table.Learn(start, "a", Origin{"", "v1"})
	table.Learn(start, "a", Origin{"llm", "v1"})
	table.Learn(start, "a", Origin{"", "v1"})
	origin, ok := table.Lookup("a")
	is.True(ok)
	is.Equal(origin, Origin{"llm", "v1"})
}
