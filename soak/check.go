package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// Promises that are checked; a line of a report begins with one.
const (
	promiseAnswer   = "answer"   // a success is the worker's own whole answer
	promiseOnce     = "once"     // what may not be repeated runs at most once
	promiseRefusal  = "refusal"  // what is refused did not run
	promiseAsked    = "asked"    // workers run what clients sent, as they sent it
	promiseDrain    = "drain"    // a leaving worker is left alone in time
	promiseConfig   = "config"   // the newest configuration comes into force
	promiseBack     = "back"     // a process does not go back to an older one
	promiseUsage    = "usage"    // a window of usage has one report
	promiseFence    = "fence"    // a fencing number has one holder
	promiseRecovery = "recovery" // after the faults every host serves
	promiseStop     = "stop"     // a planned stop cuts nothing short
)

// backSlack is how far apart two answers may be whose order is not known.
const backSlack = 500 * time.Millisecond

// Report is the outcome of a run.
type Report struct {
	// Broken holds a line for each broken promise, Faults one for each fault.
	Broken []string
	Faults []string
	// Served and Asked count requests.
	Served, Asked int
}

func (r *Report) add(promise, format string, args ...any) {
	r.Broken = append(r.Broken, promise+": "+fmt.Sprintf(format, args...))
}

// runs returns what the workers ran, by attempt.
func (w *world) runs() (byAttempt map[string][]platformtest.Run, byWorker map[*worker][]platformtest.Run) {
	byAttempt, byWorker = map[string][]platformtest.Run{}, map[*worker][]platformtest.Run{}
	for _, worker := range w.workers {
		for _, run := range worker.Runs() {
			byAttempt[run.Attempt] = append(byAttempt[run.Attempt], run)
			byWorker[worker] = append(byWorker[worker], run)
		}
	}
	return byAttempt, byWorker
}

// check judges the run when everything has ended.
func (w *world) check() *Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &Report{Faults: w.faults, Asked: len(w.requests)}
	byAttempt, byWorker := w.runs()
	asked := map[string]*request{}
	for _, q := range w.requests {
		asked[q.id] = q
		w.checkRequest(r, q, byAttempt[q.id])
	}
	for attempt, runs := range byAttempt {
		q := asked[attempt]
		for _, run := range runs {
			if q == nil || run.Tenant != "w" || run.Key != "" || run.Path != q.path {
				r.add(promiseAsked, "attempt %s ran as %+v", attempt, run)
			}
		}
	}
	w.checkVersions(r)
	w.checkDuties(r)
	w.checkRecovery(r)
	if w.opts.Timed {
		w.checkDrain(r, byWorker, asked)
		w.checkStops(r)
	}
	return r
}

// checkRequest judges one answer.
func (w *world) checkRequest(r *Report, q *request, runs []platformtest.Run) {
	a := q.answer
	if a.Err == nil && a.Status == http.StatusOK {
		r.Served++
		id, _ := strings.CutSuffix(a.Seal, "."+q.id)
		want := "ran " + q.id + " at " + id
		if q.kind == kindStream {
			want = platformtest.CompleteStream()
		}
		if id == a.Seal || a.Body != want {
			r.add(promiseAnswer, "%s of %s got seal %q, body %q", q.id, q.path, a.Seal, a.Body)
		}
	}
	if q.kind == kindOrder && len(runs) > 1 {
		r.add(promiseOnce, "%s ran %d times", q.id, len(runs))
	}
	refused := a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests ||
		a.Status == http.StatusRequestTimeout || a.Status == http.StatusMisdirectedRequest
	if q.kind == kindOrder && a.Err == nil && refused && len(runs) > 0 {
		r.add(promiseRefusal, "%s was refused with %d and ran", q.id, a.Status)
	}
}

// versionOf returns the version whose route a probe asked for.
func versionOf(q *request) int {
	var n int
	_, _ = fmt.Sscanf(q.path, "/v%d/1", &n) // probes have such paths only
	return n
}

// checkVersions judges what processes showed of the configuration in force.
func (w *world) checkVersions(r *Report) {
	type seen struct {
		version int
		at      time.Time
	}
	served := map[string][]seen{}
	for _, q := range w.requests {
		if q.kind != kindProbe || q.answer.Err != nil {
			continue
		}
		switch {
		case q.answer.Status == http.StatusOK:
			served[q.incarnation] = append(served[q.incarnation], seen{versionOf(q), q.sent})
		case q.answer.Status == http.StatusNotFound && w.inForce(q):
			r.add(promiseConfig, "%s: %s does not know version %d", q.id, q.host, versionOf(q))
		}
	}
	for incarnation, list := range served {
		newest := seen{}
		for _, s := range list { // in the order in which they were sent
			if s.version < newest.version && s.at.Sub(newest.at) > backSlack {
				r.add(promiseBack, "%s served version %d after %d", incarnation, s.version, newest.version)
			}
			if s.version > newest.version {
				newest = s
			}
		}
	}
}

// inForce reports whether the version that a probe asked for had to be in force:
// the newest, written long enough before, at a host that was calm meanwhile. The
// last probes of all come when everything has settled.
func (w *world) inForce(q *request) bool {
	n := versionOf(q)
	if n != len(w.versions) {
		return false
	}
	last := strings.HasPrefix(q.id, "p")
	if !w.opts.Timed && !last {
		return false
	}
	written := w.versions[n-1].at
	if h := w.host(q.host); h != nil && !last && h.harmedWithin(written.Add(-contactTime), q.ended) {
		return false
	}
	return q.sent.After(written.Add(applyTime))
}

func (w *world) host(name string) *host {
	for _, h := range w.hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

func (w *world) checkDuties(r *Report) {
	counts, holders := map[int64]string{}, map[int64]string{}
	for _, c := range w.cloud.Calls() {
		if before, ok := counts[c.Window]; ok && before != c.Counts {
			r.add(promiseUsage, "window %d was reported as %s and as %s", c.Window, before, c.Counts)
		}
		counts[c.Window] = c.Counts
		if before, ok := holders[c.FencingToken]; ok && before != c.Leader {
			r.add(promiseFence, "number %d was used by %s and %s", c.FencingToken, before, c.Leader)
		}
		holders[c.FencingToken] = c.Leader
	}
}

// checkRecovery judges the requests that were sent to each host at the end.
func (w *world) checkRecovery(r *Report) {
	served, asked := map[string]int{}, map[string]int{}
	for _, q := range w.requests {
		if !strings.HasPrefix(q.id, "p") {
			continue
		}
		key := q.host + " " + string(q.kind)
		asked[key]++
		if q.answer.Err == nil && q.answer.Status == http.StatusOK {
			served[key]++
		}
	}
	for key, n := range asked {
		if served[key] == 0 {
			r.add(promiseRecovery, "%s: none of %d served", key, n)
		}
	}
}

// checkDrain judges requests at workers that had said that they leave. A host that
// was harmed meanwhile, or shortly before, may not have known.
func (w *world) checkDrain(r *Report, byWorker map[*worker][]platformtest.Run, asked map[string]*request) {
	for worker, runs := range byWorker {
		if worker.drained.IsZero() {
			continue
		}
		for _, run := range runs {
			q := asked[run.Attempt]
			late := run.At.Sub(worker.drained)
			if late <= drainTime || q == nil {
				continue
			}
			if h := w.host(q.host); h == nil || h.harmedWithin(worker.drained.Add(-contactTime), run.At) {
				continue
			}
			r.add(promiseDrain, "%s ran %s of %s %d ms after it said that it leaves", worker.ID, run.Attempt, q.host, late.Milliseconds())
		}
	}
}

// checkStops judges requests at processes that were asked to end and suffered
// nothing else.
func (w *world) checkStops(r *Report) {
	for _, q := range w.requests {
		h := w.host(q.host)
		if h == nil || h.asked.IsZero() || q.answer.Err == nil {
			continue
		}
		taken := q.sent.Before(h.asked) && q.ended.After(h.asked) && q.ended.Before(h.asked.Add(graceTime-time.Second))
		other := h.harmedWithin(q.sent.Add(-contactTime), h.asked) || h.harmedWithin(h.asked, q.ended) || w.harmedWithin(q.sent.Add(-contactTime), q.ended)
		if taken && !other && q.kind != kindStream {
			r.add(promiseStop, "%s at %s, asked to end %d ms after it was sent: %v", q.id, q.host, h.asked.Sub(q.sent).Milliseconds(), q.answer.Err)
		}
	}
}

// harmedWithin reports whether a fault struck a worker in a time.
func (w *world) harmedWithin(from, to time.Time) bool {
	return slices.ContainsFunc(w.harms, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}
