package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/quarantine"
)

// A request may crash each endpoint that runs it, and its caller sends it again, to any host. Each host records the
// endpoints that end while it has requests there, with these requests: it tells other hosts at once, and appends the
// record to the topic of the hosts' reports, which every host reads, also one that has just started. Each derives from
// all records together which requests may not run (package quarantine).

const (
	// probeTimeout bounds the probe of an endpoint after a connection to it broke: a round trip between regions, and
	// a host that has used up its share of the processor for a tenth of a second.
	probeTimeout = 200 * time.Millisecond
	// deathGrace is how long to wait until all attempts at a crashed endpoint have failed, so that the second record
	// of its death holds all of them.
	deathGrace = 50 * time.Millisecond
	// confirmDelay is the time in which the records of other hosts arrive: of what else ran at the endpoint. No
	// request is refused on the observations of one host only.
	confirmDelay = 150 * time.Millisecond
)

// quarantineState is what this host knows of endpoints that ended and of the requests that ran there.
type quarantineState struct {
	table    *quarantine.Table
	inFlight *quarantine.InFlight

	mu sync.Mutex
	// own holds what this host has recorded, by the key of the record; unsent holds the keys of what the store has
	// not acknowledged. sending is set while sendDeaths runs.
	own     map[string]quarantine.Death
	unsent  map[string]bool
	sending bool
	// untold holds what the other hosts are told at noticeDue, which is zero while there is nothing.
	untold    []quarantine.Death
	noticeDue time.Time
	// listed holds the times of all deaths in the topic, by the key of the record.
	listed map[string]time.Time
	// attempts counts the attempts sent; it names them in inFlight.
	attempts int64
}

func newQuarantineState() *quarantineState {
	return &quarantineState{
		table: quarantine.NewTable(), inFlight: quarantine.NewInFlight(),
		own: map[string]quarantine.Death{}, unsent: map[string]bool{}, listed: map[string]time.Time{},
	}
}

// evaluate returns the verdict on the request.
func (c *call) evaluate(now time.Time) quarantine.Evaluation {
	return c.g.quarantine.table.Judge(now, c.fingerprint, c.partKeys)
}

// refuseQuarantined refuses a request under which endpoints have ended. The status is one after which callers may
// come again: the request may have been sound, and a caller that waits as told finds the verdict expired.
func (c *call) refuseQuarantined(now time.Time) *problem.Problem {
	e := c.evaluate(now)
	if e.Verdict != quarantine.VerdictQuarantine {
		return nil
	}
	detail := "endpoints ended while running it: " + strconv.Itoa(e.Deaths)
	if len(e.Parts) > 0 {
		detail = "endpoints ended while running requests with a part of its prompt: " + strconv.Itoa(e.Deaths)
	}
	return c.notRun(http.StatusServiceUnavailable, problem.TypeQuarantined, detail).WithRetryAfter(e.Until.Sub(now))
}

// separated returns the endpoints that a request may be sent to. A suspect request gets one of its own if there are
// enough for all suspects of a death, so that the next death tells which of them causes it.
func (c *call) separated(now time.Time, views []fleet.View) []fleet.View {
	e := c.evaluate(now)
	if e.Verdict == quarantine.VerdictClear {
		return views
	}
	var open []string
	for _, v := range views {
		if !c.tried[v.ID] && !now.Before(v.SuspectUntil) && c.g.fleet.WithinLimit(now, v.ID) {
			open = append(open, v.ID)
		}
	}
	slices.Sort(open)
	endpoint, ok := e.SeparateEndpoint(c.fingerprint, open)
	if !ok {
		return views
	}
	return []fleet.View{findView(views, endpoint)}
}

// beginInFlight records that the attempt is about to be sent.
func (c *call) beginInFlight(a *endpointAttempt) {
	q := c.g.quarantine
	q.mu.Lock()
	q.attempts++
	a.inFlight = strconv.FormatInt(q.attempts, 10)
	q.mu.Unlock()
	q.inFlight.Add(a.view.ID, a.inFlight, quarantine.Run{Fingerprint: c.fingerprint, Parts: c.partKeys})
}

// endInFlight undoes beginInFlight. broke is as in quarantine.InFlight.Remove.
func (c *call) endInFlight(a *endpointAttempt, broke bool) {
	if a.inFlight == "" {
		return
	}
	c.g.quarantine.inFlight.Remove(a.view.ID, a.inFlight, broke, time.Now())
	a.inFlight = ""
}

// probeResult is what a probe tells of an endpoint.
type probeResult string

const (
	probeListening probeResult = "listening"
	// probeRefused means that the endpoint's process has ended.
	probeRefused probeResult = "refused"
	probeUnknown probeResult = "unknown"
)

// probe finds out whether an endpoint to which a connection broke has ended.
func (g *Gateway) probe(address string) probeResult {
	ctx, cancel := context.WithTimeout(g.context(), probeTimeout)
	defer cancel()
	result := probeListening
	if err := g.ports.Endpoints.Probe(ctx, address); errors.Is(err, port.ErrNotListening) {
		result = probeRefused
	} else if err != nil {
		result = probeUnknown
	}
	g.metrics.probes.WithLabelValues(string(result)).Inc()
	return result
}

// examineBreak finds out whether the endpoint has ended that broke the connection of an attempt, and records that
// before the request is tried again.
func (c *call) examineBreak(ctx context.Context, a *endpointAttempt) {
	c.endInFlight(a, true)
	result := c.g.probe(a.view.Address)
	if result == probeRefused && !c.g.reachesOthers(a.view) {
		result = probeUnknown // what refuses connections may stand on the way
	}
	c.logProbe(a, result)
	if result != probeRefused {
		return
	}
	a.died = true
	c.g.recordEndpointDeath(ctx, a.view)
	if c.evaluate(time.Now()).Verdict == quarantine.VerdictQuarantine {
		pause(ctx, confirmDelay)
	}
}

// recordEndpointDeath records the death of an endpoint with all requests that this host had there. Concurrent calls
// for one endpoint wait for the first.
func (g *Gateway) recordEndpointDeath(ctx context.Context, v fleet.View) {
	done, first := g.quarantine.inFlight.BeginDeathRecord(v.ID)
	if !first {
		select {
		case <-done:
		case <-ctx.Done():
		}
		return
	}
	defer g.quarantine.inFlight.EndDeathRecord(v.ID)
	g.recordDeath(v) // the other hosts learn of the death while this one waits for its other attempts
	pause(ctx, deathGrace)
	g.recordDeath(v)
}

// pause waits for d, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// recordDeath records and publishes the death of an endpoint. One that was listed as leaving, or that the registry
// no longer lists, has ended as announced.
func (g *Gateway) recordDeath(v fleet.View) {
	now := time.Now()
	listed, ok := g.fleet.Get(v.ID)
	d := quarantine.Death{
		Endpoint: v.ID, Incarnation: strconv.FormatInt(v.Born, 10), Zone: v.Zone, At: now,
		Announced: !ok || listed.State != fleet.StateReady || !listed.LeavesAt.IsZero(),
		Running:   g.quarantine.inFlight.FingerprintsAt(v.ID, now),
		Parts:     g.quarantine.inFlight.SuspectPartsAt(v.ID, now),
	}
	if !g.quarantine.table.Add(now, d) {
		return
	}
	g.metrics.deaths.Inc()
	g.logDeath(d, g.opts.Host)
	if !d.Announced { // it counts against no request, here or elsewhere
		g.publish(deathNoticeDelay, d)
	}
}

// clear records that the request has run to its end in an attempt, and tells the other hosts if it or parts of its
// prompt were suspect.
func (c *call) clear(a *endpointAttempt) {
	if a.begunAt.IsZero() {
		a.begunAt = a.startedAt
	}
	c.clearParts(a.begunAt)
	cleared := c.g.quarantine.table.RecordCompletion(time.Now(), c.fingerprint)
	if len(cleared) == 0 {
		return
	}
	c.g.log.Info().Str("event", "request_cleared").Str("request", c.req.ID).Str("fingerprint", formatFingerprint(c.fingerprint)).
		Int("deaths", len(cleared)).Msg("")
	c.g.publish(clearanceNoticeDelay, cleared...)
}

// clearParts tells the other hosts that the parts of the prompt do not crash endpoints, if any of them was suspect:
// a request with them has been answering since began.
func (c *call) clearParts(began time.Time) {
	c.g.publish(clearanceNoticeDelay, c.g.quarantine.table.ClearParts(began, c.partKeys)...)
}

// recordAnswering records that the answer of an attempt goes on. Once it has done so for a while, it clears the parts
// of the prompt.
func (c *call) recordAnswering(now time.Time, a *endpointAttempt) {
	switch {
	case a.begunAt.IsZero():
		a.begunAt = now
		c.g.quarantine.inFlight.Begin(a.view.ID, a.inFlight, now)
	case !a.partsCleared && now.Sub(a.begunAt) >= quarantine.AnsweringTime:
		a.partsCleared = true
		c.clearParts(a.begunAt)
	}
}

func (g *Gateway) logDeath(d quarantine.Death, by string) {
	g.log.Warn().Str("event", "endpoint_died").Str("endpoint", d.Endpoint).Str("zone", d.Zone).Str("by", by).
		Int("running", len(d.Running)).Int("parts", len(d.Parts)).Bool("announced", d.Announced).Msg("")
}
