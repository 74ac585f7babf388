package quarantine

import (
	"slices"
	"sync"
	"time"
)

// brokenAttemptTTL is how long a broken attempt still counts as running.
const brokenAttemptTTL = 3 * time.Second

// InFlight holds the attempts that this host has in flight at each endpoint, with the fingerprints of their
// requests, so that the death of an endpoint can be recorded with all of them. It is safe for concurrent use.
type InFlight struct {
	mu        sync.Mutex
	endpoints map[string]map[string]inFlightAttempt
	// pendingDeaths holds a channel for each endpoint whose death is being recorded; it is
	// closed when that is done.
	pendingDeaths map[string]chan struct{}
	// isolated holds the endpoints reserved for one isolated request.
	isolated map[string]bool
}

// Run is what an attempt runs: the request's fingerprint and the keys of the parts of its prompt, without its own part.
type Run struct {
	Fingerprint uint64
	Parts       []uint64
}

// inFlightAttempt is an attempt that runs or broke within brokenAttemptTTL.
type inFlightAttempt struct {
	Run
	// begunAt is when its answer began; zero before that.
	begunAt time.Time
	// brokeAt is when the attempt broke; zero while it is running.
	brokeAt time.Time
}

// NewInFlight returns an empty table.
func NewInFlight() *InFlight {
	return &InFlight{
		endpoints:     map[string]map[string]inFlightAttempt{},
		pendingDeaths: map[string]chan struct{}{},
		isolated:      map[string]bool{},
	}
}

// Add adds an attempt that is about to be sent.
func (f *InFlight) Add(endpoint, attemptID string, run Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows, ok := f.endpoints[endpoint]
	if !ok {
		rows = map[string]inFlightAttempt{}
		f.endpoints[endpoint] = rows
	}
	rows[attemptID] = inFlightAttempt{Run: run}
}

// Remove removes an attempt. One that broke is retained for brokenAttemptTTL, and
// broken attempts older than that are removed.
func (f *InFlight) Remove(endpoint, attemptID string, broke bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := f.endpoints[endpoint]
	row := rows[attemptID]
	delete(rows, attemptID)
	if broke {
		row.brokeAt = now
		rows[attemptID] = row
	}
	for id, other := range rows {
		if !other.brokeAt.IsZero() && now.Sub(other.brokeAt) > brokenAttemptTTL {
			delete(rows, id)
		}
	}
	if len(rows) == 0 {
		delete(f.endpoints, endpoint)
	}
}

// FingerprintsAt returns, sorted, the fingerprints of the requests that run at an
// endpoint or broke there within brokenAttemptTTL.
func (f *InFlight) FingerprintsAt(endpoint string, now time.Time) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []uint64
	for _, row := range f.endpoints[endpoint] {
		if row.brokeAt.IsZero() || now.Sub(row.brokeAt) <= brokenAttemptTTL {
			out = append(out, row.Fingerprint)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Begin records that the answer to an attempt has begun.
func (f *InFlight) Begin(endpoint, attemptID string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if row, ok := f.endpoints[endpoint][attemptID]; ok && row.begunAt.IsZero() {
		row.begunAt = now
		f.endpoints[endpoint][attemptID] = row
	}
}

// SuspectPartsAt returns, sorted, the keys of the parts of prompts that may cause the death of an endpoint: those of
// the requests that run there or broke there within brokenAttemptTTL and had not been answering for AnsweringTime.
func (f *InFlight) SuspectPartsAt(endpoint string, now time.Time) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []uint64
	for _, row := range f.endpoints[endpoint] {
		end := row.brokeAt
		if end.IsZero() {
			end = now
		}
		if now.Sub(end) <= brokenAttemptTTL && (row.begunAt.IsZero() || end.Sub(row.begunAt) < AnsweringTime) {
			out = append(out, row.Parts...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// EndpointsRunning returns the endpoints where a request with any of the given
// fingerprints runs. The fingerprints must be sorted.
func (f *InFlight) EndpointsRunning(fingerprints []uint64) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for endpoint, rows := range f.endpoints {
		for _, row := range rows {
			if _, found := slices.BinarySearch(fingerprints, row.Fingerprint); found && row.brokeAt.IsZero() {
				out = append(out, endpoint)
				break
			}
		}
	}
	return out
}

// BeginDeathRecord returns the channel that is closed when an endpoint's death is
// recorded, and whether the calling goroutine is the one to record it.
func (f *InFlight) BeginDeathRecord(endpoint string) (chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if done, ok := f.pendingDeaths[endpoint]; ok {
		return done, false
	}
	done := make(chan struct{})
	f.pendingDeaths[endpoint] = done
	return done, true
}

// EndDeathRecord ends what BeginDeathRecord began.
func (f *InFlight) EndDeathRecord(endpoint string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.pendingDeaths[endpoint])
	delete(f.pendingDeaths, endpoint)
}

// Isolate reserves an endpoint for one request; it returns false if the endpoint is
// reserved already.
func (f *InFlight) Isolate(endpoint string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isolated[endpoint] {
		return false
	}
	f.isolated[endpoint] = true
	return true
}

// EndIsolation ends the reservation made by Isolate, if there is one.
func (f *InFlight) EndIsolation(endpoint string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.isolated, endpoint)
}

// IsolatedEndpoints returns the endpoints that are reserved for one isolated request.
func (f *InFlight) IsolatedEndpoints() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]string, 0, len(f.isolated))
	for endpoint := range f.isolated {
		out = append(out, endpoint)
	}
	return out
}
