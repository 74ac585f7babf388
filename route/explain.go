package route

import (
	"slices"
	"time"
)

// maxRecentChoices is how many choices a Table retains for the state dump.
const maxRecentChoices = 16

// Candidate is an endpoint that was scored for a request.
type Candidate struct {
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"availability_zone"`
	Score    float64 `json:"score_ms"`
	Terms    Terms   `json:"terms"`
	// CachedTokens is how many prompt tokens the endpoint is expected to have cached.
	CachedTokens int  `json:"cached_tokens"`
	Chosen       bool `json:"chosen,omitempty"`
}

// Explanation lists the candidates of one choice with their scores, best first.
type Explanation struct {
	At           time.Time   `json:"at"`
	Service      string      `json:"service"`
	PromptTokens int         `json:"prompt_tokens"`
	Candidates   []Candidate `json:"candidates"`
}

// recent is a ring of the last choices; it reuses its rows, so that add does not
// allocate once they have grown.
type recent struct {
	rows [maxRecentChoices]recentChoice
	next int
}

type recentChoice struct {
	at           time.Time
	service      string
	promptTokens int
	candidates   []candidate
	chosen       int
}

func (r *recent) add(q *Query, now time.Time, scratch []candidate, chosen int) {
	row := &r.rows[r.next]
	r.next = (r.next + 1) % maxRecentChoices
	row.at, row.service, row.promptTokens, row.chosen = now, q.Service, q.PromptTokens, chosen
	row.candidates = append(row.candidates[:0], scratch...)
}

func (r *recentChoice) explain() Explanation {
	out := Explanation{At: r.at, Service: r.service, PromptTokens: r.promptTokens}
	for i := range r.candidates {
		c := r.candidates[i].explain()
		c.Chosen = i == r.chosen
		out.Candidates = append(out.Candidates, c)
	}
	sortCandidates(out.Candidates)
	return out
}

func (c *candidate) explain() Candidate {
	host := &c.endpoint.row.Host
	return Candidate{Endpoint: host.ID, Zone: host.Zone, Score: c.score, Terms: c.terms, CachedTokens: c.cachedTokens}
}

// Explain returns the most recent choices, newest first.
func (t *Table) Explain() []Explanation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Explanation
	for i := range maxRecentChoices {
		row := &t.recent.rows[(t.recent.next-1-i+2*maxRecentChoices)%maxRecentChoices]
		if !row.at.IsZero() {
			out = append(out, row.explain())
		}
	}
	return out
}

func sortCandidates(rows []Candidate) {
	slices.SortStableFunc(rows, func(a, b Candidate) int {
		switch {
		case a.Score < b.Score:
			return -1
		case a.Score > b.Score:
			return 1
		}
		return 0
	})
}

// Weigh returns the score and terms of each candidate for a request, best first,
// without booking it.
func (t *Table) Weigh(q *Query, now time.Time) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.groups[q.Service]
	if !ok {
		return nil
	}
	t.score(g, q, now)
	out := make([]Candidate, 0, len(t.scratch))
	for i := range t.scratch {
		out = append(out, t.scratch[i].explain())
	}
	sortCandidates(out)
	return out
}

// LoadState is the load of one endpoint in the state dump.
type LoadState struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	Leaving  bool   `json:"leaving,omitempty"`
	Suspect  bool   `json:"suspect,omitempty"`
	// InFlight counts this process's own requests there, Prefill their tokens that
	// wait for prefill.
	InFlight int `json:"in_flight"`
	Prefill  int `json:"prefill_tokens"`
	// Others and OthersPrefill are the same counts for other processes, by the last
	// load report.
	Others        int       `json:"others_running"`
	OthersPrefill float64   `json:"others_prefill_tokens"`
	ReportAt      time.Time `json:"report_at"`
	// MaxRunning is how many requests the endpoint runs at once; zero if it has
	// not reported it.
	MaxRunning int `json:"max_running"`
}

// Loads returns the load of each endpoint, ordered by id.
func (t *Table) Loads(now time.Time) []LoadState {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]LoadState, 0, len(t.byID))
	for id, e := range t.byID {
		out = append(out, LoadState{
			Endpoint: id, Service: e.row.Host.Service,
			Leaving: e.row.Leaving, Suspect: now.UnixNano() < e.suspectUntil,
			InFlight: e.inFlight, Prefill: e.ownPrefillTokens,
			Others: e.othersRunning, OthersPrefill: e.othersPrefill, ReportAt: e.report.At, MaxRunning: e.report.MaxRunning,
		})
	}
	slices.SortFunc(out, func(a, b LoadState) int {
		if a.Endpoint < b.Endpoint {
			return -1
		}
		return 1
	})
	return out
}
