package demo

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/config"
)

// machineClass is the class of the demo's endpoint hosts.
const machineClass = "l4"

func (p Profile) workspaces() []config.Workspace {
	out := make([]config.Workspace, 0, len(p.Workspaces))
	for _, w := range p.Workspaces {
		out = append(out, config.Workspace{Name: w.Name, Keys: []string{w.digest()}, Weight: w.Weight})
	}
	return out
}

func (p Profile) placement() config.Placement {
	out := config.Placement{Classes: []string{machineClass}}
	for _, z := range p.Zones {
		out.Zones = append(out.Zones, z.Zone)
		out.MaxHosts += z.Engines
	}
	out.MinHosts = out.MaxHosts / 2
	return out
}

// ModelDocument returns the service document of the model service.
func (p Profile) ModelDocument() config.Document {
	return config.Document{
		Schema:     config.Schema,
		Service:    p.ModelService,
		Kind:       config.KindModel,
		Models:     []config.Model{{Name: p.Model, Version: "1"}},
		Placement:  p.placement(),
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
		Placement:         p.placement(),
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
