package claim

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
)

// model is two hosts with the same order, over one log. Every order of their
// steps is walked; a host that takes no step is paused, or dead.
type model struct {
	log   []record.Envelope
	hosts [2]modelHost
}

// modelLog bounds the records of the model.
const modelLog = 5

// modelHost is one host's place in the protocol.
type modelHost struct {
	// read is how much of the log the host has folded.
	read int
	// claimed is the claim in the host's hands; its append may be under way.
	claimed   string
	inFlight  bool
	sent      bool
	gaveUp    bool
	abandoned bool
	recorded  bool
	answer    string
}

// modelSteps are the steps that a host can take, in any order that its state
// allows.
var modelSteps = []struct {
	name string
	do   func(m *model, i int) bool
}{
	{"claim", func(m *model, i int) bool {
		h := &m.hosts[i]
		if h.claimed != "" || m.decide(i) != StepClaim {
			return false
		}
		h.claimed, h.inFlight = fmt.Sprint("c", i), true
		return true
	}},
	{"land", func(m *model, i int) bool {
		// The append takes effect, maybe once more, maybe after the host gave up.
		h := &m.hosts[i]
		if h.claimed == "" || len(m.log) >= modelLog || m.landed(h.claimed) >= 2 {
			return false
		}
		h.inFlight = false
		m.append(record.KindClaim, h.claimed, Claim{Key: testKey, Digest: 7, Owner: fmt.Sprint(i)})
		return true
	}},
	{"read", func(m *model, i int) bool {
		h := &m.hosts[i]
		if h.read == len(m.log) {
			return false
		}
		h.read++
		return true
	}},
	{"dispatch", func(m *model, i int) bool {
		h := &m.hosts[i]
		if h.sent || h.gaveUp || h.claimed == "" || m.decide(i) != StepDispatch {
			return false
		}
		h.sent = true
		return true
	}},
	{"record", func(m *model, i int) bool {
		h := &m.hosts[i]
		if !h.sent || h.recorded || len(m.log) >= modelLog {
			return false
		}
		h.recorded = true
		m.append(record.KindOutcome, "o"+h.claimed, NewOutcome(testKey, h.claimed, port.ServiceResponse{Status: 200, Body: []byte(h.claimed)}))
		return true
	}},
	{"give up", func(m *model, i int) bool {
		h := &m.hosts[i]
		if h.claimed == "" || h.sent || h.gaveUp || h.answer != "" {
			return false
		}
		h.gaveUp, h.answer = true, "not-run"
		return true
	}},
	{"abandon", func(m *model, i int) bool {
		h := &m.hosts[i]
		if !h.gaveUp || h.abandoned || len(m.log) >= modelLog {
			return false
		}
		h.abandoned = true
		m.append(record.KindAbandon, "a"+h.claimed, Abandon{Key: testKey, ClaimID: h.claimed})
		return true
	}},
	{"replay", func(m *model, i int) bool {
		h := &m.hosts[i]
		if h.answer != "" || m.decide(i) != StepReplay {
			return false
		}
		entry, _ := m.get(h.read)
		h.answer = string(entry.Response.Body)
		return true
	}},
}

func (m *model) append(kind record.Kind, id string, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	m.log = append(m.log[:len(m.log):len(m.log)], record.Envelope{ID: id, Kind: kind, Version: 1, Source: "h", Body: raw})
}

func (m *model) landed(id string) int {
	n := 0
	for _, e := range m.log {
		if e.ID == id {
			n++
		}
	}
	return n
}

// folded remembers what is known of the key after a log.
var folded = map[string]*Entry{}

// get folds the first records of the log.
func (m *model) get(read int) (Entry, bool) {
	name := ids(m.log[:read])
	entry, ok := folded[name]
	if !ok {
		t := NewTable()
		for i, e := range m.log[:read] {
			if err := t.Fold(record.Position{Offset: int64(i + 1)}, e); err != nil {
				panic(err)
			}
		}
		if e, known, _ := t.Get(testKey); known {
			entry = &e
		}
		folded[name] = entry
	}
	if entry == nil {
		return Entry{}, false
	}
	return *entry, true
}

func ids(log []record.Envelope) string {
	var b strings.Builder
	for _, e := range log {
		b.WriteString(e.ID + ",")
	}
	return b.String()
}

func (m *model) decide(i int) Step {
	entry, known := m.get(m.hosts[i].read)
	return Decide(entry, known, 7, m.hosts[i].claimed)
}

func (m *model) state() string { return ids(m.log) + fmt.Sprintf("%+v", m.hosts) }

// check returns what is wrong with a state, or "".
func (m *model) check() string {
	switch {
	case m.hosts[0].sent && m.hosts[1].sent:
		return "the order was sent twice"
	case m.hosts[0].gaveUp && m.hosts[0].sent, m.hosts[1].gaveUp && m.hosts[1].sent:
		return "a request that was refused as not run was sent"
	}
	for i := range m.hosts {
		other := m.hosts[1-i]
		if a := m.hosts[i].answer; a != "" && a != "not-run" && !other.sent && !m.hosts[i].sent {
			return "an answer came of an order that was never sent"
		}
	}
	return ""
}

// TestInterleavings walks every state that two hosts can reach.
func TestInterleavings(t *testing.T) {
	seen := map[string]bool{}
	replayed, takenOver := false, false
	var walk func(m model, path []string)
	walk = func(m model, path []string) {
		key := m.state()
		if seen[key] {
			return
		}
		seen[key] = true
		if wrong := m.check(); wrong != "" {
			t.Fatalf("%s after %v", wrong, path)
		}
		replayed = replayed || (m.hosts[0].sent && m.hosts[1].answer == "c0")
		takenOver = takenOver || (m.hosts[0].gaveUp && m.hosts[0].abandoned && m.hosts[1].sent)
		for i := range m.hosts {
			for _, step := range modelSteps {
				next := m
				if step.do(&next, i) {
					walk(next, append(path[:len(path):len(path)], fmt.Sprint(i, " ", step.name)))
				}
			}
		}
	}
	walk(model{}, nil)
	t.Logf("%d states", len(seen))
	if !replayed || !takenOver {
		t.Fatalf("the walk is too shallow: replayed %v, taken over %v", replayed, takenOver)
	}
}
