package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/rendezvous"
	"github.com/cicadanotch/cicadanotch/rollout"
)

const (
	// expectedCall is the time expected of a call of a service without engines. Only its ratio over versions
	// counts.
	expectedCall = 20 * time.Millisecond
	// expectedFirstEvent is the time expected to the first event of a stream, without its prompt.
	expectedFirstEvent = 30 * time.Millisecond
	// maxCallDuration is the time after which a call of a service without engines that has not ended counts as one
	// that does not answer.
	maxCallDuration = time.Second
	// minPacedEvents is the number of events of a stream from which its pace counts.
	minPacedEvents = 4
	// maxRolloutBounds is the number of endpoints that a request to the placer names at most.
	maxRolloutBounds = 16
)

// withinRollout returns those of a service's endpoints that the request may be sent to in a roll-out.
func (c *call) withinRollout(now time.Time, views []fleet.View) []fleet.View {
	s := c.g.rollouts
	s.mu.Lock()
	h := s.held[c.service.Name]
	if h == nil || h.refused != nil {
		s.mu.Unlock()
		return views
	}
	views = slices.DeleteFunc(views, func(v fleet.View) bool { return h.excludes(v.Version) })
	if !h.moving() {
		s.mu.Unlock()
		return views
	}
	permitted, target, total, key := h.permits(now), h.order.Target, h.total, h.order.Service+"/"+h.order.Target
	chosen := permitted && !c.avoidsTarget.Load() && rollout.Share(c.req.ID, h.record.Fraction(c.route.Name))
	s.mu.Unlock()
	var targets, others []fleet.View
	for _, v := range views {
		if v.Version == target {
			targets = append(targets, v)
		} else {
			others = append(others, v)
		}
	}
	software := c.streamSoftware()
	switch {
	case software != nil && *software == target && permitted:
		return targets
	case software == nil && chosen:
		concentrated := concentrate(key, targets, total)
		if slices.ContainsFunc(concentrated, func(v fleet.View) bool { return !c.tried[v.ID] && !now.Before(v.SuspectUntil) }) {
			return concentrated
		}
	}
	if len(others) == 0 && !c.g.othersListed(c.service.Name, target) {
		return targets
	}
	return others
}

// concentrate returns as many endpoints as a fraction of requests asks for, so that each of these is as loaded as
// those of the other versions: a version may be bad only under load. Hosts with the same view choose the same ones.
func concentrate(key string, views []fleet.View, fraction float64) []fleet.View {
	n := max(int(math.Round(fraction*float64(len(views)))), 1)
	if n >= len(views) {
		return views
	}
	ids := make([]string, len(views))
	for i, v := range views {
		ids[i] = v.ID
	}
	kept := rendezvous.Top(key, ids, n)
	return slices.DeleteFunc(slices.Clone(views), func(v fleet.View) bool { return !slices.Contains(kept, v.ID) })
}

// rolloutBounds returns what the placer is told of the endpoints that a request may be sent to: their ids if they
// are few, or else their versions. Both are empty without a roll-out.
func (g *Gateway) rolloutBounds(service string, views []fleet.View) (within, versions []string) {
	g.rollouts.mu.Lock()
	known := g.rollouts.held[service] != nil
	g.rollouts.mu.Unlock()
	if !known {
		return nil, nil
	}
	for _, v := range views {
		if len(views) <= maxRolloutBounds {
			within = append(within, v.ID)
		}
		if !slices.Contains(versions, v.Version) {
			versions = append(versions, v.Version)
		}
	}
	return within, versions
}

// withinRollout returns those of the endpoints that a request to the placer allows.
func (r placeRequest) withinRollout(views []fleet.View) []fleet.View {
	if len(r.Within) == 0 && len(r.Versions) == 0 {
		return views
	}
	return slices.DeleteFunc(views, func(v fleet.View) bool {
		return len(r.Within) > 0 && !slices.Contains(r.Within, v.ID) || !slices.Contains(r.Versions, v.Version)
	})
}

// withoutEnded leaves out the endpoints of versions that a roll-out has ended.
func (g *Gateway) withoutEnded(service string, views []fleet.View) []fleet.View {
	g.rollouts.mu.Lock()
	defer g.rollouts.mu.Unlock()
	h := g.rollouts.held[service]
	if h == nil || h.refused != nil {
		return views
	}
	return slices.DeleteFunc(views, func(v fleet.View) bool { return h.excludes(v.Version) })
}

// count adds to the evidence of a service while its roll-out goes on. change gets the row of the route and whether
// the answer is one of the target.
func (c *call) count(a *endpointAttempt, change func(row *rollout.Row, target bool)) {
	s := c.g.rollouts
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[c.service.Name]
	if h == nil || !h.moving() {
		return
	}
	row := h.evidence[c.route.Name]
	change(&row, a.view.Version == h.order.Target)
	h.evidence[c.route.Name] = row
}

// recordFirstEvent counts the first event of a stream as an answer.
func (c *call) recordFirstEvent(a *endpointAttempt) {
	work := max(c.req.PromptTokens-a.choice.CachedTokens, 0)
	pace := c.g.placer.table.PaceOf(c.service.Name).TokenMS
	expected := expectedFirstEvent + time.Duration(pace*float64(work)*float64(time.Millisecond))
	c.countAnswer(a, a.firstEventAt.Sub(a.startedAt), expected)
}

// countAnswer counts an answer that took a time. That of an endpoint which is not warm yet says nothing about its
// version.
func (c *call) countAnswer(a *endpointAttempt, took, expected time.Duration) {
	c.count(a, func(row *rollout.Row, target bool) {
		counts := &row.Others
		if target {
			counts = &row.Target
		}
		counts.Answers++
		if !a.startedAt.Before(a.view.WarmAt) {
			counts.Times[rollout.Bucket(took, expected)]++
		}
		c.g.countRolloutAnswer(target, "good")
	})
}

func (g *Gateway) countRolloutAnswer(target bool, result string) {
	version := "other"
	if target {
		version = "target"
	}
	g.metrics.rolloutAnswers.WithLabelValues(version, result).Inc()
}

// recordForRollout counts what became of an attempt. A caller that leaves, a misdirected request and a refusal that
// states that nothing ran say nothing about the version, nor does the end of the endpoint's process.
func (c *call) recordForRollout(a *endpointAttempt, o outcome) {
	if c.route == nil {
		return
	}
	took := time.Since(a.startedAt)
	if o == outcomeComplete || o == outcomeExpired {
		c.count(a, func(row *rollout.Row, target bool) {
			if !target {
				row.Longest = max(row.Longest, took)
			}
		})
	}
	switch o {
	case outcomeComplete:
		c.recordWhole(a, took)
	case outcomeExpired:
		if a.firstEventAt.IsZero() && took >= maxCallDuration {
			c.countAnswer(a, time.Hour, expectedCall) // it has not answered at all
		}
	case outcomeFailed, outcomeBroken, outcomeUnresponsive:
		c.recordBad(a)
		fallthrough
	case outcomeDeclined, outcomeUnsent:
		c.count(a, func(_ *rollout.Row, target bool) {
			if target {
				c.avoidsTarget.Store(true)
			}
		})
	}
}

func (c *call) recordWhole(a *endpointAttempt, took time.Duration) {
	if a.firstEventAt.IsZero() {
		c.countAnswer(a, took, expectedCall)
	}
	c.count(a, func(row *rollout.Row, target bool) {
		if a.firstEventAt.IsZero() || c.events < minPacedEvents || c.sent > 1 || a.startedAt.Before(a.view.WarmAt) {
			return
		}
		pace := &row.OthersPace
		if target {
			pace = &row.TargetPace
		}
		interval := time.Since(a.firstEventAt) / time.Duration(c.events-1)
		pace.Times[rollout.Bucket(interval, defaultEventInterval)]++
	})
}

func (c *call) recordBad(a *endpointAttempt) {
	if a.died {
		return
	}
	c.count(a, func(row *rollout.Row, target bool) {
		counts := &row.Others
		if target {
			counts = &row.Target
		}
		if a.firstEventAt.IsZero() {
			counts.Answers++ // else its first event has been counted
		}
		counts.Failed++
		c.g.countRolloutAnswer(target, "failed")
	})
}
