package gateway

import (
	"net/http"
	"time"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/grant"
	"github.com/cicadanotch/cicadanotch/placement"
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/quarantine"
	"github.com/cicadanotch/cicadanotch/quota"
	"github.com/cicadanotch/cicadanotch/speed"
)

// State is a snapshot of a process's state, for debugging.
type State struct {
	Host         string                   `json:"host"`
	Ready        bool                     `json:"ready"`
	Leaving      bool                     `json:"leaving"`
	Config       int64                    `json:"configuration"`
	InProgress   int                      `json:"in_progress"`
	StoreAge     time.Duration            `json:"store_age_ns"`
	Endpoints    []fleet.View             `json:"endpoints"`
	Placement    []placement.Row          `json:"placement"`
	Speeds       []speed.Row              `json:"speeds"`
	Statements   map[string][]speed.Age   `json:"statements"`
	Quota        []quota.WorkspaceState   `json:"quota"`
	Grants       *grant.State             `json:"grants,omitempty"`
	Hosts        []presence.Report        `json:"hosts"`
	FencingToken int64                    `json:"duty_fence"`
	Suspected    []quarantine.Row         `json:"suspected"`
	Deaths       []quarantine.Death       `json:"deaths"`
	LethalParts  []quarantine.LethalParts `json:"lethal_parts"`
	Rollouts     []RolloutState           `json:"rollouts"`
}

// State returns the current state.
func (g *Gateway) State(now time.Time) State {
	s := State{
		Host: g.opts.Host, Ready: g.Ready(), Leaving: g.Leaving(), InProgress: g.calls.len(),
		StoreAge:  g.storeAge(now),
		Endpoints: g.fleet.All(), Placement: g.placement.State(), Speeds: g.speeds.Rows(now), Statements: g.speeds.Ages(),
		Quota: g.quota.State(), Grants: g.grantsState(now),
		Hosts: g.presence.Live(), FencingToken: g.leader.fencingToken(now),
		Suspected: g.quarantine.table.State(now), Deaths: g.quarantine.table.Deaths(now),
		LethalParts: g.quarantine.table.LethalParts(now),
		Rollouts:    g.rollouts.state(now, g.leader.fencingToken(now) != 0),
	}
	if c := g.catalog.Current(); c != nil {
		s.Config = c.Version
	}
	return s
}

// StateHandler serves the state as JSON.
func (g *Gateway) StateHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, g.State(time.Now()))
	})
}
