package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// Names of the checked promises. Each violation in a report starts with one.
const (
	promiseAnswer   = "answer"   // a successful answer is complete and comes from the endpoint that it names
	promiseOnce     = "once"     // a non-idempotent request runs at most once
	promiseRefusal  = "refusal"  // a refused request did not run
	promiseAsked    = "asked"    // endpoints run requests unchanged, and only those that callers sent
	promiseDrain    = "drain"    // a draining endpoint gets no new requests after drainTimeout
	promiseConfig   = "config"   // the newest configuration comes into force within applyTimeout
	promiseBack     = "back"     // a process does not revert to an older configuration
	promiseUsage    = "usage"    // all reports of a usage window are equal
	promiseFence    = "fence"    // a fencing token is used by one leader only
	promiseRecovery = "recovery" // every host serves again after the faults
	promiseStop     = "stop"     // a planned stop interrupts no request
	promiseSoftware = "software" // a caller gets a stream from one software version, over all its requests
	promiseLethal   = "lethal"   // requests that crash endpoints are stopped
	promiseContinue = "continue" // streams that their callers continue go on nearly as often as new ones begin
)

// versionOrderTolerance is the largest interval between two probes for which their
// order at the host is treated as unknown.
const versionOrderTolerance = 500 * time.Millisecond

// Report is the outcome of a run.
type Report struct {
	// Violations has a line for each broken promise, Faults one for each injected fault.
	Violations []string
	Faults     []string
	// Served counts the requests answered with success, Sent all requests.
	Served, Sent int
	// Refused counts those answered 429 or 503, Unanswered those whose connection ended without a whole answer.
	Refused, Unanswered int
	// Lethal counts the endpoints that lethal requests have crashed.
	Lethal int
	// Continued counts the streams that callers continued at hosts without faults, WentOn those that went on.
	Continued, WentOn int
}

func (r *Report) addViolation(promise, format string, args ...any) {
	r.Violations = append(r.Violations, promise+": "+fmt.Sprintf(format, args...))
}

// endpointRuns returns the requests that the endpoints ran, by attempt and by endpoint.
func (tr *testRun) endpointRuns() (byAttempt map[string][]platformtest.Run, byEndpoint map[*endpoint][]platformtest.Run) {
	byAttempt, byEndpoint = map[string][]platformtest.Run{}, map[*endpoint][]platformtest.Run{}
	for _, e := range tr.endpoints {
		for _, run := range e.Runs() {
			byAttempt[run.Attempt] = append(byAttempt[run.Attempt], run)
			byEndpoint[e] = append(byEndpoint[e], run)
		}
	}
	return byAttempt, byEndpoint
}

// check verifies the promises. It is called after all processes and callers have stopped.
func (tr *testRun) check() *Report {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	r := &Report{Faults: tr.faults, Sent: len(tr.requests)}
	byAttempt, byEndpoint := tr.endpointRuns()
	byID := map[string]*request{}
	for _, q := range tr.requests {
		byID[q.id] = q
		tr.checkRequest(r, q, byAttempt[q.id])
	}
	for attempt, runs := range byAttempt {
		q := byID[attempt]
		for _, run := range runs {
			if q == nil || run.Workspace != "w" || run.Key != "" || run.Path != q.path {
				r.addViolation(promiseAsked, "attempt %s ran as %+v", attempt, run)
			}
		}
	}
	tr.checkLethal(r, byEndpoint, byID)
	tr.checkVersions(r)
	tr.checkLeaderTasks(r)
	tr.checkRecovery(r)
	if tr.opts.CheckTiming {
		tr.checkDrain(r, byEndpoint, byID)
		tr.checkStops(r)
		tr.checkLost(r, byAttempt)
		tr.checkContinuations(r)
	}
	return r
}

// checkRequest verifies the answer to one request, given its runs at the endpoints.
func (tr *testRun) checkRequest(r *Report, q *request, runs []platformtest.Run) {
	a := q.answer
	switch {
	case a.Err != nil:
		r.Unanswered++
	case a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests:
		r.Refused++
	}
	if a.Err == nil && a.Status == http.StatusOK {
		r.Served++
		id, _ := strings.CutSuffix(a.Seal, "."+q.id)
		want := "ran " + q.id + " at " + id
		if q.kind == kindStream {
			want = tr.wholeStream(q)
		}
		if id == a.Seal || a.Body != want {
			r.addViolation(promiseAnswer, "%s of %s: unexpected seal %q, body %q", q.id, q.path, a.Seal, a.Body)
		}
	}
	tr.checkSoftware(r, q)
	if q.kind == kindNonIdempotent && len(runs) > 1 {
		r.addViolation(promiseOnce, "%s ran %d times", q.id, len(runs))
	}
	refused := a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests ||
		a.Status == http.StatusRequestTimeout || a.Status == http.StatusMisdirectedRequest
	if q.kind == kindNonIdempotent && a.Err == nil && refused && len(runs) > 0 {
		r.addViolation(promiseRefusal, "%s ran although it was refused with status %d", q.id, a.Status)
	}
}

// wholeStream returns the body of a complete answer to a stream, which the software version wrote that wrote its
// first event.
func (tr *testRun) wholeStream(q *request) string {
	first := q
	if q.origin != nil {
		first = q.origin
	}
	_, software := first.events()
	if len(software) == 0 {
		return "a stream with events"
	}
	return platformtest.CompleteStream(software[0], q.after)
}

// checkSoftware verifies promiseSoftware for one request of a stream.
func (tr *testRun) checkSoftware(r *Report, q *request) {
	if q.kind != kindStream {
		return
	}
	_, software := q.events()
	if q.origin != nil {
		_, first := q.origin.events()
		software = append(software, first...)
	}
	slices.Sort(software)
	if software = slices.Compact(software); len(software) > 1 {
		r.addViolation(promiseSoftware, "%s of %s holds events of %v", q.id, q.host, software)
	}
}

// checkContinuations verifies promiseContinue: of minContinuations or more streams that were continued at hosts
// without faults, while two endpoints of their software version served, at least half the share goes on of
// the share of new streams that begin.
func (tr *testRun) checkContinuations(r *Report) {
	const minContinuations = 12
	var continued, wentOn, sent, began float64
	for _, q := range tr.requests {
		from := q.sent.Add(-faultRecoveryWindow)
		if h := tr.host(q.host); q.kind != kindStream || h == nil || h.hadFault(from, q.ended) || tr.hadEndpointFault(from, q.ended) {
			continue
		}
		n, _ := q.events()
		switch {
		case q.origin == nil:
			sent++
			if n > 0 {
				began++
			}
		case q.sameSoftware >= 2:
			continued++
			if n > 0 || q.answer.Err == nil && q.answer.Status == http.StatusOK {
				wentOn++
			}
		}
	}
	r.Continued, r.WentOn = int(continued), int(wentOn)
	if continued >= minContinuations && sent > 0 && wentOn/continued < began/sent/2 {
		r.addViolation(promiseContinue, "%.0f of %.0f continued streams went on, %.0f of %.0f new ones began", wentOn, continued, began, sent)
	}
}

// versionOf returns the configuration version whose route a probe requested.
func versionOf(q *request) int {
	var n int
	_, _ = fmt.Sscanf(q.path, "/v%d/1", &n) // probes have no other paths
	return n
}

// checkVersions verifies promiseConfig and promiseBack from the answers to probes.
func (tr *testRun) checkVersions(r *Report) {
	type servedProbe struct {
		version int
		at      time.Time
	}
	served := map[string][]servedProbe{}
	for _, q := range tr.requests {
		if q.kind != kindProbe || q.answer.Err != nil {
			continue
		}
		switch {
		case q.answer.Status == http.StatusOK:
			served[q.incarnation] = append(served[q.incarnation], servedProbe{versionOf(q), q.sent})
		case q.answer.Status == http.StatusNotFound && tr.mustBeInForce(q):
			r.addViolation(promiseConfig, "%s: %s does not know version %d", q.id, q.host, versionOf(q))
		}
	}
	for incarnation, list := range served {
		newest := servedProbe{}
		for _, s := range list { // in the order of sending
			if s.version < newest.version && s.at.Sub(newest.at) > versionOrderTolerance {
				r.addViolation(promiseBack, "%s served version %d after %d", incarnation, s.version, newest.version)
			}
			if s.version > newest.version {
				newest = s
			}
		}
	}
}

// mustBeInForce reports whether the version that a probe requested had to be in force:
// it is the newest one, was written at least applyTimeout before, and the host had no
// fault meanwhile. The probes after the run ("p") are sent when all faults are over,
// so faults do not excuse them.
func (tr *testRun) mustBeInForce(q *request) bool {
	n := versionOf(q)
	if n != len(tr.versions) {
		return false
	}
	afterRun := strings.HasPrefix(q.id, "p")
	if !tr.opts.CheckTiming && !afterRun {
		return false
	}
	written := tr.versions[n-1].writtenAt
	if h := tr.host(q.host); h != nil && !afterRun && h.hadFault(written.Add(-faultRecoveryWindow), q.ended) {
		return false
	}
	return q.sent.After(written.Add(applyTimeout))
}

func (tr *testRun) host(name string) *host {
	for _, h := range tr.hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// checkLeaderTasks verifies promiseUsage and promiseFence from the calls that the cloud
// received.
func (tr *testRun) checkLeaderTasks(r *Report) {
	counts, leaders := map[int64]string{}, map[int64]string{}
	for _, c := range tr.cloud.Calls() {
		if before, ok := counts[c.Window]; ok && before != c.Counts {
			r.addViolation(promiseUsage, "usage window %d was reported with counts %s and %s", c.Window, before, c.Counts)
		}
		counts[c.Window] = c.Counts
		if before, ok := leaders[c.FencingToken]; ok && before != c.Leader {
			r.addViolation(promiseFence, "fencing token %d was used by %s and %s", c.FencingToken, before, c.Leader)
		}
		leaders[c.FencingToken] = c.Leader
	}
}

// checkRecovery verifies that each host served at least one of the requests of each
// kind that probeAll sent to it.
func (tr *testRun) checkRecovery(r *Report) {
	served, total := map[string]int{}, map[string]int{}
	for _, q := range tr.requests {
		if !strings.HasPrefix(q.id, "p") {
			continue
		}
		key := q.host + " " + string(q.kind)
		total[key]++
		if q.answer.Err == nil && q.answer.Status == http.StatusOK {
			served[key]++
		}
	}
	for key, n := range total {
		if served[key] == 0 {
			r.addViolation(promiseRecovery, "%s: none of %d requests served", key, n)
		}
	}
}

// checkDrain verifies that draining endpoints got no requests after drainTimeout. Requests
// of a host with a fault since then or shortly before are excused: the host may not
// have received the endpoint's new state.
func (tr *testRun) checkDrain(r *Report, byEndpoint map[*endpoint][]platformtest.Run, byID map[string]*request) {
	for e, runs := range byEndpoint {
		if e.drainedAt.IsZero() {
			continue
		}
		for _, run := range runs {
			q := byID[run.Attempt]
			sinceDraining := run.At.Sub(e.drainedAt)
			if sinceDraining <= drainTimeout || q == nil {
				continue
			}
			if h := tr.host(q.host); h == nil || h.hadFault(e.drainedAt.Add(-faultRecoveryWindow), run.At) {
				continue
			}
			r.addViolation(promiseDrain, "%s ran %s of %s %d ms after it was listed as draining", e.ID, run.Attempt, q.host, sinceDraining.Milliseconds())
		}
	}
}

// checkStops verifies that processes complete their requests after SIGTERM. Streams are
// excused, and so are requests during any other fault of the host or of an endpoint.
func (tr *testRun) checkStops(r *Report) {
	for _, q := range tr.requests {
		h := tr.host(q.host)
		if h == nil || h.terminatedAt.IsZero() || q.answer.Err == nil {
			continue
		}
		interrupted := q.sent.Before(h.terminatedAt) && q.ended.After(h.terminatedAt) && q.ended.Before(h.terminatedAt.Add(gracePeriod-time.Second))
		otherFault := h.hadFault(q.sent.Add(-faultRecoveryWindow), h.terminatedAt) || h.hadFault(h.terminatedAt, q.ended) || tr.hadEndpointFault(q.sent.Add(-faultRecoveryWindow), q.ended)
		if interrupted && !otherFault && q.kind != kindStream {
			r.addViolation(promiseStop, "%s at %s, which got SIGTERM %d ms after it was sent: %v", q.id, q.host, h.terminatedAt.Sub(q.sent).Milliseconds(), q.answer.Err)
		}
	}
}

// checkLost verifies, with sound endpoints, that processes answer what they have read around a SIGTERM, requests of all kinds
// that come until a second after the grace period. It excuses requests during other faults of the host or of an endpoint,
// and those sent early on which endpoints work until the last sixth of the grace period.
func (tr *testRun) checkLost(r *Report, byAttempt map[string][]platformtest.Run) {
	for _, q := range tr.requests {
		h := tr.host(q.host)
		if !tr.opts.Sound || h == nil || q.answer.Err == nil || errors.Is(q.answer.Err, syscall.ECONNREFUSED) {
			continue
		}
		stop := h.stopBefore(q.ended)
		sinceStop := q.sent.Sub(stop)
		switch {
		case stop.IsZero() || sinceStop > gracePeriod+time.Second:
		case len(byAttempt[q.id]) == 0 && q.ended.Sub(q.sent) <= lossSlack:
		case sinceStop <= lateSending && q.ended.Sub(stop) >= gracePeriod*5/6:
		case h.hadUnplannedFault(q.sent.Add(-faultRecoveryWindow), q.ended) || tr.hadEndpointFault(q.sent.Add(-faultRecoveryWindow), q.ended):
		default:
			r.addViolation(promiseStop, "%s of %s at %s, sent %d ms after its SIGTERM, ran %d times, ended after %d ms: %v",
				q.id, q.path, q.host, sinceStop.Milliseconds(), len(byAttempt[q.id]), q.ended.Sub(q.sent).Milliseconds(), q.answer.Err)
		}
	}
}

// hadEndpointFault reports whether any endpoint had a fault between two times.
func (tr *testRun) hadEndpointFault(from, to time.Time) bool {
	return slices.ContainsFunc(tr.endpointFaultTimes, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}
