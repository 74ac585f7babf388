package drain_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/drain"
)

// world is a giver and its peers. Each call between them ends as the next
// fault of the row says.
type world struct {
	giver  drain.Handoff
	peers  map[string]*drain.Handoff
	alive  map[string]bool
	faults []string
	// runs counts the runs begun, the giver's first one included.
	runs int
	// lostReply is set when an offer took effect and its reply was lost.
	lostReply bool
	trace     []string
}

var peerNames = []string{"p", "q"}

func newWorld(faults []string) *world {
	w := &world{faults: faults, runs: 1, peers: map[string]*drain.Handoff{}, alive: map[string]bool{}}
	w.giver.Hold = drain.HoldRunning
	for _, name := range peerNames {
		w.peers[name], w.alive[name] = &drain.Handoff{}, true
	}
	return w
}

func (w *world) next() string {
	if len(w.faults) == 0 {
		return "ok"
	}
	f := w.faults[0]
	w.faults = w.faults[1:]
	return f
}

// candidates are the peers that the list shows.
func (w *world) candidates() []string {
	return slices.DeleteFunc(slices.Clone(peerNames), func(p string) bool { return !w.alive[p] })
}

func (w *world) run() {
	if !w.giver.Start(w.candidates()) {
		return
	}
	action := drain.ActOffer
	for steps := 0; action != drain.ActRun && steps < 60; steps++ {
		w.trace = append(w.trace, fmt.Sprint(action, " ", w.giver.Taker, " ", w.giver.Epoch))
		switch action {
		case drain.ActOffer:
			action = w.giver.Step(w.offer(), w.candidates())
		case drain.ActRelay:
			if len(w.faults) == 0 && w.alive[w.giver.Taker] && w.peers[w.giver.Taker].Hold == drain.HoldRunning {
				return
			}
			action = w.giver.Step(w.follow(), nil)
		case drain.ActSearch:
			action = w.search()
		}
	}
	w.runs++
}

// offer makes one offer; "lose" takes effect without a reply, "die" kills the
// taker before the offer takes effect, "lose-die" after.
func (w *world) offer() drain.Event {
	taker := w.giver.Taker
	fault := w.next()
	if fault == "die" {
		w.alive[taker] = false
	}
	if !w.alive[taker] {
		return drain.EventLost
	}
	if fault == "miss" {
		return drain.EventLost
	}
	verdict := w.peers[taker].Offer(w.giver.Epoch, fault == "leaving")
	if verdict == drain.VerdictTaken {
		w.runs++
	}
	switch {
	case fault == "lose-die":
		w.alive[taker] = false
		return drain.EventLost
	case fault == "lose":
		w.lostReply = true
		return drain.EventLost
	case verdict.Accepted():
		return drain.EventAccepted
	}
	return drain.EventRefused
}

func (w *world) follow() drain.Event {
	taker := w.giver.Taker
	if w.next() == "die" {
		w.alive[taker] = false
	}
	if !w.alive[taker] {
		return drain.EventLost
	}
	return drain.EventProgress
}

func (w *world) search() drain.Action {
	var found []drain.Location
	for name, h := range w.peers {
		if w.alive[name] && h.Hold != drain.HoldNone {
			found = append(found, drain.Location{Host: name, Hold: h.Hold, Epoch: h.Epoch})
		}
	}
	if next, ok := drain.Successor(found, w.giver.Epoch); ok {
		return w.giver.Found(next.Host, next.Epoch)
	}
	return w.giver.TakeBack()
}

// owners lists who runs the request.
func (w *world) owners() []string {
	var out []string
	if w.giver.Hold == drain.HoldRunning {
		out = append(out, "giver")
	}
	for _, name := range peerNames {
		if w.alive[name] && w.peers[name].Hold == drain.HoldRunning {
			out = append(out, name)
		}
	}
	return out
}

// TestHandoffUnderEveryFault tries all rows of up to four faults and states for
// each: the giver follows an owner that lives or is the owner itself; two
// owners at once come only from a reply that was lost and never confirmed, and
// then the giver marks what it does next as possibly run already.
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
		w := newWorld(row)
		w.run()
		owners := w.owners()
		followed := w.giver.Taker
		if w.giver.Hold == drain.HoldRunning {
			followed = "giver"
		}
		switch {
		case !slices.Contains(owners, followed):
			t.Fatalf("%v: %q is followed, owners %v, trace %v", row, followed, owners, w.trace)
		case len(owners) > 1 && !w.lostReply:
			t.Fatalf("%v: owners %v, trace %v", row, owners, w.trace)
		case len(owners) > 1 && !w.giver.MaybeTaken:
			t.Fatalf("%v: owners %v and the giver is sure, trace %v", row, owners, w.trace)
		}
	}
}

func TestHandoffRows(t *testing.T) {
	for name, tc := range map[string]struct {
		faults []string
		owners string
		runs   int
	}{
		"taken at once":                            {nil, "[p]", 2},
		"reply lost, offer repeated":               {[]string{"lose"}, "[p]", 2},
		"offer lost, offer repeated":               {[]string{"miss"}, "[p]", 2},
		"taker leaves too":                         {[]string{"leaving"}, "[q]", 2},
		"taker dies before the offer":              {[]string{"die"}, "[q]", 2},
		"taker dies after taking, before replying": {[]string{"lose-die"}, "[q]", 3},
		"taker dies while the giver relays":        {[]string{"ok", "die"}, "[giver]", 3},
		"both leave: the giver keeps it":           {[]string{"leaving", "leaving"}, "[giver]", 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(tc.faults)
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
		"not known":                    {drain.Handoff{}, 1, false, drain.VerdictTaken},
		"not known, leaving":           {drain.Handoff{}, 1, true, drain.VerdictLeaving},
		"the same offer again":         {drain.Handoff{Hold: drain.HoldRunning, Epoch: 1}, 1, false, drain.VerdictOwned},
		"owned by an earlier offer":    {drain.Handoff{Hold: drain.HoldRunning, Epoch: 1}, 3, true, drain.VerdictOwned},
		"accepted here under the id":   {drain.Handoff{Hold: drain.HoldRunning}, 1, false, drain.VerdictInUse},
		"given away, comes back":       {drain.Handoff{Hold: drain.HoldRelaying, Epoch: 1}, 2, false, drain.VerdictTaken},
		"given away later than that":   {drain.Handoff{Hold: drain.HoldRelaying, Epoch: 2}, 1, false, drain.VerdictStale},
		"being given away, comes back": {drain.Handoff{Hold: drain.HoldOffered, Epoch: 2}, 2, false, drain.VerdictStale},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := tc.known
			got := h.Offer(tc.epoch, tc.leaving)
			is.Equal(got, tc.want)
			if got == drain.VerdictTaken {
				is.Equal(h.Hold, drain.HoldRunning)
				is.Equal(h.Epoch, tc.epoch)
			}
		})
	}
}

func TestSuccessorNeverLoops(t *testing.T) {
	is := is.New(t)
	older := drain.Location{Host: "x", Hold: drain.HoldRelaying, Epoch: 1}
	peer := drain.Location{Host: "y", Hold: drain.HoldRelaying, Epoch: 2}
	_, ok := drain.Successor([]drain.Location{older, peer}, 2)
	is.True(!ok) // both may wait for this host
	next, ok := drain.Successor([]drain.Location{older, peer, {Host: "z", Hold: drain.HoldRunning, Epoch: 2}}, 2)
	is.True(ok)
	is.Equal(next.Host, "z")
}

func TestTakersAndSearchedAgree(t *testing.T) {
	is := is.New(t)
	var peers []drain.Peer
	for i := range 12 {
		peers = append(peers, drain.Peer{Host: fmt.Sprint("h", i), Region: fmt.Sprint("r", i%3)})
	}
	const asked = 3
	for i := range 50 {
		id := fmt.Sprint(i)
		taker := drain.Takers(id, peers, "r1", 8)[0]
		is.True(slices.Contains(drain.Searched(id, peers, asked), taker)) // one host of each region is enough
		without := slices.DeleteFunc(slices.Clone(peers), func(p drain.Peer) bool { return p.Host == taker })
		is.Equal(drain.Takers(id, without, "r1", 8)[0], drain.Takers(id, peers, "r1", 8)[1])
	}
}
