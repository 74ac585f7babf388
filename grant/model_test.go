package grant

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// model is a system of hosts, grantors and messages on the way. A step of it is one of the successors
// that next returns: every message may be lost (it stays where it is), delayed, or arrive more than once.
type model struct {
	now      time.Time
	hosts    []Holding
	starts   []int64
	ledgers  []*Ledger // by fencing token, from 1; nil before the takeover
	calls    map[string]Call
	replies  map[string]message
	steps    string
	restarts int
	passed   int
}

type message struct {
	to    int
	start int64
	sent  time.Time
	reply Reply
}

const workspace = "w"

func newModel(hosts int) model {
	m := model{now: time.Unix(1000, 0), calls: map[string]Call{}, replies: map[string]message{}, ledgers: make([]*Ledger, 2)}
	for i := range hosts {
		m.hosts = append(m.hosts, *NewHolding(fmt.Sprint(i), 1))
		m.starts = append(m.starts, 1)
	}
	m.ledgers[0] = NewLedger(m.now, 1, Before{})
	return m
}

func (m model) clone(step string, args ...any) model {
	c := m
	c.hosts = append([]Holding(nil), m.hosts...)
	c.starts = append([]int64(nil), m.starts...)
	c.calls, c.replies = maps.Clone(m.calls), maps.Clone(m.replies)
	c.ledgers = append([]*Ledger(nil), m.ledgers...)
	for i, l := range c.ledgers {
		if l != nil {
			copied := *l
			copied.holders, copied.awaited, copied.known = maps.Clone(l.holders), maps.Clone(l.awaited), maps.Clone(l.known)
			copied.busyAt, copied.changes = map[string]time.Time{}, nil
			c.ledgers[i] = &copied
		}
	}
	c.steps += fmt.Sprintf(step, args...) + "; "
	return c
}

// prune removes replies to processes that have ended, and keeps all that a host or
// grantor has to refuse by itself.
func (m model) prune() {
	for id, r := range m.replies {
		if m.hosts[r.to].start != r.start {
			delete(m.replies, id)
		}
	}
}

// key identifies the state, whatever steps led to it.
func (m model) key() uint64 {
	m.prune()
	k := fnv.New64a()
	shares := func(all map[string]Parts) { fmt.Fprint(k, " ", int64(all[workspace])) }
	fmt.Fprint(k, m.now.Unix(), m.restarts)
	for id, c := range sorted(m.calls) {
		fmt.Fprint(k, "c", id, c.Token, c.Demand[workspace])
		shares(c.Held)
	}
	for id, r := range sorted(m.replies) {
		fmt.Fprint(k, "r", id)
		shares(r.reply.Shares)
	}
	for i := range m.hosts {
		h := &m.hosts[i]
		fmt.Fprint(k, "h", h.start, " ", h.sequence, h.token, h.open, h.askedAt.Unix(), h.until.Unix())
		shares(h.Shares(m.now))
	}
	for g, l := range m.ledgers {
		if l == nil {
			continue
		}
		fmt.Fprint(k, "l", g, len(l.awaited))
		shares(l.known)
		for name, h := range sorted(l.holders) {
			fmt.Fprint(k, "/", name, l.awaited[name], h.start, " ", h.sequence, h.heardAt.Unix(), h.demand[workspace])
			shares(h.bounds)
		}
	}
	return k.Sum64()
}

// next returns the states that may follow. maxCalls bounds the calls of a process.
func (m model) next(maxCalls int64) []model {
	var out []model
	for i := range m.hosts {
		for g, l := range m.ledgers {
			if l == nil || m.hosts[i].sequence >= settledCalls+maxCalls {
				continue
			}
			for _, demand := range []float64{0, 1} {
				c := m.clone("host %d asks %d with demand %v", i, g+1, demand)
				if call, ok := c.hosts[i].Ask(c.now, int64(g+1), true, map[string]float64{workspace: demand}); ok {
					c.calls[fmt.Sprint(i, call.Start, call.Sequence)] = call
					out = append(out, c)
				}
			}
		}
		if m.restarts < 1 {
			c := m.clone("host %d starts anew", i)
			c.restarts++
			c.starts[i]++
			c.hosts[i] = *NewHolding(fmt.Sprint(i), c.starts[i])
			out = append(out, c)
		}
	}
	for id, call := range m.calls {
		g := int(call.Token) - 1
		// The first grantor's lease has ended when the reservations of the second one end.
		if g == 0 && m.ledgers[1] != nil && m.passed > 0 {
			continue
		}
		c := m.clone("call %s arrives", id)
		if reply, err := c.ledgers[g].Answer(c.now, call, map[string]float64{workspace: 1}); err == nil {
			var to int
			_, _ = fmt.Sscan(call.Host, &to) // the test's own names
			c.replies[id] = message{to, call.Start, c.now, reply}
			out = append(out, c)
		}
	}
	for id, r := range m.replies {
		c := m.clone("reply %s arrives", id)
		if c.hosts[r.to].start == r.start && c.hosts[r.to].Accept(c.now, r.reply) {
			out = append(out, c)
		}
	}
	if m.ledgers[1] == nil {
		c := m.clone("second grantor takes over")
		var hosts []string
		for i := range c.hosts {
			hosts = append(hosts, fmt.Sprint(i))
		}
		c.ledgers[1] = NewLedger(c.now, 2, Before{Hosts: hosts})
		out = append(out, c)
	}
	if m.passed < 1 {
		c := m.clone("the reservations end")
		c.now = c.now.Add(ReservationTTL)
		c.passed++
		// Calls in flight have timed out; a call of before arrives no more.
		c.calls = map[string]Call{}
		out = append(out, c)
	}
	return out
}

// settle lets every host ask a grantor until nothing changes any longer.
func (m model) settle(token int64) model {
	const rounds = 4
	for range rounds {
		for i := range m.hosts {
			call, _ := m.hosts[i].Ask(m.now, token, true, nil)
			if reply, err := m.ledgers[token-1].Answer(m.now, call, map[string]float64{workspace: 1}); err == nil {
				m.hosts[i].Accept(m.now, reply)
			}
		}
	}
	return m
}

// inForce returns the sum of the shares in force.
func (m model) inForce() Parts {
	sum := Parts(0)
	for i := range m.hosts {
		sum += m.hosts[i].Shares(m.now)[workspace]
	}
	return sum
}

// TestSharesNeverExceedTheWhole visits every state that hosts whose shares have settled reach in some
// steps, with two grantors, one restart and one end of the reservations.
func TestSharesNeverExceedTheWhole(t *testing.T) {
	for _, tc := range []struct {
		hosts, depth int
		calls        int64
	}{{2, 5, 3}, {3, 4, 2}} {
		t.Run(fmt.Sprintf("%d hosts", tc.hosts), func(t *testing.T) {
			seen := map[uint64]bool{}
			layer := []model{newModel(tc.hosts).settle(1)}
			most := Parts(0)
			for depth := 0; depth < tc.depth && len(layer) > 0; depth++ {
				var following []model
				for _, m := range layer {
					for _, n := range m.next(tc.calls) {
						if sum := n.inForce(); sum > Whole {
							t.Fatalf("shares in force add up to %d after: %s", sum, n.steps)
						} else {
							most = max(most, sum)
						}
						if k := n.key(); !seen[k] && len(seen) < maxStates {
							seen[k] = true
							following = append(following, n)
						}
					}
				}
				layer = following
				t.Logf("depth %d: %d states, %d new", depth+1, len(seen), len(layer))
			}
			is.New(t).Equal(most, Whole)
			is.New(t).True(len(seen) < maxStates) // all were visited
		})
	}
}

const (
	maxStates    = 100_000
	settledCalls = 4 // the calls of settle
)

// TestLongRunsKeepTheWhole follows random steps for much longer. Then all is quiet: every host asks the
// latest grantor, and the shares add up to exactly the whole.
func TestLongRunsKeepTheWhole(t *testing.T) {
	const runs, steps, maxCalls = 300, 40, 100
	for seed := range uint64(runs) {
		rng := rand.New(rand.NewPCG(seed, 7))
		m := newModel(2 + int(seed%2)).settle(1)
		for range steps {
			following := m.next(maxCalls)
			m = following[rng.IntN(len(following))]
			m.prune()
			if sum := m.inForce(); sum > Whole {
				t.Fatalf("seed %d: shares in force add up to %d after: %s", seed, sum, m.steps)
			}
		}
		token := int64(1)
		if m.ledgers[1] != nil {
			token = 2
		}
		if sum := m.settle(token).inForce(); sum != Whole {
			t.Fatalf("seed %d: shares add up to %d when all is quiet, after: %s", seed, sum, m.steps)
		}
	}
}
