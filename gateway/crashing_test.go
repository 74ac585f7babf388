package gateway

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/placement"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
)

// crashingFleet simulates endpoints whose processes crash and come back at the same address under another id.
type crashingFleet struct {
	tp *testPlatform
	// lethal names what crashes the endpoint that begins to answer a request; empty for a sound request.
	lethal func(f *port.Forward) string

	mu        sync.Mutex
	processes map[string]*endpointProcess // the last one, by address
	started   int
	// arrivals and crashes hold the times at which lethal requests reached endpoints and crashed them, by name.
	arrivals, crashes map[string][]time.Time
}

type endpointProcess struct {
	fleet.Endpoint
	crashed chan struct{} // closed when the process has ended
}

const (
	// endpointDownTime is how long a crashed endpoint takes to come back, listedTime how long its entry stays
	// in the registry.
	endpointDownTime = 3 * time.Second
	listedTime       = 3600 * time.Millisecond
	// answerDelay is the time until an answer begins, eventInterval that between the events of a stream.
	answerDelay   = 50 * time.Millisecond
	eventInterval = 30 * time.Millisecond
	streamEvents  = 30
)

// startFleet starts the endpoints of a test: some of the plain service, one a zone, and engines.
func (tp *testPlatform) startFleet(calls, engines int) *crashingFleet {
	f := &crashingFleet{
		tp: tp, lethal: func(*port.Forward) string { return "" }, processes: map[string]*endpointProcess{},
		arrivals: map[string][]time.Time{}, crashes: map[string][]time.Time{},
	}
	for i := range calls + engines {
		e := fleet.Endpoint{Address: fmt.Sprintf("10.0.1.%d:1", i), Service: "api", Zone: fmt.Sprint("z0", i%3), Slots: 6}
		if i >= calls {
			e.Service, e.Slots = "llm", 64
		}
		f.start(e)
	}
	tp.endpoints.respond, tp.endpoints.probe = f.respond, f.probe
	return f
}

// start starts a process at an address.
func (f *crashingFleet) start(e fleet.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	e.ID, e.State, e.Born = fmt.Sprint("p", f.started), fleet.StateReady, time.Now().UnixMilli()
	f.processes[e.Address] = &endpointProcess{e, make(chan struct{})}
	f.tp.store.put(port.TopicEndpoints, e.ID, e)
}

func (p *endpointProcess) down() bool {
	select {
	case <-p.crashed:
		return true
	default:
		return false
	}
}

func (f *crashingFleet) process(address string) *endpointProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[address]
}

// crash ends a process. cause is as in lethal, empty for a crash without a request that causes it.
func (f *crashingFleet) crash(p *endpointProcess, cause string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.down() {
		return
	}
	close(p.crashed)
	f.crashes[cause] = append(f.crashes[cause], time.Now())
	time.AfterFunc(endpointDownTime, func() { f.start(p.Endpoint) })
	time.AfterFunc(listedTime, func() { f.tp.store.remove(port.TopicEndpoints, p.ID) })
}

// running returns the processes that run.
func (f *crashingFleet) running() []*endpointProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*endpointProcess
	for _, address := range slices.Sorted(maps.Keys(f.processes)) {
		if p := f.processes[address]; !p.down() {
			out = append(out, p)
		}
	}
	return out
}

func (f *crashingFleet) probe(address string) error {
	if p := f.process(address); p == nil || p.down() {
		return port.ErrNotListening
	}
	return nil
}

func (f *crashingFleet) respond(ctx context.Context, fw *port.Forward, _ int) (*port.Reply, error) {
	p := f.process(fw.Address)
	if p == nil || p.down() || fw.Sending() != nil {
		return nil, port.ErrNotSent
	}
	cause := f.lethal(fw)
	if cause != "" {
		f.mu.Lock()
		f.arrivals[cause] = append(f.arrivals[cause], time.Now())
		f.mu.Unlock()
	}
	if p.ID != fw.Endpoint {
		return &port.Reply{Status: http.StatusMisdirectedRequest, Misdirected: true, Header: http.Header{}, Body: http.NoBody}, nil
	}
	select {
	case <-time.After(answerDelay):
	case <-p.crashed:
		return nil, errors.Wrap(port.ErrBroken, "crashed")
	case <-ctx.Done():
		return nil, errors.Wrap(port.ErrBroken, "closed")
	}
	if cause != "" {
		f.crash(p, cause)
		return nil, errors.Wrap(port.ErrBroken, "crashed")
	}
	if !fw.HasTokens {
		return &port.Reply{Status: http.StatusOK, Authentic: true, Header: http.Header{}, Length: 0, Body: http.NoBody}, nil
	}
	return &port.Reply{Status: http.StatusOK, Authentic: true, Stream: true, Length: -1, Header: http.Header{}, Body: &crashingStream{ctx: ctx, process: p, next: position(fw) + 1}}, nil
}

// crashingStream is a stream of streamEvents events that breaks when its process crashes.
type crashingStream struct {
	ctx     context.Context
	process *endpointProcess
	next    int
}

func (s *crashingStream) Read(p []byte) (int, error) {
	if s.next > streamEvents {
		return 0, io.EOF
	}
	select {
	case <-time.After(eventInterval):
	case <-s.process.crashed:
		return 0, errors.Wrap(port.ErrBroken, "crashed")
	case <-s.ctx.Done():
		return 0, errors.Wrap(port.ErrBroken, "closed")
	}
	n := copy(p, events(s.next, s.next)[0])
	s.next++
	return n, nil
}

func (s *crashingStream) Close() error { return nil }

// after returns how many times of a list are later than delay after its nth.
func after(times, of []time.Time, nth int, delay time.Duration) int {
	if len(of) < nth {
		return 0
	}
	count := 0
	for _, t := range times {
		if t.After(of[nth-1].Add(delay)) {
			count++
		}
	}
	return count
}

// soundTraffic sends sound requests at random hosts until stopped and counts what becomes of them.
type soundTraffic struct {
	mu sync.Mutex
	soundCounts
	stop chan struct{}
	done sync.WaitGroup
}

type soundCounts struct{ sent, served, quarantined int }

func (c soundCounts) share() float64 { return float64(c.served) / float64(max(c.sent, 1)) }

// take returns what has been counted since the last time.
func (s *soundTraffic) take() soundCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counted := s.soundCounts
	s.soundCounts = soundCounts{}
	return counted
}

const soundInterval = 40 * time.Millisecond

// startSound starts sound traffic. request returns the nth request, see soundRequest.
func (tp *testPlatform) startSound(t *testing.T, rng *lockedRand, request func(n int) *port.Request) *soundTraffic {
	s := &soundTraffic{stop: make(chan struct{})}
	s.done.Go(func() {
		tick := time.NewTicker(soundInterval)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-s.stop:
				return
			case <-tick.C:
			}
			s.done.Go(func() { s.record(tp.sendAnywhere(t.Context(), rng, request(n))) })
		}
	})
	return s
}

func (s *soundTraffic) record(r *recorder) {
	if r == nil {
		return // there was no host to send it to
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	switch {
	case r.problem != nil && r.problem.Type == problem.TypeQuarantined:
		s.quarantined++
	case r.status == http.StatusOK && !r.aborted:
		s.served++
	}
}

// end stops the traffic and waits for the answers.
func (s *soundTraffic) end() {
	close(s.stop)
	s.done.Wait()
}

// soundRequest returns the nth sound request of a route. No two are alike.
func soundRequest(route string, n int) *port.Request {
	return testRequest(fmt.Sprint("sound", n), route, fmt.Sprint("/", route, "/", n), placement.Part{ID: "system", Tokens: 300}, placement.Part{ID: fmt.Sprint("subject", n%200), Tokens: 400})
}

// testRequest returns a request for a target of a route. parts are those of the prompt before its own part.
func testRequest(id, route, target string, parts ...placement.Part) *port.Request {
	req := &port.Request{ID: id, Method: http.MethodGet, Host: "x", Path: target, Target: target, Key: "key", CallerTimeout: 4 * time.Second}
	if route == "stream" || route == "resume" {
		req.HasTokens, req.PromptTokens, req.AnswerTokens = true, 800, 90
		req.Parts = append(parts, placement.Part{ID: "own" + id, Tokens: 100})
	}
	return req
}

func serveRequest(ctx context.Context, g *Gateway, req *port.Request) *recorder {
	r := &recorder{}
	g.Serve(ctx, time.Now(), req, r)
	return r
}

// liveHosts returns the hosts that run.
func (tp *testPlatform) liveHosts() []*Gateway {
	tp.hostsMu.Lock()
	defer tp.hostsMu.Unlock()
	var out []*Gateway
	for _, g := range tp.hosts {
		if g.tomb.Alive() {
			out = append(out, g)
		}
	}
	return out
}

// sendAnywhere sends a request at a host that runs; nil without one.
func (tp *testPlatform) sendAnywhere(ctx context.Context, rng *lockedRand, req *port.Request) *recorder {
	live := tp.liveHosts()
	if len(live) == 0 {
		return nil
	}
	return serveRequest(ctx, live[rng.IntN(len(live))], req)
}

// lockedRand is a source of randomness that goroutines share.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand { return &lockedRand{rng: rand.New(rand.NewPCG(seed, 32))} }

func (r *lockedRand) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}
