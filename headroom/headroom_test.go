package headroom

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// hosts is a set of hosts with a table each. Reports are exchanged by exchange.
type hosts struct {
	names  []string
	tables map[string]*Table
	work   map[string]map[string]Work
}

func newHosts(n int) *hosts {
	h := &hosts{tables: map[string]*Table{}, work: map[string]map[string]Work{}}
	for i := range n {
		h.add(fmt.Sprint("h", i))
	}
	return h
}

func (h *hosts) add(name string) {
	h.names = append(h.names, name)
	h.tables[name], h.work[name] = NewTable(name), map[string]Work{}
}

func listed(string) (string, bool) { return "api", true }

// exchange gives each of the readers the reports of all hosts.
func (h *hosts) exchange(now time.Time, readers ...string) {
	for _, reader := range readers {
		var peers []Peer
		for _, name := range h.names {
			if name == reader {
				continue
			}
			work := map[string]Work{}
			for id, w := range h.work[name] {
				work[id] = w
			}
			peers = append(peers, Peer{name, work, h.tables[name].Heard()})
		}
		h.tables[reader].SetView(now, peers, listed)
	}
}

// fill lets each host send as much as it may and returns how many requests the endpoint then has.
func (h *hosts) fill(now time.Time, e Endpoint, w Work) int {
	total := 0
	for _, name := range h.names {
		for h.tables[name].Begin(now, e, w) {
			sum := h.work[name][e.ID]
			h.work[name][e.ID] = Work{sum.Requests + w.Requests, sum.Tokens + w.Tokens}
			if total > 10*e.Slots+1000 {
				return total
			}
			total++
		}
	}
	sum := 0
	for _, name := range h.names {
		sum += h.work[name][e.ID].Requests
	}
	return sum
}

// TestHostsNeverExceedSlots: all hosts send a burst at one moment, each as much as it may. Together they have no
// more at the endpoint than it has slots, and not many less.
func TestHostsNeverExceedSlots(t *testing.T) {
	for name, tc := range map[string]struct {
		hosts, slots, bound, want int
	}{
		"nine hosts, six slots, no rejection":       {9, 6, 0, 5},
		"nine hosts, six slots, one rejection":      {9, 6, 1, 5},
		"nine hosts, six slots, two rejections":     {9, 6, 2, 6},
		"nine hosts, six slots, many rejections":    {9, 6, 50, 6},
		"nine hosts, an engine, no rejection":       {9, 64, 0, 56},
		"nine hosts, an engine, four rejections":    {9, 64, 4, 59},
		"59 hosts, six slots, two rejections":       {59, 6, 2, 6},
		"59 hosts, an engine, one rejection":        {59, 64, 1, 56},
		"one host, one slot, no rejection":          {1, 1, 0, 1},
		"nine hosts, one slot, many rejections":     {9, 1, 50, 1},
		"one host, an engine, many rejections":      {1, 64, 50, 64},
		"three hosts, an engine, three rejections":  {3, 64, 3, 58},
		"nine hosts, slots unknown, two rejections": {9, 0, 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHosts(tc.hosts)
			e := Endpoint{ID: "e", Service: "api", Slots: tc.slots}
			h.exchange(start, h.names...)
			for _, table := range h.tables {
				table.State(e, Statement{true, tc.bound, start})
			}
			now := start.Add(settleTime)
			is.Equal(h.fill(now, e, Work{Requests: 1}), tc.want)
		})
	}
}

// TestViewsThatDiffer: hosts that know less than the others, while the endpoint bears one rejection and nine hosts
// share six slots. No host causes an excess of what it can bear.
func TestViewsThatDiffer(t *testing.T) {
	e := Endpoint{ID: "e", Service: "api", Slots: 6}
	w := Work{Requests: 1}
	prepare := func(bound int) *hosts {
		h := newHosts(9)
		h.exchange(start, h.names...)
		h.tables["h0"].State(e, Statement{true, bound, start})
		h.exchange(start.Add(time.Second), h.names...)
		h.exchange(start.Add(3*time.Second), h.names...)
		return h
	}
	now := start.Add(3 * time.Second)
	t.Run("told by one host", func(t *testing.T) {
		is.New(t).Equal(prepare(1).fill(now, e, w), 5)
	})
	t.Run("one host does not read the reports", func(t *testing.T) {
		is := is.New(t)
		for _, cut := range []string{"h0", "h4", "h8"} {
			h := prepare(3)
			later := now.Add(maxViewAge + time.Second)
			for _, name := range h.names {
				if name != cut {
					h.exchange(later, name)
				}
			}
			sum := h.fill(later, e, w)
			is.True(sum == 5 || sum == 6) // the cut host does not use what is kept back
			own := part(h.tables[cut].rows["e"].ranks[cut], 9, 5)
			is.Equal(h.work[cut]["e"].Requests, own)
			// When it reads again it does not do so either until the others have heard of it.
			h.exchange(later.Add(time.Second), cut)
			is.True(!h.tables[cut].Allows(later.Add(time.Second), e, Work{Requests: own + 1 - h.work[cut]["e"].Requests}))
		}
	})
	t.Run("a host starts", func(t *testing.T) {
		is := is.New(t)
		h := prepare(1)
		h.add("new")
		h.exchange(now, "new") // it has read the reports, the others have not read its own
		is.Equal(h.fill(now, e, w), 5)
		is.Equal(h.work["new"]["e"].Requests, 0)
	})
	t.Run("a host that has read nothing yet", func(t *testing.T) {
		is := is.New(t)
		table := NewTable("new")
		is.True(table.Allows(now, e, w)) // nothing is named
		table.State(e, Statement{true, 5, now})
		is.True(!table.Allows(now, e, w))
	})
	t.Run("one host is gone for the others", func(t *testing.T) {
		is := is.New(t)
		for _, gone := range prepare(1).names {
			h := prepare(1)
			for _, table := range h.tables {
				table.State(e, Statement{true, 1, now}) // each has had an answer
			}
			var rest []string
			for _, name := range h.names {
				if name != gone {
					rest = append(rest, name)
				}
			}
			all := h.names
			h.names = rest
			h.exchange(now, rest...)
			h.names = all
			is.True(h.fill(now, e, w) <= e.Slots)
		}
	})
	t.Run("the endpoint starts anew and has said nothing", func(t *testing.T) {
		h := prepare(1)
		is.New(t).Equal(h.fill(now, Endpoint{ID: "e2", Service: "api", Slots: 6}, w), 5)
	})
	t.Run("another service", func(t *testing.T) {
		h := prepare(1)
		is.New(t).True(h.fill(now, Endpoint{ID: "e3", Service: "other", Slots: 6}, w) > 100)
	})
}

// TestRequestsBefore: requests that hosts had sent before the bound was named take from the room of all.
func TestRequestsBefore(t *testing.T) {
	e := Endpoint{ID: "e", Service: "api", Slots: 64}
	for name, tc := range map[string]struct{ of, want int }{
		"none":              {0, 56},
		"within its share":  {6, 56},
		"beyond its share":  {30, 56},
		"all slots":         {64, 64},
		"more than slots":   {100, 100},
		"nearly all of it":  {55, 56},
		"what is kept back": {58, 58},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHosts(9)
			for range tc.of {
				h.tables["h3"].Occupy(e, Work{Requests: 1})
			}
			h.work["h3"]["e"] = Work{Requests: tc.of}
			h.exchange(start, h.names...)
			for _, table := range h.tables {
				table.State(e, Statement{true, 0, start})
			}
			is.Equal(h.fill(start.Add(settleTime), e, Work{Requests: 1}), tc.want)
		})
	}
}

// TestTokens: prompts that fill the KV cache before the slots wait for it, and endpoints that cannot let them wait
// would reject them.
func TestTokens(t *testing.T) {
	is := is.New(t)
	h := newHosts(9)
	e := Endpoint{ID: "e", Service: "api", Slots: 64, CacheTokens: 720_000}
	h.exchange(start, h.names...)
	for _, table := range h.tables {
		table.State(e, Statement{true, 2, start})
	}
	is.Equal(h.fill(start.Add(settleTime), e, Work{1, 30_000}), 18) // two for each host: 70,000 tokens
	h = newHosts(9)
	h.exchange(start, h.names...)
	for _, table := range h.tables {
		table.State(e, Statement{true, 2, start})
	}
	is.Equal(h.fill(start.Add(settleTime), e, Work{1, 75_000}), 9) // one longer than the share is sent alone
}

// TestRejectionPauses: nine hosts whose requests are all rejected, such as by an endpoint with fewer slots than it
// lists, cause no more rejections than it bears over some seconds.
func TestRejectionPauses(t *testing.T) {
	for _, bound := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(bound), func(t *testing.T) {
			is := is.New(t)
			h := newHosts(9)
			e := Endpoint{ID: "e", Service: "api", Slots: 64}
			h.exchange(start, h.names...)
			for _, table := range h.tables {
				table.State(e, Statement{true, bound, start})
			}
			rejections := 0
			const seconds = 40
			began := start.Add(settleTime)
			for now := began; now.Before(began.Add(seconds * time.Second)); now = now.Add(100 * time.Millisecond) {
				for _, name := range h.names {
					if table := h.tables[name]; table.Begin(now, e, Work{Requests: 1}) {
						table.Rejected(now, e)
						table.End(now, e, Work{Requests: 1}, true)
						rejections++
					}
				}
				h.exchange(now, h.names...)
			}
			is.True(rejections <= seconds*bound+9)
			is.True(rejections >= 9)
		})
	}
}

func TestStatements(t *testing.T) {
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	e := Endpoint{ID: "e", Service: "api", Slots: 1}
	type step struct {
		statement Statement
		changed   bool
	}
	for name, tc := range map[string]struct {
		steps   []step
		told    *Statement
		bounded bool
	}{
		"nothing":                         {nil, nil, false},
		"no bound":                        {[]step{{Statement{false, 0, at(1)}, false}}, nil, false},
		"a bound":                         {[]step{{Statement{true, 2, at(1)}, true}}, nil, true},
		"a bound of none":                 {[]step{{Statement{true, 0, at(1)}, true}}, nil, true},
		"the same again":                  {[]step{{Statement{true, 2, at(1)}, true}, {Statement{true, 2, at(2)}, false}}, nil, true},
		"another bound":                   {[]step{{Statement{true, 2, at(1)}, true}, {Statement{true, 3, at(2)}, true}}, nil, true},
		"lifted":                          {[]step{{Statement{true, 2, at(1)}, true}, {Statement{false, 0, at(2)}, true}}, nil, false},
		"an older answer without":         {[]step{{Statement{true, 2, at(2)}, true}, {Statement{false, 0, at(1)}, false}}, nil, true},
		"told":                            {nil, &Statement{true, 2, at(1)}, true},
		"told, and newer heard":           {[]step{{Statement{true, 2, at(1)}, true}, {Statement{false, 0, at(3)}, true}}, &Statement{true, 2, at(2)}, false},
		"heard, and newer told as lifted": {[]step{{Statement{true, 2, at(1)}, true}}, &Statement{false, 0, at(2)}, false},
		"heard, and older told as lifted": {[]step{{Statement{true, 2, at(3)}, true}}, &Statement{false, 0, at(2)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable("h")
			for _, s := range tc.steps {
				is.Equal(table.State(e, s.statement), s.changed)
			}
			var peers []Peer
			if tc.told != nil {
				peers = []Peer{{Host: "p", Statements: map[string]Statement{"e": *tc.told}}}
			}
			table.SetView(at(4), peers, listed)
			_, bounded := table.Bound(e)
			is.Equal(bounded, tc.bounded)
			if tc.told != nil && len(tc.steps) == 0 {
				table.SetView(at(5), []Peer{{Host: "p"}}, listed) // the host that told it does not say so any more
				_, bounded = table.Bound(e)
				is.True(!bounded)
			}
		})
	}
}

// TestForgotten: what is kept of endpoints ends when they are gone, and what was lifted after a while.
func TestForgotten(t *testing.T) {
	is := is.New(t)
	table := NewTable("h")
	e := Endpoint{ID: "e", Service: "api", Slots: 1}
	table.State(e, Statement{true, 1, start})
	table.SetView(start.Add(time.Hour), nil, listed)
	_, bounded := table.Bound(e)
	is.True(bounded) // no answer has said otherwise
	gone := func(string) (string, bool) { return "", false }
	table.SetView(start.Add(time.Hour+time.Second), nil, gone)
	_, bounded = table.Bound(Endpoint{ID: "e2", Service: "api"})
	is.True(bounded) // all its endpoints may be starting anew
	table.SetView(start.Add(time.Hour+liftedMemory+time.Second), nil, gone)
	is.Equal(len(table.rows), 0)

	now := start.Add(2 * time.Hour)
	table.State(e, Statement{true, 1, now})
	table.State(e, Statement{false, 0, now.Add(time.Second)})
	table.SetView(now.Add(2*time.Second), nil, listed)
	is.Equal(len(table.Heard()), 1) // told to the others
	table.SetView(now.Add(2*time.Second+liftedMemory), nil, listed)
	is.Equal(len(table.Heard()), 0)
	is.Equal(len(table.rows), 0)
}

// TestLiftedByOthers: a bound that another host has heard to be lifted does not come back when that host forgets it.
func TestLiftedByOthers(t *testing.T) {
	is := is.New(t)
	table := NewTable("h")
	e := Endpoint{ID: "e", Service: "api", Slots: 1}
	table.State(e, Statement{true, 1, start})
	lifted := []Peer{{Host: "p", Statements: map[string]Statement{"e": {false, 0, start.Add(time.Second)}}}}
	table.SetView(start.Add(2*time.Second), lifted, listed)
	is.Equal(len(table.Heard()), 0)
	table.SetView(start.Add(3*time.Second), []Peer{{Host: "p"}}, listed)
	_, bounded := table.Bound(e)
	is.True(!bounded)
	// What others have heard later of the same bound does not replace what this host has heard: each would rely on the
	// other.
	table.State(e, Statement{true, 1, start.Add(4 * time.Second)})
	table.SetView(start.Add(5*time.Second), []Peer{{Host: "p", Statements: map[string]Statement{"e": {true, 1, start.Add(5 * time.Second)}}}}, listed)
	table.SetView(start.Add(6*time.Second), []Peer{{Host: "p"}}, listed)
	_, bounded = table.Bound(e)
	is.True(bounded)
}

// TestStartingHostLearnsBounds guards against a host that starts, reads the reports of all others, and finds no bound in
// them although each of these has heard one: each leaves out what another host has heard later.
func TestStartingHostLearnsBounds(t *testing.T) {
	e := Endpoint{ID: "e", Service: "api", Slots: 6}
	for name, tc := range map[string]struct {
		delay time.Duration // by how much newer a statement seems to the others, as reports take time
		ended string
	}{
		"the host that heard last has ended":       {0, "h2"},
		"reports take longer than between answers": {time.Second, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHosts(3)
			for i, host := range h.names {
				h.tables[host].State(e, Statement{true, 1, start.Add(time.Duration(i) * time.Millisecond)})
			}
			reports := func(reader string) (peers []Peer) {
				for _, host := range h.names {
					if host == reader || host == tc.ended && reader == "new" {
						continue
					}
					p := Peer{Host: host, Statements: map[string]Statement{}}
					for id, s := range h.tables[host].Heard() {
						p.Statements[id] = Statement{s.Bounded, s.PerSecond, s.At.Add(tc.delay)}
					}
					peers = append(peers, p)
				}
				return peers
			}
			views := map[string][]Peer{}
			for _, host := range h.names {
				views[host] = reports(host)
			}
			now := start.Add(time.Second)
			for host, peers := range views {
				h.tables[host].SetView(now, peers, listed)
			}
			started := NewTable("new")
			started.SetView(now, reports("new"), listed)
			perSecond, bounded := started.Bound(e)
			is.True(bounded)
			is.Equal(perSecond, 1)
			is.True(!started.Allows(now, e, Work{Requests: 1})) // it has no share yet
		})
	}
}

// TestGivenUp: a request that was given up counts until its endpoint has noticed.
func TestGivenUp(t *testing.T) {
	is := is.New(t)
	table := NewTable("h")
	e := Endpoint{ID: "e", Service: "api", Slots: 1}
	table.SetView(start, nil, listed)
	table.State(e, Statement{true, 1, start})
	now := start.Add(settleTime)
	is.True(table.Begin(now, e, Work{Requests: 1}))
	is.True(!table.Begin(now, e, Work{Requests: 1}))
	table.End(now, e, Work{Requests: 1}, false)
	is.True(!table.Allows(now, e, Work{Requests: 1}))
	is.True(table.Allows(now.Add(lingerTime), e, Work{Requests: 1}))
}

// TestNothingNamed: while no endpoint of the service has named a bound, every request is allowed.
func TestNothingNamed(t *testing.T) {
	is := is.New(t)
	table := NewTable("h")
	e := Endpoint{ID: "e", Service: "api", Slots: 1, CacheTokens: 10}
	table.State(Endpoint{ID: "o", Service: "other"}, Statement{true, 0, start})
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Second)
		table.State(e, Statement{At: now})
		table.SetView(now, []Peer{{Host: "p", Work: map[string]Work{"e": {1000, 1000}}}}, func(string) (string, bool) { return "api", true })
		is.True(table.Begin(now, e, Work{1, 1000}))
		table.Rejected(now, e)
	}
}

// BenchmarkAllows is the cost of one decision among 59 hosts, with a bound and without.
func BenchmarkAllows(b *testing.B) {
	for _, bounded := range []bool{false, true} {
		b.Run(fmt.Sprint("bounded ", bounded), func(b *testing.B) {
			h := newHosts(59)
			h.exchange(start, "h0")
			e := Endpoint{ID: "e", Service: "api", Slots: 64, CacheTokens: 685_000}
			h.tables["h0"].State(e, Statement{bounded, 3, start})
			now := start.Add(settleTime)
			for b.Loop() {
				h.tables["h0"].Allows(now, e, Work{1, 2000})
			}
		})
	}
}
