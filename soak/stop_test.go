package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// stopCount counts the requests that were sent in one half second before or after a SIGTERM.
type stopCount struct{ served, refused, unanswered int }

// byTimeSinceStop counts requests by the time since the stop at which they were sent, in half seconds.
type byTimeSinceStop map[int]*stopCount

func (b byTimeSinceStop) add(since time.Duration, a platformtest.Answer) {
	slot := int((since + time.Minute) / (500 * time.Millisecond)) // a minute, as it is rounded towards zero
	if b[slot] == nil {
		b[slot] = &stopCount{}
	}
	switch {
	case a.Err != nil:
		b[slot].unanswered++
	case a.Status == http.StatusOK:
		b[slot].served++
	default:
		b[slot].refused++
	}
}

func (b byTimeSinceStop) String() string {
	var out strings.Builder
	for slot := range 2 * 120 {
		if c := b[slot]; c != nil {
			fmt.Fprintf(&out, "%5.1f s: %d served, %d refused, %d without an answer\n", float64(slot)/2-60, c.served, c.refused, c.unanswered)
		}
	}
	return out.String()
}

// TestOnePlannedStop guards against requests that a stopping host takes in calm and cuts at the end of the grace period.
// Callers hold its address and their connections to it for as long as they may.
func TestOnePlannedStop(t *testing.T) {
	const (
		seed          = 1
		callers       = 40
		history       = 10
		addressLife   = 4500 * time.Millisecond // three times as long as the host states
		excusedUntil  = 3 * time.Second
		lastSixth     = gracePeriod * 5 / 6
		callDuration  = 4200 * time.Millisecond // none came before
		eventDuration = 100 * time.Millisecond
	)
	is := is.New(t)
	f := newFixture(t, 3000)
	f.store.ConfigureTimeout(1, 20*time.Second)
	endpoints := map[string]time.Duration{"api": callDuration, "llm": 8 * eventDuration}
	for service, delay := range endpoints {
		e := f.endpoint("i-"+service, "v1", delay)
		f.store.Register(e.ID, e.Entry(service, "a", "ready"))
	}
	f.startHosts(2)
	stopping := f.hosts[0]
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	send := func(id string, stream bool) platformtest.Answer {
		path := "/order/1"
		if stream {
			path = "/stream/1"
		}
		return platformtest.Send(t.Context(), client, stopping.Front, platformtest.Request{ID: id, Path: path, Key: "secret", Stream: stream, Deadline: 15 * time.Second})
	}
	f.await("the endpoints are known", func() bool { return send("first", true).Status == http.StatusOK })
	var all sync.WaitGroup
	for n := range history {
		all.Go(func() { send(fmt.Sprint("before", n), true) })
	}
	all.Wait()

	stopAt := time.Now().Add(200 * time.Millisecond)
	var mu sync.Mutex
	counts, late := byTimeSinceStop{}, 0
	rng := rand.New(rand.NewPCG(seed, 0))
	for n := range callers {
		at := stopAt.Add(time.Duration(rng.Int64N(int64(addressLife+200*time.Millisecond))) - 200*time.Millisecond)
		if n%2 == 1 {
			at = stopAt.Add(excusedUntil + time.Duration(rng.Int64N(int64(addressLife-excusedUntil))))
		}
		stream := rng.IntN(2) == 0
		all.Go(func() {
			time.Sleep(time.Until(at))
			a := send(fmt.Sprint("r", n), stream)
			since, ended := at.Sub(stopAt), time.Since(stopAt)
			mu.Lock()
			defer mu.Unlock()
			counts.add(since, a)
			if a.Err != nil && (since > excusedUntil || ended < lastSixth) {
				late++
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	stopping.signal(syscall.SIGTERM)
	all.Wait()
	t.Logf("requests by the time since the stop:\n%s", counts)
	is.Equal(late, 0)
}

// TestPlannedStopAnswersOrders guards against orders whose connections end without an answer in a planned stop, because
// their endpoint takes much longer than before: those sent late in the grace period are refused before they run, and those
// sent before the signal get an answer that leaves open whether they ran.
func TestPlannedStopAnswersOrders(t *testing.T) {
	const (
		history       = 12
		before        = 6
		late          = 12
		shortDuration = 100 * time.Millisecond
		longDuration  = 9 * time.Second
		deadline      = 12 * time.Second
		lateFrom      = 3200 * time.Millisecond
		lateInterval  = 50 * time.Millisecond
	)
	is := is.New(t)
	f := newFixture(t, 4000)
	f.store.ConfigureTimeout(1, 15*time.Second)
	e := f.endpoint("i-api", "v1", shortDuration)
	f.store.Register(e.ID, e.Entry("api", "a", "ready"))
	f.startHosts(2)
	stopping := f.hosts[0]
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: late}}
	send := func(id string) platformtest.Answer {
		return platformtest.Send(t.Context(), client, stopping.Front, platformtest.Request{ID: id, Path: "/order/1", Key: "secret", Deadline: deadline})
	}
	f.await("the endpoint is known", func() bool { return send("first").Status == http.StatusOK })
	for n := range history {
		is.Equal(send(fmt.Sprint("history", n)).Status, http.StatusOK)
	}
	e.SetDelay(longDuration)
	var (
		all     sync.WaitGroup
		mu      sync.Mutex
		answers = map[string]platformtest.Answer{}
	)
	start := func(id string) {
		all.Go(func() {
			a := send(id)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
		})
	}
	for n := range before {
		start(fmt.Sprint("before", n))
	}
	f.await("the orders run", func() bool { return len(e.Runs()) == 1+history+before })
	stopping.signal(syscall.SIGTERM)
	time.Sleep(lateFrom)
	for n := range late {
		start(fmt.Sprint("late", n))
		time.Sleep(lateInterval)
	}
	all.Wait()
	ran := map[string]bool{}
	for _, r := range e.Runs() {
		ran[r.Attempt] = true
	}
	unanswered := 0
	for id, a := range answers {
		switch {
		case a.Err != nil:
			unanswered++
		case ran[id]:
			is.Equal(a.Status, http.StatusBadGateway)
		default:
			is.Equal(a.Status, http.StatusServiceUnavailable)
			is.True(a.RetryAfter != "")
		}
	}
	t.Logf("%d of %d orders ran, %d are without an answer", len(ran)-1-history, len(answers), unanswered)
	is.Equal(unanswered, 0)
	is.Equal(len(ran), 1+history+before)
}
