package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// stopCase is a planned stop beside something else.
type stopCase struct {
	name string
	// duration is how long an order takes.
	duration time.Duration
	// before is called before the stop, stop at the stop; it sends SIGTERM and returns after the last of its signals.
	before func(f *fixture)
	stop   func(h *host)
	// frozen is how long the process does not run from SIGTERM on. Requests that were sent until then are not counted.
	frozen time.Duration
}

// stopOutcome is what callers got that were sent to a host until it was gone.
type stopOutcome struct{ sent, served, refused, unknown, unsent, lost, excused int }

// stopsForGood keeps the process from being started again once it has ended.
func (h *host) stopsForGood() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
}

func terminate(h *host) { h.signal(syscall.SIGTERM) }

// terminateAnd returns a stop with a further signal.
func terminateAnd(s syscall.Signal, after time.Duration) func(h *host) {
	return func(h *host) {
		terminate(h)
		time.Sleep(after)
		h.signal(s)
	}
}

// terminateFrozen returns a stop of a process that is frozen for some time, beginning at SIGTERM.
func terminateFrozen(frozen time.Duration) func(h *host) {
	return func(h *host) {
		h.signal(syscall.SIGSTOP)
		terminate(h)
		time.Sleep(frozen)
		h.signal(syscall.SIGCONT)
	}
}

// silenceStore drops what hosts and the store send.
func silenceStore(f *fixture) {
	for _, h := range f.hosts {
		h.store.dropUp.Store(true)
		h.store.dropDown.Store(true)
	}
	time.Sleep(2 * time.Second)
}

// changeSettings changes the settings file of the first host, which is told so.
func changeSettings(f *fixture) {
	h := f.hosts[0]
	is.New(f.t).NoErr(os.WriteFile(h.settingsPath(), append(h.Settings(), "limits.memory_mb=300\n"...), 0o644))
	h.signal(syscall.SIGHUP)
}

// TestStopBesideOtherEvents guards against requests that a planned stop loses beside further signals, a frozen process, an
// outage of the store or slow endpoints. Callers hold the host's address and their connections until the process is gone.
func TestStopBesideOtherEvents(t *testing.T) {
	const quick, slow = 100 * time.Millisecond, 2500 * time.Millisecond
	calm := func(*fixture) {}
	for n, tc := range []stopCase{
		{"SIGTERM again", quick, calm, terminateAnd(syscall.SIGTERM, time.Second), 0},
		{"SIGINT after SIGTERM", quick, calm, terminateAnd(syscall.SIGINT, 500*time.Millisecond), 0},
		{"SIGHUP and changed settings", quick, changeSettings, terminateAnd(syscall.SIGHUP, 100*time.Millisecond), 0},
		{"endpoints are slow and the store is silent", slow, silenceStore, terminate, 0},
		{"frozen for five seconds", slow, calm, terminateFrozen(5 * time.Second), 5 * time.Second},
		{"frozen for longer than the grace period", slow, calm, terminateFrozen(gracePeriod + time.Second), gracePeriod + time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			playStop(t, 5000+n, tc)
		})
	}
}

// playStop stops the first of two hosts while callers send orders to it.
func playStop(t *testing.T, base int, tc stopCase) {
	const (
		history  = 10
		interval = 50 * time.Millisecond
		// endSlack is for the end of the process, which it should reach within gracePeriod; under the race detector it takes 1 s.
		endSlack = 3 * time.Second
		timeout  = 20 * time.Second
		// deadlineSlack is how much more time orders have than they take: a stopping host accepts those whose deadline
		// passes before its end.
		deadlineSlack = 1500 * time.Millisecond
	)
	is := is.New(t)
	f := newFixture(t, base)
	f.store.ConfigureTimeout(1, timeout)
	var endpoints []*platformtest.Endpoint
	for i := range 8 {
		e := f.endpoint(fmt.Sprint("i-", i), "v1", tc.duration)
		f.store.Register(e.ID, e.Entry("api", "a", "ready"))
		endpoints = append(endpoints, e)
	}
	f.startHosts(2)
	h := f.hosts[0]
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, MaxConnsPerHost: 0}}
	send := func(id string) platformtest.Answer {
		return platformtest.Send(context.Background(), client, h.Front, platformtest.Request{ID: id, Path: "/order/1", Key: "secret", Deadline: tc.duration + deadlineSlack})
	}
	f.await("the endpoints are known", func() bool { return send(fmt.Sprint("first", time.Now().UnixNano())).Status == http.StatusOK })
	var all sync.WaitGroup
	for i := range history {
		all.Go(func() { send(fmt.Sprint("before", i)) })
	}
	all.Wait()
	tc.before(f)
	h.stopsForGood()

	type sentOrder struct {
		id        string
		at, ended time.Time
		answer    platformtest.Answer
	}
	var mu sync.Mutex
	var orders []*sentOrder
	gone := make(chan struct{})
	all.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-gone:
				return
			case <-time.After(interval):
			}
			o := &sentOrder{id: fmt.Sprint("r", i), at: time.Now()}
			mu.Lock()
			orders = append(orders, o)
			mu.Unlock()
			all.Go(func() {
				a := send(o.id)
				mu.Lock()
				defer mu.Unlock()
				o.answer, o.ended = a, time.Now()
			})
		}
	})
	time.Sleep(500 * time.Millisecond)
	stopAt := time.Now()
	tc.stop(h)
	<-h.ended
	took := time.Since(stopAt)
	close(gone)
	all.Wait()

	ran := map[string]int{}
	for _, e := range endpoints {
		for _, run := range e.Runs() {
			ran[run.Attempt]++
		}
	}
	var out stopOutcome
	for _, o := range orders {
		out.sent++
		since := o.at.Sub(stopAt)
		switch {
		case o.answer.Err == nil && o.answer.Status == http.StatusOK:
			out.served++
		case o.answer.Err == nil && o.answer.Status == http.StatusServiceUnavailable:
			out.refused++
			is.Equal(ran[o.id], 0) // refused requests have not run
		case o.answer.Err == nil: // 502 or 504, which leave open whether it ran
			out.unknown++
			is.True(tc.frozen > 0)
		case errors.Is(o.answer.Err, syscall.ECONNREFUSED):
			out.unsent++
		case ran[o.id] == 0 && o.ended.Sub(o.at) <= lossSlack:
			out.unsent++
		case since <= tc.frozen:
			out.excused++
		default:
			out.lost++
			t.Logf("%s, sent %.2f s after SIGTERM, ran %d times: %v after %.2f s", o.id, since.Seconds(), ran[o.id], o.answer.Err, o.ended.Sub(o.at).Seconds())
		}
		is.True(ran[o.id] <= 1)
	}
	t.Logf("%+v, ended %.2f s after SIGTERM", out, took.Seconds())
	text, err := os.ReadFile(filepath.Join(h.dir, h.Name+".log"))
	is.NoErr(err)
	is.Equal(out.lost, 0)
	is.True(out.served > 0 || tc.frozen > gracePeriod)
	is.True(took < max(gracePeriod, tc.frozen)+endSlack)
	is.True(strings.Contains(string(text), `"event":"stopped"`))
}
