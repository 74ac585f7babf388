package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/lease"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/rendezvous"
	"github.com/cicadanotch/cicadanotch/scaling"
	"github.com/cicadanotch/cicadanotch/usage"
)

// dutyRecord is a record of the topic of duties. Exactly one field is set.
//
// The topic is appended to only under the condition that it has not grown, so
// its order is that of the decisions: after a take, nothing of an earlier holder
// follows.
type dutyRecord struct {
	// Taker is the host that takes the duties; the fencing number follows from
	// the record's offset.
	Taker string `json:"taker,omitempty"`
	// Wall is when it was taken, in Unix milliseconds by the taker's clock.
	Wall int64 `json:"wall,omitempty"`
	// Usage is what is reported for a window, written before the report: every
	// repeat, by whichever holder, has the same counts.
	Usage *decidedUsage `json:"usage,omitempty"`
}

type decidedUsage struct {
	Window int64        `json:"window"`
	Counts usage.Counts `json:"counts"`
}

const (
	// usageSettle is how long after the end of a window its counts are decided:
	// every host has reported twice by then, and half of the time until the
	// report is due is left for an outage.
	usageSettle = 3200 * time.Millisecond
	// usageMargin is the time before a report is due by which it is decided without
	// the hosts that are silent: two attempts to send it, and a change of holder.
	usageMargin = 4 * time.Second
	// cutMost is how long hosts that are cut off from the store stay so: the
	// platform's faults say up to 9 s. One that is silent for longer is gone.
	cutMost = 9 * time.Second
	// dutyTimeout bounds a call to the platform.
	dutyTimeout = 1500 * time.Millisecond
	// orderAgain is how long an order is given to take effect before it is
	// given again.
	orderAgain = 6 * time.Second
	// candidateStep is how much longer each further candidate waits before it
	// takes vacant duties, so that few race.
	candidateStep = 400 * time.Millisecond
	// holderSilence is how long a holder whose calls are fenced may be silent
	// before others take over: two reports missed and the delay of one. An order
	// that it still gives is refused by its number.
	holderSilence = 2300 * time.Millisecond
	// retakeAfter is how many leases a host that lost the duties leaves them to
	// others, so that they do not go back and forth.
	retakeAfter = 2
	// partialShare is the part of the hosts that must have been heard of for their
	// demand to count as that of all.
	partialShare = 0.8
	// reportsPerTick bounds the usage reports sent in a row after an outage.
	reportsPerTick = 4
)

// dutyState is this host's part in the duties.
type dutyState struct {
	mu     sync.Mutex
	tenure *lease.Tenure

	// Used by the goroutine of followHosts only.
	end         int64 // of the topic, as far as it was read
	taken       bool  // the last take read was another host's
	takenWall   time.Time
	decided     map[int64]usage.Counts
	reported    map[int64]bool
	vacantSince time.Time
	lostAt      time.Time
	planners    map[string]*scaling.Planner
	// inherited is what the holder before planned for.
	inherited map[string]int
	given     map[port.CapacityOrder]time.Time
	traffic   bool
}

func newDutyState(opts lease.Options) *dutyState {
	return &dutyState{
		tenure: lease.NewTenure(opts), decided: map[int64]usage.Counts{}, reported: map[int64]bool{},
		planners: map[string]*scaling.Planner{}, given: map[port.CapacityOrder]time.Time{},
	}
}

func (d *dutyState) held(now time.Time) (int64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tenure.Held(now)
}

func (d *dutyState) fence(now time.Time) int64 {
	f, _ := d.held(now)
	return f
}

func (d *dutyState) renewed(began time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tenure.Renewed(began)
}

// doDuties takes the duties when nobody holds them, and does them when this host
// does.
func (g *Gateway) doDuties(now time.Time) {
	if g.opts.UsageWindow <= 0 && !g.opts.Scales {
		return
	}
	if g.leaving.Load() {
		g.resign(now, "leaving")
		return
	}
	d := g.duties
	if d.tenureLapsed(now) {
		g.resign(now, "lapsed")
	}
	if _, held := d.held(now); !held && !g.considerDuties(now) {
		return
	}
	fence, held := d.held(time.Now())
	if !held {
		return
	}
	t := port.Tenure{Holder: g.opts.Host, Fence: fence}
	g.orderCapacity(now, t)
	if _, held := d.held(time.Now()); held {
		g.reportUsage(now, t)
	}
}

func (d *dutyState) tenureLapsed(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tenure.Lapsed(now)
}

func (g *Gateway) resign(_ time.Time, why string) {
	d := g.duties
	d.mu.Lock()
	had := d.tenure.Lapsed(time.Now())
	_, held := d.tenure.Held(time.Now())
	d.tenure.Lost()
	d.mu.Unlock()
	if had || held {
		g.metrics.duty.Set(0)
		g.log.Info().Str("event", "duty_lost").Str("why", why).Msg("")
	}
	d.vacantSince = time.Time{}
	if had || held {
		d.lostAt = time.Now()
	}
}

// considerDuties takes the duties after their holder has been silent for long
// enough. It reports whether this host holds them now.
func (g *Gateway) considerDuties(now time.Time) bool {
	d := g.duties
	if !g.Ready() || now.Sub(d.lostAt) < retakeAfter*g.opts.Lease {
		return false
	}
	silence := holderSilence
	if !g.opts.FencesChecked {
		silence = g.opts.Lease + holderSilence
	}
	names := []string{g.opts.Host}
	for _, r := range g.presence.Within(silence) {
		if r.Fence != 0 {
			d.vacantSince = time.Time{}
			return false
		}
		if r.State == presence.StateServing {
			names = append(names, r.Host)
		}
	}
	if d.vacantSince.IsZero() {
		d.vacantSince = now
	}
	rank := slices.Index(rendezvous.Rank("duties", names), g.opts.Host)
	if now.Sub(d.vacantSince) < time.Duration(rank)*candidateStep {
		return false
	}
	return g.takeDuties(now)
}

func (g *Gateway) takeDuties(now time.Time) bool {
	d := g.duties
	before := d.end
	if err := g.readDuties(); err != nil {
		return false // logged where it failed; tried again with the next report
	}
	if age := g.clock.Wall(now).Sub(d.takenWall); d.taken && d.end > before && age < holderSilence {
		// Somebody has just taken them, whose report has not come yet. It has
		// the same time to be heard as any holder.
		d.vacantSince = now.Add(holderSilence)
		return false
	}
	offset, err := g.appendDuty(dutyRecord{Taker: g.opts.Host, Wall: g.clock.Wall(now).UnixMilli()})
	if err != nil {
		return false // as above
	}
	d.mu.Lock()
	d.tenure.Took(now, offset+1)
	d.mu.Unlock()
	d.vacantSince = time.Time{}
	g.metrics.duty.Set(float64(offset + 1))
	d.planners, d.inherited = map[string]*scaling.Planner{}, lastNeeds(g.presence.All())
	d.given = map[port.CapacityOrder]time.Time{}
	g.log.Info().Str("event", "duty_taken").Int64("fence", offset+1).Msg("")
	return true
}

// readDuties reads the topic of duties to its end.
func (g *Gateway) readDuties() error {
	d := g.duties
	began := time.Now()
	ctx, cancel := context.WithTimeout(g.context(), storeSlack)
	defer cancel()
	page, err := g.ports.Store.Read(ctx, port.TopicDuties, d.end, 0)
	g.observeStore("read", began, time.Now(), err)
	if errors.Is(err, port.ErrStoreExpired) {
		// What is no longer kept is older than any report that is still due.
		d.end = page.First
	}
	if err != nil {
		g.log.Warn().Str("event", "duties_unread").Int64("from", d.end).Err(err).Msg("")
		return err
	}
	for _, r := range page.Records {
		g.learnDuty(r)
	}
	d.end = page.End
	return nil
}

func (g *Gateway) learnDuty(r port.TopicRecord) {
	var record dutyRecord
	if err := json.Unmarshal(r.Value, &record); err != nil {
		g.log.Warn().Str("event", "duty_unreadable").Int64("offset", r.Offset).Err(err).Msg("")
		return
	}
	if record.Taker != "" {
		g.duties.taken, g.duties.takenWall = record.Taker != g.opts.Host, time.UnixMilli(record.Wall)
	}
	if record.Usage != nil {
		g.duties.decided[record.Usage.Window] = record.Usage.Counts
	}
}

// appendDuty appends a record if the topic has not grown meanwhile. An append
// whose answer is lost is settled by the next read.
func (g *Gateway) appendDuty(record dutyRecord) (int64, error) {
	d := g.duties
	raw, err := json.Marshal(record)
	if err != nil {
		return 0, errors.Wrap(err, "encode duty record")
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(g.context(), storeSlack)
	defer cancel()
	offset, err := g.ports.Store.Append(ctx, port.TopicDuties, d.end, port.TopicRecord{Value: raw})
	g.observeStore("append", began, time.Now(), err)
	if err != nil {
		g.log.Warn().Str("event", "duty_not_recorded").Int64("at", d.end).Err(err).Msg("")
		return 0, err
	}
	d.end = offset + 1
	g.learnDuty(port.TopicRecord{Offset: offset, Value: raw})
	return offset, nil
}

func (g *Gateway) dutyCall(call string, err error) {
	result := "ok"
	switch {
	case err == nil:
	case errors.Is(err, port.ErrFenced):
		result = "fenced"
	case errors.Is(err, port.ErrNoneToBeHad):
		result = "none-to-be-had"
	default:
		result = "unavailable"
	}
	g.metrics.orders.WithLabelValues(call, result).Inc()
}
