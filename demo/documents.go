package demo

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
)

// hostClass is the machine class of the demo's endpoint hosts.
const hostClass = "l4"

func (p Profile) workspaces() []config.Workspace {
	out := make([]config.Workspace, 0, len(p.Workspaces))
	for _, w := range p.Workspaces {
		out = append(out, config.Workspace{Name: w.Name, Keys: []string{w.digest()}, Weight: w.Weight})
	}
	return out
}

// spareHosts is how many hosts a service may have beyond its minimum.
const spareHosts = 4

// placement sets the minimum to the number of hosts that the deployment starts with,
// so that lost hosts are replaced.
func (p Profile) placement(hosts func(ZoneProfile) int) config.Placement {
	out := config.Placement{Classes: []string{hostClass}}
	for _, z := range p.Zones {
		out.Zones = append(out.Zones, z.Zone)
		out.MinHosts += hosts(z)
	}
	out.MaxHosts = out.MinHosts + spareHosts
	return out
}

// prices returns the cloud's prices for hosts in the deployment's availability zones.
func (p Profile) prices() []port.Price {
	var out []port.Price
	for _, z := range p.Zones {
		base := port.Price{Region: z.Region, Zone: z.Zone, Class: hostClass, PricePerHour: z.PricePerHour * onDemandFactor}
		out = append(out, base)
		base.Reclaimable, base.PricePerHour = true, z.PricePerHour
		out = append(out, base)
	}
	return out
}

// onDemandFactor is the price of an on-demand host divided by that of a reclaimable one.
const onDemandFactor = 3

// ModelDocument returns the service document of the model service.
func (p Profile) ModelDocument() config.Document {
	return config.Document{
		Schema:     config.Schema,
		Service:    p.ModelService,
		Kind:       config.KindModel,
		Models:     []config.Model{{Name: p.Model, Version: "1"}},
		Placement:  p.placement(func(z ZoneProfile) int { return z.Engines }),
		Priority:   10,
		Latency:    latency(),
		Spend:      config.Spend{HostsPerHour: 40, LinkBytesPerHour: 2 << 30},
		Workspaces: p.workspaces(),
	}
}

// PlainDocument returns the service document of the plain service.
func (p Profile) PlainDocument() config.Document {
	return config.Document{
		Schema:  config.Schema,
		Service: p.PlainService,
		Kind:    config.KindPlain,
		Routes: []config.Route{
			{Method: "POST", Path: p.OrderPath, Repeatable: false},
			{Method: "GET", Path: p.ReadPath, Repeatable: true},
		},
		Placement:         p.placement(func(z ZoneProfile) int { return z.PlainEndpoints }),
		Priority:          20,
		Latency:           latency(),
		Workspaces:        p.workspaces(),
		IdempotencyWindow: config.Duration(24 * time.Hour),
	}
}

func latency() config.Latency {
	return config.Latency{
		FirstToken:     config.Duration(800 * time.Millisecond),
		BetweenTokens:  config.Duration(36 * time.Millisecond),
		RequestTimeout: config.Duration(30 * time.Second),
	}
}

func documentText(d config.Document) (string, error) {
	raw, err := json.MarshalIndent(d, "", "  ")
	return string(raw), errors.Wrap(err, "encode document")
}
