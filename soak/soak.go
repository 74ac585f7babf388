// Package soak runs the daemon as separate processes against stand-ins for the
// platform, injects faults from outside them, and checks the promises from what
// callers and endpoints observe.
//
// The faults are drawn from a seed, in sequence, and overlap: processes are killed,
// terminated, paused and signaled to reload; connections to the store, to the cloud and
// to endpoints are delayed, reset, or drop bytes in one or both directions; the store
// refuses calls and loses replies; endpoints drain, fail and are added; the configuration
// changes.
// Promises without a time bound are always checked. The others are checked only with
// Options.CheckTiming, on a machine without other load.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// Options configure a run.
type Options struct {
	Seed uint64
	// AddressBase selects the loopback addresses; concurrent runs need different ones.
	AddressBase int
	// Hosts is the number of hosts, spread over two availability zones, Endpoints the
	// number of endpoints of each service.
	Hosts     int
	Endpoints int
	// Callers is the number of concurrent callers; each sends one request at a time.
	Callers int
	// FaultPhase is how long faults are injected, SettleDelay the time after it until
	// every host must serve again.
	FaultPhase  time.Duration
	SettleDelay time.Duration
	// FaultKinds names the kinds of faults to inject; empty means all.
	FaultKinds []string
	// CheckTiming enables the checks with time bounds.
	CheckTiming bool
	// Replacements are commands of other builds. All hosts are replaced one after the other by each of them, in this order;
	// FaultPhase lasts at least as long.
	Replacements []func() *exec.Cmd
	// Sound makes endpoints serve all requests.
	Sound bool
	// StreamDuration is how long streams take beyond what other requests take.
	StreamDuration time.Duration
	// Dir is the directory for settings and logs.
	Dir string
	// Command returns the command of one process; the run adds to its environment.
	Command func() *exec.Cmd
}

// Time bounds that the checks use.
const (
	// drainTimeout is how long an endpoint may get requests after it is listed as draining.
	drainTimeout = 3 * time.Second
	// faultRecoveryWindow is the time after a fault in which time bounds do not apply
	// to a host.
	faultRecoveryWindow = 4 * time.Second
	// applyTimeout is the time within which a new configuration comes into force.
	applyTimeout = 3 * time.Second
	// gracePeriod is the time between SIGTERM and SIGKILL.
	gracePeriod = 8 * time.Second
	// lossSlack is how long a request may have been on its way to a process that closes its connection unread, as the
	// platform states it.
	lossSlack = 200 * time.Millisecond
	// lateSending is how long after SIGTERM requests are sent that are not excused if an endpoint is still at work on
	// them in the last sixth of the grace period.
	lateSending = 3 * time.Second
)

// maxWorkDuration bounds the time that an endpoint spends on a request.
const maxWorkDuration = 200 * time.Millisecond

// request is one request of a caller and its outcome.
type request struct {
	id, path, host, incarnation string
	prompt                      string
	kind                        kind
	sent, ended                 time.Time
	answer                      platformtest.Answer

	// origin is the first request of the stream that this one continues, nil for a new stream, and after the
	// events received before. sameSoftware counts the endpoints of its software version that were ready when
	// this request was sent.
	origin       *request
	after        int
	sameSoftware int
}

// events returns the number of events in the answer to a stream, and the software versions that wrote them.
func (q *request) events() (n int, software []string) {
	return platformtest.StreamEvents(q.answer.Body)
}

type kind string

const (
	kindNonIdempotent kind = "order"
	kindGet           kind = "get"
	kindStream        kind = "stream"
	// kindProbe requests the route that one version of the configuration added.
	kindProbe kind = "probe"
)

// endpoint is an endpoint and the proxy in front of it.
type endpoint struct {
	*platformtest.Endpoint
	service, zone string
	link          *proxy
	// drainedAt is when the endpoint was listed as draining; zero before.
	drainedAt time.Time
	removed   bool
}

// testRun is the state of one run.
type testRun struct {
	opts  Options
	rng   *rand.Rand
	store *platformtest.Store
	cloud *platformtest.Cloud
	hosts []*host

	mu                 sync.Mutex
	endpoints          []*endpoint
	requests           []*request
	faults             []string
	versions           []version
	startedAt          time.Time
	endpointFaultTimes []time.Time // faults of all endpoints

	sequence atomic.Int64
	done     chan struct{}
	// tasks are the callers and the pending ends of faults.
	tasks sync.WaitGroup
}

// version is one version of the configuration and the time of its writing.
type version struct {
	number    int
	writtenAt time.Time
}

// Run runs one seed and returns the violations and the injected faults.
func Run(ctx context.Context, opts Options) (*Report, error) {
	tr := &testRun{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)),
		store: platformtest.NewStore(), cloud: platformtest.NewCloud(), done: make(chan struct{}), startedAt: time.Now(),
	}
	defer tr.store.Close()
	defer tr.cloud.Close()
	if err := tr.start(); err != nil {
		tr.stop()
		return nil, err
	}
	err := tr.awaitReady(ctx)
	if err == nil {
		for n := range opts.Callers {
			tr.tasks.Go(func() { tr.runCaller(rand.New(rand.NewPCG(opts.Seed, uint64(n+2)))) })
		}
		replaced := make(chan struct{})
		go func() {
			defer close(replaced)
			tr.replaceHosts(ctx)
		}()
		tr.injectFaults(ctx)
		<-replaced
		tr.clearFaults()
		time.Sleep(opts.SettleDelay)
		close(tr.done)
		tr.tasks.Wait()
		tr.probeAll(ctx)
	}
	tr.stop()
	if err != nil {
		return nil, err
	}
	return tr.check(), nil
}

func (tr *testRun) start() error {
	regions := map[string]string{"a": "r", "b": "r"}
	tr.publishConfig()
	for n := range tr.opts.Endpoints {
		for _, service := range []string{"api", "llm"} {
			if err := tr.addEndpoint(service, zoneOf(n)); err != nil {
				return err
			}
		}
	}
	for n := range tr.opts.Hosts {
		h, err := startHost(tr.opts.Dir, tr.opts.AddressBase, n, zoneOf(n), "r", regions, tr.store.Address(), tr.cloud.Address(), tr.opts.Command)
		if err != nil {
			return err
		}
		tr.hosts = append(tr.hosts, h)
	}
	return nil
}

func zoneOf(n int) string { return string(rune('a' + n%2)) }

// publishConfig writes the next version of the configuration, which adds a route.
func (tr *testRun) publishConfig() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	number := len(tr.versions) + 1
	tr.store.Configure(number, routeOf(number))
	tr.versions = append(tr.versions, version{number, time.Now()})
}

func routeOf(version int) string { return fmt.Sprintf("v%d", version) }

// softwareVersions is the number of software versions of each service.
const softwareVersions = 2

// maxContinuations bounds how often a caller continues a stream.
const maxContinuations = 2

// addEndpoint starts an endpoint behind a proxy and registers it. The endpoint disconnects
// on 2% of the requests, declines 2%, leaves 1% unsealed, answers 4% with neither a length nor
// chunks, and 2% likewise but broken off inside an event; it serves the rest.
func (tr *testRun) addEndpoint(service, zone string) error {
	n := int(tr.sequence.Add(1))
	rng := rand.New(rand.NewPCG(tr.opts.Seed, uint64(1000+n)))
	var mu sync.Mutex
	behave := func(string, int) platformtest.Behaviour {
		if tr.opts.Sound {
			return platformtest.Serve
		}
		mu.Lock()
		defer mu.Unlock()
		switch r := rng.IntN(100); {
		case r < 2:
			return platformtest.Disconnect
		case r < 4:
			return platformtest.Decline
		case r < 5:
			return platformtest.Unsealed
		case r < 9:
			return platformtest.Unframed
		case r < 11:
			return platformtest.CloseInEvent
		}
		return platformtest.Serve
	}
	server := platformtest.NewEndpoint(fmt.Sprintf("i-%s-%d", service, n), behave)
	link, err := newProxy(server.Address())
	if err != nil {
		server.Close()
		return errors.Wrap(err, "start proxy to an endpoint")
	}
	server.SetProxyAddress(link.address())
	// Of its own source, so that seeds keep their behaviours.
	server.SetSoftware(fmt.Sprint("v", 1+rand.New(rand.NewPCG(tr.opts.Seed, uint64(5000+n))).IntN(softwareVersions)))
	delay := time.Duration(rng.Int64N(int64(maxWorkDuration)))
	if service == "llm" {
		delay += tr.opts.StreamDuration
	}
	server.SetDelay(delay)
	added := &endpoint{Endpoint: server, service: service, zone: zone, link: link}
	server.SetCrash(func() { tr.crashEndpoint(added) })
	tr.mu.Lock()
	tr.endpoints = append(tr.endpoints, added)
	tr.mu.Unlock()
	tr.store.Register(server.ID, server.Entry(service, zone, "ready"))
	return nil
}

// awaitReady waits until all hosts are ready.
func (tr *testRun) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tr.opts.SettleDelay+30*time.Second)
	defer cancel()
	for _, h := range tr.hosts {
		for !platformtest.IsReady(ctx, h.Ready) {
			if ctx.Err() != nil {
				return errors.Errorf("host %s is not ready, see its log", h.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// runCaller sends one request after another over persistent connections until the run is done.
func (tr *testRun) runCaller(rng *rand.Rand) {
	const (
		requestInterval = 20 * time.Millisecond
		addressTTL      = time.Second
		requestTimeout  = 6 * time.Second
		switchOneIn     = 20 // one request in 20 goes to a newly chosen address
	)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	var addresses []string
	current := ""
	var fetchedAt time.Time
	for {
		select {
		case <-tr.done:
			return
		case <-time.After(requestInterval):
		}
		if time.Since(fetchedAt) > addressTTL || len(addresses) == 0 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			h := tr.hosts[rng.IntN(len(tr.hosts))]
			if got := platformtest.Addresses(ctx, h.Directory, h.Region, h.Zone); len(got) > 0 {
				addresses, fetchedAt = got, time.Now()
			}
			cancel()
			if len(addresses) == 0 {
				continue
			}
		}
		// Otherwise the address is reused until a request fails.
		if current == "" || rng.IntN(switchOneIn) == 0 {
			current = addresses[rng.IntN(len(addresses))]
		}
		r := tr.nextRequest(rng)
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		tr.send(ctx, client, current, r)
		for range maxContinuations {
			next := tr.continuation(r)
			if next == nil {
				break
			}
			r, current = next, addresses[rng.IntN(len(addresses))]
			tr.send(ctx, client, current, r)
		}
		cancel()
		if r.answer.Err != nil {
			current = ""
		}
	}
}

func (tr *testRun) nextRequest(rng *rand.Rand) *request {
	id := fmt.Sprintf("r%d-%d", tr.opts.Seed, tr.sequence.Add(1))
	r := &request{id: id}
	switch rng.IntN(10) {
	case 0, 1, 2:
		r.kind, r.path = kindNonIdempotent, "/order/1"
	case 3, 4, 5:
		r.kind, r.path = kindGet, "/get/1"
	case 6:
		tr.mu.Lock()
		newest := len(tr.versions)
		tr.mu.Unlock()
		r.kind, r.path = kindProbe, "/"+routeOf(1+rng.IntN(newest))+"/1"
	default:
		r.kind, r.path = kindStream, "/stream/1"
	}
	return r
}

// continuation returns a request that continues the stream of r, nil if r was answered completely or brought no
// event.
func (tr *testRun) continuation(r *request) *request {
	n, _ := r.events()
	if r.kind != kindStream || r.answer.Err == nil || (n == 0 && r.origin == nil) {
		return nil
	}
	origin := r
	if r.origin != nil {
		origin = r.origin
	}
	next := &request{id: fmt.Sprintf("r%d-%d", tr.opts.Seed, tr.sequence.Add(1)), kind: kindStream, path: r.path, origin: origin, after: r.after + n}
	_, software := origin.events()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, e := range tr.endpoints {
		if e.service == "llm" && e.Software() == software[0] && e.drainedAt.IsZero() && !e.removed {
			next.sameSoftware++
		}
	}
	return next
}

func (tr *testRun) send(ctx context.Context, client *http.Client, address string, r *request) {
	for _, h := range tr.hosts {
		if h.Front == address {
			r.host, r.incarnation = h.Name, h.incarnation()
		}
	}
	tr.mu.Lock()
	tr.requests = append(tr.requests, r)
	tr.mu.Unlock()
	r.sent = time.Now()
	sent := platformtest.Request{ID: r.id, Path: r.path, Key: "secret", Stream: r.kind == kindStream || r.kind == kindLethalPart, Prompt: r.prompt}
	if r.origin != nil {
		sent.Origin, sent.After = r.origin.id, fmt.Sprint(r.after)
	}
	answer := platformtest.Send(ctx, client, address, sent)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	r.answer, r.ended = answer, time.Now()
}

// probeAll sends requests of every kind to every host after the faults.
func (tr *testRun) probeAll(ctx context.Context) {
	tr.mu.Lock()
	newest := len(tr.versions)
	tr.mu.Unlock()
	const tries = 5 // endpoints decline some requests and disconnect on others
	var all sync.WaitGroup
	for _, h := range tr.hosts {
		all.Go(func() {
			for kind, path := range map[kind]string{
				kindNonIdempotent: "/order/1", kindGet: "/get/1", kindStream: "/stream/1", kindProbe: "/" + routeOf(newest) + "/1",
			} {
				for range tries {
					r := &request{id: fmt.Sprintf("p%d-%d", tr.opts.Seed, tr.sequence.Add(1)), kind: kind, path: path}
					tr.send(ctx, http.DefaultClient, h.Front, r)
				}
			}
		})
	}
	all.Wait()
}

func (tr *testRun) stop() {
	for _, h := range tr.hosts {
		h.stop()
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, e := range tr.endpoints {
		e.link.close()
		e.CloseClientConnections()
		e.Close()
	}
}
