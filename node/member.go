package node

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/member"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// Peer methods of the membership protocol.
const (
	// MethodCheck pings a host on behalf of the caller.
	MethodCheck = "member.check"
	// MethodReport delivers a report; MethodReports returns the reports received
	// after a position.
	MethodReport  = "member.report"
	MethodReports = "member.reports"
)

const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = 500 * time.Millisecond
	// maxCheckHelpers bounds the hosts that are asked to check an unresponsive
	// host.
	maxCheckHelpers = 2
	// reportRepeatInterval is the interval at which an unchanged non-empty
	// report is sent again.
	reportRepeatInterval = 10 * time.Second
)

// ErrUnknownHost is returned for a check of a host that is not listed.
var ErrUnknownHost = errors.New("host is not in the platform's list")

// reportExchange is the state of sending and fetching membership reports. Only
// the heartbeats job uses it, and the job never runs concurrently with itself,
// so the fields need no lock.
type reportExchange struct {
	sent     member.Report
	sentAt   time.Time
	sequence int64
	// positions holds the position up to which the reports of each relay were
	// read, by host.
	positions map[string]ReportPosition
}

// CheckCall is the parameter of MethodCheck: the host to ping.
type CheckCall struct {
	Host string `json:"host"`
}

// setMembers passes the listed entry hosts to the membership table when one was
// added, was removed or began to leave.
func (n *Node) setMembers(hosts []port.Host) {
	var list []member.Host
	for _, h := range hosts {
		if h.Role == port.RoleEntry {
			list = append(list, member.Host{ID: h.ID, Region: h.Region, Zone: h.Zone, Leaving: n.entryLeaving(h)})
		}
	}
	if slices.Equal(list, n.listedMembers) {
		return
	}
	n.listedMembers = list
	n.members.SetList(time.Now(), list)
	n.chooseRelays()
}

// sendHeartbeats pings the hosts that this one monitors, has unresponsive hosts
// checked by others, and exchanges reports of changes.
func (n *Node) sendHeartbeats() {
	if n.ports.Peers == nil {
		return
	}
	ctx := n.context()
	var wg sync.WaitGroup
	for _, id := range n.members.Targets() {
		wg.Go(func() { n.heartbeat(ctx, id) })
	}
	wg.Wait()
	n.sendReport(ctx)
	n.fetchReports(ctx)
	n.members.Evaluate(time.Now())
	n.chooseRelays()
}

func (n *Node) heartbeat(ctx context.Context, id string) {
	if n.ping(ctx, id) == nil {
		n.members.RecordAnswer(time.Now(), id)
		return
	}
	if n.members.RecordMiss(time.Now(), id) {
		n.members.RecordCheck(time.Now(), id, n.checkThroughPeers(ctx, id))
	}
}

// ping calls a host. An answer with another id counts as a failure: it comes
// from another host that now uses the address.
func (n *Node) ping(ctx context.Context, id string) error {
	h, ok := n.hosts.get(id)
	if !ok {
		return ErrUnknownHost
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var answered string
	if err := n.ports.Peers.Call(ctx, h.PeerAddress, MethodPing, nil, &answered); err != nil {
		return err
	}
	if answered != id {
		return errors.Errorf("ping answered by host %s, expected %s", answered, id)
	}
	return nil
}

func (n *Node) checkThroughPeers(ctx context.Context, id string) member.CheckResult {
	result := member.CheckNotPossible
	for _, helper := range n.members.Helpers(id, maxCheckHelpers) {
		answers, err := n.requestCheck(ctx, helper, id)
		switch {
		case err != nil:
		case answers:
			return member.CheckResponsive
		default:
			result = member.CheckUnresponsive
		}
	}
	return result
}

func (n *Node) requestCheck(ctx context.Context, helper, id string) (answers bool, err error) {
	h, ok := n.hosts.get(helper)
	if !ok {
		return false, ErrUnknownHost
	}
	ctx, cancel := context.WithTimeout(ctx, 2*heartbeatTimeout)
	defer cancel()
	err = n.ports.Peers.Call(ctx, h.PeerAddress, MethodCheck, CheckCall{Host: id}, &answers)
	return answers, err
}

func (n *Node) handleCheck(ctx context.Context, params json.RawMessage) (any, error) {
	var call CheckCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, err
	}
	err := n.ping(ctx, call.Host)
	if errors.Is(err, ErrUnknownHost) {
		return nil, err
	}
	return err == nil, nil
}

// sendReport sends this host's report to the relays of all availability zones
// when it has changed, and every reportRepeatInterval while it is not empty.
func (n *Node) sendReport(ctx context.Context) {
	report := member.Report{By: n.settings.Host, Dead: n.members.ConfirmedDead()}
	if n.Stale() {
		report.OutReason = "behind its peers in the log"
	}
	x := &n.reportExchange
	changed := report.OutReason != x.sent.OutReason || !slices.Equal(report.Dead, x.sent.Dead)
	if !changed && (report.Empty() || time.Since(x.sentAt) < reportRepeatInterval) {
		return
	}
	x.sequence = max(x.sequence+1, time.Now().UnixNano())
	report.Sequence = x.sequence
	x.sent, x.sentAt = report, time.Now()
	n.reports.put(time.Now(), report)
	n.callRelays(ctx, func(ctx context.Context, address string) {
		_ = n.ports.Peers.Call(ctx, address, MethodReport, report, nil) // a failed call is covered by the next repetition
	})
}

// callRelays calls the relays of all availability zones concurrently.
func (n *Node) callRelays(ctx context.Context, call func(ctx context.Context, address string)) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range n.relaysOfAllZones() {
		wg.Go(func() { call(ctx, h.PeerAddress) })
	}
	wg.Wait()
}

// relaysOfAllZones returns the relays of every availability zone, without this
// host.
func (n *Node) relaysOfAllZones() []port.Host {
	zones := map[string][]string{}
	hosts := map[string]port.Host{}
	for _, h := range n.hosts.all() {
		if h.Role == port.RoleEntry && n.canRelay(h) {
			zones[h.Zone] = append(zones[h.Zone], h.ID)
			hosts[h.ID] = h
		}
	}
	var out []port.Host
	for zone, ids := range zones {
		for _, id := range rendezvous.Top("relay/"+zone, ids, relaysPerZone) {
			if id != n.settings.Host {
				out = append(out, hosts[id])
			}
		}
	}
	return out
}

func (n *Node) handleReport(ctx context.Context, params json.RawMessage) (any, error) {
	var r member.Report
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, err
	}
	if _, listed := n.members.Verdict(r.By); !listed || !port.PeerMayActAs(ctx, r.By) {
		return nil, ErrUnknownHost
	}
	n.receiveReport(r)
	return true, nil
}

func (n *Node) receiveReport(r member.Report) {
	now := time.Now()
	if n.members.ReceiveReport(now, r) {
		n.reports.put(now, r)
	}
}

// fetchReports reads new reports from a relay of the availability zone.
func (n *Node) fetchReports(ctx context.Context) {
	for _, p := range n.relays.list() {
		if p.Address == "" {
			return // this host is a relay: reports are sent to it
		}
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		var reply ReportsReply
		err := n.ports.Peers.Call(callCtx, p.Address, MethodReports, n.reportExchange.positions[p.ID], &reply)
		cancel()
		if err != nil {
			continue
		}
		for _, r := range reply.Reports {
			n.receiveReport(r)
		}
		n.reportExchange.positions = map[string]ReportPosition{p.ID: reply.Position}
		return
	}
}

func (n *Node) handleReports(_ context.Context, params json.RawMessage) (any, error) {
	var position ReportPosition
	if err := json.Unmarshal(params, &position); err != nil {
		return nil, err
	}
	return n.reports.since(time.Now(), position), nil
}

// ReportPosition is a position in the sequence in which one process received
// reports.
type ReportPosition struct {
	// Process identifies the process among earlier processes of the host.
	Process string `json:"process"`
	After   int64  `json:"after"`
}

// ReportsReply holds the reports after a position, and the position after them.
type ReportsReply struct {
	Position ReportPosition  `json:"place"`
	Reports  []member.Report `json:"reports,omitempty"`
}

// reportTable holds the reports that have not expired, to pass them on to other
// hosts.
type reportTable struct {
	process string

	mu         sync.Mutex
	lastNumber int64
	rows       map[string]reportRow
}

type reportRow struct {
	report member.Report
	at     time.Time
	number int64
}

func newReportTable(process string) *reportTable {
	return &reportTable{process: process, rows: map[string]reportRow{}}
}

func (t *reportTable) put(now time.Time, r member.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastNumber++
	t.rows[r.By] = reportRow{r, now, t.lastNumber}
}

// since removes expired reports and returns those received after a position. A
// caller whose position was issued by an earlier process receives all reports.
func (t *reportTable) since(now time.Time, position ReportPosition) ReportsReply {
	if position.Process != t.process {
		position.After = 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	reply := ReportsReply{Position: ReportPosition{t.process, t.lastNumber}}
	for by, row := range t.rows {
		switch {
		case now.Sub(row.at) > member.DefaultOptions().ReportTTL:
			delete(t.rows, by)
		case row.number > position.After:
			reply.Reports = append(reply.Reports, row.report)
		}
	}
	return reply
}
