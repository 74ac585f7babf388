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

// reportUsage decides and reports the windows that have settled.
func (g *Gateway) reportUsage(now time.Time, t port.Tenure) {
	length := g.opts.UsageWindow
	if length <= 0 {
		return
	}
	wall := g.clock.Wall(now)
	newest := usage.Window(wall.Add(-usageSettle), length) - 1
	oldest := usage.Window(wall.Add(-g.opts.UsageDue), length)
	sums := usage.NewSums()
	for _, r := range g.presence.All() {
		sums.Tell(r.Key(), r.Usage)
	}
	sums.Tell(g.opts.Host+"/"+g.opts.Incarnation, g.usage.Recent())
	sent := 0
	for k := oldest; k <= newest && sent < reportsPerTick; k++ {
		if g.duties.reported[k] || g.awaitsCounts(wall, k) {
			continue
		}
		counts, ok := g.decideUsage(k, sums)
		if !ok {
			return
		}
		if len(counts) == 0 {
			g.duties.reported[k] = true
			continue
		}
		sent++
		if !g.sendUsage(t, k, counts) {
			return
		}
	}
}

// awaitsCounts reports whether counts of a window may still come: a host that is cut
// off from the store serves on, and tells them when it is back.
func (g *Gateway) awaitsCounts(wall time.Time, k int64) bool {
	end := time.Unix(0, (k+1)*g.opts.UsageWindow.Nanoseconds())
	if _, decided := g.duties.decided[k]; decided || !wall.Before(end.Add(g.opts.UsageDue-usageMargin)) {
		return false
	}
	// A host that fell silent before the window began has likely served little in it,
	// if it is there at all.
	begin := end.Add(-g.opts.UsageWindow)
	for _, r := range g.presence.Within(cutMost) {
		if r.State != presence.StateLeaving && r.Wall >= begin.UnixMilli() && r.Wall < end.UnixMilli() {
			return true
		}
	}
	return false
}

// decideUsage returns the counts of a window as they were first recorded.
func (g *Gateway) decideUsage(k int64, sums *usage.Sums) (usage.Counts, bool) {
	d := g.duties
	if counts, ok := d.decided[k]; ok {
		return counts, true
	}
	counts := sums.Total(k)
	if len(counts) == 0 {
		return nil, true
	}
	if _, err := g.appendDuty(dutyRecord{Usage: &decidedUsage{k, counts}}); err != nil {
		if errors.Is(err, port.ErrStoreConflict) {
			// Someone took over, or an append whose answer was lost has landed.
			g.settleConflict()
		}
		return nil, false
	}
	return counts, true
}

// settleConflict reads what was appended and gives the duties up if another host
// took them.
func (g *Gateway) settleConflict() {
	before := g.duties.end
	ctx, cancel := context.WithTimeout(g.context(), storeSlack)
	defer cancel()
	page, err := g.ports.Store.Read(ctx, port.TopicDuties, before, 0)
	if err != nil {
		g.log.Warn().Str("event", "duties_unread").Int64("from", before).Err(err).Msg("")
		return
	}
	for _, r := range page.Records {
		g.learnDuty(r)
		var record dutyRecord
		if json.Unmarshal(r.Value, &record) == nil && record.Taker != "" {
			g.resign(time.Now(), "taken by "+record.Taker)
		}
	}
	g.duties.end = page.End
}

func (g *Gateway) sendUsage(t port.Tenure, window int64, counts usage.Counts) bool {
	ctx, cancel := context.WithTimeout(g.context(), dutyTimeout)
	defer cancel()
	err := g.ports.Duties.ReportUsage(ctx, t, window, counts)
	g.dutyCall("usage", err)
	e := g.log.Info().Str("event", "usage_report").Int64("window", window).Int64("fence", t.Fence).Int("workspaces", len(counts))
	if err != nil {
		e.Err(err)
	}
	e.Msg("")
	if errors.Is(err, port.ErrFenced) {
		g.resign(time.Now(), "fenced")
		return false
	}
	if err == nil {
		g.duties.reported[window] = true
	}
	return err == nil
}
