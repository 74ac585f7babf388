package drain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/drain"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

func newStop() *drain.Stop {
	return &drain.Stop{AddressTTL: 10 * time.Second, HandoffLeadTime: 5 * time.Second}
}

func TestStopPhases(t *testing.T) {
	signal := func(s *drain.Stop) { s.Begin(at(0), drain.CauseSignal, drain.Demand{Reason: drain.ReasonSignal}) }
	maintenance := func(s *drain.Stop) {
		s.Begin(at(0), drain.CauseNotice, drain.Demand{Reason: drain.ReasonMaintenance, Deadline: at(60)})
	}
	reclaim := func(s *drain.Stop) {
		s.Begin(at(0), drain.CauseNotice, drain.Demand{Reason: drain.ReasonReclaim, Deadline: at(5)})
	}
	second := func(s *drain.Stop) { s.Begin(at(20), drain.CauseSignal, drain.Demand{Reason: drain.ReasonSignal}) }
	late := func(s *drain.Stop) {
		s.Begin(at(20), drain.CauseNotice, drain.Demand{Reason: drain.ReasonReclaim, Deadline: at(25)})
	}
	withdrawn := func(s *drain.Stop) { s.Withdraw(drain.CauseNotice) }
	window := func(s *drain.Stop) {
		s.Begin(at(0), drain.CauseSchedule, drain.Demand{Reason: drain.ReasonMaintenance, Deadline: at(90)})
	}
	windowWithdrawn := func(s *drain.Stop) { s.Withdraw(drain.CauseSchedule) }
	for name, tc := range map[string]struct {
		events []func(*drain.Stop)
		at     float64
		open   int
		want   drain.Phase
	}{
		"no stop":                               {nil, 100, 0, drain.PhaseServing},
		"signal: older address answers served":  {[]func(*drain.Stop){signal}, 9.9, 0, drain.PhaseAccepting},
		"signal: waits":                         {[]func(*drain.Stop){signal}, 10, 1, drain.PhaseWaiting},
		"signal: waits without limit":           {[]func(*drain.Stop){signal}, 1e6, 1, drain.PhaseWaiting},
		"signal: done":                          {[]func(*drain.Stop){signal}, 10, 0, drain.PhaseDone},
		"second signal has no effect":           {[]func(*drain.Stop){signal, second}, 21, 1, drain.PhaseWaiting},
		"second signal does not restart":        {[]func(*drain.Stop){signal, second}, 21, 0, drain.PhaseDone},
		"maintenance: stays up when idle":       {[]func(*drain.Stop){maintenance}, 30, 0, drain.PhaseWaiting},
		"maintenance, then a signal: done":      {[]func(*drain.Stop){maintenance, second}, 30, 0, drain.PhaseDone},
		"reclaim, then a signal: idle":          {[]func(*drain.Stop){reclaim, second}, 30, 0, drain.PhaseDone},
		"reclaim, then a signal: open":          {[]func(*drain.Stop){reclaim, second}, 30, 1, drain.PhaseHandingOver},
		"maintenance: waits":                    {[]func(*drain.Stop){maintenance}, 54, 1, drain.PhaseWaiting},
		"maintenance: deadline near":            {[]func(*drain.Stop){maintenance}, 55, 1, drain.PhaseHandingOver},
		"maintenance, then a signal: open":      {[]func(*drain.Stop){maintenance, second}, 30, 1, drain.PhaseWaiting},
		"maintenance retains its deadline":      {[]func(*drain.Stop){maintenance, second}, 56, 1, drain.PhaseHandingOver},
		"signal, then a reclaim":                {[]func(*drain.Stop){signal, late}, 20, 1, drain.PhaseHandingOver},
		"reclaim: at once":                      {[]func(*drain.Stop){reclaim}, 0, 1, drain.PhaseHandingOver},
		"reclaim withdrawn":                     {[]func(*drain.Stop){reclaim, withdrawn}, 3, 1, drain.PhaseServing},
		"signal, maintenance withdrawn":         {[]func(*drain.Stop){signal, maintenance, withdrawn}, 90, 1, drain.PhaseWaiting},
		"window withdrawn, reclaim remains":     {[]func(*drain.Stop){window, reclaim, windowWithdrawn}, 3, 1, drain.PhaseHandingOver},
		"reclaim withdrawn, window remains":     {[]func(*drain.Stop){window, reclaim, withdrawn}, 50, 1, drain.PhaseWaiting},
		"window withdrawn":                      {[]func(*drain.Stop){window, windowWithdrawn}, 3, 1, drain.PhaseServing},
		"window withdrawn, signal remains":      {[]func(*drain.Stop){window, second, windowWithdrawn}, 120, 1, drain.PhaseWaiting},
		"maintenance withdrawn, then a reclaim": {[]func(*drain.Stop){maintenance, withdrawn, late}, 20, 0, drain.PhaseHandingOver},
		"two notices: earlier deadline applies": {[]func(*drain.Stop){maintenance, func(s *drain.Stop) {
			s.Begin(at(1), drain.CauseNotice, drain.Demand{Reason: drain.ReasonMaintenance, Deadline: at(30)})
		}}, 25, 1, drain.PhaseHandingOver},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newStop()
			for _, event := range tc.events {
				event(s)
			}
			is.Equal(s.Phase(at(tc.at), tc.open), tc.want)
			is.Equal(s.Leaving(), tc.want != drain.PhaseServing)
		})
	}
}

func TestPhaseRules(t *testing.T) {
	is := is.New(t)
	is.True(drain.PhaseAccepting.Accepts())
	is.True(drain.PhaseHandingOver.Accepts())
	is.True(!drain.PhaseWaiting.Accepts())
	is.True(!drain.PhaseDone.Accepts())
	is.True(drain.PhaseWaiting.StartsNonIdempotent())
	is.True(!drain.PhaseHandingOver.StartsNonIdempotent())
}

func TestSchedule(t *testing.T) {
	s := drain.Schedule{LeadTime: 30 * time.Second, Windows: []drain.Window{
		{Service: "a", Zone: "z1", Starts: at(100), Ends: at(200)},
		{Service: "b", Host: "h2", Starts: at(50), Ends: at(300)},
	}}
	for name, tc := range map[string]struct {
		service, host, zone string
		at                  float64
		starts              float64 // 0 if no window applies
	}{
		"before the lead time":        {"", "h1", "z1", 69, 0},
		"zone due":                    {"", "h1", "z1", 70, 100},
		"zone during the window":      {"", "h1", "z1", 150, 100},
		"zone after its end":          {"", "h1", "z1", 200, 0},
		"another zone":                {"", "h1", "z2", 150, 0},
		"host named":                  {"", "h2", "z2", 20, 50},
		"two windows: earlier start":  {"", "h2", "z1", 80, 50},
		"endpoint of the service":     {"a", "e1", "z1", 80, 100},
		"endpoint of another service": {"b", "e1", "z1", 80, 0},
		"entry host: any service":     {"", "e1", "z1", 80, 100},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, ok := s.Entry(tc.host, tc.zone, at(tc.at))
			if tc.service != "" {
				w, ok = s.Endpoint(tc.service, tc.host, tc.zone, at(tc.at))
			}
			is.Equal(ok, tc.starts != 0)
			if ok {
				is.Equal(w.Starts, at(tc.starts))
			}
		})
	}
}
