package soak

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

var (
	olderBinary  = flag.String("older", "", "the daemon of an older build, which hosts of TestUpgrades run before and after; empty for the present build")
	calmUpgrades = flag.Bool("calm", false, "play TestUpgrades without other faults")
	upgradeSeeds = flag.Int("upgrades", 1, "number of seeds of TestUpgrades")
)

// olderCommand returns the command of a process of the older build.
func olderCommand() func() *exec.Cmd {
	if *olderBinary == "" {
		return command("")
	}
	return func() *exec.Cmd {
		cmd := exec.Command(*olderBinary, "platform")
		cmd.Env = os.Environ()
		return cmd
	}
}

// troubleBesideUpgrades are the kinds of faults beside a series of replacements, by seed.
var troubleBesideUpgrades = [][]string{
	nil, // endpoints are sound
	{"configuration", "drain", "worker dies"},
	{"configuration", "kill"},
	{"configuration", "store away", "store"},
	{"configuration", "drain", "kill", "pause", "link to the store", "link to a worker"},
	{"configuration", kindLethalRequests, "worker dies"},
	{"configuration", "store restored", "kill"},
}

// TestUpgrades replaces all hosts one after the other: those of an older build by the present one, and then back again, so
// that hosts of both builds stand beside one another in either order. With -older it takes an older build, and checks the
// time bounds; without, it plays one seed of the present build alone.
func TestUpgrades(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	hosts, settle, replacements := 2, 4*time.Second, []func() *exec.Cmd{command("")}
	if *olderBinary != "" {
		hosts, settle, replacements = 3, 14*time.Second, append(replacements, olderCommand())
	}
	if *calmUpgrades {
		troubleBesideUpgrades = troubleBesideUpgrades[:1]
	}
	var group errgroup.Group
	group.SetLimit(*parallelRuns)
	var failed atomic.Int64
	for n := range *upgradeSeeds {
		seed := *firstSeed + uint64(n)
		group.Go(func() error {
			dir := t.TempDir()
			kinds := troubleBesideUpgrades[int(seed-1)%len(troubleBesideUpgrades)]
			sound := kinds == nil
			if sound {
				kinds = []string{"configuration"}
			}
			r, err := Run(t.Context(), Options{
				Seed: seed, AddressBase: os.Getpid() + 7000 + int(seed), Hosts: hosts, Endpoints: 4, Callers: 8, FaultPhase: 15 * time.Second, SettleDelay: settle,
				CheckTiming: *olderBinary != "", Dir: dir, Command: olderCommand(), FaultKinds: kinds, Replacements: replacements, Sound: sound, StreamDuration: 2 * time.Second,
			})
			if err != nil {
				return err
			}
			fmt.Printf("seed %d: %d requests, %d served, %d refused, %d without an answer, %d of %d streams continued, %d faults of %v, broken: %q\n",
				seed, r.Sent, r.Served, r.Refused, r.Unanswered, r.WentOn, r.Continued, len(r.Faults), kinds, r.Violations)
			if len(r.Violations) == 0 && r.Served > 0 {
				return nil
			}
			failed.Add(1)
			return keepLogs(r, dir, fmt.Sprintf("upgrade-%d", seed))
		})
	}
	is.NoErr(group.Wait())
	is.Equal(failed.Load(), int64(0)) // seeds with a broken promise
}

// TestCutOffBesideOlderHosts: a host that is cut off asks no host of an older build, which knows no tunnels, and goes on
// through one that does. Without -older all hosts are of the present build.
func TestCutOffBesideOlderHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCutOff(t, 6003, 1, 100*time.Millisecond, 50*time.Millisecond, olderCommand(), olderCommand())
	const requests = 200
	for n := range requests {
		c.calls.Go(func() { c.send(t.Context(), fmt.Sprint("r", n), []string{"/order/1", "/stream/1"}[n%2]) })
		time.Sleep(20 * time.Millisecond)
	}
	c.calls.Wait()
	served, runs := 0, c.runs()
	for n := range requests {
		id := fmt.Sprint("r", n)
		if a := c.answers[id]; a.Err == nil && a.Status == http.StatusOK {
			served++
		}
		is.True(runs[id] <= 1)
	}
	log, err := os.ReadFile(filepath.Join(c.cut.dir, c.cut.Name+".log"))
	is.NoErr(err)
	t.Logf("%d of %d served, %d lines of attempts", served, requests, strings.Count(string(log), `"event":"attempt"`))
	is.Equal(served, requests)
}

// TestLimitAcrossBuilds: a workspace that presses beyond its limit gets what the limit allows, and no more, while the hosts
// that share it are replaced one after the other. Without -older all are of the present build.
func TestLimitAcrossBuilds(t *testing.T) {
	const (
		perSecond, burst = 30.0, 30.0
		window           = 8 * time.Second
		overage          = 1.1
		callers          = 12
		interval         = 100 * time.Millisecond
	)
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, 6100)
	f.store.ConfigureLimit(1, perSecond, burst)
	e := f.endpoint("i-api", "v1", 0)
	f.store.Register(e.ID, e.Entry("api", "a", "ready"))
	f.command = olderCommand()
	f.startHosts(3)
	var (
		all    sync.WaitGroup
		served atomic.Int64
	)
	done := make(chan struct{})
	began := time.Now()
	for n := range callers {
		all.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				case <-time.After(interval):
				}
				h := f.hosts[(n+i)%len(f.hosts)]
				if platformtest.SendRequest(h.Front, fmt.Sprint("r", n, "-", i), "/get/1", "secret", false).Status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	for _, h := range f.hosts {
		before := h.replace(command(""))
		f.await("host "+h.Name+" is replaced", func() bool { return h.incarnation() != before && platformtest.IsReady(t.Context(), h.Ready) })
	}
	time.Sleep(window / 2)
	close(done)
	all.Wait()
	runs, most := e.Runs(), 0
	for n, first := range runs {
		in, _ := slices.BinarySearchFunc(runs[n:], first.At.Add(window), func(r platformtest.Run, end time.Time) int { return r.At.Compare(end) })
		most = max(most, in)
	}
	bound := (perSecond*window.Seconds() + burst) * overage
	t.Logf("%d served in %.1f s, at most %d run in %v, %.0f allowed", served.Load(), time.Since(began).Seconds(), most, window, bound)
	is.True(float64(most) <= bound)
	is.True(float64(served.Load()) > perSecond*time.Since(began).Seconds()/2)
}

// TestRolloutAcrossBuilds: a roll-out of a good software version that begins at hosts of an older build is completed while
// they are replaced one after the other, and every stream is of one version. Without -older all are of the present build.
func TestRolloutAcrossBuilds(t *testing.T) {
	const (
		duration = 25 * time.Second
		callers  = 6
	)
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, 6200)
	for i := range 3 {
		for _, software := range []string{"v1", "v2"} {
			e := f.endpoint(fmt.Sprint("i-", software, i), software, time.Second)
			f.store.Register(e.ID, e.Entry("llm", "a", "ready"))
		}
	}
	f.command = olderCommand()
	f.startHosts(3)
	f.store.OrderRollout("llm", "v2", duration.Seconds())
	var (
		all                 sync.WaitGroup
		sent, served, mixed atomic.Int64
		last                atomic.Pointer[platformtest.Answer]
	)
	done := make(chan struct{})
	for n := range callers {
		all.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				a := platformtest.SendRequest(f.hosts[(n+i)%len(f.hosts)].Front, fmt.Sprint("s", n, "-", i), "/stream/1", "secret", true)
				sent.Add(1)
				if _, software := platformtest.StreamEvents(a.Body); a.Status == http.StatusOK && len(software) > 1 {
					mixed.Add(1)
				}
				if a.Err == nil && a.Status == http.StatusOK {
					served.Add(1)
					last.Store(&a)
				} else {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	for _, h := range f.hosts {
		before := h.replace(command(""))
		f.await("host "+h.Name+" is replaced", func() bool { return h.incarnation() != before && platformtest.IsReady(t.Context(), h.Ready) })
	}
	completed := func() bool { return strings.Contains(f.store.RolloutStatus("llm"), `"completed"`) }
	for end := time.Now().Add(duration); !completed() && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
	}
	status := f.store.RolloutStatus("llm")
	time.Sleep(2 * time.Second) // streams that began before
	close(done)
	all.Wait()
	t.Logf("%d of %d served, %d of two versions, %s", served.Load(), sent.Load(), mixed.Load(), status)
	is.True(completed())
	is.Equal(mixed.Load(), int64(0))
	is.Equal(last.Load().Body, platformtest.CompleteStream("v2", 0))
}
