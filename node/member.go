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

// Methods of membership.
const (
	// MethodCheck pings a host on behalf of the caller.
	MethodCheck = "member.check"
	// MethodReport takes in a report; MethodReports returns those that came
	// after a place.
	MethodReport  = "member.report"
	MethodReports = "member.reports"
)

const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = 500 * time.Millisecond
	// checkHelpers is how many hosts are asked to check a silent one.
	checkHelpers = 2
	// reportRepeat is the time after which a standing report is sent again.
	reportRepeat = 10 * time.Second
)

// ErrUnknownHost is returned for a check of a host that is not listed.
var ErrUnknownHost = errors.New("host is not in the platform's list")

// heartbeats carries out what the membership table needs. Its job runs alone,
// so its fields need no lock.
type heartbeats struct {
	sent     member.Report
	sentAt   time.Time
	sequence int64
	// places are how far the reports of each relay were read.
	places map[string]ReportPlace
}

// CheckCall names the host to check.
type CheckCall struct {
	Host string `json:"host"`
}

// setMembers hands the entry hosts of the list to the members' table when one
// came, went, or began to leave.
func (n *Node) setMembers(hosts []port.Host) {
	var list []member.Host
	for _, h := range hosts {
		if h.Role == port.RoleEntry {
			list = append(list, member.Host{ID: h.ID, Region: h.Region, Zone: h.Zone, Leaving: n.entryLeaving(h)})
		}
	}
	if slices.Equal(list, n.listed) {
		return
	}
	n.listed = list
	n.members.SetList(time.Now(), list)
	n.chooseRelays()
}

// beat sends heartbeats to the neighbours, has silent ones checked, and spreads
// what changed.
func (n *Node) beat() {
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
	n.members.Judge(time.Now())
	n.chooseRelays()
}

func (n *Node) heartbeat(ctx context.Context, id string) {
	if n.ping(ctx, id) == nil {
		n.members.Answered(time.Now(), id)
		return
	}
	if n.members.Missed(time.Now(), id) {
		n.members.Checked(time.Now(), id, n.checkByOthers(ctx, id))
	}
}

// ping calls a host; an answer under another id is that of its successor at
// the address.
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
		return errors.Errorf("%s answered in place of %s", answered, id)
	}
	return nil
}

func (n *Node) checkByOthers(ctx context.Context, id string) member.Finding {
	finding := member.FoundNothing
	for _, helper := range n.members.Helpers(id, checkHelpers) {
		answers, err := n.askCheck(ctx, helper, id)
		switch {
		case err != nil:
		case answers:
			return member.FoundAnswering
		default:
			finding = member.FoundSilent
		}
	}
	return finding
}

func (n *Node) askCheck(ctx context.Context, helper, id string) (answers bool, err error) {
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

// sendReport sends this host's report to the relays of all zones when it
// changed, and again while it stands.
func (n *Node) sendReport(ctx context.Context) {
	report := member.Report{By: n.settings.Host, Dead: n.members.Own()}
	if n.Behind() {
		report.Out = "behind its peers in the log"
	}
	b := &n.heartbeats
	changed := report.Out != b.sent.Out || !slices.Equal(report.Dead, b.sent.Dead)
	if !changed && (report.Empty() || time.Since(b.sentAt) < reportRepeat) {
		return
	}
	b.sequence = max(b.sequence+1, time.Now().UnixNano())
	report.Sequence = b.sequence
	b.sent, b.sentAt = report, time.Now()
	n.reports.put(time.Now(), report)
	n.eachRelay(ctx, func(ctx context.Context, address string) {
		_ = n.ports.Peers.Call(ctx, address, MethodReport, report, nil) // sent again while it stands
	})
}

// eachRelay calls the relays of all zones at once.
func (n *Node) eachRelay(ctx context.Context, call func(ctx context.Context, address string)) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range n.allRelays() {
		wg.Go(func() { call(ctx, h.PeerAddress) })
	}
	wg.Wait()
}

// allRelays returns the relays of every zone but this host.
func (n *Node) allRelays() []port.Host {
	zones := map[string][]string{}
	hosts := map[string]port.Host{}
	for _, h := range n.hosts.all() {
		if h.Role == port.RoleEntry && n.mayRelay(h) {
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
	if _, listed := n.members.Verdict(r.By); !listed || !port.PeerMayBe(ctx, r.By) {
		return nil, ErrUnknownHost
	}
	n.hear(r)
	return true, nil
}

func (n *Node) hear(r member.Report) {
	now := time.Now()
	if n.members.Hear(now, r) {
		n.reports.put(now, r)
	}
}

// fetchReports reads the reports that a relay of the zone holds.
func (n *Node) fetchReports(ctx context.Context) {
	for _, p := range n.relays.list() {
		if p.Address == "" {
			return // reports come to this host
		}
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		var reply ReportsReply
		err := n.ports.Peers.Call(callCtx, p.Address, MethodReports, n.heartbeats.places[p.ID], &reply)
		cancel()
		if err != nil {
			continue
		}
		for _, r := range reply.Reports {
			n.hear(r)
		}
		n.heartbeats.places = map[string]ReportPlace{p.ID: reply.Place}
		return
	}
}

func (n *Node) handleReports(_ context.Context, params json.RawMessage) (any, error) {
	var place ReportPlace
	if err := json.Unmarshal(params, &place); err != nil {
		return nil, err
	}
	return n.reports.after(time.Now(), place), nil
}

// ReportPlace is a place in the order in which a process took reports in.
type ReportPlace struct {
	// Process tells the process from earlier ones of the host.
	Process string `json:"process"`
	After   int64  `json:"after"`
}

// ReportsReply holds the reports after a place and the place behind them.
type ReportsReply struct {
	Place   ReportPlace     `json:"place"`
	Reports []member.Report `json:"reports,omitempty"`
}

// reportTable holds the reports that still count, to pass them on.
type reportTable struct {
	process string

	mu   sync.Mutex
	last int64
	rows map[string]reportRow
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
	t.last++
	t.rows[r.By] = reportRow{r, now, t.last}
}

// after drops the reports that are too old and returns those that came after a
// place; all of them to a caller whose place is another process's.
func (t *reportTable) after(now time.Time, place ReportPlace) ReportsReply {
	if place.Process != t.process {
		place.After = 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	reply := ReportsReply{Place: ReportPlace{t.process, t.last}}
	for by, row := range t.rows {
		switch {
		case now.Sub(row.at) > member.DefaultOptions().ReportLifetime:
			delete(t.rows, by)
		case row.number > place.After:
			reply.Reports = append(reply.Reports, row.report)
		}
	}
	return reply
}
