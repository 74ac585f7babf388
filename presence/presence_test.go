package presence

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

const hostTTL = 4 * time.Second

func names(all []Report) []string {
	var out []string
	for _, r := range all {
		out = append(out, r.Host+"/"+r.Incarnation)
	}
	return out
}

func TestLive(t *testing.T) {
	report := func(host, incarnation string, sequence int64) Report {
		return Report{Host: host, Incarnation: incarnation, Sequence: sequence, State: StateServing}
	}
	for name, tc := range map[string]struct {
		receive func(*Table)
		want    []string
	}{
		"reported": {func(x *Table) { x.ReceiveReport(at(0), report("a", "1", 1), false); x.MarkRead(at(1)) }, []string{"a/1"}},
		"no further report": {func(x *Table) {
			x.MarkRead(at(0))
			x.ReceiveReport(at(0), report("a", "1", 1), false)
			x.MarkRead(at(1))
			x.MarkRead(at(2))
			x.MarkRead(at(3))
			x.MarkRead(at(4))
			x.MarkRead(at(5))
		}, nil},
		"this host itself":     {func(x *Table) { x.ReceiveReport(at(0), report("me", "1", 1), false); x.MarkRead(at(1)) }, nil},
		"own last incarnation": {func(x *Table) { x.ReceiveReport(at(0), report("me", "0", 1), false); x.MarkRead(at(1)) }, nil},
		"the newest incarnation": {func(x *Table) {
			x.ReceiveReport(at(0), report("a", "1", 9), false)
			x.ReceiveReport(at(1), report("a", "2", 1), false)
			x.MarkRead(at(1))
		}, []string{"a/2"}},
		"an older report again": {func(x *Table) {
			x.ReceiveReport(at(0), report("a", "1", 5), false)
			x.ReceiveReport(at(9), report("a", "1", 4), false)
			x.MarkRead(at(9))
		}, nil},
		"the store was unavailable": {func(x *Table) {
			x.MarkRead(at(0))
			x.ReceiveReport(at(0), report("a", "1", 1), false)
			x.MarkRead(at(9))
		}, []string{"a/1"}},
		"unavailable, then no report": {func(x *Table) {
			x.MarkRead(at(0))
			x.ReceiveReport(at(0), report("a", "1", 1), false)
			x.MarkRead(at(9))
			for s := 10.0; s < 16; s++ {
				x.MarkRead(at(s))
			}
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			x := NewTable("me", "1", hostTTL)
			tc.receive(x)
			is.New(t).Equal(names(x.Live()), tc.want)
		})
	}
}

func TestUnresponsive(t *testing.T) {
	is := is.New(t)
	x := NewTable("me", "1", hostTTL)
	x.ReceiveReport(at(0), Report{Host: "a", Incarnation: "1", Sequence: 1}, false)
	x.ReceiveReport(at(5), Report{Host: "b", Incarnation: "1", Sequence: 1}, false)
	x.MarkRead(at(6))
	is.Equal(names(x.Unresponsive(2*time.Second, 20*time.Second)), []string{"a/1"})
	is.Equal(names(x.Within(2*time.Second)), []string{"b/1"})
	x.ReceiveReport(at(6), Report{Host: "a", Incarnation: "2", Sequence: 1}, false) // restarted
	x.MarkRead(at(7))
	is.Equal(names(x.Unresponsive(2*time.Second, 20*time.Second)), []string{"b/1"})
}

func TestAddresses(t *testing.T) {
	host := func(address, zone, region string, s State) Report {
		return Report{Host: address, Address: address, Zone: zone, Region: region, State: s}
	}
	live := []Report{
		host("a1", "a", "r", StateServing), host("a2", "a", "r", StateServing), host("a3", "a", "r", StateLeaving),
		host("b1", "b", "r", StateServing), host("c1", "c", "s", StateServing),
	}
	self := host("me", "b", "r", StateServing)
	for name, tc := range map[string]struct {
		zone, region string
		self         Report
		want         []string
	}{
		"the caller's zone, without leaving hosts": {"a", "r", self, []string{"a1", "a2"}},
		"a zone with this host":                    {"b", "r", self, []string{"b1", "me"}},
		"a zone with too few: its region":          {"b", "r", host("me", "b", "r", StateLeaving), []string{"a1", "a2", "b1"}},
		"a region with too few: all":               {"c", "s", self, []string{"a1", "a2", "b1", "c1", "me"}},
		"an unknown zone":                          {"z", "y", self, []string{"a1", "a2", "b1", "c1", "me"}},
	} {
		t.Run(name, func(t *testing.T) {
			got := Addresses(live, tc.self, tc.zone, tc.region, 2, 64)
			slices.Sort(got)
			is.New(t).Equal(got, tc.want)
		})
	}
}

// TestAddressesAreBounded guards against sending all callers of a region without hosts to
// the same hosts, or a list of all of them: a caller receives a bounded subset of the
// addresses, which differs by the caller's zone.
func TestAddressesAreBounded(t *testing.T) {
	is := is.New(t)
	const hosts, maxCount = 86, 64
	var live []Report
	for i := range hosts {
		live = append(live, Report{Host: fmt.Sprint("h", i), Zone: "a", Region: "r", State: StateServing, Address: fmt.Sprint("10.0.0.", i, ":1")})
	}
	self := live[0]
	one, other := Addresses(live[1:], self, "x", "s", 2, maxCount), Addresses(live[1:], self, "y", "s", 2, maxCount)
	is.Equal(len(one), maxCount)
	is.Equal(len(other), maxCount)
	same := 0
	for _, a := range one {
		if slices.Contains(other, a) {
			same++
		}
	}
	is.True(same < maxCount)
}
