// Package soak runs the daemon as separate processes against stand-ins for the
// platform, injects faults from outside them, and checks the promises from what
// clients and workers see.
//
// Faults follow from a seed. They come in series and overlap: processes are
// killed, stopped, paused and asked to reload; connections to the store, to the
// cloud and to workers are delayed, reset, cut one way or silenced; the store
// refuses calls and loses answers; workers drain, die and come; the configuration
// changes. What is promised without a bound of time is checked always, the rest
// only where the machine that plays is quiet.
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

// Options say what to play.
type Options struct {
	Seed uint64
	// Base tells runs at the same time apart.
	Base int
	// Hosts are spread over two zones, Workers is how many of each service run.
	Hosts   int
	Workers int
	// Clients ask at the same time, each for one thing after another.
	Clients int
	// Length is how long faults come; Settle how long after the last until
	// everything is served again.
	Length time.Duration
	Settle time.Duration
	// Kinds are the faults that come, by name; none names all.
	Kinds []string
	// Timed checks bounds of time too.
	Timed bool
	// Dir takes settings and logs.
	Dir string
	// Command makes the command of one process; its environment is added to.
	Command func() *exec.Cmd
}

// Bounds of the platform that the checks use.
const (
	// drainTime is how long after its entry says so a worker takes requests.
	drainTime = 3 * time.Second
	// contactTime is how long after a fault a host is held to bounds again.
	contactTime = 4 * time.Second
	// applyTime is the time in which a configuration is in force.
	applyTime = 3 * time.Second
	// graceTime is the time between SIGTERM and SIGKILL.
	graceTime = 8 * time.Second
)

// workMost bounds how long a worker takes.
const workMost = 200 * time.Millisecond

// request is one attempt of a client and how it ended.
type request struct {
	id, path, host, incarnation string
	kind                        kind
	sent, ended                 time.Time
	answer                      platformtest.Answer
}

type kind string

const (
	kindOrder  kind = "order"
	kindGet    kind = "get"
	kindStream kind = "stream"
	// kindProbe asks for the route that one version of the configuration added.
	kindProbe kind = "probe"
)

// worker is one worker with the link to it.
type worker struct {
	*platformtest.Worker
	service, zone string
	link          *proxy
	// drained is when its leaving was told; zero before.
	drained time.Time
	gone    bool
}

// world is one run.
type world struct {
	opts  Options
	rng   *rand.Rand
	store *platformtest.Store
	cloud *platformtest.Cloud
	hosts []*host

	mu       sync.Mutex
	workers  []*worker
	requests []*request
	faults   []string
	versions []version
	began    time.Time
	harms    []time.Time // faults of workers

	sequence atomic.Int64
	done     chan struct{}
	clients  sync.WaitGroup
}

// version is one configuration and when it was written.
type version struct {
	number int
	at     time.Time
}

// Run plays one seed and returns what broke and what was done.
func Run(ctx context.Context, opts Options) (*Report, error) {
	w := &world{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)),
		store: platformtest.NewStore(), cloud: platformtest.NewCloud(), done: make(chan struct{}), began: time.Now(),
	}
	defer w.store.Close()
	defer w.cloud.Close()
	if err := w.start(); err != nil {
		w.stop()
		return nil, err
	}
	err := w.awaitReady(ctx)
	if err == nil {
		for n := range opts.Clients {
			w.clients.Go(func() { w.client(rand.New(rand.NewPCG(opts.Seed, uint64(n+2)))) })
		}
		w.play(ctx)
		w.heal()
		time.Sleep(opts.Settle)
		close(w.done)
		w.clients.Wait()
		w.probeAll(ctx)
	}
	w.stop()
	if err != nil {
		return nil, err
	}
	return w.check(), nil
}

func (w *world) start() error {
	regions := map[string]string{"a": "r", "b": "r"}
	w.configure()
	for n := range w.opts.Workers {
		for _, service := range []string{"api", "llm"} {
			if err := w.addWorker(service, zoneOf(n)); err != nil {
				return err
			}
		}
	}
	for n := range w.opts.Hosts {
		h, err := startHost(w.opts.Dir, w.opts.Base, n, zoneOf(n), "r", regions, w.store.Address(), w.cloud.Address(), w.opts.Command)
		if err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
	}
	return nil
}

func zoneOf(n int) string { return string(rune('a' + n%2)) }

// configure writes the next version, which has a route of its own.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	number := len(w.versions) + 1
	w.store.Configure(number, routeOf(number))
	w.versions = append(w.versions, version{number, time.Now()})
}

func routeOf(version int) string { return fmt.Sprintf("v%d", version) }

// addWorker starts a worker behind a proxy and lists it. It serves most requests and
// spoils some.
func (w *world) addWorker(service, zone string) error {
	n := int(w.sequence.Add(1))
	rng := rand.New(rand.NewPCG(w.opts.Seed, uint64(1000+n)))
	var mu sync.Mutex
	play := func(string, int) platformtest.Behaviour {
		mu.Lock()
		defer mu.Unlock()
		switch r := rng.IntN(100); {
		case r < 2:
			return platformtest.Cut
		case r < 4:
			return platformtest.Decline
		case r < 5:
			return platformtest.Unsealed
		}
		return platformtest.Serve
	}
	made := platformtest.NewWorker(fmt.Sprintf("i-%s-%d", service, n), play)
	link, err := newProxy(made.Address())
	if err != nil {
		made.Close()
		return errors.Wrap(err, "proxy of a worker")
	}
	made.SetProxyAddress(link.address())
	made.SetDelay(time.Duration(rng.Int64N(int64(workMost))))
	added := &worker{Worker: made, service: service, zone: zone, link: link}
	w.mu.Lock()
	w.workers = append(w.workers, added)
	w.mu.Unlock()
	w.store.Register(made.ID, made.Entry(service, zone, "ready"))
	return nil
}

// awaitReady waits until all hosts serve.
func (w *world) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.opts.Settle+30*time.Second)
	defer cancel()
	for _, h := range w.hosts {
		for !platformtest.IsReady(ctx, h.Ready) {
			if ctx.Err() != nil {
				return errors.Errorf("host %s is not ready; see its log", h.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// client asks for one thing after another, over connections that it keeps.
func (w *world) client(rng *rand.Rand) {
	const (
		think  = 20 * time.Millisecond
		keep   = time.Second // how long it keeps addresses
		oneTry = 6 * time.Second
		leaves = 20 // one request in so many goes elsewhere
	)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	var addresses []string
	current := ""
	var asked time.Time
	for {
		select {
		case <-w.done:
			return
		case <-time.After(think):
		}
		if time.Since(asked) > keep || len(addresses) == 0 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			h := w.hosts[rng.IntN(len(w.hosts))]
			if got := platformtest.Addresses(ctx, h.Directory, h.Region, h.Zone); len(got) > 0 {
				addresses, asked = got, time.Now()
			}
			cancel()
			if len(addresses) == 0 {
				continue
			}
		}
		// It goes on with its connection for as long as that holds.
		if current == "" || rng.IntN(leaves) == 0 {
			current = addresses[rng.IntN(len(addresses))]
		}
		r := w.choose(rng)
		ctx, cancel := context.WithTimeout(context.Background(), oneTry)
		w.ask(ctx, client, current, r)
		cancel()
		if r.answer.Err != nil {
			current = ""
		}
	}
}

func (w *world) choose(rng *rand.Rand) *request {
	id := fmt.Sprintf("r%d-%d", w.opts.Seed, w.sequence.Add(1))
	r := &request{id: id}
	switch rng.IntN(10) {
	case 0, 1, 2:
		r.kind, r.path = kindOrder, "/order/1"
	case 3, 4, 5:
		r.kind, r.path = kindGet, "/get/1"
	case 6:
		w.mu.Lock()
		newest := len(w.versions)
		w.mu.Unlock()
		r.kind, r.path = kindProbe, "/"+routeOf(1+rng.IntN(newest))+"/1"
	default:
		r.kind, r.path = kindStream, "/stream/1"
	}
	return r
}

func (w *world) ask(ctx context.Context, client *http.Client, front string, r *request) {
	for _, h := range w.hosts {
		if h.Front == front {
			r.host, r.incarnation = h.Name, h.incarnation()
		}
	}
	w.mu.Lock()
	w.requests = append(w.requests, r)
	w.mu.Unlock()
	r.sent = time.Now()
	answer := platformtest.SendRequestWith(ctx, client, front, r.id, r.path, "secret", r.kind == kindStream)
	w.mu.Lock()
	defer w.mu.Unlock()
	r.answer, r.ended = answer, time.Now()
}

// probeAll asks every host for every kind once the faults are over.
func (w *world) probeAll(ctx context.Context) {
	w.mu.Lock()
	newest := len(w.versions)
	w.mu.Unlock()
	const tries = 5 // a worker may decline or cut any one of them
	var all sync.WaitGroup
	for _, h := range w.hosts {
		all.Go(func() {
			for kind, path := range map[kind]string{
				kindOrder: "/order/1", kindGet: "/get/1", kindStream: "/stream/1", kindProbe: "/" + routeOf(newest) + "/1",
			} {
				for range tries {
					r := &request{id: fmt.Sprintf("p%d-%d", w.opts.Seed, w.sequence.Add(1)), kind: kind, path: path}
					w.ask(ctx, http.DefaultClient, h.Front, r)
				}
			}
		})
	}
	all.Wait()
}

func (w *world) stop() {
	for _, h := range w.hosts {
		h.stop()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range w.workers {
		worker.link.close()
		worker.CloseClientConnections()
		worker.Close()
	}
}
