package scaling

import (
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/presence"
)

// demandWindow is the time over which demand is averaged: longer than the gaps between
// long prompts, short enough to follow a burst of a few seconds.
const demandWindow = 2 * time.Second

// rates holds the decaying rates of one service, per second, as of at. The fields are
// those of presence.Demand.
type rates struct {
	requests, prompt, answer, refused float64
	generated, generating             float64
	waiting                           int
	at                                time.Time
}

// Meter measures the demand of a host's callers on each service. Safe for concurrent
// use; no other lock is taken while its lock is held.
type Meter struct {
	mu    sync.Mutex
	rates map[string]*rates
}

// NewMeter returns an empty meter.
func NewMeter() *Meter { return &Meter{rates: map[string]*rates{}} }

// advance returns the rates of a service, decayed to now. The caller holds the lock.
func (m *Meter) advance(now time.Time, service string) *rates {
	r, ok := m.rates[service]
	if !ok {
		r = &rates{at: now}
		m.rates[service] = r
	}
	decay := max(0, 1-max(now.Sub(r.at).Seconds(), 0)/demandWindow.Seconds())
	r.requests *= decay
	r.prompt *= decay
	r.answer *= decay
	r.refused *= decay
	r.generated *= decay
	r.generating *= decay
	r.at = now
	return r
}

// Placed records a request that was placed on an endpoint, with the prompt tokens to
// prefill and the expected tokens of the answer.
func (m *Meter) Placed(now time.Time, service string, prompt, answer int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.advance(now, service)
	r.requests += 1 / demandWindow.Seconds()
	r.prompt += float64(prompt) / demandWindow.Seconds()
	r.answer += float64(answer) / demandWindow.Seconds()
}

// Refused records a request that was refused for lack of capacity.
func (m *Meter) Refused(now time.Time, service string, prompt, answer int) {
	m.Placed(now, service, prompt, answer)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rates[service].refused += 1 / demandWindow.Seconds()
}

// Generated records a stream that has ended, with the tokens after its first event
// and the time that generating them took.
func (m *Meter) Generated(now time.Time, service string, tokens int, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.advance(now, service)
	r.generated += float64(tokens) / demandWindow.Seconds()
	r.generating += took.Seconds() / demandWindow.Seconds()
}

// Waiting changes the number of requests that wait for an endpoint.
func (m *Meter) Waiting(now time.Time, service string, change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now, service).waiting += change
}

// Demands returns the current demand on each service.
func (m *Meter) Demands(now time.Time) map[string]presence.Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]presence.Demand, len(m.rates))
	for name := range m.rates {
		r := m.advance(now, name)
		out[name] = presence.Demand{
			Requests: truncate(r.requests), Prompt: truncate(r.prompt), Answer: truncate(r.answer),
			Waiting: r.waiting, Refused: truncate(r.refused),
			Generated: truncate(r.generated), Generating: truncate(r.generating),
		}
	}
	return out
}

// truncate truncates to two decimals, which keeps reports short.
func truncate(f float64) float64 { return float64(int(f*100)) / 100 }
