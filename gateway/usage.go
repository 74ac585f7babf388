package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/usage"
)

// reportUsage decides and reports the usage of the windows that have settled.
func (g *Gateway) reportUsage(now time.Time, t port.Tenure) {
	length := g.opts.UsageWindow
	if length <= 0 {
		return
	}
	wall := g.clock.Wall(now)
	newest := usage.WindowIndex(wall.Add(-usageSettleDelay), length) - 1
	oldest := usage.WindowIndex(wall.Add(-g.opts.UsageDue), length)
	g.leader.forget(min(oldest, usage.WindowIndex(wall.Add(-decisionMemory), length)))
	sums := usage.NewSums()
	for _, r := range g.presence.All() {
		sums.Merge(r.Key(), r.Usage)
	}
	sums.Merge(g.opts.Host+"/"+g.opts.Incarnation, g.usage.Recent())
	sent := 0
	for window := oldest; window <= newest && sent < maxReportsPerTick; window++ {
		if g.leader.reported[window] || g.awaitsUsage(wall, window) {
			continue
		}
		if g.leader.decisionLost(window, length) {
			g.leader.reported[window] = true
			g.log.Warn().Str("event", "usage_skipped").Int64("window", window).Msg("its counts may have been reported; the record of them is lost")
			continue
		}
		counts, ok := g.decideUsage(window, sums)
		if !ok {
			return
		}
		if len(counts) == 0 {
			g.leader.reported[window] = true
			continue
		}
		sent++
		if !g.sendUsage(t, window, counts) {
			return
		}
	}
}

// awaitsUsage reports whether counts of a window may still arrive: a host that is cut off from the
// store continues to serve and reports its counts when it is reconnected.
func (g *Gateway) awaitsUsage(wall time.Time, window int64) bool {
	end := time.Unix(0, (window+1)*g.opts.UsageWindow.Nanoseconds())
	if _, decided := g.leader.decided[window]; decided || !wall.Before(end.Add(g.opts.UsageDue-usageReportMargin)) {
		return false
	}
	// A host whose last report precedes the window has likely served little in it, if it still
	// exists.
	begin := end.Add(-g.opts.UsageWindow)
	for _, r := range g.presence.Within(maxStoreOutage) {
		if r.State != presence.StateLeaving && r.Wall >= begin.UnixMilli() && r.Wall < end.UnixMilli() {
			return true
		}
	}
	return false
}

// decisionLost reports whether another leader may have decided and reported a window without a trace
// of it that this host could know.
func (s *leaderState) decisionLost(window int64, length time.Duration) bool {
	_, decided := s.decided[window]
	decidable := time.Unix(0, (window+1)*length.Nanoseconds()).Add(usageSettleDelay)
	return !decided && decidable.Before(s.unknownUntil)
}

// decideUsage returns the counts of a window as they were first decided, once the store holds a record
// of them.
func (g *Gateway) decideUsage(window int64, sums *usage.Sums) (usage.Counts, bool) {
	s := g.leader
	counts, decided := s.decided[window]
	if decided && s.recorded[window] {
		return counts, true
	}
	if !decided {
		counts = sums.Total(window)
	}
	if len(counts) == 0 {
		return nil, true
	}
	if _, err := g.appendLeaderRecord(leaderRecord{Usage: &decidedUsage{window, counts}}); err != nil {
		if errors.Is(err, port.ErrStoreConflict) {
			// Another host took over, or an append whose answer was lost has succeeded.
			g.resolveConflict()
		}
		return nil, false
	}
	return counts, true
}

// resolveConflict reads the records appended since and resigns if another host took the leadership.
func (g *Gateway) resolveConflict() {
	endBefore := g.leader.topicEnd
	ctx, cancel := context.WithTimeout(g.context(), port.StoreReplyTimeout)
	defer cancel()
	page, err := g.ports.Store.Read(ctx, port.TopicLeader, endBefore, 0)
	if err == nil && page.Era != g.leader.era {
		err = errEraChanged
	}
	if err != nil {
		g.log.Warn().Str("event", "duties_unread").Int64("from", endBefore).Err(err).Msg("")
		return
	}
	for _, r := range page.Records {
		g.applyLeaderRecord(r)
		var record leaderRecord
		if json.Unmarshal(r.Value, &record) == nil && record.Leader != "" {
			g.resign("taken by " + record.Leader)
		}
	}
	g.leader.topicEnd = page.End
}

func (g *Gateway) sendUsage(t port.Tenure, window int64, counts usage.Counts) bool {
	ctx, cancel, ok := g.actContext(t)
	if !ok {
		return false
	}
	defer cancel()
	err := g.ports.LeaderAPI.ReportUsage(ctx, t, window, counts)
	g.countPlatformCall("usage", err)
	e := g.log.Info().Str("event", "usage_report").Int64("window", window).Int64("fence", t.FencingToken).Int("workspaces", len(counts))
	if err != nil {
		e.Err(err)
	}
	e.Msg("")
	if errors.Is(err, port.ErrFenced) {
		g.resign("fenced")
		return false
	}
	if err == nil {
		g.leader.reported[window] = true
	}
	return err == nil
}
