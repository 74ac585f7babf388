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
	// MethodUsage tells a peer how many requests of limited workspaces arrive
	// here.
	MethodUsage = "admit.usage"

	// usageInterval is the time between two accounts, usageKept how long one
	// of a peer counts.
	usageInterval = time.Second
	usageKept     = 4 * time.Second
	// usageSmoothing is the weight of the last interval in a rate.
	usageSmoothing = 0.5
	// minShare is the least part of a limit that a host has, times the number
	// of entry hosts: what the first requests there may use.
	minShare = 0.25
)

// usageKey names a workspace of a service.
type usageKey struct {
	Service   string `json:"service"`
	Workspace string `json:"workspace"`
}

// usageRow is the rate at which requests of a workspace arrive at a host.
type usageRow struct {
	usageKey
	PerSecond float64 `json:"per_second"`
}

// usageReport is what one host tells the others.
type usageReport struct {
	Host string     `json:"host"`
	Rows []usageRow `json:"rows"`
}

type peerUsage struct {
	at    time.Time
	rates map[usageKey]float64
}

// usageTable knows which part of a workspace's requests arrives here, so that
// the hosts together keep to its limits.
type usageTable struct {
	mu sync.Mutex
	// counts are the arrivals at the last account, rates those per second.
	counts map[usageKey]int64
	rates  map[usageKey]float64
	peers  map[string]peerUsage
}

func newUsageTable() *usageTable {
	return &usageTable{counts: map[usageKey]int64{}, rates: map[usageKey]float64{}, peers: map[string]peerUsage{}}
}

// account takes the number of arrivals since the start.
func (t *usageTable) account(k usageKey, count int64) {
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

func (t *usageTable) take(r usageReport, now time.Time) {
	rates := make(map[usageKey]float64, len(r.Rows))
	for _, row := range r.Rows {
		rates[row.usageKey] = row.PerSecond
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[r.Host] = peerUsage{now, rates}
	for host, p := range t.peers {
		if now.Sub(p.at) > usageKept {
			delete(t.peers, host)
		}
	}
}

// share returns the part of a workspace's limits that this host may use.
func (t *usageTable) share(k usageKey, hosts int, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	others := 0.0
	for _, p := range t.peers {
		if now.Sub(p.at) <= usageKept {
			others += p.rates[k]
		}
	}
	if others == 0 {
		return 1
	}
	own := t.rates[k]
	return max(own/(own+others), minShare/float64(max(hosts, 1)))
}

// limitsFor returns this host's part of a workspace's limits.
func (n *Node) limitsFor(service string, w config.Workspace, hosts int) admit.Limits {
	share := n.usage.share(usageKey{service, w.Name}, hosts, time.Now())
	return admit.Limits{
		Weight:            w.Weight,
		MaxConcurrent:     int(math.Ceil(float64(w.MaxConcurrent) * share)),
		RequestsPerSecond: w.RequestsPerSecond * share,
		SpendPerHour:      w.SpendPerHour * share,
	}
}

func isLimited(w config.Workspace) bool {
	return w.MaxConcurrent > 0 || w.RequestsPerSecond > 0 || w.SpendPerHour > 0
}

// shareUsage accounts for the arrivals here and tells the nearest peers.
func (n *Node) shareUsage() {
	for service, rev := range n.documents.All() {
		arrivals := n.queues.Queue(service).Arrivals()
		for _, w := range rev.Document.Workspaces {
			if isLimited(w) {
				n.usage.account(usageKey{service, w.Name}, arrivals[w.Name])
			}
		}
	}
	report := n.usage.report(n.settings.Host)
	if len(report.Rows) == 0 {
		return
	}
	var wait sync.WaitGroup
	for _, h := range n.nearestPeers(deathPeers) {
		wait.Go(func() { n.sendUsage(h, report) })
	}
	wait.Wait()
}

func (n *Node) sendUsage(h port.Host, report usageReport) {
	ctx, cancel := context.WithTimeout(n.context(), deathCallTimeout)
	defer cancel()
	_ = n.ports.Peers.Call(ctx, h.PeerAddress, MethodUsage, report, nil) // the next account follows
}

func (n *Node) handleUsage(_ context.Context, params json.RawMessage) (any, error) {
	var r usageReport
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, errors.Wrap(err, "decode usage")
	}
	n.usage.take(r, time.Now())
	return struct{}{}, nil
}
