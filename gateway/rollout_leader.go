package gateway

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/rollout"
)

const (
	// maxOrderAge is how long before the leader read it an order may have been acknowledged.
	maxOrderAge = 500 * time.Millisecond
	// rolloutRecordInterval is how often the record of an order is repeated: the store retains some seconds of
	// the leader topic.
	rolloutRecordInterval = 8 * time.Second
	// rolloutRetryDelay is the delay after a write that failed.
	rolloutRetryDelay = time.Second
)

// ledRollout is the leader's state of one order.
type ledRollout struct {
	machine *rollout.Machine
	hosts   map[string]ledHost // by host and incarnation
	// recorded is the last record in the leader topic, written at recordedAt in recordedEra by the tenure of token.
	// Hosts are told it, and a roll back before it is recorded.
	recorded    rollout.Record
	recordedAt  time.Time
	recordedEra port.Era
	// stated is the state that the operator can read, written in statedEra.
	stated    rollout.State
	statedEra port.Era
	token     int64
	retryAt   time.Time
	waiting   string // last logged
}

// ledHost is what a host has told of an order.
type ledHost struct {
	at       time.Time
	evidence rollout.Evidence
	atOthers int
	full     bool
}

// receive takes in the report of a host. It reports whether that has ended the order.
func (l *ledRollout) receive(now time.Time, host string, r rolloutReport) bool {
	if r.Known != nil && r.Known.Order.Is(l.machine.Record().Order) && r.Known.Further(l.machine.Record()) {
		l.machine.Adopt(*r.Known)
	}
	news := r.Evidence.Since(l.hosts[host].evidence)
	l.hosts[host] = ledHost{at: now, evidence: r.Evidence, atOthers: r.AtOthers, full: r.Full}
	return l.machine.Observe(now, news)
}

// permission returns the state that hosts are told.
func (l *ledRollout) permission() rollout.Record {
	if r := l.machine.Record(); r.State == rollout.StateRolledBack {
		return r
	}
	return l.recorded
}

// adopt keeps the last record of an order that was read from the leader topic.
func (s *rolloutState) adopt(r rollout.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorded[r.Order.Service] = r
}

// unrecorded reports whether this host leads an order whose end is not recorded or not stated yet.
func (s *rolloutState) unrecorded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service := range s.held {
		led := s.led[service]
		if led == nil || led.stated != led.machine.Record().State {
			return true
		}
	}
	return false
}

// runRollouts decides about all orders, as far as this host is the leader.
func (g *Gateway) runRollouts(now time.Time) {
	if !g.rollsOut() || !g.hasEndpoints.Load() || g.latestEra() != g.leader.era {
		return
	}
	for _, service := range g.rollouts.services() {
		token, held := g.leader.heldToken(time.Now())
		if !held {
			return
		}
		g.runRollout(now, service, token)
	}
}

// runRollout decides about one order, records the decision and states it to the operator.
func (g *Gateway) runRollout(now time.Time, service string, token int64) {
	s := g.rollouts
	s.mu.Lock()
	h, led := s.held[service], s.led[service]
	order, refused, withdrawn := h.order, h.refused, h.withdrawn
	if led != nil && led.token != token {
		// Another leader may have decided since this host led it.
		delete(s.led, service)
		led = nil
	}
	s.mu.Unlock()
	if led == nil {
		if led = g.beginToLead(now, order, refused, token); led == nil {
			return
		}
	}
	if now.Before(led.retryAt) {
		return
	}
	in, versions := g.rolloutInput(now, led, order)
	in.Withdrawn = withdrawn
	s.mu.Lock()
	led.machine.NoteOthers(versions)
	led.machine.Relocate(order)
	before := led.machine.Record()
	record, changed := led.machine.Step(now, in)
	waiting, late := led.machine.Waiting(), now.Sub(led.machine.Deadline())
	s.mu.Unlock()
	if changed {
		g.logRolloutDecision(led.machine, token)
		if record.State == rollout.StateCompleted && before.State == rollout.StateServing {
			g.metrics.rolloutWaits.Add(max(late, 0).Seconds())
		}
	}
	if waiting != led.waiting && late > 0 {
		led.waiting = waiting
		g.log.Warn().Str("event", "rollout_late").Str("service", service).Str("target", order.Target).Str("why", waiting).
			Dur("late", late).Msg("")
	}
	if !g.recordRollout(now, led, record) || !g.stateRollout(led, record) {
		led.retryAt = time.Now().Add(rolloutRetryDelay)
	}
}

// beginToLead returns the leader's state of an order: as it was recorded, as this host was told, or from its
// beginning. It returns nil if that cannot be known yet.
func (g *Gateway) beginToLead(now time.Time, order rollout.Order, refused error, token int64) *ledRollout {
	wall := g.clock.Wall(now)
	record := rollout.Record{Order: order, State: rollout.StateServing, Started: wall.Add(-maxOrderAge).UnixMilli()}
	s := g.rollouts
	s.mu.Lock()
	recorded, isRecorded := s.recorded[order.Service]
	known := s.held[order.Service].record
	again := slices.ContainsFunc(s.held[order.Service].earlier, order.SameContent) || isRecorded && order.SameContent(recorded.Order)
	s.mu.Unlock()
	isRecorded = isRecorded && order.Repeats(recorded.Order, recorded.State.Ended())
	if isRecorded {
		record = recorded
	}
	if known.State != "" && (!isRecorded || known.Further(record)) {
		record = known
	}
	source := "record"
	switch {
	case refused != nil:
		record.State, record.Why, source = rollout.StateRolledBack, "refused: "+refused.Error(), "order"
	case !isRecorded && known.State == "":
		stated, err := g.statedEnd(order)
		if err != nil {
			return nil // logged by statedEnd
		}
		source = "order"
		if stated != "" && !again { // else it is the state of the order before
			record.State, record.Why, source = stated, "stated by an earlier leader", "status"
		}
	}
	record.Order = order
	machine := rollout.NewMachine(record, now.Add(-wall.Sub(time.UnixMilli(record.Started))), g.opts.ExposureShare)
	led := &ledRollout{machine: machine, hosts: map[string]ledHost{}, recordedEra: noEra, statedEra: noEra, token: token}
	if isRecorded {
		led.recorded = machine.Record()
	}
	// Once led is in the table, the machine is used under the lock only.
	fractions, left := formatFractions(machine.Record().Fractions), machine.Deadline().Sub(now)
	s.mu.Lock()
	s.led[order.Service] = led
	s.mu.Unlock()
	notify(s.changed)
	if !record.State.Ended() {
		g.announceLead(token)
	}
	g.log.Info().Str("event", "rollout_led").Str("service", order.Service).Str("target", order.Target).Str("state", string(record.State)).
		Str("source", source).Str("fractions", fractions).Dur("left", left).Int64("fence", token).Msg(record.Why)
	return led
}

// statedEnd returns the final state of an order that the operator can read; empty if there is none.
func (g *Gateway) statedEnd(order rollout.Order) (rollout.State, error) {
	page, err := g.readStatus()
	if err != nil {
		return "", err
	}
	for _, state := range []rollout.State{rollout.StateCompleted, rollout.StateRolledBack} {
		want, err := g.ports.EncodeRolloutStatus(order, state)
		if err != nil {
			return "", err
		}
		for _, r := range page.Records {
			if r.Key == want.Key && bytes.Equal(r.Value, want.Value) {
				return state, nil
			}
		}
	}
	return "", nil
}

func (g *Gateway) readStatus() (port.TopicPage, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(g.context(), port.StoreReplyTimeout)
	defer cancel()
	page, err := g.ports.Store.Newest(ctx, port.TopicStatus)
	g.observeStore("read", began, time.Now(), err)
	if err == nil && page.Era != g.leader.era {
		err = errEraChanged
	}
	if err != nil {
		g.log.Warn().Str("event", "rollout_status_unread").Err(err).Msg("")
	}
	return page, err
}

// rolloutInput returns what a step depends on, and the other versions that are listed.
func (g *Gateway) rolloutInput(now time.Time, led *ledRollout, order rollout.Order) (rollout.Input, []string) {
	var in rollout.Input
	var versions []string
	for _, v := range g.fleet.All() {
		switch {
		case v.Service != order.Service || v.State != fleet.StateReady:
		case v.Version == order.Target:
			in.Targets++
		default:
			in.Others++
			versions = append(versions, v.Version)
		}
	}
	slices.Sort(versions)
	expected := []string{g.opts.Host}
	for _, r := range g.presence.Within(shareTimeout) {
		if r.State != presence.StateStarting {
			expected = append(expected, r.Host)
		}
	}
	s := g.rollouts
	s.mu.Lock()
	defer s.mu.Unlock()
	told := map[string]bool{}
	for key, h := range led.hosts {
		if h.full && now.Sub(h.at) < permissionTTL {
			host, _, _ := strings.Cut(key, "/")
			told[host] = true
			in.AtOthers += h.atOthers
		}
	}
	in.AtOthersKnown = led.recorded.Full() && !slices.ContainsFunc(expected, func(host string) bool { return !told[host] })
	return in, slices.Compact(versions)
}

// recordRollout appends a record of an order that differs from the last one, is of an earlier era or is old. It
// returns false if the record could not be appended.
func (g *Gateway) recordRollout(now time.Time, led *ledRollout, record rollout.Record) bool {
	same := led.recorded.State == record.State && maps.Equal(led.recorded.Fractions, record.Fractions) && led.recorded.Order == record.Order
	if same && led.recordedEra == g.leader.era && now.Sub(led.recordedAt) < rolloutRecordInterval {
		return true
	}
	if token, held := g.leader.heldToken(time.Now()); !held || token != led.token {
		return false
	}
	if _, err := g.appendLeaderRecord(leaderRecord{Rollout: &record}); err != nil {
		if errors.Is(err, port.ErrStoreConflict) {
			g.resolveConflict()
		}
		return false
	}
	g.rollouts.mu.Lock()
	defer g.rollouts.mu.Unlock()
	led.recorded, led.recordedAt, led.recordedEra = record, now, g.leader.era
	return true
}

// stateRollout writes the state of an order for the operator. It returns false if that failed.
func (g *Gateway) stateRollout(led *ledRollout, record rollout.Record) bool {
	if led.stated == record.State && led.statedEra == g.leader.era {
		return true
	}
	status, err := g.ports.EncodeRolloutStatus(record.Order, record.State)
	if err != nil {
		g.log.Error().Str("event", "rollout_not_stated").Str("service", record.Order.Service).Err(err).Msg("")
		return false
	}
	page, err := g.readStatus()
	if err != nil {
		return false
	}
	if !slices.ContainsFunc(page.Records, func(r port.TopicRecord) bool { return r.Key == status.Key && bytes.Equal(r.Value, status.Value) }) {
		if token, held := g.leader.heldToken(time.Now()); !held || token != led.token {
			return false
		}
		began := time.Now()
		ctx, cancel := context.WithTimeout(g.context(), port.StoreReplyTimeout)
		defer cancel()
		_, err = g.ports.Store.Append(ctx, port.TopicStatus, page.End, status)
		g.observeStore("append", began, time.Now(), err)
	}
	e := g.log.Info()
	if err != nil {
		e = g.log.Warn().Err(err)
	}
	e.Str("event", "rollout_stated").Str("service", record.Order.Service).Str("target", record.Order.Target).Str("state", string(record.State)).
		Int64("fence", led.token).Msg("")
	if err != nil {
		return false
	}
	g.rollouts.mu.Lock()
	defer g.rollouts.mu.Unlock()
	led.stated, led.statedEra = record.State, g.leader.era
	return true
}

// logRolloutDecision logs a decision with the figures that decided it.
func (g *Gateway) logRolloutDecision(m *rollout.Machine, token int64) {
	s := g.rollouts
	s.mu.Lock()
	r, against := m.Record(), m.Worst().String()
	s.mu.Unlock()
	g.metrics.rolloutChanges.WithLabelValues(string(r.State)).Inc()
	g.log.Info().Str("event", "rollout_decided").Str("service", r.Order.Service).Str("target", r.Order.Target).Str("state", string(r.State)).
		Str("fractions", formatFractions(r.Fractions)).Str("why", r.Why).Str("against", against).Int64("fence", token).Msg("")
}

// formatFractions formats the fractions of routes for the log.
func formatFractions(fractions map[string]float64) string {
	parts := make([]string, 0, len(fractions))
	for _, route := range slices.Sorted(maps.Keys(fractions)) {
		name := route
		if name == "" {
			name = "others"
		}
		parts = append(parts, fmt.Sprintf("%s=%.3f", name, fractions[route]))
	}
	return strings.Join(parts, " ")
}
