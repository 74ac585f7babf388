package scaling

import (
	"sync"
	"time"

	"github.com/cicadanotch/cicadanotch/presence"
)

// meterTime is the time over which demand is averaged: long enough for the gaps
// between long prompts, short enough for a burst of a few seconds.
const meterTime = 2 * time.Second

type rates struct {
	requests, prompt, answer, refused float64
	generated, generating             float64
	waiting                           int
	at                                time.Time
}

// Meter measures what a host's callers ask of each service. Safe for concurrent
// use; its lock is a leaf.
type Meter struct {
	mu    sync.Mutex
	rates map[string]*rates
}

// NewMeter returns an empty meter.
func NewMeter() *Meter { return &Meter{rates: map[string]*rates{}} }

func (m *Meter) advance(now time.Time, service string) *rates {
	r, ok := m.rates[service]
	if !ok {
		r = &rates{at: now}
		m.rates[service] = r
	}
	keep := max(0, 1-max(now.Sub(r.at).Seconds(), 0)/meterTime.Seconds())
	r.requests *= keep
	r.prompt *= keep
	r.answer *= keep
	r.refused *= keep
	r.generated *= keep
	r.generating *= keep
	r.at = now
	return r
}

// Placed books a request that was placed, with the prompt tokens to read and
// the expected tokens of the answer.
func (m *Meter) Placed(now time.Time, service string, prompt, answer int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.advance(now, service)
	r.requests += 1 / meterTime.Seconds()
	r.prompt += float64(prompt) / meterTime.Seconds()
	r.answer += float64(answer) / meterTime.Seconds()
}

// Refused books a request that was refused for want of room.
func (m *Meter) Refused(now time.Time, service string, prompt, answer int) {
	m.Placed(now, service, prompt, answer)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rates[service].refused += 1 / meterTime.Seconds()
}

// Generated books a stream that has ended, with its tokens after the first event
// and the time that they took.
func (m *Meter) Generated(now time.Time, service string, tokens int, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.advance(now, service)
	r.generated += float64(tokens) / meterTime.Seconds()
	r.generating += took.Seconds() / meterTime.Seconds()
}

// Waiting notes that requests wait for an endpoint, or no longer do.
func (m *Meter) Waiting(now time.Time, service string, change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now, service).waiting += change
}

// Demands returns the present demand on each service.
func (m *Meter) Demands(now time.Time) map[string]presence.Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]presence.Demand, len(m.rates))
	for name := range m.rates {
		r := m.advance(now, name)
		out[name] = presence.Demand{
			Requests: round(r.requests), Prompt: round(r.prompt), Answer: round(r.answer),
			Waiting: r.waiting, Refused: round(r.refused),
			Generated: round(r.generated), Generating: round(r.generating),
		}
	}
	return out
}

// round keeps reports short.
func round(f float64) float64 { return float64(int(f*100)) / 100 }
