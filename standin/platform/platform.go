package platform

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/standin"
)

// Platform is a running set of stand-ins.
type Platform struct {
	Log    *standin.Log
	Cloud  *standin.Cloud
	Ledger *standin.Ledger

	mu      sync.Mutex
	faults  map[string]*standin.Faults
	servers []*http.Server
	// Addresses maps targets to the addresses at which they listen.
	Addresses map[string]string
}

// Start starts the stand-ins. On an error it stops those already started.
func Start(s Settings) (*Platform, error) {
	p := &Platform{
		Ledger:    standin.NewLedger(),
		faults:    map[string]*standin.Faults{TargetLog: standin.NewFaults(), TargetCloud: standin.NewFaults()},
		Addresses: map[string]string{},
	}
	err := p.start(s)
	if err != nil {
		p.Stop()
		return nil, err
	}
	return p, nil
}

func (p *Platform) start(s Settings) error {
	p.Log = standin.NewLog(standin.LogOptions{
		AppendsPerSecond: s.Log.AppendsPerSecond, MaxRecords: s.Log.Retention, Faults: p.faults[TargetLog],
	})
	p.Cloud = standin.NewCloud(standin.CloudOptions{
		Lag: s.Cloud.Lag.Std(), Prices: s.Cloud.Prices, Faults: p.faults[TargetCloud],
	})
	if err := p.serve(TargetLog, s.Log.Address, standin.LogHandler(p.Log)); err != nil {
		return err
	}
	cloud := http.NewServeMux()
	cloud.Handle("/", standin.CloudHandler(p.Cloud))
	p.addControlRoutes(cloud)
	if err := p.serve(TargetCloud, s.Cloud.Address, cloud); err != nil {
		return err
	}
	for _, h := range s.EntryHosts {
		p.Cloud.AddHost(h)
	}
	for _, e := range s.Endpoints {
		if err := p.startEndpoint(e); err != nil {
			return err
		}
	}
	for _, row := range s.Faults {
		if err := p.AddFault(row); err != nil {
			return err
		}
	}
	return nil
}

func (p *Platform) startEndpoint(e EndpointSettings) error {
	faults := standin.NewFaults()
	p.faults[e.Host.ID] = faults
	var handler http.Handler
	if len(e.Models) > 0 {
		handler = standin.NewEngine(standin.EngineOptions{
			Models: e.Models, MaxRunning: e.MaxRunning, PrefillTokensPerSecond: e.PrefillTokensPerSecond,
			TokenInterval: e.TokenInterval.Std(), CacheBlocks: e.CacheBlocks,
			EventLag: e.EventLag.Std(), ReportLag: e.ReportLag.Std(), ChecksFencing: e.ChecksFencing,
			CrashMarker: e.CrashMarker, OnCrash: func() { p.Cloud.RemoveHost(e.Host.ID) },
			Ledger: p.Ledger, Faults: faults,
		}).Handler()
	} else {
		handler = standin.NewService(standin.ServiceOptions{
			CallDuration: e.Work.Std(), HonoursIdempotencyKeys: e.HonoursIdempotencyKeys, Ledger: p.Ledger, Faults: faults,
		}).Handler()
	}
	if err := p.serve(e.Host.ID, e.Host.EndpointAddress, handler); err != nil {
		return err
	}
	e.Host.EndpointAddress = p.Addresses[e.Host.ID]
	p.Cloud.AddHost(e.Host)
	return nil
}

func (p *Platform) serve(target, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen for %s", target)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	p.servers = append(p.servers, server)
	p.Addresses[target] = l.Addr().String()
	go func() { _ = server.Serve(l) }() // returns after Close
	return nil
}

// AddFault adds a fault. It returns ErrSettings for an unknown target.
func (p *Platform) AddFault(row FaultRow) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	faults, ok := p.faults[row.Target]
	if !ok {
		return errors.Wrapf(ErrSettings, `field "target": no stand-in %q`, row.Target)
	}
	faults.Add(row.Fault())
	return nil
}

// Stop stops all stand-ins.
func (p *Platform) Stop() {
	for _, s := range p.servers {
		_ = s.Close() // no request is in flight by now
	}
}

// NoticeRequest is the body of POST /control/notices, which announces a notice.
type NoticeRequest struct {
	Host string          `json:"host"`
	Kind port.NoticeKind `json:"kind"`
	// In is the time from now until the deadline.
	In config.Duration `json:"in"`
}

// addControlRoutes adds the routes that inject faults, announce notices and return the ledger.
func (p *Platform) addControlRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var row FaultRow
		if !standin.ReadJSON(w, r, &row) {
			return
		}
		if err := p.AddFault(row); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		jsonhttp.Write(w, http.StatusOK, row)
	})
	mux.HandleFunc("POST /control/notices", func(w http.ResponseWriter, r *http.Request) {
		var req NoticeRequest
		if !standin.ReadJSON(w, r, &req) {
			return
		}
		p.Cloud.AddNotice(req.Host, req.Kind, time.Now().Add(req.In.Std()))
		jsonhttp.Write(w, http.StatusOK, req)
	})
	mux.HandleFunc("GET /control/ledger", func(w http.ResponseWriter, _ *http.Request) {
		prefilled, recomputed := p.Ledger.Tokens()
		jsonhttp.Write(w, http.StatusOK, map[string]any{
			"prefilled_tokens": prefilled, "recomputed_tokens": recomputed, "executions": p.Ledger.Executions(),
		})
	})
}
