package node

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uptrace/bunrouter"

	"github.com/cicadanotch/cicadanotch/admit"
	"github.com/cicadanotch/cicadanotch/claim"
	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/drain"
	"github.com/cicadanotch/cicadanotch/fold"
	"github.com/cicadanotch/cicadanotch/lease"
	"github.com/cicadanotch/cicadanotch/member"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/publish"
	"github.com/cicadanotch/cicadanotch/quarantine"
)

// State is the dump of a node's tables.
type State struct {
	Host      string                     `json:"host"`
	LogOffset int64                      `json:"log_offset"`
	Documents map[string]config.Revision `json:"documents"`
	// Skipped counts the log records that had no effect.
	Skipped fold.Skipped `json:"skipped_records"`
	// Unsupported lists the services whose accepted document this process is too
	// old to support.
	Unsupported []string `json:"behind,omitempty"`
	// Stale is set while the node is left out of the address answers because its
	// state is stale.
	Stale bool `json:"stale"`
	// Checkpoint is the newest checkpoint read from the log.
	Checkpoint fold.Checkpoint        `json:"checkpoint"`
	Leases     map[string]lease.Lease `json:"leases"`
	Claims     claim.Stats            `json:"claims"`
	Hosts      []port.Host            `json:"hosts"`
	Requests   []RequestState         `json:"requests"`
	Choice     ChoiceState            `json:"choice"`
	// Members are the membership verdicts on the entry hosts.
	Members  []member.Row    `json:"members"`
	Relays   RelayState      `json:"relays"`
	Capacity []CapacityState `json:"capacity"`
	// Stop is the progress of a stop of this host and the requests that it waits
	// for.
	Stop StopState `json:"stop"`
	// Queues are the admission queues by service.
	Queues map[string]admit.State `json:"queues"`
	// Suspected are the requests that may have caused endpoint deaths, Deaths
	// the deaths that count against them.
	Suspected []quarantine.Row   `json:"suspected"`
	Deaths    []quarantine.Death `json:"deaths"`
	// Drains are the latest decisions on streams at endpoints that are going
	// away.
	Drains []DrainStep `json:"drains,omitempty"`
}

// RequestState is one row of the request table.
type RequestState struct {
	ID        string `json:"id"`
	Service   string `json:"service"`
	Workspace string `json:"workspace"`
	Chunks    int    `json:"chunks"`
	Ended     bool   `json:"ended"`
	// State says whether this host owns the request or relays its answer from
	// Receiver. Epoch counts the changes of the owner.
	State    drain.State `json:"hold"`
	Epoch    int64       `json:"epoch,omitempty"`
	Receiver string      `json:"taker,omitempty"`
}

// State returns the dump of the node's tables.
func (n *Node) State() State {
	s := State{
		Host:        n.settings.Host,
		LogOffset:   n.tail.offset(),
		Documents:   n.documents.All(),
		Skipped:     n.tail.state.Skipped(),
		Unsupported: n.documents.Unsupported(),
		Stale:       n.Stale(),
		Checkpoint:  n.tail.state.LatestCheckpoint(),
		Leases:      n.leases.All(),
		Claims:      n.claims.Stats(),
		Hosts:       n.hosts.all(),
		Choice:      n.endpoints.state(time.Now()),
		Members:     n.members.Rows(),
		Relays:      n.RelayState(),
		Capacity:    n.capacityJob.states(),
		Stop:        n.stopState(),
		Drains:      n.drains.state(),
	}
	now := time.Now()
	s.Suspected, s.Deaths = n.quarantine.State(now), n.quarantine.Deaths(now)
	s.Queues = map[string]admit.State{}
	for service := range s.Documents {
		s.Queues[service] = n.queues.Queue(service).State(now)
	}
	for _, a := range n.requests.all() {
		h := a.handoff()
		s.Requests = append(s.Requests, RequestState{
			ID:        a.Request.ID.String(),
			Service:   a.Request.Service,
			Workspace: a.Request.Workspace,
			Chunks:    a.Answer.Len(),
			Ended:     a.Answer.End() != nil,
			State:     h.State,
			Epoch:     h.Epoch,
			Receiver:  h.Receiver,
		})
	}
	return s
}

// ConfigStatus returns which revision of a service's document the node knows
// and which is in force.
func (n *Node) ConfigStatus(service string) publish.Status {
	r, _ := n.documents.Accepted(service)
	return publish.Status{
		Host:      n.settings.Host,
		Revision:  r.Offset,
		InForce:   r.InForce,
		LogOffset: n.tail.offset(),
		Stale:     n.Stale(),
	}
}

// OperatorHandler serves the state dump, metrics and health check at the
// operator address.
func (n *Node) OperatorHandler() http.Handler {
	router := bunrouter.New()
	router.GET("/debug/state", func(w http.ResponseWriter, _ bunrouter.Request) error {
		return bunrouter.JSON(w, n.State())
	})
	router.GET("/v1/config/:service", func(w http.ResponseWriter, r bunrouter.Request) error {
		return bunrouter.JSON(w, n.ConfigStatus(r.Param("service")))
	})
	router.GET("/metrics", bunrouter.HTTPHandler(promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{})))
	router.GET("/healthz", func(w http.ResponseWriter, _ bunrouter.Request) error {
		return bunrouter.JSON(w, map[string]bool{"ok": true})
	})
	return router
}
