package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/daemon"
	"github.com/cicadanotch/cicadanotch/node"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/record"
	"github.com/cicadanotch/cicadanotch/standin"
)

// EndpointHost is one endpoint of a deployment with its server.
type EndpointHost struct {
	Host      port.Host
	Engine    *standin.Engine
	Service   *standin.Service
	Faults    *standin.Faults
	server    *http.Server
	startedAt time.Time

	mu      sync.Mutex
	endedAt time.Time
}

// Cost returns the cost of the host from its start to its end, or to now while it runs.
func (e *EndpointHost) Cost(now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.endedAt.IsZero() {
		now = e.endedAt
	}
	return e.Host.PricePerHour * now.Sub(e.startedAt).Hours()
}

func (e *EndpointHost) recordEnd() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.endedAt.IsZero() {
		e.endedAt = time.Now()
	}
}

// Kill closes the endpoint's server and its connections at once.
func (e *EndpointHost) Kill() {
	e.recordEnd()
	if e.Engine != nil {
		e.Engine.Crash()
	}
	_ = e.server.Close() // errors of single connections are expected
}

// EntryHost is one entry host of a deployment.
type EntryHost struct {
	Host port.Host
	Node *node.Node
}

// Deployment is a complete system on loopback.
type Deployment struct {
	Profile     Profile
	Log         *standin.Log
	LogFaults   *standin.Faults
	CloudFaults *standin.Faults
	Cloud       *standin.Cloud
	Network     *standin.Network
	Ledger      *standin.Ledger
	LogURL      string
	CloudURL    string

	mu        sync.Mutex
	endpoints []*EndpointHost
	entries   []*EntryHost
	servers   []*http.Server
	nextIP    int
	logger    *log.Logger
}

// Start starts a deployment and publishes its service documents.
func Start(ctx context.Context, p Profile, logger *log.Logger) (*Deployment, error) {
	d := &Deployment{
		Profile:     p,
		LogFaults:   standin.NewFaults(),
		CloudFaults: standin.NewFaults(),
		Network:     standin.NewNetwork(p.Network),
		Ledger:      standin.NewLedger(),
		logger:      logger,
	}
	d.Log = standin.NewLog(standin.LogOptions{Faults: d.LogFaults})
	d.Cloud = standin.NewCloud(standin.CloudOptions{
		Lag: time.Second, Prices: p.prices(), OnStart: d.startHost, OnStop: d.stopHost, Faults: d.CloudFaults,
	})
	if err := d.startPlatform(); err != nil {
		return d, err
	}
	for _, z := range p.Zones {
		if err := d.startZone(z); err != nil {
			return d, err
		}
	}
	for _, doc := range []config.Document{p.ModelDocument(), p.PlainDocument()} {
		if err := d.publish(ctx, doc); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (d *Deployment) startPlatform() error {
	location := d.storeLocation()
	logAddress, err := d.serve(location, standin.LogHandler(d.Log))
	if err != nil {
		return err
	}
	cloudAddress, err := d.serve(location, standin.CloudHandler(d.Cloud))
	if err != nil {
		return err
	}
	d.LogURL, d.CloudURL = "http://"+logAddress, "http://"+cloudAddress
	return nil
}

// storeLocation returns the location of the platform's log and cloud API.
func (d *Deployment) storeLocation() standin.Location {
	return standin.Location{Zone: d.Profile.StoreZone, Region: d.regionOf(d.Profile.StoreZone)}
}

func (d *Deployment) regionOf(zone string) string {
	for _, z := range d.Profile.Zones {
		if z.Zone == zone {
			return z.Region
		}
	}
	return ""
}

// address returns an unused loopback IP for a process at a location.
func (d *Deployment) address(location standin.Location) string {
	d.mu.Lock()
	d.nextIP++
	ip := fmt.Sprintf("127.0.%d.%d", 1+d.nextIP/200, 1+d.nextIP%200)
	d.mu.Unlock()
	d.Network.SetLocation(ip, location)
	return ip
}

func (d *Deployment) serve(location standin.Location, handler http.Handler) (string, error) {
	server, address, err := listenAndServe(d.address(location), handler)
	if err != nil {
		return "", err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = append(d.servers, server)
	return address, nil
}

func listenAndServe(ip string, handler http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ErrorLog: nil}
	go func() { _ = server.Serve(l) }() // ends with Close
	return server, l.Addr().String(), nil
}

func (d *Deployment) startZone(z ZoneProfile) error {
	for i := range z.Engines {
		if _, err := d.AddEndpoint(z, d.Profile.ModelService, fmt.Sprintf("%s-engine-%d", z.Zone, i+1)); err != nil {
			return err
		}
	}
	for i := range z.PlainEndpoints {
		if _, err := d.AddEndpoint(z, d.Profile.PlainService, fmt.Sprintf("%s-plain-%d", z.Zone, i+1)); err != nil {
			return err
		}
	}
	for i := range z.Entries {
		if _, err := d.AddEntry(z, fmt.Sprintf("%s-entry-%d", z.Zone, i+1)); err != nil {
			return err
		}
	}
	return nil
}

// AddEndpoint starts an endpoint and adds it to the cloud's host list.
func (d *Deployment) AddEndpoint(z ZoneProfile, service, id string) (*EndpointHost, error) {
	e, err := d.newEndpoint(z, service, id)
	if err != nil {
		return nil, err
	}
	d.Cloud.AddHost(e.Host)
	return e, nil
}

func (d *Deployment) newEndpoint(z ZoneProfile, service, id string) (*EndpointHost, error) {
	e := &EndpointHost{Faults: standin.NewFaults(), startedAt: time.Now()}
	var handler http.Handler
	if service == d.Profile.ModelService {
		opts := d.Profile.Engine
		opts.Models = []string{d.Profile.Model}
		opts.Ledger, opts.Faults = d.Ledger, e.Faults
		opts.CrashMarker = CrashMarker
		opts.OnCrash = func() {
			d.Cloud.RemoveHost(id)
			e.recordEnd()
		}
		e.Engine = standin.NewEngine(opts)
		handler = e.Engine.Handler()
	} else {
		e.Service = standin.NewService(standin.ServiceOptions{CallDuration: plainCallDuration, Ledger: d.Ledger, Faults: e.Faults})
		handler = e.Service.Handler()
	}
	server, address, err := listenAndServe(d.address(standin.Location{Region: z.Region, Zone: z.Zone}), handler)
	if err != nil {
		return nil, err
	}
	e.server = server
	e.Host = port.Host{
		ID: id, Role: port.RoleEndpoint, Region: z.Region, Zone: z.Zone, Class: hostClass,
		Service: service, Reclaimable: true, PricePerHour: z.PricePerHour, State: port.HostLive, EndpointAddress: address,
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endpoints = append(d.endpoints, e)
	return e, nil
}

// CrashMarker in a prompt crashes the engine that runs it.
const CrashMarker = "#crash-the-engine#"

// plainCallDuration is the time that a plain service takes for one call.
const plainCallDuration = 20 * time.Millisecond

func (d *Deployment) startHost(req port.StartRequest, id string) (port.Host, error) {
	for _, z := range d.Profile.Zones {
		if z.Zone == req.Zone {
			e, err := d.newEndpoint(z, req.Service, id)
			if err != nil {
				return port.Host{}, err
			}
			e.Host.Reclaimable = req.Reclaimable
			if !req.Reclaimable {
				e.Host.PricePerHour *= onDemandFactor
			}
			return e.Host, nil
		}
	}
	return port.Host{}, errors.Errorf("no availability zone %q", req.Zone)
}

func (d *Deployment) stopHost(id string) {
	for _, e := range d.Endpoints() {
		if e.Host.ID == id {
			e.Kill()
		}
	}
}

// AddEntry starts an entry host and adds it to the cloud's host list.
func (d *Deployment) AddEntry(z ZoneProfile, id string) (*EntryHost, error) {
	ip := d.address(standin.Location{Region: z.Region, Zone: z.Zone})
	anyPort := net.JoinHostPort(ip, "0")
	settings := node.Settings{
		Host: id, Region: z.Region, Zone: z.Zone,
		CallerAddress: anyPort, PeerAddress: anyPort, OperatorAddress: anyPort,
		LogURL: d.LogURL, CloudURL: d.CloudURL,
		AddressTTL: config.Duration(d.Profile.AddressTTL),
	}
	listeners, err := daemon.Listen(settings)
	if err != nil {
		return nil, err
	}
	n, err := daemon.Start(settings, listeners, daemon.Options{Dial: d.Network.Dialer(ip), Logger: d.logger})
	if err != nil {
		return nil, err
	}
	e := &EntryHost{Node: n, Host: port.Host{
		ID: id, Role: port.RoleEntry, Region: z.Region, Zone: z.Zone, State: port.HostLive,
		CallerAddress: listeners.Caller.Addr().String(), PeerAddress: listeners.Peer.Addr().String(),
		OperatorAddress: listeners.Operator.Addr().String(),
	}}
	d.Cloud.AddHost(e.Host)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = append(d.entries, e)
	return e, nil
}

func (d *Deployment) publish(ctx context.Context, doc config.Document) error {
	text, err := documentText(doc)
	if err != nil {
		return err
	}
	e, err := record.New(record.KindDocument, "operator", config.Change{Service: doc.Service, Text: text})
	if err != nil {
		return err
	}
	data, err := e.Encode()
	if err != nil {
		return err
	}
	_, err = d.Log.Append(ctx, data)
	return errors.Wrap(err, "publish")
}

// Endpoints returns the endpoints started so far.
func (d *Deployment) Endpoints() []*EndpointHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*EndpointHost(nil), d.endpoints...)
}

// Entries returns the entry hosts started so far.
func (d *Deployment) Entries() []*EntryHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*EntryHost(nil), d.entries...)
}

// Stop ends all processes of the deployment.
func (d *Deployment) Stop() {
	for _, e := range d.Entries() {
		_ = e.Node.Stop() // its errors are in the node's log
	}
	for _, e := range d.Endpoints() {
		e.Kill()
	}
	for _, s := range d.servers {
		_ = s.Close() // nothing is in flight any more
	}
}

// AwaitReady waits until every entry host has received all service documents and hosts.
func (d *Deployment) AwaitReady(ctx context.Context) error {
	for _, e := range d.Entries() {
		for !d.ready(e.Node) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "%s is not ready", e.Host.ID)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

func (d *Deployment) ready(n *node.Node) bool {
	state := n.State()
	return len(state.Documents) == 2 && len(state.Hosts) >= len(d.Endpoints())+len(d.Entries())
}
