package node

import (
	"context"
	"encoding/json"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/admit"
	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
)

const (
	// MethodUsage reports to a peer the rates at which requests of limited workspaces
	// arrive at this host.
	MethodUsage = "admit.usage"

	// usageInterval is the interval between usage reports; peerUsageTTL is how long a
	// peer's report is valid.
	usageInterval = time.Second
	peerUsageTTL  = 4 * time.Second
	// usageSmoothing is the weight of the latest interval in a smoothed rate.
	usageSmoothing = 0.5
	// minShare is the minimum share of a limit at one host, as a fraction of an equal
	// share. It lets the first requests at a host start.
	minShare = 0.25
)

// usageKey identifies a workspace of a service.
type usageKey struct {
	Service   string `json:"service"`
	Workspace string `json:"workspace"`
}

// usageRow is the rate at which requests of a workspace arrive at a host.
type usageRow struct {
	usageKey
	PerSecond float64 `json:"per_second"`
}

// usageReport holds the arrival rates at one host, as sent to its peers.
type usageReport struct {
	Host string     `json:"host"`
	Rows []usageRow `json:"rows"`
}

// peerUsage is the latest report of a peer.
type peerUsage struct {
	at    time.Time
	rates map[usageKey]float64
}

// usageTable estimates which fraction of a workspace's requests arrives at this host,
// so that all hosts together stay within the workspace's limits.
type usageTable struct {
	mu sync.Mutex
	// counts holds the total arrivals when they were last recorded, rates the smoothed
	// arrivals per second.
	counts map[usageKey]int64
	rates  map[usageKey]float64
	peers  map[string]peerUsage
}

func newUsageTable() *usageTable {
	return &usageTable{counts: map[usageKey]int64{}, rates: map[usageKey]float64{}, peers: map[string]peerUsage{}}
}

// recordArrivals records the total number of arrivals since the process started. It
// is called once per usageInterval.
func (t *usageTable) recordArrivals(k usageKey, count int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	perSecond := float64(count-t.counts[k]) / usageInterval.Seconds()
	t.counts[k] = count
	t.rates[k] += usageSmoothing * (perSecond - t.rates[k])
}

func (t *usageTable) report(host string) usageReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := usageReport{Host: host}
	for k, rate := range t.rates {
		r.Rows = append(r.Rows, usageRow{k, rate})
	}
	return r
}

// receive records a peer's report and removes expired ones.
func (t *usageTable) receive(r usageReport, now time.Time) {
	rates := make(map[usageKey]float64, len(r.Rows))
	for _, row := range r.Rows {
		rates[row.usageKey] = row.PerSecond
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[r.Host] = peerUsage{now, rates}
	for host, p := range t.peers {
		if now.Sub(p.at) > peerUsageTTL {
			delete(t.peers, host)
		}
	}
}

// share returns the fraction of a workspace's limits that this host may use: its
// fraction of the arrivals, or all if no peer reports any.
func (t *usageTable) share(k usageKey, hosts int, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	others := 0.0
	for _, p := range t.peers {
		if now.Sub(p.at) <= peerUsageTTL {
			others += p.rates[k]
		}
	}
	if others == 0 {
		return 1
	}
	own := t.rates[k]
	return max(own/(own+others), minShare/float64(max(hosts, 1)))
}

// limitsFor returns this host's share of a workspace's limits.
func (n *Node) limitsFor(service string, w config.Workspace, hosts int) admit.Limits {
	share := n.usage.share(usageKey{service, w.Name}, hosts, time.Now())
	return admit.Limits{
		Weight:            w.Weight,
		MaxConcurrent:     int(math.Ceil(float64(w.MaxConcurrent) * share)),
		RequestsPerSecond: w.RequestsPerSecond * share,
		SpendPerHour:      w.SpendPerHour * share,
	}
}

func hasLimits(w config.Workspace) bool {
	return w.MaxConcurrent > 0 || w.RequestsPerSecond > 0 || w.SpendPerHour > 0
}

// reportUsage records the arrivals at this host and reports them to the nearest peers.
func (n *Node) reportUsage() {
	for service, rev := range n.documents.All() {
		arrivals := n.queues.Queue(service).Arrivals()
		for _, w := range rev.Document.Workspaces {
			if hasLimits(w) {
				n.usage.recordArrivals(usageKey{service, w.Name}, arrivals[w.Name])
			}
		}
	}
	report := n.usage.report(n.settings.Host)
	if len(report.Rows) == 0 {
		return
	}
	var wg sync.WaitGroup
	for _, h := range n.nearestPeers(maxNotifiedPeers) {
		wg.Go(func() { n.sendUsage(h, report) })
	}
	wg.Wait()
}

func (n *Node) sendUsage(h port.Host, report usageReport) {
	ctx, cancel := context.WithTimeout(n.context(), peerExchangeTimeout)
	defer cancel()
	_ = n.ports.Peers.Call(ctx, h.PeerAddress, MethodUsage, report, nil) // the next report replaces this one
}

func (n *Node) handleUsage(_ context.Context, params json.RawMessage) (any, error) {
	var r usageReport
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, errors.Wrap(err, "decode usage")
	}
	n.usage.receive(r, time.Now())
	return struct{}{}, nil
}
