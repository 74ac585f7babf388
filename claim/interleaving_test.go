package claim

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
)

// model is two hosts that serve the same non-idempotent request over one log.
// Every interleaving of their steps is visited; a host that takes no more steps
// stands for one that is paused or has failed.
type model struct {
	log   []record.Envelope
	hosts [2]modelHost
}

// maxModelRecords bounds the log of the model.
const maxModelRecords = 5

// modelHost is the state of one host in the protocol.
type modelHost struct {
	// read is the number of log records that the host has folded.
	read int
	// claimed is the id of the host's claim, set when its append begins.
	claimed   string
	inFlight  bool
	sent      bool
	gaveUp    bool
	abandoned bool
	recorded  bool
	answer    string
}

// modelSteps are the steps of a host. A step returns false if the state of the
// host does not allow it.
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
	{"append claim", func(m *model, i int) bool {
		// The append may take effect twice, and after the host has given up.
		h := &m.hosts[i]
		if h.claimed == "" || len(m.log) >= maxModelRecords || m.appendCount(h.claimed) >= 2 {
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
	{"append outcome", func(m *model, i int) bool {
		h := &m.hosts[i]
		if !h.sent || h.recorded || len(m.log) >= maxModelRecords {
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
	{"append abandon", func(m *model, i int) bool {
		h := &m.hosts[i]
		if !h.gaveUp || h.abandoned || len(m.log) >= maxModelRecords {
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

func (m *model) appendCount(id string) int {
	n := 0
	for _, e := range m.log {
		if e.ID == id {
			n++
		}
	}
	return n
}

// entryCache holds the entry of the key after each sequence of records; nil for
// none.
var entryCache = map[string]*Entry{}

// get returns the entry of the key after the first read records of the log.
func (m *model) get(read int) (Entry, bool) {
	cacheKey := recordIDs(m.log[:read])
	entry, ok := entryCache[cacheKey]
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
		entryCache[cacheKey] = entry
	}
	if entry == nil {
		return Entry{}, false
	}
	return *entry, true
}

func recordIDs(log []record.Envelope) string {
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

func (m *model) state() string { return recordIDs(m.log) + fmt.Sprintf("%+v", m.hosts) }

// check returns the invariant that a state violates, or "".
func (m *model) check() string {
	switch {
	case m.hosts[0].sent && m.hosts[1].sent:
		return "both hosts dispatched the request"
	case m.hosts[0].gaveUp && m.hosts[0].sent, m.hosts[1].gaveUp && m.hosts[1].sent:
		return "a host refused the request as not run and dispatched it"
	}
	for i := range m.hosts {
		other := m.hosts[1-i]
		if a := m.hosts[i].answer; a != "" && a != "not-run" && !other.sent && !m.hosts[i].sent {
			return "a host has an answer, but no host dispatched the request"
		}
	}
	return ""
}

// TestInterleavings visits every state that two hosts can reach. It guards against
// an order of steps in which both hosts dispatch the request, a host dispatches
// after it has given up, or a host returns an answer without any dispatch.
func TestInterleavings(t *testing.T) {
	visited := map[string]bool{}
	replayed, takenOver := false, false
	var visit func(m model, path []string)
	visit = func(m model, path []string) {
		key := m.state()
		if visited[key] {
			return
		}
		visited[key] = true
		if violation := m.check(); violation != "" {
			t.Fatalf("%s after %v", violation, path)
		}
		replayed = replayed || (m.hosts[0].sent && m.hosts[1].answer == "c0")
		takenOver = takenOver || (m.hosts[0].gaveUp && m.hosts[0].abandoned && m.hosts[1].sent)
		for i := range m.hosts {
			for _, step := range modelSteps {
				next := m
				if step.do(&next, i) {
					visit(next, append(path[:len(path):len(path)], fmt.Sprint(i, " ", step.name)))
				}
			}
		}
	}
	visit(model{}, nil)
	t.Logf("%d states", len(visited))
	if !replayed || !takenOver {
		t.Fatalf("log of the model is too short: replayed %v, taken over %v; want both", replayed, takenOver)
	}
}
