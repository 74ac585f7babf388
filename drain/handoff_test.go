package drain_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/drain"
)

// handoffSim simulates a sender and its peers. Each call between them has the next
// fault of the list, or none.
type handoffSim struct {
	sender drain.Handoff
	peers  map[string]*drain.Handoff
	alive  map[string]bool
	faults []string
	// runs is the number of runs started, the sender's first one included.
	runs int
	// lostReply is set if an offer took effect and its reply was lost.
	lostReply bool
	trace     []string
}

var peerNames = []string{"p", "q"}

func newHandoffSim(faults []string) *handoffSim {
	s := &handoffSim{faults: faults, runs: 1, peers: map[string]*drain.Handoff{}, alive: map[string]bool{}}
	s.sender.State = drain.StateRunning
	for _, name := range peerNames {
		s.peers[name], s.alive[name] = &drain.Handoff{}, true
	}
	return s
}

func (s *handoffSim) next() string {
	if len(s.faults) == 0 {
		return "ok"
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

// candidates returns the peers in the list of hosts.
func (s *handoffSim) candidates() []string {
	return slices.DeleteFunc(slices.Clone(peerNames), func(p string) bool { return !s.alive[p] })
}

func (s *handoffSim) run() {
	if !s.sender.Start(s.candidates()) {
		return
	}
	action := drain.ActOffer
	for steps := 0; action != drain.ActRun && steps < 60; steps++ {
		s.trace = append(s.trace, fmt.Sprint(action, " ", s.sender.Receiver, " ", s.sender.Epoch))
		switch action {
		case drain.ActOffer:
			action = s.sender.Step(s.offer(), s.candidates())
		case drain.ActRelay:
			if len(s.faults) == 0 && s.alive[s.sender.Receiver] && s.peers[s.sender.Receiver].State == drain.StateRunning {
				return
			}
			action = s.sender.Step(s.follow(), nil)
		case drain.ActSearch:
			action = s.search()
		}
	}
	s.runs++
}

// offer makes one offer. With the fault "lose" it takes effect and the reply is
// lost, with "miss" it does not arrive, with "crash" the receiver crashes before
// the offer takes effect, with "lose-crash" after.
func (s *handoffSim) offer() drain.Event {
	receiver := s.sender.Receiver
	fault := s.next()
	if fault == "crash" {
		s.alive[receiver] = false
	}
	if !s.alive[receiver] {
		return drain.EventLost
	}
	if fault == "miss" {
		return drain.EventLost
	}
	verdict := s.peers[receiver].Offer(s.sender.Epoch, fault == "leaving")
	if verdict == drain.VerdictAccepted {
		s.runs++
	}
	switch {
	case fault == "lose-crash":
		s.alive[receiver] = false
		return drain.EventLost
	case fault == "lose":
		s.lostReply = true
		return drain.EventLost
	case verdict.Accepted():
		return drain.EventAccepted
	}
	return drain.EventRefused
}

func (s *handoffSim) follow() drain.Event {
	receiver := s.sender.Receiver
	if s.next() == "crash" {
		s.alive[receiver] = false
	}
	if !s.alive[receiver] {
		return drain.EventLost
	}
	return drain.EventProgress
}

func (s *handoffSim) search() drain.Action {
	var found []drain.Location
	for name, h := range s.peers {
		if s.alive[name] && h.State != drain.StateNone {
			found = append(found, drain.Location{Host: name, State: h.State, Epoch: h.Epoch})
		}
	}
	if next, ok := drain.Successor(found, s.sender.Epoch); ok {
		return s.sender.Follow(next.Host, next.Epoch)
	}
	return s.sender.TakeBack()
}

// owners returns the names of the hosts that own the request.
func (s *handoffSim) owners() []string {
	var out []string
	if s.sender.State == drain.StateRunning {
		out = append(out, "sender")
	}
	for _, name := range peerNames {
		if s.alive[name] && s.peers[name].State == drain.StateRunning {
			out = append(out, name)
		}
	}
	return out
}

// TestHandoffUnderEveryFault guards against a request without an owner, or with
// two owners that the sender does not suspect. It tries all sequences of four
// faults. The sender must relay from a live owner or be the owner itself. Two
// owners may exist only after a reply was lost and never confirmed, and the
// sender must then have recorded that the offer may have been accepted.
func TestHandoffUnderEveryFault(t *testing.T) {
	kinds := []string{"ok", "miss", "lose", "leaving", "crash", "lose-crash"}
	rows := [][]string{{}}
	for range 4 {
		var longer [][]string
		for _, row := range rows {
			for _, k := range kinds {
				longer = append(longer, append(slices.Clone(row), k))
			}
		}
		rows = longer
	}
	for _, row := range rows {
		s := newHandoffSim(row)
		s.run()
		owners := s.owners()
		followed := s.sender.Receiver
		if s.sender.State == drain.StateRunning {
			followed = "sender"
		}
		switch {
		case !slices.Contains(owners, followed):
			t.Fatalf("faults %v: sender relays from %q, owners %v, trace %v", row, followed, owners, s.trace)
		case len(owners) > 1 && !s.lostReply:
			t.Fatalf("faults %v: more than one owner without a lost reply: owners %v, trace %v", row, owners, s.trace)
		case len(owners) > 1 && !s.sender.MaybeAccepted:
			t.Fatalf("faults %v: owners %v, but the sender has not recorded a possible acceptance, trace %v", row, owners, s.trace)
		}
	}
}

func TestHandoffRows(t *testing.T) {
	for name, tc := range map[string]struct {
		faults []string
		owners string
		runs   int
	}{
		"accepted at once":                                  {nil, "[p]", 2},
		"reply lost, offer repeated":                        {[]string{"lose"}, "[p]", 2},
		"offer lost, offer repeated":                        {[]string{"miss"}, "[p]", 2},
		"receiver leaves too":                               {[]string{"leaving"}, "[q]", 2},
		"receiver crashes before the offer":                 {[]string{"crash"}, "[q]", 2},
		"receiver crashes after accepting, before replying": {[]string{"lose-crash"}, "[q]", 3},
		"receiver crashes while the sender relays":          {[]string{"ok", "crash"}, "[sender]", 3},
		"both peers leave: the sender resumes":              {[]string{"leaving", "leaving"}, "[sender]", 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newHandoffSim(tc.faults)
			s.run()
			is.Equal(fmt.Sprint(s.owners()), tc.owners)
			is.Equal(s.runs, tc.runs)
		})
	}
}

func TestVerdicts(t *testing.T) {
	for name, tc := range map[string]struct {
		known   drain.Handoff
		epoch   int64
		leaving bool
		want    drain.Verdict
	}{
		"unknown":                         {drain.Handoff{}, 1, false, drain.VerdictAccepted},
		"unknown, leaving":                {drain.Handoff{}, 1, true, drain.VerdictLeaving},
		"same offer again":                {drain.Handoff{State: drain.StateRunning, Epoch: 1}, 1, false, drain.VerdictOwned},
		"owned by an earlier offer":       {drain.Handoff{State: drain.StateRunning, Epoch: 1}, 3, true, drain.VerdictOwned},
		"id of a request accepted here":   {drain.Handoff{State: drain.StateRunning}, 1, false, drain.VerdictInUse},
		"handed off, offered back":        {drain.Handoff{State: drain.StateRelaying, Epoch: 1}, 2, false, drain.VerdictAccepted},
		"handed off under a higher epoch": {drain.Handoff{State: drain.StateRelaying, Epoch: 2}, 1, false, drain.VerdictStale},
		"being offered, offered back":     {drain.Handoff{State: drain.StateOffered, Epoch: 2}, 2, false, drain.VerdictStale},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := tc.known
			got := h.Offer(tc.epoch, tc.leaving)
			is.Equal(got, tc.want)
			if got == drain.VerdictAccepted {
				is.Equal(h.State, drain.StateRunning)
				is.Equal(h.Epoch, tc.epoch)
			}
		})
	}
}

// TestSuccessorNeverLoops guards against hosts that relay from each other in a
// cycle.
func TestSuccessorNeverLoops(t *testing.T) {
	is := is.New(t)
	older := drain.Location{Host: "x", State: drain.StateRelaying, Epoch: 1}
	peer := drain.Location{Host: "y", State: drain.StateRelaying, Epoch: 2}
	_, ok := drain.Successor([]drain.Location{older, peer}, 2)
	is.True(!ok) // both may relay from this host
	next, ok := drain.Successor([]drain.Location{older, peer, {Host: "z", State: drain.StateRunning, Epoch: 2}}, 2)
	is.True(ok)
	is.Equal(next.Host, "z")
}

// TestReceiversAndSearchOrderAgree guards against a search that does not ask the
// host to which the request was offered.
func TestReceiversAndSearchOrderAgree(t *testing.T) {
	is := is.New(t)
	var peers []drain.Peer
	for i := range 12 {
		peers = append(peers, drain.Peer{Host: fmt.Sprint("h", i), Region: fmt.Sprint("r", i%3)})
	}
	const limit = 3
	for i := range 50 {
		id := fmt.Sprint(i)
		receiver := drain.Candidates(id, peers, "r1", 8)[0]
		is.True(slices.Contains(drain.SearchOrder(id, peers, limit), receiver)) // one host of each region is enough
		without := slices.DeleteFunc(slices.Clone(peers), func(p drain.Peer) bool { return p.Host == receiver })
		is.Equal(drain.Candidates(id, without, "r1", 8)[0], drain.Candidates(id, peers, "r1", 8)[1])
	}
}
