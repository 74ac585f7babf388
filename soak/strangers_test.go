package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// processTimeout bounds how long processes may take to start and to learn of what the store holds.
const processTimeout = 20 * time.Second

// fixture is a store and hosts that run as processes.
type fixture struct {
	t     *testing.T
	store *platformtest.Store
	cloud *platformtest.Cloud
	base  int
	hosts []*host
	// command returns the command of the processes that are started next; nil stands for the present build.
	command func() *exec.Cmd
}

func newFixture(t *testing.T, base int) *fixture {
	f := &fixture{t: t, store: platformtest.NewStore(), cloud: platformtest.NewCloud(), base: os.Getpid() + base}
	t.Cleanup(f.store.Close)
	t.Cleanup(f.cloud.Close)
	f.store.Configure(1, "")
	return f
}

// endpoint starts an endpoint of a software version; it is not registered.
func (f *fixture) endpoint(id, software string, delay time.Duration) *platformtest.Endpoint {
	e := platformtest.NewEndpoint(id, nil)
	e.SetSoftware(software)
	e.SetDelay(delay)
	f.t.Cleanup(e.Close)
	return e
}

// startHosts starts hosts of one zone and waits until they are ready.
func (f *fixture) startHosts(n int) {
	f.t.Helper()
	process := f.command
	if process == nil {
		process = command("")
	}
	for range n {
		h, err := startHost(f.t.TempDir(), f.base, len(f.hosts), "a", "r", map[string]string{"a": "r"}, f.store.Address(), f.cloud.Address(), process)
		is.New(f.t).NoErr(err)
		f.t.Cleanup(h.stop)
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		f.await("host "+h.Name+" is ready", func() bool { return platformtest.IsReady(f.t.Context(), h.Ready) })
	}
}

func (f *fixture) await(what string, ok func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(processTimeout); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("not within %v: %s", processTimeout, what)
		}
	}
}

// TestOddEntries guards against processes that end, or stop following the registry, because of an entry that another
// writer has left there (incident 0011): at hosts that run, at one that starts on such a list, through a relay, and over
// the entry of a sound endpoint. Requests to sound endpoints go on meanwhile, and one that comes later is found.
func TestOddEntries(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	sound := f.endpoint("i-sound", "v1", 0)
	f.store.Register("i-sound", sound.Entry("api", "a", "ready"))
	f.startHosts(4)
	serves := func(h *host, id string) bool {
		return platformtest.SendRequest(h.Front, id, "/get/1", "secret", false).Status == http.StatusOK
	}
	for _, h := range f.hosts {
		f.await("host "+h.Name+" serves", func() bool { return serves(h, "first") })
	}
	var (
		sent, failed atomic.Int64
		callers      sync.WaitGroup
	)
	ctx, cancel := context.WithCancel(t.Context())
	for _, h := range f.hosts {
		callers.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
				if sent.Add(1); !serves(h, fmt.Sprint(h.Name, "-", time.Now().UnixNano())) {
					failed.Add(1)
				}
			}
		})
	}
	odd := platformtest.OddEntries(sound.Address(), "")
	for _, e := range odd {
		f.store.Register(e.Key, e.Value)
	}
	for _, e := range platformtest.OddEntries(sound.Address(), "i-sound") {
		f.store.Register(e.Key, e.Value)
	}
	time.Sleep(2 * time.Second)
	f.store.Register("i-sound", sound.Entry("api", "a", "ready"))
	f.startHosts(1)
	time.Sleep(time.Second)
	cancel()
	callers.Wait()
	is.Equal(failed.Load(), int64(0))
	is.True(sent.Load() > 100)
	for _, h := range f.hosts {
		f.await("host "+h.Name+" serves at the end", func() bool { return serves(h, "last-"+h.Name) })
	}
	late := f.endpoint("i-late", "v1", 0)
	f.store.Register("i-late", late.Entry("llm", "a", "ready"))
	for _, h := range f.hosts {
		f.await("host "+h.Name+" finds the endpoint that came later", func() bool {
			a := platformtest.SendRequest(h.Front, fmt.Sprint("late-", time.Now().UnixNano()), "/stream/1", "secret", true)
			return a.Err == nil && a.Body == platformtest.CompleteStream("v1", 0)
		})
		is.Equal(h.incarnation(), h.Name+"/1") // it has not ended since it was started
		resp, err := http.Get("http://" + net.JoinHostPort(h.IP, "9100") + "/metrics")
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	t.Logf("%d odd entries, %d requests", len(odd), sent.Load())
}

// TestHostOutOfStepInARelease guards against streams of two software versions (ORDER, incident 0009), with processes: a
// host is out of step while endpoints of a new version join, the host that begins streams there is killed, and callers
// take them up at the host out of step at the instant that it is back.
func TestHostOutOfStepInARelease(t *testing.T) {
	const (
		// minBegun is how many streams have begun at the new version when their host is killed, maxStreams how many are
		// sent at most until then.
		minBegun, maxStreams = 6, 300
		streamDuration       = 1600 * time.Millisecond
	)
	freeze := func(h *host) { h.signal(syscall.SIGSTOP) }
	wake := func(h *host) { h.signal(syscall.SIGCONT) }
	silence := func(h *host) { h.store.dropDown.Store(true) }
	for n, tc := range []struct {
		name          string
		before, after func(h *host)
		lead          time.Duration // from before to the new version
	}{
		{"in step", nil, nil, 0},
		{"frozen for a second", freeze, wake, 0},
		{"frozen for four seconds", freeze, wake, 3 * time.Second},
		{"cut off from the store", func(h *host) { h.store.close() }, nil, 20 * time.Millisecond},
		{"the store was silent until then", silence, func(h *host) { h.store.clearFaults() }, 20 * time.Millisecond},
		{"the store is silent", silence, nil, 20 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, 2000+n)
			for i := range 2 {
				old := f.endpoint(fmt.Sprint("i-old", i), "v1", streamDuration)
				f.store.Register(old.ID, old.Entry("llm", "a", "ready"))
			}
			f.startHosts(2)
			time.Sleep(2 * time.Second)
			first, second := f.hosts[0], f.hosts[1]
			if tc.before != nil {
				tc.before(second)
			}
			time.Sleep(tc.lead)
			var fresh []*platformtest.Endpoint
			for i := range 3 {
				e := f.endpoint(fmt.Sprint("i-new", i), "v2", streamDuration)
				f.store.Register(e.ID, e.Entry("llm", "a", "ready"))
				fresh = append(fresh, e)
			}
			begun := func() (n int) {
				for _, e := range fresh {
					n += len(e.Runs())
				}
				return n
			}
			all := make([]platformtest.Answer, maxStreams)
			sent := 0
			var callers sync.WaitGroup
			for ; sent < maxStreams && begun() < minBegun; sent++ {
				i := sent
				callers.Go(func() {
					all[i] = platformtest.SendRequest(first.Front, fmt.Sprint("s", i), "/stream/1", "secret", true)
				})
				time.Sleep(30 * time.Millisecond)
			}
			answers := all[:sent]
			first.stop()
			callers.Wait()
			if tc.after != nil {
				tc.after(second)
			}
			wentOn, atNew := 0, 0
			for i, a := range answers {
				before, software := platformtest.StreamEvents(a.Body)
				if a.Err == nil || before == 0 {
					continue
				}
				is.Equal(len(software), 1)
				if software[0] == "v2" {
					atNew++
				}
				callers.Go(func() {
					b := platformtest.Send(t.Context(), http.DefaultClient, second.Front, platformtest.Request{
						ID: fmt.Sprint("again", i), Path: "/stream/1", Key: "secret", Stream: true, Origin: fmt.Sprint("s", i), After: fmt.Sprint(before),
					})
					if _, rest := platformtest.StreamEvents(b.Body); len(rest) > 0 && rest[0] != software[0] {
						t.Errorf("stream %d began at %s and goes on at %s", i, software[0], rest[0])
					}
					answers[i] = b
				})
			}
			callers.Wait()
			for _, a := range answers {
				if a.Err == nil && a.Status == http.StatusOK {
					wentOn++
				}
			}
			is.True(atNew > 0)
			t.Logf("%d streams that began at the new version were taken up, %d of %d went on", atNew, wentOn, sent)
		})
	}
}
