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

// maxParallelPolls bounds the endpoints that are polled at once. It is large enough
// that an unresponsive endpoint does not delay the polls of the others.
const maxParallelPolls = 16

// acquire chooses an endpoint for the remainder of a request's answer and counts
// the request there until n.endpoints.release is called.
func (n *Node) acquire(a *Accepted, excluded map[string]bool) (port.Host, bool) {
	return n.endpoints.acquire(a.Request, n.documentOf(a.Request.Service), a.Answer.Len(), excluded)
}

// documentOf returns the document of a service; nil if there is none.
func (n *Node) documentOf(service string) *config.Document {
	rev, ok := n.documents.Service(service)
	if !ok {
		return nil
	}
	return rev.Document
}

// usageOf returns the usage of an answer that has ended; nil otherwise.
func usageOf(a *Accepted) *port.Usage {
	end := a.Answer.End()
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
		after := n.endpoints.chooser.Index(h.Service).LastSequence(h.ID)
		events, err := n.ports.Engine.CacheEvents(ctx, h.EndpointAddress, after)
		if err == nil && len(events) > 0 {
			n.endpoints.chooser.Events(h, events, time.Now())
		}
	})
}

// eachEndpoint calls run for every endpoint, in parallel.
func (n *Node) eachEndpoint(run func(port.Host)) {
	var group errgroup.Group
	group.SetLimit(maxParallelPolls)
	for _, h := range n.endpoints.all() {
		group.Go(func() error {
			run(h)
			return nil
		})
	}
	_ = group.Wait() // run returns no errors
}

// ChoiceState is the part of the state dump on the choice of endpoints.
type ChoiceState struct {
	// Endpoints is the load of each endpoint as this host estimates it.
	Endpoints []route.LoadState `json:"endpoints"`
	// Prefixes holds the statistics of each service's prefix index.
	Prefixes map[string]prefix.Stats `json:"prefixes"`
	// Recent holds the latest choices with the cost terms of each candidate.
	Recent []route.Explanation `json:"recent"`
}

func (t *endpointTable) state(now time.Time) ChoiceState {
	table := t.chooser.Table()
	return ChoiceState{Endpoints: table.Loads(now), Prefixes: t.chooser.PrefixStats(), Recent: table.Explain()}
}

// entryCounts returns the number of entry hosts in this host's region and in
// all regions.
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

// loadOf reads the load of an endpoint. It does not call an endpoint whose service
// has no document yet, because its protocol is unknown.
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

var errNoDocument = errors.New("no document for the service")
