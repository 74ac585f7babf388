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
	w := &handoffSim{faults: faults, runs: 1, peers: map[string]*drain.Handoff{}, alive: map[string]bool{}}
	w.sender.State = drain.StateRunning
	for _, name := range peerNames {
		w.peers[name], w.alive[name] = &drain.Handoff{}, true
	}
	return w
}

func (w *handoffSim) next() string {
	if len(w.faults) == 0 {
		return "ok"
	}
	f := w.faults[0]
	w.faults = w.faults[1:]
	return f
}

// candidates returns the peers in the list of hosts.
func (w *handoffSim) candidates() []string {
	return slices.DeleteFunc(slices.Clone(peerNames), func(p string) bool { return !w.alive[p] })
}

func (w *handoffSim) run() {
	if !w.sender.Start(w.candidates()) {
		return
	}
	action := drain.ActOffer
	for steps := 0; action != drain.ActRun && steps < 60; steps++ {
		w.trace = append(w.trace, fmt.Sprint(action, " ", w.sender.Receiver, " ", w.sender.Epoch))
		switch action {
		case drain.ActOffer:
			action = w.sender.Step(w.offer(), w.candidates())
		case drain.ActRelay:
			if len(w.faults) == 0 && w.alive[w.sender.Receiver] && w.peers[w.sender.Receiver].State == drain.StateRunning {
				return
			}
			action = w.sender.Step(w.follow(), nil)
		case drain.ActSearch:
			action = w.search()
		}
	}
	w.runs++
}

// offer makes one offer. With the fault "lose" it takes effect and the reply is
// lost, with "miss" it does not arrive, with "die" the receiver crashes before
// the offer takes effect, with "lose-die" after.
func (w *handoffSim) offer() drain.Event {
	receiver := w.sender.Receiver
	fault := w.next()
	if fault == "die" {
		w.alive[receiver] = false
	}
	if !w.alive[receiver] {
		return drain.EventLost
	}
	if fault == "miss" {
		return drain.EventLost
	}
	verdict := w.peers[receiver].Offer(w.sender.Epoch, fault == "leaving")
	if verdict == drain.VerdictTaken {
		w.runs++
	}
	switch {
	case fault == "lose-die":
		w.alive[receiver] = false
		return drain.EventLost
	case fault == "lose":
		w.lostReply = true
		return drain.EventLost
	case verdict.Accepted():
		return drain.EventAccepted
	}
	return drain.EventRefused
}

func (w *handoffSim) follow() drain.Event {
	receiver := w.sender.Receiver
	if w.next() == "die" {
		w.alive[receiver] = false
	}
	if !w.alive[receiver] {
		return drain.EventLost
	}
	return drain.EventProgress
}

func (w *handoffSim) search() drain.Action {
	var found []drain.Location
	for name, h := range w.peers {
		if w.alive[name] && h.State != drain.StateNone {
			found = append(found, drain.Location{Host: name, State: h.State, Epoch: h.Epoch})
		}
	}
	if next, ok := drain.Successor(found, w.sender.Epoch); ok {
		return w.sender.Follow(next.Host, next.Epoch)
	}
	return w.sender.TakeBack()
}

// owners returns the names of the hosts that own the request.
func (w *handoffSim) owners() []string {
	var out []string
	if w.sender.State == drain.StateRunning {
		out = append(out, "sender")
	}
	for _, name := range peerNames {
		if w.alive[name] && w.peers[name].State == drain.StateRunning {
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
	kinds := []string{"ok", "miss", "lose", "leaving", "die", "lose-die"}
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
		w := newHandoffSim(row)
		w.run()
		owners := w.owners()
		followed := w.sender.Receiver
		if w.sender.State == drain.StateRunning {
			followed = "sender"
		}
		switch {
		case !slices.Contains(owners, followed):
			t.Fatalf("faults %v: sender relays from %q, owners %v, trace %v", row, followed, owners, w.trace)
		case len(owners) > 1 && !w.lostReply:
			t.Fatalf("faults %v: more than one owner without a lost reply: owners %v, trace %v", row, owners, w.trace)
		case len(owners) > 1 && !w.sender.MaybeAccepted:
			t.Fatalf("faults %v: owners %v, but the sender has not recorded a possible acceptance, trace %v", row, owners, w.trace)
		}
	}
}

func TestHandoffRows(t *testing.T) {
	for name, tc := range map[string]struct {
		faults []string
		owners string
		runs   int
	}{
		"accepted at once":                               {nil, "[p]", 2},
		"reply lost, offer repeated":                     {[]string{"lose"}, "[p]", 2},
		"offer lost, offer repeated":                     {[]string{"miss"}, "[p]", 2},
		"receiver leaves too":                            {[]string{"leaving"}, "[q]", 2},
		"receiver dies before the offer":                 {[]string{"die"}, "[q]", 2},
		"receiver dies after accepting, before replying": {[]string{"lose-die"}, "[q]", 3},
		"receiver dies while the sender relays":          {[]string{"ok", "die"}, "[sender]", 3},
		"both peers leave: the sender resumes":           {[]string{"leaving", "leaving"}, "[sender]", 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHandoffSim(tc.faults)
			w.run()
			is.Equal(fmt.Sprint(w.owners()), tc.owners)
			is.Equal(w.runs, tc.runs)
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
		"unknown":                          {drain.Handoff{}, 1, false, drain.VerdictTaken},
		"unknown, leaving":                 {drain.Handoff{}, 1, true, drain.VerdictLeaving},
		"same offer again":                 {drain.Handoff{State: drain.StateRunning, Epoch: 1}, 1, false, drain.VerdictOwned},
		"owned by an earlier offer":        {drain.Handoff{State: drain.StateRunning, Epoch: 1}, 3, true, drain.VerdictOwned},
		"id of a request accepted here":    {drain.Handoff{State: drain.StateRunning}, 1, false, drain.VerdictInUse},
		"handed over, offered back":        {drain.Handoff{State: drain.StateRelaying, Epoch: 1}, 2, false, drain.VerdictTaken},
		"handed over under a higher epoch": {drain.Handoff{State: drain.StateRelaying, Epoch: 2}, 1, false, drain.VerdictStale},
		"being offered, offered back":      {drain.Handoff{State: drain.StateOffered, Epoch: 2}, 2, false, drain.VerdictStale},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := tc.known
			got := h.Offer(tc.epoch, tc.leaving)
			is.Equal(got, tc.want)
			if got == drain.VerdictTaken {
				is.Equal(h.State, drain.StateRunning)
				is.Equal(h.Epoch, tc.epoch)
			}
		})
	}
}

// TestSuccessorNeverLoops guards against hosts that relay from each other in a cycle.
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

// TestTakersAndSearchedAgree guards against a search that does not ask the host which
// the request was offered to.
func TestTakersAndSearchedAgree(t *testing.T) {
	is := is.New(t)
	var peers []drain.Peer
	for i := range 12 {
		peers = append(peers, drain.Peer{Host: fmt.Sprint("h", i), Region: fmt.Sprint("r", i%3)})
	}
	const limit = 3
	for i := range 50 {
		id := fmt.Sprint(i)
		receiver := drain.Receivers(id, peers, "r1", 8)[0]
		is.True(slices.Contains(drain.SearchOrder(id, peers, limit), receiver)) // one host of each region is enough
		without := slices.DeleteFunc(slices.Clone(peers), func(p drain.Peer) bool { return p.Host == receiver })
		is.Equal(drain.Receivers(id, without, "r1", 8)[0], drain.Receivers(id, peers, "r1", 8)[1])
	}
}
