package gateway

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/placement"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/speed"
)

// place chooses an endpoint for the next attempt, or refuses the request.
func (c *call) place(now time.Time) (*endpointAttempt, *problem.Problem) {
	if m := c.takeReadyMove(); m != nil {
		return c.placeMovedStream(now, m)
	}
	if p := c.refuseQuarantined(now); p != nil {
		return nil, p
	}
	views := c.usable(now)
	if resume := c.g.fleet.NextResume(now, c.service.Name); len(views) == 0 && resume > 0 {
		return nil, c.notRun(http.StatusServiceUnavailable, problem.TypeOverloaded, "every endpoint has asked for time").WithRetryAfter(resume)
	}
	if software := c.streamSoftware(); len(views) == 0 && software != nil {
		return nil, c.notRun(http.StatusServiceUnavailable, problem.TypeUnavailable, "no endpoint has the software version that began the stream: "+*software).WithRetryAfter(noEndpointRetryAfter)
	}
	if len(views) == 0 {
		return nil, c.notRun(http.StatusServiceUnavailable, problem.TypeUnavailable, "the service has no endpoint").WithRetryAfter(noEndpointRetryAfter)
	}
	choice, ok, limited := c.chooseWithinLimits(now, c.separated(now, views))
	if limited && c.room.missing {
		return nil, c.roomProblem(now, views)
	}
	if limited {
		return nil, c.notRun(http.StatusServiceUnavailable, problem.TypeOverloaded, "every endpoint has named a limit that is used up").WithRetryAfter(c.g.fleet.NextWithinLimit(now, views))
	}
	q := c.query()
	if !ok {
		return nil, c.notRun(http.StatusServiceUnavailable, problem.TypeUnavailable, "every endpoint was tried").WithRetryAfter(c.retryAfterDecline())
	}
	if room, reason, over := c.overloaded(now, choice); over {
		c.release(&choice, true)
		c.leaveRoom(now, outcomeUnsent)
		c.g.fleet.ReturnToLimit(now, choice.ID)
		c.g.demand.Refused(now, c.service.Name, max(q.PromptTokens-choice.CachedTokens, 0), q.MaxAnswerTokens)
		return nil, c.overloadProblem(now, reason, room, "no endpoint can start it in time")
	}
	c.g.demand.Placed(now, c.service.Name, max(q.PromptTokens-choice.CachedTokens, 0), q.MaxAnswerTokens)
	return &endpointAttempt{choice: choice, view: findView(views, choice.ID)}, nil
}

// chooseWithinLimits chooses an endpoint whose limit allows a request of this host, and counts the request
// against it. limited is set if there is none because of limits.
func (c *call) chooseWithinLimits(now time.Time, views []fleet.View) (choice placement.Choice, ok, limited bool) {
	q := c.query()
	q.Excluded = maps.Clone(c.tried)
	var allowed []fleet.View
	c.room.missing = false
	for _, v := range views {
		if c.g.fleet.WithinLimit(now, v.ID) && c.hasRoom(now, v) {
			allowed = append(allowed, v)
		} else {
			q.Excluded[v.ID] = true
		}
	}
	for len(allowed) > 0 {
		c.ticket = 0
		choice, ok = c.choose(now, q, allowed)
		if !ok {
			return choice, false, false
		}
		if c.g.fleet.TakeFromLimit(now, choice.ID) {
			if c.takeRoom(now, findView(views, choice.ID)) {
				return choice, true, false
			}
			c.g.fleet.ReturnToLimit(now, choice.ID)
		}
		// Another request has used the limit, or the room, up since.
		c.release(&choice, true)
		q.Excluded[choice.ID] = true
		allowed = slices.DeleteFunc(allowed, func(v fleet.View) bool { return v.ID == choice.ID })
	}
	return placement.Choice{}, false, true
}

// fetchFrom returns the address of the engine that cached parts are fetched from before the prefill, empty for
// none.
func (c *call) fetchFrom(choice *placement.Choice) string {
	if choice.Fetch.Source == "" {
		return ""
	}
	source, ok := c.g.fleet.Get(choice.Fetch.Source)
	if !ok || source.Service != c.service.Name || source.Version != choice.Software {
		return "" // it has left or started anew since
	}
	return source.Address
}

// release ends the placement of an attempt. notPrefilled is as in placement.Table.Release.
func (c *call) release(choice *placement.Choice, notPrefilled bool) {
	c.g.placement.Release(choice, notPrefilled)
	c.g.settle(c.placer, settlement{Ticket: c.ticket, Ended: true, NotPrefilled: notPrefilled})
	c.ticket = 0
}

func findView(views []fleet.View, id string) fleet.View {
	for _, v := range views {
		if v.ID == id {
			return v
		}
	}
	return fleet.View{}
}

// query describes the request to the placement.
func (c *call) query() *placement.Query {
	q := &placement.Query{Service: c.service.Name, Zone: c.g.opts.Zone, Region: c.g.opts.Region, Excluded: c.tried}
	if c.via.Host != "" { // the distances that count begin there
		q.Zone, q.Region = c.via.Zone, c.via.Region
	}
	if c.sent == 0 {
		q.SlackMS = float64(c.route.Target.Microseconds()) / 1000
	}
	if !c.req.HasTokens {
		return q
	}
	if e := c.service.Engine; e != nil {
		q.FetchTokenMS = e.FetchTokenMS()
	}
	q.PromptTokens, q.Parts, q.Priority = c.req.PromptTokens, c.req.Parts, c.priority()
	q.MaxAnswerTokens = c.req.AnswerTokens
	if c.req.ExpectedAnswer > 0 {
		q.MaxAnswerTokens = min(q.MaxAnswerTokens, c.req.ExpectedAnswer)
	}
	if n := len(q.Parts); n > 1 {
		q.Key = q.Parts[n-2].ID
	} else if n == 1 {
		q.Key = q.Parts[0].ID
	}
	return q
}

// candidates converts views into placement candidates.
func (g *Gateway) candidates(now time.Time, views []fleet.View, engine bool, service catalog.Service) []placement.Candidate {
	out := make([]placement.Candidate, 0, len(views))
	speedOf := g.speedsOf(now, service.Name)
	for _, v := range views {
		c := placement.Candidate{
			ID: v.ID, Zone: v.Zone, Region: g.opts.Regions[v.Zone], Slots: v.Slots,
			Suspect: now.Before(v.SuspectUntil), FailureShare: g.fleet.FailureShare(now, v.ID),
			Cold: now.Before(v.WarmAt), Speed: speedOf(v.ID), Software: v.Version,
		}
		if engine && g.opts.EndpointSpeed != speed.ModeOn {
			// More long prompts were late with it on a day of uneven engines, see docs/design/endpoint-speed.md.
			c.Speed.Knee = 0
		}
		if engine {
			c.CacheTokens = service.Engine.CacheTokens
			if c.Slots == 0 {
				c.Slots = service.Engine.Slots
			}
		}
		out = append(out, c)
	}
	return out
}

// placeMovedStream returns an attempt at the endpoint that the stream was moved to.
func (c *call) placeMovedStream(now time.Time, m *streamMove) (*endpointAttempt, *problem.Problem) {
	view, ok := c.g.fleet.Get(m.target)
	if software := c.streamSoftware(); !ok || (software != nil && view.Version != *software) {
		return nil, problem.Unknown(http.StatusBadGateway, problem.TypeOutcomeUnknown, "the endpoint that the stream was moved to is gone")
	}
	q := c.query()
	q.PromptTokens = 0 // the copied KV cache contains the prompt
	choice, _ := c.g.placement.Choose(now, q, c.g.candidates(now, []fleet.View{view}, true, c.service))
	c.occupyRoom(view)
	return &endpointAttempt{choice: choice, view: view, kvCopy: &port.KVCopy{Source: m.source, Handle: m.handle}}, nil
}
