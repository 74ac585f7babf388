package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// kindLethalRequests names the drill in which requests that crash endpoints come at any host.
const kindLethalRequests = "lethal requests"

const (
	// kindLethal is a request that crashes each endpoint that runs it; all have one path. kindLethalPart is a
	// stream with a part in its prompt that does; no two are alike.
	kindLethal     kind = "lethal"
	kindLethalPart kind = "lethal-part"

	lethalPath = "/get/" + platformtest.LethalMark
	// lethalInterval is the time between two such requests in a drill, replacementDelay the time after which an
	// endpoint that crashed is replaced.
	lethalInterval   = 250 * time.Millisecond
	replacementDelay = 700 * time.Millisecond
	// maxLateLethal is how many of them may reach endpoints later than faultRecoveryWindow after the crash that
	// is the minCrashes-th of its kind, at hosts without faults.
	maxLateLethal = 3
)

// minCrashes is the number of crashes after which requests of a kind must be stopped.
var minCrashes = map[kind]int{kindLethal: 3, kindLethalPart: 5}

// sendLethalRequests sends requests of both kinds, in turn, until it is ended.
func sendLethalRequests(tr *testRun) (string, func()) {
	ended := make(chan struct{})
	tr.tasks.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-ended:
				return
			case <-time.After(lethalInterval):
			}
			h := tr.hosts[int(tr.sequence.Add(1))%len(tr.hosts)]
			r := &request{id: fmt.Sprintf("x%d-%d", tr.opts.Seed, tr.sequence.Add(1)), kind: kindLethal, path: lethalPath}
			if n%2 == 1 {
				r.kind, r.path = kindLethalPart, "/stream/"+r.id
				r.prompt = fmt.Sprintf("shared:40,%s:40,%s:20", platformtest.LethalMark, r.id)
			}
			tr.tasks.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
				defer cancel()
				tr.send(ctx, http.DefaultClient, h.Front, r)
			})
		}
	})
	return "", func() { close(ended) }
}

// crashEndpoint ends an endpoint that runs a lethal request, and replaces it.
func (tr *testRun) crashEndpoint(e *endpoint) {
	tr.mu.Lock()
	crashed := !e.removed
	e.removed = true
	tr.mu.Unlock()
	if !crashed {
		return
	}
	tr.recordEndpointFault()
	e.link.close()
	time.AfterFunc(3600*time.Millisecond, func() { tr.store.Deregister(e.ID) })
	time.AfterFunc(replacementDelay, tr.replaceEndpoint(e))
}

// checkLethal verifies promiseLethal: requests that crash endpoints are stopped in time.
func (tr *testRun) checkLethal(r *Report, byEndpoint map[*endpoint][]platformtest.Run, byID map[string]*request) {
	crashes := map[kind][]time.Time{} // the first lethal run at each endpoint
	runs := map[kind][]platformtest.Run{}
	for _, all := range byEndpoint {
		for _, run := range all {
			if q := byID[run.Attempt]; q != nil && (q.kind == kindLethal || q.kind == kindLethalPart) {
				runs[q.kind] = append(runs[q.kind], run)
			}
		}
		for _, run := range all {
			if q := byID[run.Attempt]; q != nil && (q.kind == kindLethal || q.kind == kindLethalPart) {
				crashes[q.kind] = append(crashes[q.kind], run.At)
				break
			}
		}
	}
	for kind, atLeast := range minCrashes {
		times := crashes[kind]
		slices.SortFunc(times, time.Time.Compare)
		r.Lethal += len(times)
		if len(times) < atLeast {
			continue
		}
		var late []string
		for _, run := range runs[kind] {
			q := byID[run.Attempt]
			h := tr.host(q.host)
			if run.At.After(times[atLeast-1].Add(faultRecoveryWindow)) && h != nil && !h.hadFault(q.sent.Add(-faultRecoveryWindow), run.At) {
				late = append(late, run.Attempt)
			}
		}
		if len(late) > maxLateLethal {
			r.addViolation(promiseLethal, "%d requests of kind %s reached endpoints later than %v after crash %d: %s", len(late), kind, faultRecoveryWindow, atLeast, strings.Join(late, " "))
		}
	}
}
