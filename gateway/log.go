package gateway

import (
	"strconv"
	"time"

	"github.com/phuslu/log"

	"github.com/cicadanotch/cicadanotch/catalog"
)

// logEnd logs and counts the end of a request, in one line with what decided it.
func (c *call) logEnd(result string) {
	now := time.Now()
	c.recordDuration(now)
	kind := catalog.Kind("none")
	if c.route != nil {
		kind = c.route.Kind
	}
	c.g.metrics.requests.WithLabelValues(string(kind), result).Inc()
	if result == "served" {
		c.g.metrics.answers.WithLabelValues(string(kind)).Observe(now.Sub(c.arrived).Seconds())
	}
	e := c.g.log.Info().Str("event", "request").Str("request", c.req.ID).Str("result", result).Int("status", c.status)
	if c.route != nil {
		e.Str("route", c.route.Name).Str("service", c.service.Name)
	}
	if c.workspace != nil {
		e.Str("workspace", c.workspace.Name)
	}
	if !c.firstAt.IsZero() {
		e.Int64("first_ms", c.firstAt.Sub(c.arrived).Milliseconds()).Int("events", c.events)
	}
	if c.lastAttempt != nil {
		e.Str("endpoint", c.lastAttempt.view.ID).Int("expected_ms", int(c.lastAttempt.choice.Terms.FirstToken())).
			Int("cached", c.lastAttempt.choice.CachedTokens)
		if f := c.lastAttempt.choice.Fetch; f.Source != "" {
			e.Str("fetched_from", f.Source).Int("fetched", f.Tokens)
		}
	}
	if software := c.streamSoftware(); software != nil {
		e.Str("software", *software)
	}
	if c.req.Origin != "" || c.req.ResumeAfter != "" {
		e.Str("origin", c.req.Origin).Str("after", c.req.ResumeAfter)
	}
	if c.ending.framing != "" {
		e.Str("framing", string(c.ending.framing))
	}
	if c.ending.unfinished > 0 {
		e.Int("unfinished", c.ending.unfinished)
	}
	if r := c.refusal; r != nil {
		e.Str("reason", string(r.reason)).Dur("room_ms", r.room).Dur("retry_after_ms", r.delay).Dur("left_ms", c.deadline.Sub(now))
	}
	if d := c.limit; d.keeper != "" && !d.taken {
		e.Str("limit_keeper", d.keeper).Float64("limit_share", d.share).Dur("retry_after_ms", d.retryAfter)
	}
	c.logStopping(e, now)
	if c.req.HasTokens {
		e.Int("prompt", c.req.PromptTokens).Int("cost", int(c.cost))
	}
	e.Int("sent", c.sent).Int64("config", c.version).Int64("ms", now.Sub(c.arrived).Milliseconds()).Msg(c.finalDetail)
}

// logStopping adds, on a leaving host, how long the process continues to run and what it knew when it last decided
// whether the request would end in time.
func (c *call) logStopping(e *log.Entry, now time.Time) {
	left, leaving := c.g.timeLeft(now)
	if !leaving {
		return
	}
	e.Int64("process_left_ms", left.Milliseconds())
	v := c.stopping
	if v == nil {
		return // it was accepted before the stop
	}
	e.Int64("decided_ms", now.Sub(v.at).Milliseconds()).Int64("decided_left_ms", v.left.Milliseconds()).
		Int64("decided_deadline_ms", c.deadline.Sub(v.at).Milliseconds()).Int("samples", v.samples)
	if v.known {
		e.Int64("estimate_ms", v.needs.Milliseconds())
	}
}

// maxUnfinishedLines bounds the lines about requests in progress at the end of the process.
const maxUnfinishedLines = 100

// logUnfinished logs the requests in progress when the time of the process is over.
func (g *Gateway) logUnfinished(now time.Time) {
	for n, c := range g.calls.all() {
		if n == maxUnfinishedLines {
			return // the line "stopped" has the number
		}
		c.mu.Lock()
		events := c.progress.events
		c.mu.Unlock()
		g.log.Warn().Str("event", "unfinished").Str("request", c.req.ID).Str("route", c.route.Name).Str("kind", string(c.route.Kind)).
			Str("endpoint", c.endpointID()).Int("events", events).Int64("ms", now.Sub(c.arrived).Milliseconds()).
			Int64("deadline_ms", c.deadline.Sub(now).Milliseconds()).Msg("")
	}
}

func formatFingerprint(f uint64) string { return strconv.FormatUint(f, 16) }

// logProbe logs whether an endpoint that broke the connection of an attempt has ended.
func (c *call) logProbe(a *endpointAttempt, result probeResult) {
	c.g.log.Info().Str("event", "endpoint_probed").Str("request", c.req.ID).Str("fingerprint", formatFingerprint(c.fingerprint)).
		Str("endpoint", a.view.ID).Str("result", string(result)).Msg("")
}

// sharedParts returns the ids of the parts of the prompt that other requests may have too.
func (c *call) sharedParts() []string {
	var ids []string
	for i, p := range c.req.Parts {
		if i < len(c.req.Parts)-1 {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// logAttempt logs an attempt without a complete answer and the step that follows.
func (c *call) logAttempt(a *endpointAttempt, o outcome, next step, err error) {
	now := time.Now()
	e := c.g.log.Warn().Str("event", "attempt").Str("request", c.req.ID).Str("endpoint", a.view.ID).
		Str("zone", a.view.Zone).Str("software", a.view.Version).Str("state", string(a.view.State)).Str("outcome", string(o)).Str("next", string(next)).
		Str("fingerprint", formatFingerprint(c.fingerprint)).Int("sent", c.sent).Int("events", c.events).Int64("ms", now.Sub(a.startedAt).Milliseconds()).
		Int("expected_ms", int(a.choice.Terms.FirstToken())).Dur("entry_age", now.Sub(a.view.ListedAt))
	if c.ending.framing != "" {
		e.Str("framing", string(c.ending.framing)).Int("unfinished", c.ending.unfinished)
	}
	if !c.firstAt.IsZero() {
		e.Int64("answering_ms", now.Sub(c.firstAt).Milliseconds())
	}
	if shared := c.sharedParts(); len(shared) > 0 {
		e.Strs("parts", shared)
	}
	if left, leaving := c.g.timeLeft(now); leaving {
		e.Int64("process_left_ms", left.Milliseconds())
	}
	if err != nil {
		e.Str("error", err.Error())
	}
	e.Msg("")
}
