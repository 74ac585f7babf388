package placement

import (
	"cmp"
	"slices"
)

// Row is one endpoint in the state dump. Own is the load booked by this host, Peers the load
// reported by the other hosts.
type Row struct {
	ID           string `json:"endpoint"`
	Own          Load   `json:"mine"`
	Peers        Load   `json:"peers"`
	CachedTokens int    `json:"cached_tokens"`
}

// State returns the state dump, ordered by endpoint id.
func (t *Table) State() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Row, 0, len(t.rows))
	for id, r := range t.rows {
		out = append(out, Row{id, r.own, r.peers, r.cachedTokens})
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Load is the work in progress at an endpoint.
type Load struct {
	// Requests is the number of requests running or waiting, Prefill the prefill
	// work still to be done (see prefillWork), Context the tokens that occupy the KV
	// cache.
	Requests int `json:"n"`
	Prefill  int `json:"p"`
	Context  int `json:"c"`
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{l.Requests + o.Requests, l.Prefill + o.Prefill, l.Context + o.Context}
}
