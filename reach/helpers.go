package reach

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Peer is another host that may carry the requests of a host that is cut off.
type Peer struct {
	Host string
	// Address is where it accepts tunnels, as ip:port.
	Address string
	Zone    string
	Region  string
	// CutOff is set if it reports that it is cut off itself.
	CutOff bool
}

// Helpers chooses the hosts that carry requests, and holds which of them have failed or refused. Safe for concurrent
// use; no other lock is taken while its lock is held.
type Helpers struct {
	mu  sync.Mutex
	rng *rand.Rand
	// avoidUntil is until when a host is not chosen, by name; open is the number of tunnels through it.
	avoidUntil map[string]time.Time
	open       map[string]int
}

// NewHelpers returns an empty Helpers.
func NewHelpers(rng *rand.Rand) *Helpers {
	return &Helpers{rng: rng, avoidUntil: map[string]time.Time{}, open: map[string]int{}}
}

// Choose returns the host to send a request through, and counts a tunnel through it until Done is called. Hosts of the
// region are preferred: the links between regions are narrow. Of two at random the one with fewer tunnels of this host
// is chosen, so that hosts that are cut off together spread over those that are not. ok is false if no host can help.
func (h *Helpers) Choose(now time.Time, region string, peers []Peer) (p Peer, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var near, far []Peer
	for _, p := range peers {
		switch {
		case p.Address == "" || p.CutOff || now.Before(h.avoidUntil[p.Host]):
		case p.Region == region:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return Peer{}, false
	}
	p = near[h.rng.IntN(len(near))]
	if other := near[h.rng.IntN(len(near))]; h.open[other.Host] < h.open[p.Host] {
		p = other
	}
	h.open[p.Host]++
	return p, true
}

// Done ends the count of a tunnel that Choose began.
func (h *Helpers) Done(host string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open[host]--; h.open[host] <= 0 {
		delete(h.open, host)
	}
}

// Avoid keeps a host from being chosen for some time.
func (h *Helpers) Avoid(now time.Time, host string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for other, until := range h.avoidUntil {
		if !now.Before(until) {
			delete(h.avoidUntil, other)
		}
	}
	h.avoidUntil[host] = now.Add(d)
}
