package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/placement"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/presence"
)

// report is what this host tells the others now.
func (g *Gateway) report(now time.Time) presence.Report {
	state := presence.StateStarting
	switch {
	case g.leaving.Load():
		state = presence.StateLeaving
	case g.Ready():
		state = presence.StateServing
	}
	r := presence.Report{
		Host: g.opts.Host, Incarnation: g.opts.Incarnation, Sequence: g.sequence.Load(),
		Address: g.opts.Address, Peer: g.opts.Peer, Cores: g.opts.Cores,
		Zone: g.opts.Zone, Region: g.opts.Region, State: state,
		Wall: g.clock.Wall(now).UnixMilli(),
	}
	if s := g.catalog.Current(); s != nil {
		r.Config = s.Version
	}
	return r
}

// fullReport is report with all that the others sum up.
func (g *Gateway) fullReport(now time.Time) presence.Report {
	g.sequence.Add(1)
	r := g.report(now)
	r.Loads = g.placement.Mine()
	r.Demands = g.demand.Demands(now)
	r.Quota, r.Shares = g.quota.Demand(now), g.quota.Shares()
	r.Relayed = g.shareRelay(now) != ""
	r.Usage = g.usage.Recent()
	if r.Fence = g.duties.fence(now); r.Fence != 0 {
		r.Needs = g.duties.needs()
	}
	return r
}

// followHosts tells the others of this host and reads what they tell, and does
// the duties when this host holds them.
func (g *Gateway) followHosts() error {
	hear := func(now time.Time, records []port.TopicRecord) {
		for _, r := range records {
			g.hear(now, r)
		}
	}
	select {
	case <-g.configured:
	case <-time.After(hostsAfter):
	case <-g.tomb.Dying():
		return nil
	}
	f := &follower{
		g: g, topic: port.TopicHosts, all: hear, each: hear,
		read: func(now time.Time, _ time.Duration) { g.presence.Read(now) },
	}
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	left := g.left
	for {
		// The first report comes after the first reading, so that it goes to the
		// relay where there is one.
		refused := f.known && errors.Is(g.tell(), port.ErrStoreRefused)
		if refused {
			f.noteLost(time.Now(), port.ErrStoreRefused) // reading would be refused too
		} else if err := f.once(); errors.Is(err, port.ErrStoreExpired) {
			f.known = false
		} else if err == nil {
			g.learnFromHosts(time.Now())
		}
		g.keepShares(time.Now())
		g.doDuties(time.Now())
		select {
		case <-g.tomb.Dying():
			return nil
		case <-left:
			left = nil // the others are told once, at once
		case <-tick.C:
		}
	}
}

// tell gives this host's report to the relay, or appends it to the store with
// those that others told. The holder of the duties appends its own: that it
// reaches the store is what others go by. So does a host that others have just taken
// for their relay.
func (g *Gateway) tell() error {
	began := time.Now()
	r := g.fullReport(began)
	raw, err := json.Marshal(r)
	if err != nil {
		g.log.Error().Str("event", "report_unwritable").Err(err).Msg("")
		return err
	}
	if r.Fence == 0 && !g.relays.hasTold(began) && g.callRelay(methodTell, relaySlack, json.RawMessage(raw), nil) {
		return nil
	}
	told, first := g.relays.toldReports(began)
	if len(told) > 0 {
		if raw, err = json.Marshal(append(told, raw)); err != nil {
			g.log.Error().Str("event", "report_unwritable").Err(err).Msg("")
			return err
		}
	}
	if raw, err = pack(raw); err != nil {
		g.log.Error().Str("event", "report_unwritable").Err(err).Msg("")
		return err
	}
	records := append(g.keysToDrop(r, first), port.TopicRecord{Key: r.Key(), Value: raw})
	ctx, cancel := context.WithTimeout(g.context(), storeSlack)
	defer cancel()
	_, err = g.ports.Store.Append(ctx, port.TopicHosts, port.Unconditional, records...)
	g.observeStore("append", began, time.Now(), err)
	if err == nil {
		g.duties.renewed(began)
	}
	return err
}

// keysToDrop returns the removals that go before a report: of the hosts that told
// this one for the first time, whose reports are in this one's record from now on,
// and by the holder of the duties of those that are not heard of any more. Every
// process reads all records when it starts.
func (g *Gateway) keysToDrop(r presence.Report, first []string) []port.TopicRecord {
	if r.Fence != 0 {
		first = append(first, g.presence.Stale(keyLifetime)...)
	}
	out := make([]port.TopicRecord, 0, len(first)+1)
	for _, key := range first {
		out = append(out, port.TopicRecord{Key: key})
	}
	return out
}

// hostsAfter is how long the reports of hosts wait for the configuration at the start:
// without it nothing is served, and all that a region's hosts read when they start
// together comes through one link.
const hostsAfter = 2 * time.Second

// keyLifetime is how long the record of a host that is not heard of is kept: its
// counts of usage are due 10 s after a window of 5 s, and may be late once more.
const keyLifetime = 25 * time.Second

// hear takes a report, or a list of those that a relay was told.
func (g *Gateway) hear(now time.Time, r port.TopicRecord) {
	if r.Removed() {
		g.presence.Drop(r.Key)
		return
	}
	reports := make([]presence.Report, 1)
	into := any(&reports[0])
	raw, err := unpack(r.Value)
	if err == nil {
		if len(raw) > 0 && raw[0] == '[' {
			into = &reports
		}
		err = json.Unmarshal(raw, into)
	}
	if err != nil {
		g.log.Warn().Str("event", "report_unreadable").Str("key", r.Key).Int64("offset", r.Offset).Err(err).Msg("")
		return
	}
	for _, report := range reports {
		if g.presence.Hear(now, report) && report.Host != g.opts.Host {
			g.log.Info().Str("event", "host").Str("change", "heard").Str("peer", report.Host).Str("state", string(report.State)).Msg("")
		}
	}
}

// learnFromHosts sums up what the live hosts tell.
func (g *Gateway) learnFromHosts(now time.Time) {
	live := g.presence.Live()
	g.electRelay(now, live)
	g.metrics.hosts.Set(float64(len(live) + 1))
	// Shares go by who was heard of a moment ago: a host that is cut off must
	// not have its share given out twice until it counts as dead.
	live, lost := g.presence.Within(shareSilence), g.presence.Silent(shareSilence, shareLifetime)
	count := len(live) + len(lost) + 1
	if int(g.hosts.Swap(int64(count))) != count {
		g.log.Info().Str("event", "hosts").Int("alive", len(live)+1).Int("sharing", count).Msg("")
		g.budgets.Range(func(_, b any) bool {
			b.(interface{ SetHosts(int) }).SetHosts(count)
			return true
		})
	}
	loads := map[string]placement.Load{}
	quotas := map[string]float64{}
	for _, r := range live {
		for id, l := range r.Loads {
			sum := loads[id]
			loads[id] = placement.Load{Requests: sum.Requests + l.Requests, Prefill: sum.Prefill + l.Prefill, Context: sum.Context + l.Context}
		}
	}
	for _, r := range live {
		for w, rate := range r.Quota {
			quotas[w] += rate
		}
	}
	sharers := g.sharers(live)
	silent := g.silentShares(lost, sharers)
	g.placement.SetPeers(loads)
	g.placement.SetHosts(len(live) + 1)
	g.quota.SetShares(sharers, quotas, silent)
}

// sharers counts the hosts that give out shares of limits: the relays, and hosts
// without one.
func (g *Gateway) sharers(live []presence.Report) int {
	if g.shareRelay(time.Now()) != "" {
		return len(live) + 1 // what this host gives out should its relay fail
	}
	n := 1
	for _, r := range live {
		if !r.Relayed {
			n++
		}
	}
	return n
}

// silentShares sums what the hosts that are not heard of may give out. One that
// had no request of a workspace yet begins with an equal share.
func (g *Gateway) silentShares(lost []presence.Report, sharers int) map[string]float64 {
	out := map[string]float64{}
	snapshot := g.catalog.Current()
	if snapshot == nil {
		return out
	}
	for _, r := range lost {
		if r.Relayed {
			continue
		}
		for _, w := range snapshot.Workspaces {
			share, told := r.Shares[w.Name]
			if !told {
				share = 1 / float64(sharers+len(lost))
			}
			out[w.Name] += share
		}
	}
	return out
}
