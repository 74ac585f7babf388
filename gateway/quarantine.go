package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/quarantine"
	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// methodDeaths tells a host of deaths of endpoints.
const methodDeaths = "gateway.deaths"

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
	// deathNoticeDelay and clearanceNoticeDelay are how long a host gathers deaths and what clears them before it
	// tells the others: endpoints end many at a time, and their requests are answered elsewhere one by one.
	deathNoticeDelay     = 20 * time.Millisecond
	clearanceNoticeDelay = 300 * time.Millisecond
	// appendDelay is how long a host gathers records before it appends them, appendInterval the least time between two
	// such calls: they are billed, and the other hosts have been told.
	appendDelay    = 100 * time.Millisecond
	appendInterval = time.Second
	// maxNotifiedHosts bounds the hosts that are told of a death at once; the others read it with the reports of
	// hosts. notifyTimeout bounds one such call.
	maxNotifiedHosts = 32
	notifyTimeout    = 800 * time.Millisecond
	// deathKeyPrefix begins the keys of records of deaths among the reports of hosts, deathMark their values, so that
	// a host of an earlier version does not take one for a report.
	deathKeyPrefix = "death/"
	deathMark      = "death "
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
	c.logProbe(a, result)
	if result != probeRefused {
		return
	}
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

// publish tells the other hosts, after a delay at most, of deaths or of what is new of them.
func (g *Gateway) publish(delay time.Duration, deaths ...quarantine.Death) {
	if len(deaths) == 0 {
		return
	}
	if g.quarantine.gather(time.Now().Add(delay), deaths) {
		time.AfterFunc(delay, g.notifyHosts)
	}
	starts := false
	for _, d := range deaths {
		starts = g.quarantine.enqueue(g.deathKey(d), d) || starts
	}
	if starts {
		go g.sendDeaths()
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

// deathKey returns the key of this host's record of a death. What several hosts had running there is merged.
func (g *Gateway) deathKey(d quarantine.Death) string {
	return deathKeyPrefix + d.Endpoint + "/" + d.Incarnation + "/" + g.opts.Host
}

// enqueue adds a record to those to be appended. It reports whether the caller has to run sendDeaths.
func (q *quarantineState) enqueue(key string, d quarantine.Death) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	merged, known := q.own[key]
	if !known {
		merged = quarantine.Death{Endpoint: d.Endpoint, Incarnation: d.Incarnation, Zone: d.Zone, At: d.At}
	}
	merged.Merge(d)
	q.own[key], q.unsent[key] = merged, true
	starts := !q.sending
	q.sending = true
	return starts
}

// takeUnsent returns the records to append, with the removals of expired ones. Without any it ends the sending.
func (q *quarantineState) takeUnsent(now time.Time, wall func(time.Time) time.Time) ([]port.TopicRecord, []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var records []port.TopicRecord
	var keys []string
	for key := range q.unsent {
		d := q.own[key]
		d.At = wall(d.At)
		raw, err := json.Marshal(d)
		if err != nil {
			continue // not reached: a death holds only strings, numbers and a time
		}
		records, keys = append(records, port.TopicRecord{Key: key, Value: append([]byte(deathMark), raw...)}), append(keys, key)
	}
	if len(records) == 0 {
		q.sending = false
		return nil, nil
	}
	q.unsent = map[string]bool{}
	for key, at := range q.listed {
		if now.Sub(at) > quarantine.SuspicionTTL {
			records = append(records, port.TopicRecord{Key: key})
		}
	}
	for key, d := range q.own {
		if now.Sub(d.At) > quarantine.SuspicionTTL {
			delete(q.own, key)
		}
	}
	return records, keys
}

// returnUnsent undoes takeUnsent for records that could not be appended.
func (q *quarantineState) returnUnsent(keys []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, key := range keys {
		q.unsent[key] = true
	}
}

// sendDeaths appends records until there are none left. One that fails is repeated with a growing delay.
func (g *Gateway) sendDeaths() {
	backoff := minBackoff
	pause(g.context(), appendDelay)
	for g.tomb.Alive() {
		began := time.Now()
		records, keys := g.quarantine.takeUnsent(began, g.clock.Wall)
		if len(records) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(g.context(), port.StoreReplyTimeout)
		_, err := g.ports.Store.Append(ctx, port.TopicHosts, port.Unconditional, records...)
		cancel()
		g.observeStore("append", began, time.Now(), err)
		if err == nil {
			backoff = minBackoff
			pause(g.context(), appendInterval)
			continue
		}
		g.log.Warn().Str("event", "deaths_not_recorded").Int("records", len(records)).Err(err).Msg("")
		g.quarantine.returnUnsent(keys)
		pause(g.context(), backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// repeatDeaths appends this host's records again that a snapshot lacks: the store may have returned from an older
// copy.
func (g *Gateway) repeatDeaths(snapshot []port.TopicRecord) {
	if g.quarantine.enqueueMissing(snapshot) {
		go g.sendDeaths()
	}
}

// enqueueMissing enqueues this host's records that a snapshot lacks. The result is as for enqueue.
func (q *quarantineState) enqueueMissing(records []port.TopicRecord) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.listed = map[string]time.Time{}
	present := map[string]bool{}
	for _, r := range records {
		present[r.Key] = true
	}
	for key := range q.own {
		if !present[key] {
			q.unsent[key] = true
		}
	}
	starts := !q.sending && len(q.unsent) > 0
	q.sending = q.sending || starts
	return starts
}

// receiveDeaths adds the deaths among the records of a page of the hosts' reports, and returns the other records.
func (g *Gateway) receiveDeaths(now time.Time, records []port.TopicRecord) []port.TopicRecord {
	var others []port.TopicRecord
	for _, r := range records {
		switch {
		case !strings.HasPrefix(r.Key, deathKeyPrefix):
			others = append(others, r)
		case r.Removed():
			g.quarantine.unlist(r.Key)
		default:
			var d quarantine.Death
			if err := json.Unmarshal(bytes.TrimPrefix(r.Value, []byte(deathMark)), &d); err != nil {
				g.log.Warn().Str("event", "death_unreadable").Str("key", r.Key).Int64("offset", r.Offset).Err(err).Msg("")
				continue
			}
			g.quarantine.list(r.Key, g.addDeath(now, d, r.Key))
		}
	}
	return others
}

// addDeath adds a record of another host and returns the time of the death. The record holds a wall-clock time, the
// result is a time of this host's steady clock.
func (g *Gateway) addDeath(now time.Time, d quarantine.Death, by string) time.Time {
	d.At = now.Add(-max(g.clock.Wall(now).Sub(d.At), 0))
	if g.quarantine.table.Add(now, d) && len(d.Cleared)+len(d.ClearedParts) == 0 {
		g.logDeath(d, by)
	}
	return d.At
}

// gather adds deaths to the next notice, which is due at a time or before. It reports whether none is due by then, so
// that the caller has to send one.
func (q *quarantineState) gather(due time.Time, deaths []quarantine.Death) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.untold = append(q.untold, deaths...)
	if !q.noticeDue.IsZero() && !due.Before(q.noticeDue) {
		return false
	}
	q.noticeDue = due
	return true
}

func (q *quarantineState) takeUntold() []quarantine.Death {
	q.mu.Lock()
	defer q.mu.Unlock()
	untold := q.untold
	q.untold, q.noticeDue = nil, time.Time{}
	return untold
}

// notifyHosts tells other hosts of the deaths gathered. One that does not answer reads them with the reports of hosts.
func (g *Gateway) notifyHosts() {
	deaths := g.quarantine.takeUntold()
	if len(deaths) == 0 || g.ports.Peers == nil || !g.tomb.Alive() {
		return
	}
	notice := deathNotice{By: g.opts.Host}
	for _, d := range deaths {
		d.At = g.clock.Wall(d.At)
		notice.Deaths = append(notice.Deaths, d)
	}
	_, addresses := g.recordHosts()
	delete(addresses, g.opts.Host)
	for _, host := range rendezvous.Top(deaths[0].Endpoint, slices.Collect(maps.Keys(addresses)), maxNotifiedHosts) {
		go func() {
			ctx, cancel := context.WithTimeout(g.context(), notifyTimeout)
			defer cancel()
			if err := g.ports.Peers.Call(ctx, addresses[host], methodDeaths, notice, nil); err != nil {
				g.log.Info().Str("event", "death_untold").Str("peer", host).Int("deaths", len(deaths)).Err(err).Msg("")
			}
		}()
	}
}

type deathNotice struct {
	By     string             `json:"by"`
	Deaths []quarantine.Death `json:"deaths"`
}

func (g *Gateway) serveDeaths(_ context.Context, params json.RawMessage) (any, error) {
	var n deathNotice
	if err := json.Unmarshal(params, &n); err != nil {
		return nil, errors.Wrap(err, "decode deaths")
	}
	for _, d := range n.Deaths {
		g.addDeath(time.Now(), d, n.By)
	}
	return struct{}{}, nil
}

func (q *quarantineState) list(key string, at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.listed[key] = at
}

func (q *quarantineState) unlist(key string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.listed, key)
}
