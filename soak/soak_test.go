package soak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/daemon"
	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/gateway"
	"github.com/cicadanotch/cicadanotch/port"
)

var (
	seeds  = flag.Int("seeds", 0, "play so many seeds by hand, bounds of time included")
	first  = flag.Uint64("first", 1, "the first seed")
	length = flag.Duration("length", 20*time.Second, "how long faults come")
	hosts  = flag.Int("hosts", 4, "hosts")
	many   = flag.Int("parallel-runs", 3, "runs at the same time")
	keep   = flag.String("logs", "", "keep the logs of runs that broke a promise in this directory")
	plants = flag.Bool("plants", false, "check that a process with a planted fault is caught for each promise")
)

const (
	// processVariable makes the test binary one process of a run, plantVariable
	// names the fault that is planted in it.
	processVariable = "SOAK_PROCESS"
	plantVariable   = "SOAK_PLANT"
)

func TestMain(m *testing.M) {
	if os.Getenv(processVariable) == "" {
		os.Exit(m.Run())
	}
	if err := daemon.RunPlatform(context.Background(), os.Stdout, planted[os.Getenv(plantVariable)]...); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// command runs this test binary as a process.
func command(plant string) func() *exec.Cmd {
	return func() *exec.Cmd {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), processVariable+"=1", plantVariable+"="+plant)
		return cmd
	}
}

// failed are seeds that broke a promise once, each with its cause; they are played
// before the others.
var failed = []uint64{
	// recovery: a worker that takes 180 ms was given up for another at 180 ms, also
	// when the budget paid for no other.
	9,
}

// TestShort plays few faults and checks what is promised without a bound of time:
// how fast the machine is changes nothing.
func TestShort(t *testing.T) {
	is := is.New(t)
	r, err := Run(t.Context(), Options{
		Seed: 1, Base: os.Getpid(), Hosts: 3, Workers: 2, Clients: 4, Length: 5 * time.Second, Settle: 8 * time.Second,
		Dir: t.TempDir(), Command: command(""),
	})
	is.NoErr(err)
	t.Logf("%d of %d served; faults:\n%s", r.Served, r.Asked, strings.Join(r.Faults, "\n"))
	is.Equal(r.Broken, nil)
	is.True(r.Served > 0)
}

// mix returns the kinds of faults of a seed: all in each third, some in the others,
// so that hosts are calm for long enough to be held to bounds of time.
func mix(seed uint64) []string {
	if seed%3 == 0 {
		return nil
	}
	const some = 4
	kinds := Kinds()
	rng := rand.New(rand.NewPCG(seed, 0))
	rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	return kinds[:some]
}

// TestSeeds plays the seeds that failed once, and by hand as many more as the flag
// says, bounds of time included.
func TestSeeds(t *testing.T) {
	list := append([]uint64(nil), failed...)
	for n := range *seeds {
		list = append(list, *first+uint64(n))
	}
	var group errgroup.Group
	group.SetLimit(*many)
	var broken atomic.Int64
	for n, seed := range list {
		group.Go(func() error {
			dir, err := os.MkdirTemp("", "soak")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			r, err := Run(t.Context(), Options{
				Seed: seed, Base: os.Getpid() + n, Hosts: *hosts, Workers: 3, Clients: 2 * *hosts, Length: *length, Settle: 14 * time.Second,
				Timed: *seeds > 0, Dir: dir, Command: command(""), Kinds: mix(seed),
			})
			if err != nil {
				return err
			}
			fmt.Printf("seed %d: %d of %d served, %d faults of %v, broken: %q\n", seed, r.Served, r.Asked, len(r.Faults), mix(seed), r.Broken)
			if len(r.Broken) == 0 {
				return nil
			}
			broken.Add(1)
			if *keep == "" {
				return nil
			}
			text := strings.Join(append(r.Faults, r.Broken...), "\n")
			if err := os.WriteFile(filepath.Join(dir, "faults.txt"), []byte(text), 0o644); err != nil {
				return err
			}
			return os.CopyFS(filepath.Join(*keep, fmt.Sprintf("seed-%d", seed)), os.DirFS(dir))
		})
	}
	is := is.New(t)
	is.NoErr(group.Wait())
	is.Equal(broken.Load(), int64(0))
}

// eachRequest are the promises that a planted fault breaks with each request; the
// others take faults from outside, and are played by hand with -plants.
var eachRequest = []string{promiseAnswer, promiseOnce, promiseRefusal, promiseAsked}

// TestPlants: a process with a fault of its own is caught, for each promise.
func TestPlants(t *testing.T) {
	n := 0
	for promise := range planted {
		if !*plants && !slices.Contains(eachRequest, promise) {
			continue
		}
		n++
		base := os.Getpid() + 1000 + n
		t.Run(promise, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r, err := Run(t.Context(), Options{
				Seed: 5, Base: base, Hosts: 3, Workers: 3, Clients: 8, Length: plantLength(), Settle: 6 * time.Second,
				Timed: *plants, Dir: t.TempDir(), Command: command(promise), Kinds: plantKinds[promise],
			})
			is.NoErr(err)
			caught := 0
			for _, line := range r.Broken {
				if strings.HasPrefix(line, promise+":") {
					caught++
				}
			}
			if caught == 0 {
				t.Errorf("not caught; faults:\n%s\nbroken: %q", strings.Join(r.Faults, "\n"), r.Broken)
			}
		})
	}
}

// plantLength is how long faults come: a second will do where each request shows it.
func plantLength() time.Duration {
	if *plants {
		return 25 * time.Second
	}
	return time.Second
}

// plantKinds are the faults that show a planted one where others would excuse it.
var plantKinds = map[string][]string{
	promiseDrain: {"drain"},
	promiseStop:  {"terminate"},
	promiseBack:  {"configuration"},
}

// planted are faults by the promise that they break.
var planted = map[string][]func(*gateway.Ports){
	promiseAnswer: {endpoints(func(next port.Endpoints, ctx context.Context, f *port.Forward) (*port.Reply, error) {
		reply, err := next.Forward(ctx, f)
		if err == nil && !reply.Stream {
			reply.Body = io.NopCloser(io.MultiReader(strings.NewReader("x"), io.LimitReader(reply.Body, reply.Length-1)))
		}
		return reply, err
	})},
	promiseOnce: {endpoints(func(next port.Endpoints, ctx context.Context, f *port.Forward) (*port.Reply, error) {
		if reply, err := next.Forward(ctx, f); err == nil {
			_ = reply.Body.Close()
		}
		return next.Forward(ctx, f)
	})},
	promiseRefusal: {endpoints(func(next port.Endpoints, ctx context.Context, f *port.Forward) (*port.Reply, error) {
		reply, err := next.Forward(ctx, f)
		if err == nil {
			reply.Declined = true
		}
		return reply, err
	})},
	promiseAsked: {endpoints(func(next port.Endpoints, ctx context.Context, f *port.Forward) (*port.Reply, error) {
		f.Workspace = "another"
		return next.Forward(ctx, f)
	})},
	promiseDrain: {func(p *gateway.Ports) {
		decode := p.DecodeEndpoint
		p.DecodeEndpoint = func(id string, raw []byte) (fleet.Endpoint, error) {
			e, err := decode(id, raw)
			e.State = fleet.StateReady
			return e, err
		}
	}},
	promiseConfig: {configurations(func(first, current *catalog.Snapshot) *catalog.Snapshot {
		stuck := *first
		stuck.Version = current.Version
		return stuck.BuildIndexes()
	})},
	promiseBack: {configurations(func(first, current *catalog.Snapshot) *catalog.Snapshot {
		if current.Version%2 == 1 {
			return current
		}
		old := *first
		old.Version = current.Version
		return old.BuildIndexes()
	})},
	promiseUsage: {func(p *gateway.Ports) { p.LeaderAPI = plantedDuties{LeaderAPI: p.LeaderAPI, more: 1} }},
	promiseFence: {func(p *gateway.Ports) { p.LeaderAPI = plantedDuties{LeaderAPI: p.LeaderAPI, fence: 1 << 40} }},
	promiseRecovery: {func(p *gateway.Ports) {
		if os.Getenv(LifeVariable) != "1" {
			p.Store = plantedStore{p.Store}
		}
	}},
	promiseStop: {func(*gateway.Ports) {
		asked := make(chan os.Signal, 1)
		signal.Notify(asked, syscall.SIGTERM)
		go func() {
			<-asked
			os.Exit(1)
		}()
	}},
}

type plantedEndpoints struct {
	port.Endpoints
	forward func(port.Endpoints, context.Context, *port.Forward) (*port.Reply, error)
}

func (e plantedEndpoints) Forward(ctx context.Context, f *port.Forward) (*port.Reply, error) {
	return e.forward(e.Endpoints, ctx, f)
}

func endpoints(forward func(port.Endpoints, context.Context, *port.Forward) (*port.Reply, error)) func(*gateway.Ports) {
	return func(p *gateway.Ports) { p.Endpoints = plantedEndpoints{p.Endpoints, forward} }
}

// configurations plants what a process makes of each version; it sees the first one
// and the current.
func configurations(change func(first, current *catalog.Snapshot) *catalog.Snapshot) func(*gateway.Ports) {
	return func(p *gateway.Ports) {
		decode := p.DecodeConfiguration
		var oldest *catalog.Snapshot
		p.DecodeConfiguration = func(raw []byte) (*catalog.Snapshot, error) {
			current, err := decode(raw)
			if err != nil {
				return nil, err
			}
			if oldest == nil {
				oldest = current
			}
			return change(oldest, current), nil
		}
	}
}

type plantedDuties struct {
	port.LeaderAPI
	more  int
	fence int64
}

func (d plantedDuties) ReportUsage(ctx context.Context, t port.Tenure, window int64, counts map[string]int) error {
	if d.fence != 0 {
		t.FencingToken = d.fence
	}
	if d.more != 0 {
		changed := map[string]int{"w": counts["w"] + d.more}
		if err := d.LeaderAPI.ReportUsage(ctx, t, window, changed); err != nil {
			return err
		}
	}
	return d.LeaderAPI.ReportUsage(ctx, t, window, counts)
}

type plantedStore struct{ port.Store }

func (plantedStore) Newest(context.Context, port.Topic) (port.TopicPage, error) {
	return port.TopicPage{}, port.ErrStoreUnavailable
}
