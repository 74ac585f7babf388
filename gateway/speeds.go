package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/speed"
)

const (
	// speedLogInterval is how often changes of what endpoints take well are logged, statementLogInterval
	// how often the worth of their statements is.
	speedLogInterval     = time.Second
	statementLogInterval = 30 * time.Second
)

// learnsSpeed reports whether what endpoints take well is learnt for a service: always for engines, for others
// once an endpoint states its time of work. tells reports whether this host also tells the others what it has
// seen.
func (g *Gateway) learnsSpeed(now time.Time, service string) (learns, tells bool) {
	switch g.opts.EndpointSpeed {
	case speed.ModeOff:
		return false, false
	case speed.ModeOn:
		return true, true
	}
	if s := g.catalog.Current(); s != nil && s.Services[service].Engine != nil {
		return true, true
	}
	seen, known := g.speeds.Stated(now, service)
	return known, seen
}

// speedsOf returns a function of what each endpoint of a service takes well; the zero estimate if that is
// not learnt.
func (g *Gateway) speedsOf(now time.Time, service string) func(id string) speed.Estimate {
	if learns, _ := g.learnsSpeed(now, service); !learns {
		return func(string) speed.Estimate { return speed.Estimate{} }
	}
	estimates, other := g.speeds.Estimates(now, service)
	return func(id string) speed.Estimate {
		if e, ok := estimates[id]; ok {
			return e
		}
		return other
	}
}

// observeSpeed records what an answer has shown of an endpoint, and then what the endpoint has stated in it.
func (g *Gateway) observeSpeed(now time.Time, service, endpoint string, sample speed.Sample, ok bool, statedPercent float64) {
	if g.opts.EndpointSpeed == speed.ModeOff {
		return
	}
	if learns, _ := g.learnsSpeed(now, service); ok && (learns || statedPercent > 0) {
		g.speeds.Observe(now, service, endpoint, sample)
	}
	if statedPercent > 0 {
		g.speeds.State(now, service, endpoint, statedPercent)
	}
}

// statedPercent returns what an endpoint has stated of its time of work, zero if nothing.
func statedPercent(reply *port.Reply) float64 {
	if reply.Load == nil {
		return 0
	}
	return reply.Load.WorkPercent
}

// observeCall records a whole answer of a service without engines.
func (c *call) observeCall(a *endpointAttempt, reply *port.Reply) {
	if c.service.Engine != nil {
		return
	}
	now := time.Now()
	sample := speed.Sample{
		ExpectedMS: 1, TookMS: float64(now.Sub(a.startedAt).Microseconds())/1000 - a.choice.Terms.Network,
		InProgress: a.choice.InProgress(), Slots: a.choice.Slots,
	}
	if l := reply.Load; l != nil && l.Slots > 0 {
		// The endpoint counts the requests of all hosts, this one included.
		sample.InProgress, sample.Slots = max(l.Running-1, 0)+l.Waiting, l.Slots
	}
	c.g.observeSpeed(now, c.service.Name, a.view.ID, sample, sample.TookMS > 0, statedPercent(reply))
}

// reportedSpeeds returns what this host tells the others. For services with engines the placer has seen
// all, and tells of the endpoints that differ, so that its successor begins with these.
func (g *Gateway) reportedSpeeds(now time.Time) speed.Observations {
	snapshot := g.catalog.Current()
	if snapshot == nil {
		return nil
	}
	var out speed.Observations
	for name, service := range snapshot.Services {
		if _, tells := g.learnsSpeed(now, name); !tells {
			continue
		}
		if own := g.speeds.Own(now, name, service.Engine != nil); len(own) > 0 {
			if out == nil {
				out = speed.Observations{}
			}
			out[name] = own
		}
	}
	return out
}

// receiveSpeeds passes what other hosts tell to the table of speeds.
func (g *Gateway) receiveSpeeds(now time.Time, live []presence.Report) {
	if g.opts.EndpointSpeed == speed.ModeOff {
		return
	}
	var told []speed.Observations
	for _, r := range live {
		if len(r.Speeds) > 0 {
			told = append(told, r.Speeds)
		}
	}
	g.speeds.SetPeers(now, told)
}

// inheritSpeeds takes over what the previous placer had told, when this host becomes the placer.
func (g *Gateway) inheritSpeeds(now time.Time, previous string) {
	for _, r := range g.presence.Within(shareTTL) {
		if r.Host == previous {
			g.speeds.Absorb(now, r.Speeds)
		}
	}
}

// logSpeeds logs notable changes of what endpoints take well, and from time to time how far their
// statements of it are true. Only the placers do: the hosts of a region learn the same.
func (g *Gateway) logSpeeds(now time.Time) {
	g.placer.mu.Lock()
	placing := g.placer.chosen.Host == g.opts.Host
	g.placer.mu.Unlock()
	if !placing || now.Sub(g.speedsLoggedAt) < speedLogInterval {
		return
	}
	g.speedsLoggedAt = now
	for _, c := range g.speeds.Changes(now) {
		g.metrics.stateChanges.WithLabelValues("endpoint_speed").Inc()
		g.log.Info().Str("event", "endpoint_speed").Str("service", c.Service).Str("endpoint", c.Endpoint).
			Float64("pace", c.Now.Pace).Float64("pace_before", c.Before.Pace).Float64("knee", c.Now.Knee).Float64("knee_before", c.Before.Knee).Msg("")
	}
	if now.Sub(g.statementsLoggedAt) < statementLogInterval {
		return
	}
	g.statementsLoggedAt = now
	for service, ages := range g.speeds.Ages() {
		for _, a := range ages {
			if a.Count == 0 {
				continue
			}
			g.log.Info().Str("event", "endpoint_statements").Str("service", service).Dur("below", a.Below).
				Int("pairs", a.Count).Float64("correlation", a.Correlation).Float64("slope", a.Slope).Msg("")
		}
	}
}

// speedCollector collects what endpoints take well as metrics. The series are bounded by the endpoints of
// services for which it is learnt.
type speedCollector struct{ g *Gateway }

// Describe implements prometheus.Collector.
func (s speedCollector) Describe(out chan<- *prometheus.Desc) {
	out <- endpointPaceDesc
	out <- endpointKneeDesc
	out <- statementsDesc
	out <- statementCorrelationDesc
}

// Collect implements prometheus.Collector.
func (s speedCollector) Collect(out chan<- prometheus.Metric) {
	for _, r := range s.g.speeds.Rows(time.Now()) {
		knee := r.Knee
		if knee == 0 {
			knee = 1
		}
		out <- prometheus.MustNewConstMetric(endpointPaceDesc, prometheus.GaugeValue, r.Pace, r.Service, r.Endpoint)
		out <- prometheus.MustNewConstMetric(endpointKneeDesc, prometheus.GaugeValue, knee, r.Service, r.Endpoint)
	}
	for service, ages := range s.g.speeds.Ages() {
		for _, a := range ages {
			below := "inf"
			if a.Below > 0 {
				below = strconv.FormatFloat(a.Below.Seconds(), 'g', -1, 64)
			}
			out <- prometheus.MustNewConstMetric(statementsDesc, prometheus.GaugeValue, float64(a.Count), service, below)
			out <- prometheus.MustNewConstMetric(statementCorrelationDesc, prometheus.GaugeValue, a.Correlation, service, below)
		}
	}
}
