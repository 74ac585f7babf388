package gateway

import (
	"slices"
	"time"

	"github.com/cicadanotch/cicadanotch/catalog"
	"github.com/cicadanotch/cicadanotch/port"
)

// configurationKey is the record key of the configuration.
const configurationKey = "config"

func (g *Gateway) followConfiguration() error {
	// There may be many versions a second, and decoding a large one takes milliseconds of CPU time:
	// only the newest one read is decoded.
	// held is the last record that was read while waiting is set.
	var held port.TopicRecord
	waiting := false
	newest := func(read feedRead, records []port.TopicRecord) {
		for _, r := range slices.Backward(records) {
			if r.Key == configurationKey && !r.Removed() {
				waiting = g.installConfiguration(read, r)
				held = r
				return
			}
		}
		if waiting {
			waiting = g.installConfiguration(read, held)
		}
	}
	f := &follower{
		g: g, topic: port.TopicConfiguration, pollTimeout: configPollTimeout, minInterval: minConfigInterval, lateAge: lateFeedAge,
		onSnapshot: func(read feedRead, records []port.TopicRecord, restored bool) {
			newest(read, records)
			g.receiveRollouts(records, restored)
			if !restored {
				g.withdrawRollouts(records)
			}
		},
		onRecords: func(read feedRead, records []port.TopicRecord) {
			newest(read, records)
			g.receiveRollouts(records, false)
		},
		onAnswer: func(time.Time, time.Duration) {},
	}
	return f.run()
}

// maxVersionWait is how long a process that has just started waits for a version as new as other hosts have in force:
// the time within which a version must be in force. After that the store has lost that version.
const maxVersionWait = 3 * time.Second

// isBehind reports whether another host has a later version in force than the first one that this process has read:
// a key that was withdrawn must not be accepted again.
func (g *Gateway) isBehind(version int64) bool {
	if g.hasConfig.Load() || time.Since(g.startedAt) > maxVersionWait {
		return false
	}
	for _, r := range g.presence.Live() {
		if r.Config > version {
			return true
		}
	}
	return false
}

// installConfiguration puts a record's version in force if it is newer. waiting is set if it is held back because other
// hosts have a later one.
func (g *Gateway) installConfiguration(read feedRead, r port.TopicRecord) (waiting bool) {
	snapshot, err := g.ports.DecodeConfiguration(r.Value)
	if err != nil {
		g.log.Error().Str("event", "configuration_unreadable").Int64("offset", r.Offset).Err(err).Msg("the previous version stays in force")
		return false
	}
	if g.isBehind(snapshot.Version) {
		g.log.Warn().Str("event", "configuration_behind").Int64("version", snapshot.Version).Str("source", read.source).Msg("other hosts have a later version in force")
		return true
	}
	before := g.catalog.Current()
	if before != nil && before.Version >= snapshot.Version {
		return false
	}
	g.noteRoutes(time.Now(), before, snapshot) // before a caller can continue a stream by the new version
	g.catalog.Install(snapshot)
	g.logWorkspaces(before, snapshot)
	if !g.hasConfig.Swap(true) {
		close(g.configured)
	}
	g.metrics.version.Set(float64(snapshot.Version))
	g.metrics.stateChanges.WithLabelValues("configuration").Inc()
	g.log.Info().Str("event", "configuration").Int64("version", snapshot.Version).Int64("offset", r.Offset).
		Str("source", read.source).Dur("read", read.at.Sub(read.began)).Int("bytes", len(r.Value)).
		Int("routes", len(snapshot.Routes)).Int("services", len(snapshot.Services)).Int("workspaces", len(snapshot.Workspaces)).Msg("in force")
	return false
}

// logWorkspaces logs the workspaces whose limit, priority or number of keys changed.
func (g *Gateway) logWorkspaces(before, after *catalog.Snapshot) {
	for _, w := range after.Workspaces {
		var old *catalog.Workspace
		if before != nil {
			old = before.Workspace(w.Name)
		}
		if old != nil && old.Limit == w.Limit && len(old.Keys) == len(w.Keys) && old.Priority == w.Priority {
			continue
		}
		g.log.Info().Str("event", "workspace").Str("workspace", w.Name).Int64("version", after.Version).Int("keys", len(w.Keys)).
			Int("priority", w.Priority).Float64("per_second", w.Limit.PerSecond).Float64("burst", w.Limit.Burst).Msg("")
	}
}
