package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
	"github.com/cicadanotch/cicadanotch/route"
)

// pollParallel bounds the endpoints that are polled at once, so that a silent
// one does not hold up the others.
const pollParallel = 16

// acquire chooses an endpoint for the rest of a request's answer and books it
// there until n.endpoints.release.
func (n *Node) acquire(a *Accepted, excluded map[string]bool) (port.Host, bool) {
	return n.endpoints.acquire(a.Request, n.documentOf(a.Request.Service), a.Answer.Len(), excluded)
}

func (n *Node) documentOf(service string) *config.Document {
	rev, ok := n.documents.Service(service)
	if !ok {
		return nil
	}
	return rev.Document
}

// usageOf returns the usage of an answer that has come to its end.
func usageOf(a *Accepted) *port.Usage {
	end := a.Answer.Ended()
	if end == nil {
		return nil
	}
	return end.Usage
}

// pollLoads reads the load of every endpoint.
func (n *Node) pollLoads() {
	ctx := n.context()
	n.eachEndpoint(func(h port.Host) {
		report, err := n.loadOf(ctx, h)
		if err == nil {
			n.endpoints.chooser.Report(h, report)
		}
	})
}

// pollEvents reads the cache events of every model engine.
func (n *Node) pollEvents() {
	ctx := n.context()
	n.eachEndpoint(func(h port.Host) {
		doc := n.documentOf(h.Service)
		if doc == nil || doc.Kind != config.KindModel {
			return
		}
		after := n.endpoints.chooser.Index(h.Service).After(h.ID)
		events, err := n.ports.Engine.CacheEvents(ctx, h.EndpointAddress, after)
		if err == nil && len(events) > 0 {
			n.endpoints.chooser.Events(h, events, time.Now())
		}
	})
}

func (n *Node) eachEndpoint(run func(port.Host)) {
	var group errgroup.Group
	group.SetLimit(pollParallel)
	for _, h := range n.endpoints.all() {
		group.Go(func() error {
			run(h)
			return nil
		})
	}
	_ = group.Wait() // run returns no errors
}

// ChoiceState is the part of the state dump that tells how endpoints are
// chosen.
type ChoiceState struct {
	// Endpoints is the load that the host counts with.
	Endpoints []route.LoadState `json:"endpoints"`
	// Prefixes counts the prefix index of each service.
	Prefixes map[string]prefix.Stats `json:"prefixes"`
	// Recent holds the last choices with the terms of each candidate.
	Recent []route.Explanation `json:"recent"`
}

func (t *endpointTable) state(now time.Time) ChoiceState {
	table := t.chooser.Table()
	return ChoiceState{Endpoints: table.Loads(now), Prefixes: t.chooser.Prefixes(), Recent: table.Explain()}
}

// entryCounts returns how many entry hosts the own region has, and how many
// there are in all.
func (n *Node) entryCounts() (inRegion, all int) {
	for _, h := range n.hosts.all() {
		if h.Role != port.RoleEntry {
			continue
		}
		all++
		if h.Region == n.settings.Region {
			inRegion++
		}
	}
	return inRegion, all
}

// loadOf reads the load of an endpoint. Without the service's document nobody
// knows which protocol the endpoint speaks, and it is not called.
func (n *Node) loadOf(ctx context.Context, h port.Host) (port.LoadReport, error) {
	doc := n.documentOf(h.Service)
	switch {
	case doc == nil:
		return port.LoadReport{}, errNoDocument
	case doc.Kind == config.KindPlain:
		return n.ports.Services.Load(ctx, h.EndpointAddress)
	}
	return n.ports.Engine.Load(ctx, h.EndpointAddress)
}

var errNoDocument = errors.New("no document of the service")
