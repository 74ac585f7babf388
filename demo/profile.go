// Package demo runs a complete deployment on loopback in one process: stand-ins
// for the platform and the endpoints, and real entry hosts.
package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cicadanotch/cicadanotch/standin"
)

// ZoneProfile is one availability zone of a deployment.
type ZoneProfile struct {
	Region         string
	Zone           string
	Entries        int
	Engines        int
	PlainEndpoints int
	// PricePerHour is the price of a reclaimable endpoint host.
	PricePerHour float64
}

// Profile describes a deployment.
type Profile struct {
	Name         string
	ModelService string
	Model        string
	PlainService string
	OrderPath    string
	ReadPath     string
	// StoreZone is the availability zone of the platform's log and cloud API.
	StoreZone  string
	Zones      []ZoneProfile
	Workspaces []WorkspaceProfile
	Network    standin.NetworkOptions
	Engine     standin.EngineOptions
	// AddressTTL is how long callers may cache an address answer; zero means the
	// entry hosts' default.
	AddressTTL time.Duration
}

// WorkspaceProfile describes a workspace of a deployment.
type WorkspaceProfile struct {
	Name   string
	Weight float64
	// Share is the fraction of the load that comes from the workspace.
	Share float64
}

// Key returns the bearer key of a workspace in the demo.
func (w WorkspaceProfile) Key() string { return "demo-key-" + w.Name }

func (w WorkspaceProfile) digest() string {
	sum := sha256.Sum256([]byte(w.Key()))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// linkBytesPerSecond is 30 Mbit/s.
const linkBytesPerSecond = 30e6 / 8

// Coldroot returns the profile of a temperature log service.
func Coldroot() Profile {
	return Profile{
		Name:         "coldroot",
		ModelService: "assistant-llm",
		Model:        "assistant-7b",
		PlainService: "store-api",
		OrderPath:    "/ventilation",
		ReadPath:     "/readings",
		StoreZone:    "jos-a",
		Zones: []ZoneProfile{
			{Region: "plateau", Zone: "jos-a", Entries: 3, Engines: 8, PlainEndpoints: 1, PricePerHour: 1.1},
			{Region: "plateau", Zone: "jos-b", Entries: 2, Engines: 8, PlainEndpoints: 1, PricePerHour: 1.0},
			{Region: "kaduna", Zone: "kad-a", Entries: 2, Engines: 4, PlainEndpoints: 1, PricePerHour: 0.8},
		},
		Workspaces: []WorkspaceProfile{
			{"bokkos-coop", 4, 0.40},
			{"mangu-stores", 3, 0.30},
			{"barkin-ladi", 1, 0.15},
			{"heipang-farm", 1, 0.10},
			{"vom-clerks", 1, 0.05},
		},
		Network: networkDelays(time.Millisecond),
		Engine:  standin.EngineOptions{BatchSlowdown: 0.01},
	}
}

// Mandacaru returns the profile of a valve configurator.
func Mandacaru() Profile {
	p := Coldroot()
	p.Name, p.ModelService, p.Model = "mandacaru", "spec-assistant", "spec-13b"
	p.PlainService, p.OrderPath, p.ReadPath = "order-desk", "/orders", "/catalogue"
	p.StoreZone = "recife-a"
	p.Zones = []ZoneProfile{
		{Region: "recife", Zone: "recife-a", Entries: 3, Engines: 8, PlainEndpoints: 1, PricePerHour: 1.4},
		{Region: "recife", Zone: "recife-b", Entries: 2, Engines: 8, PlainEndpoints: 1, PricePerHour: 1.3},
		{Region: "fortaleza", Zone: "fortaleza-a", Entries: 2, Engines: 4, PlainEndpoints: 1, PricePerHour: 1.2},
	}
	p.Workspaces = []WorkspaceProfile{
		{"sugar-mills", 4, 0.40}, {"bottlers", 3, 0.30}, {"ports", 1, 0.15}, {"tanneries", 1, 0.10}, {"quarries", 1, 0.05},
	}
	p.Network = networkDelays(3 * time.Millisecond)
	return p
}

func networkDelays(client time.Duration) standin.NetworkOptions {
	return standin.NetworkOptions{
		ZoneDelay:          1500 * time.Microsecond,
		RegionDelay:        30 * time.Millisecond,
		ClientDelay:        client,
		LinkBytesPerSecond: linkBytesPerSecond,
	}
}

// ProfileNamed returns a profile by name.
func ProfileNamed(name string) (Profile, error) {
	switch name {
	case "coldroot":
		return Coldroot(), nil
	case "mandacaru":
		return Mandacaru(), nil
	}
	return Profile{}, fmt.Errorf("unknown profile %q; there are coldroot and mandacaru", name)
}
