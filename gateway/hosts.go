package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/placement"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/usage"
)

// report returns this host's current report to the other hosts.
func (g *Gateway) report(now time.Time) presence.Report {
	state := presence.StateStarting
	switch {
	case g.leaving.Load():
		state = presence.StateLeaving
	case g.Ready():
		state = presence.StateServing
	}
	r := presence.Report{
		Era: g.latestEra(), Host: g.opts.Host, Incarnation: g.opts.Incarnation, Sequence: g.sequence.Load(),
		Address: g.opts.Address, Peer: g.opts.Peer, Tunnel: g.opts.Tunnel, CutOff: g.reach.table.Lost(), Cores: g.opts.Cores,
		Zone: g.opts.Zone, Region: g.opts.Region, State: state,
		Wall: g.clock.Wall(now).UnixMilli(),
	}
	if s := g.catalog.Current(); s != nil {
		r.Config = s.Version
	}
	return r
}

// fullReport returns report with all the figures that the other hosts aggregate. It increments the
// sequence, so it must be called once for each report that is sent.
func (g *Gateway) fullReport(now time.Time) presence.Report {
	g.sequence.Add(1)
	r := g.report(now)
	r.Loads = g.placement.OwnLoads()
	if placer, ok := g.currentPlacer(now); ok {
		r.Placer = placer.Host
	}
	r.Demands, r.Paces = g.demand.Demands(now), g.ownPaces()
	r.QuotaDemand, r.Shares = g.quota.Demand(now), g.quota.Shares(now)
	r.Relayed = g.quotaRelay(now).Peer != ""
	r.Usage = g.usage.Recent()
	r.Speeds = g.reportedSpeeds(now)
	r.Limits, r.Software = g.reportedLimits(now), g.reportedSoftware(now)
	r.Moves = g.lineage.routes.Moves(now)
	r.Rejections = g.reportedRejections(now)
	if r.FencingToken = g.leader.fencingToken(now); r.FencingToken != 0 {
		r.Targets = g.leader.targetCounts()
		if g.opts.UsageWindow > 0 {
			r.Decided = g.leader.recentDecisions(usage.WindowIndex(g.clock.Wall(now).Add(-decisionMemory), g.opts.UsageWindow))
		}
	}
	return r
}

// followHosts reports this host to the others, reads their reports, and runs the leader tasks while
// this host is the leader. A relay that reads through another relay reads twice in each reportInterval,
// so that its zone learns no later than if it read the store.
func (g *Gateway) followHosts() error {
	first := true // snapshot
	f := &follower{
		g: g, topic: port.TopicHosts, lateAge: lateHostsAge,
		onRecords: func(read feedRead, records []port.TopicRecord) { g.receiveReports(read.at, records, false) },
		onSnapshot: func(read feedRead, records []port.TopicRecord, restored bool) {
			g.repeatDeaths(records)
			g.receiveReports(read.at, records, restored)
			if first && len(g.presence.All()) == 0 {
				g.lineage.routes.NobodyBefore()
			}
			first = false
		},
		onAnswer: func(now time.Time, _ time.Duration) {
			g.presence.MarkRead(now)
			g.lineage.hostsRead.Store(true)
		},
	}
	if f.poll() == nil {
		g.chooseRelay(time.Now(), g.presence.Live())
		g.receiveRejections(time.Now()) // before it serves
	}
	close(g.hostsRead)
	select {
	case <-g.configured:
	case <-time.After(maxHostsStartDelay):
	case <-g.tomb.Dying():
		return nil
	}
	tick := time.NewTicker(reportInterval / 2)
	defer tick.Stop()
	leaveStarted := g.leaveContext.Done()
	for between, firstReport := false, true; ; firstReport = false {
		// The first report is sent an interval after the start. After an error other than ErrStoreRefused the
		// read is tried all the same; the next tick sends a new report.
		refused := !between && !firstReport && f.hasSnapshot && errors.Is(g.sendReport(), port.ErrStoreRefused)
		switch {
		case refused:
			f.recordStoreFailure(time.Now(), port.ErrStoreRefused) // the store would refuse a read too
		case between && !(g.relays.readsForOthers() && g.canRelay(time.Now())):
		case f.pollAnew() == nil:
			g.aggregateReports(time.Now())
		}
		if !between {
			g.runLeaderTasks(time.Now())
		}
		for woken := true; woken; {
			woken = false
			select {
			case <-g.tomb.Dying():
				return nil
			case <-g.rollouts.wake:
				woken = true
				g.runRollouts(time.Now())
			case <-leaveStarted:
				leaveStarted, between = nil, false // report the state change once, without waiting for the tick
			case <-tick.C:
				between = !between
			}
		}
	}
}

// sendReport sends this host's report to the relay, or appends it to the store with those received
// from other hosts. The leader always appends its own report: the others consider it the leader
// while its reports reach the store.
func (g *Gateway) sendReport() error {
	began := time.Now()
	r := g.fullReport(began)
	raw, err := json.Marshal(r)
	if err != nil {
		g.log.Error().Str("event", "report_unwritable").Err(err).Msg("")
		return err
	}
	if r.FencingToken == 0 && g.tellRelay(append(g.relays.reportsToSendUp(), raw)) {
		return nil
	}
	received, newlyForwarded := g.relays.reportsToForward(began)
	if len(received) > 0 {
		if raw, err = json.Marshal(append(received, raw)); err != nil {
			g.log.Error().Str("event", "report_unwritable").Err(err).Msg("")
			return err
		}
	}
	if raw, err = pack(raw); err != nil {
		g.log.Error().Str("event", "report_unwritable").Err(err).Msg("")
		return err
	}
	records := append(g.keysToRemove(r, newlyForwarded), port.TopicRecord{Key: r.Key(), Value: raw})
	ctx, cancel := context.WithTimeout(g.context(), port.StoreReplyTimeout)
	defer cancel()
	_, err = g.ports.Store.Append(ctx, port.TopicHosts, port.Unconditional, records...)
	g.observeStore("append", began, time.Now(), err)
	if err == nil {
		g.leader.renewed(began)
	}
	return err
}

// keysToRemove returns the removals that are appended before a report. The records with the keys in
// newlyForwarded are removed because this host forwards those reports in its own record from now on.
// The leader also removes the records of hosts that no longer report. Every process reads all records
// when it starts, so they must stay few.
func (g *Gateway) keysToRemove(r presence.Report, newlyForwarded []string) []port.TopicRecord {
	if r.FencingToken != 0 {
		newlyForwarded = append(newlyForwarded, g.presence.Stale(hostRecordTTL)...)
	}
	out := make([]port.TopicRecord, 0, len(newlyForwarded)+1)
	for _, key := range newlyForwarded {
		out = append(out, port.TopicRecord{Key: key})
	}
	return out
}

// maxHostsStartDelay is the longest time that a starting process waits for the configuration before
// it reads the reports of hosts again and reports itself: without the configuration it serves nothing.
const maxHostsStartDelay = 2 * time.Second

// decisionMemory is how long the leader reports a decision after its window: reports are due 10 s after
// it, and an older copy of the store is some seconds old.
const decisionMemory = 20 * time.Second

// hostRecordTTL is how long the record of a host that no longer reports is retained: its usage
// counts are due 10 s after a window of 5 s, and may be late once more.
const hostRecordTTL = 25 * time.Second

// receiveReports applies the records of a page: single reports, lists that a relay forwards, and removals.
// A removal is applied only if no report of its key follows in the page: a relay that begins to forward a
// host's report removes the host's own record beside, and the host must not seem gone in between. restored
// is as in presence.Table.ReceiveReport.
func (g *Gateway) receiveReports(now time.Time, records []port.TopicRecord, restored bool) {
	records = g.receiveDeaths(now, records)
	decoded := make([][]presence.Report, len(records))
	last := map[string]int{} // index of the last record with a report, by key
	for i, r := range records {
		decoded[i] = g.decodeReports(r)
		for _, report := range decoded[i] {
			last[report.Key()] = i
		}
	}
	for i, r := range records {
		if later, ok := last[r.Key]; r.Removed() && (!ok || later < i) {
			g.presence.Remove(now, r.Key)
		}
		for _, report := range decoded[i] {
			g.learnEra(report.Era)
			g.receiveSoftware(now, report.Software)
			g.receiveMoves(now, report)
			if g.presence.ReceiveReport(now, report, restored) && report.Host != g.opts.Host {
				g.log.Info().Str("event", "host").Str("change", "heard").Str("peer", report.Host).Str("state", string(report.State)).Msg("")
			}
		}
	}
}

// errNoHost means that a report names no host, as null and {} do not.
var errNoHost = errors.New("report names no host")

// decodeReports returns the reports in a record that name a host, none if it is a removal or cannot be read.
func (g *Gateway) decodeReports(r port.TopicRecord) []presence.Report {
	if r.Removed() {
		return nil
	}
	reports := make([]presence.Report, 1)
	target := any(&reports[0])
	raw, err := unpack(r.Value)
	if err == nil {
		if len(raw) > 0 && raw[0] == '[' {
			target = &reports
		}
		err = json.Unmarshal(raw, target)
	}
	if err != nil {
		reports = nil
	} else if slices.ContainsFunc(reports, namesNoHost) {
		reports, err = slices.DeleteFunc(reports, namesNoHost), errNoHost
	}
	if err != nil {
		g.log.Warn().Str("event", "report_unreadable").Str("key", r.Key).Int64("offset", r.Offset).Err(err).Msg("")
	}
	return reports
}

func namesNoHost(r presence.Report) bool { return r.Host == "" }

// decodeReport returns a report that another host has sent.
func (g *Gateway) decodeReport(raw json.RawMessage) (presence.Report, error) {
	var r presence.Report
	err := json.Unmarshal(raw, &r)
	if err == nil && namesNoHost(r) {
		err = errNoHost
	}
	if err != nil {
		g.log.Warn().Str("event", "report_unreadable").Err(err).Msg("")
	}
	return r, errors.Wrap(err, "decode report")
}

// aggregateReports elects the relay among the live hosts, and passes the sums over the reports of the
// other hosts to the tables that depend on them.
func (g *Gateway) aggregateReports(now time.Time) {
	live := g.presence.Live()
	g.chooseRelay(now, live)
	g.choosePlacers(now, live)
	g.receiveLimits(now, live)
	g.receiveRejections(now)
	g.metrics.hosts.Set(float64(len(live) + 1))
	// From here on live holds only the hosts that reported within shareTimeout.
	live, unresponsive := g.presence.Within(shareTimeout), g.presence.Unresponsive(shareTimeout, shareTTL)
	count := len(live) + len(unresponsive) + 1
	if int(g.hostCount.Swap(int64(count))) != count {
		g.log.Info().Str("event", "hosts").Int("alive", len(live)+1).Int("sharing", count).Msg("")
		g.budgets.Range(func(_, b any) bool {
			b.(interface{ SetHosts(int) }).SetHosts(count)
			return true
		})
	}
	loads := map[string]placement.Load{}
	for _, r := range live {
		addLoads(loads, r.Loads)
	}
	g.placement.SetPeers(loads)
	g.receiveSpeeds(now, live)
	paces := medianPaces(live)
	g.placement.SetPeerPaces(paces)
	g.placer.table.SetPeerPaces(paces)
	g.placement.SetHosts(len(live) + 1)
	g.quota.SetHosts(max(count, assumedHosts))
}

// ownPaces returns the paces that this host has measured: as a placer those of its region.
func (g *Gateway) ownPaces() map[string]placement.Pace {
	out := g.placement.Paces()
	maps.Copy(out, g.placer.table.Paces())
	return out
}

// medianPaces returns the median pace of each service over the reports of hosts.
func medianPaces(reports []presence.Report) map[string]placement.Pace {
	all := map[string][]placement.Pace{}
	for _, r := range reports {
		for service, pace := range r.Paces {
			all[service] = append(all[service], pace)
		}
	}
	out := map[string]placement.Pace{}
	for service, paces := range all {
		out[service] = placement.MedianPace(paces)
	}
	return out
}
