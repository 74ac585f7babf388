package node

import (
	"sync"

	"github.com/cicadanotch/cicadanotch/port"
)

type endpointRow struct {
	host    port.Host
	leaving bool
}

type endpointState struct {
	endpointRow
	inFlight int
	report   port.LoadReport
}

// endpointTable holds the endpoints and the requests that this host has in
// flight at each.
type endpointTable struct {
	mu   sync.Mutex
	rows map[string]*endpointState
}

func newEndpointTable() *endpointTable { return &endpointTable{rows: map[string]*endpointState{}} }

func (t *endpointTable) update(rows []endpointRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := map[string]bool{}
	for _, row := range rows {
		listed[row.host.ID] = true
		state, ok := t.rows[row.host.ID]
		if !ok {
			state = &endpointState{}
			t.rows[row.host.ID] = state
		}
		state.endpointRow = row
	}
	for id, state := range t.rows {
		if !listed[id] && state.inFlight == 0 {
			delete(t.rows, id)
		}
	}
}

func (t *endpointTable) report(id string, r port.LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state, ok := t.rows[id]; ok {
		state.report = r
	}
}

func (t *endpointTable) all() []port.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]port.Host, 0, len(t.rows))
	for _, state := range t.rows {
		out = append(out, state.host)
	}
	return out
}

// acquire chooses the endpoint of a service with the least load that is not
// excluded and books one request there.
func (t *endpointTable) acquire(service string, excluded map[string]bool) (port.Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *endpointState
	for id, state := range t.rows {
		if state.host.Service != service || state.leaving || excluded[id] {
			continue
		}
		if best == nil || state.load() < best.load() || (state.load() == best.load() && id < best.host.ID) {
			best = state
		}
	}
	if best == nil {
		return port.Host{}, false
	}
	best.inFlight++
	return best.host, true
}

func (s *endpointState) load() int {
	return max(s.inFlight, s.report.Running+s.report.Waiting)
}

func (t *endpointTable) release(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state, ok := t.rows[id]; ok {
		state.inFlight--
	}
}

// pollLoads reads the load of every endpoint.
func (n *Node) pollLoads() {
	ctx := n.context()
	for _, h := range n.endpoints.all() {
		report, err := n.loadOf(ctx, h)
		if err == nil {
			n.endpoints.report(h.ID, report)
		}
	}
}
