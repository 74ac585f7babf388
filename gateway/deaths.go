package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/quarantine"
	"github.com/cicadanotch/cicadanotch/rendezvous"
)

// methodDeaths tells a host of deaths of endpoints.
const methodDeaths = "gateway.deaths"

const (
	// deathNoticeDelay and clearanceNoticeDelay are how long a host gathers deaths and what clears them before it
	// tells the others: endpoints end many at a time, and their requests are answered elsewhere one by one.
	deathNoticeDelay     = 20 * time.Millisecond
	clearanceNoticeDelay = 300 * time.Millisecond
	// appendDelay is how long a host gathers records before it appends them, appendInterval the least time between two
	// such calls: they are billed, and the other hosts have been told.
	appendDelay    = 100 * time.Millisecond
	appendInterval = time.Second
	// maxNotifiedHosts bounds the hosts that are told of a death at once; the others read it with the reports of
	// hosts. notifyTimeout bounds one such call.
	maxNotifiedHosts = 32
	notifyTimeout    = 800 * time.Millisecond
	// deathKeyPrefix begins the keys of records of deaths among the reports of hosts, deathMark their values, so that
	// a host of an earlier version does not take one for a report.
	deathKeyPrefix = "death/"
	deathMark      = "death "
)

// publish tells the other hosts, after a delay at most, of deaths or of what is new of them.
func (g *Gateway) publish(delay time.Duration, deaths ...quarantine.Death) {
	if len(deaths) == 0 {
		return
	}
	if g.quarantine.gather(time.Now().Add(delay), deaths) {
		time.AfterFunc(delay, g.notifyHosts)
	}
	starts := false
	for _, d := range deaths {
		starts = g.quarantine.enqueue(g.deathKey(d), d) || starts
	}
	if starts {
		go g.sendDeaths()
	}
}

// deathKey returns the key of this host's record of a death. What several hosts had running there is merged.
func (g *Gateway) deathKey(d quarantine.Death) string {
	return deathKeyPrefix + d.Endpoint + "/" + d.Incarnation + "/" + g.opts.Host
}

// enqueue adds a record to those to be appended. It reports whether the caller has to run sendDeaths.
func (q *quarantineState) enqueue(key string, d quarantine.Death) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	merged, known := q.own[key]
	if !known {
		merged = quarantine.Death{Endpoint: d.Endpoint, Incarnation: d.Incarnation, Zone: d.Zone, At: d.At}
	}
	merged.Merge(d)
	q.own[key], q.unsent[key] = merged, true
	starts := !q.sending
	q.sending = true
	return starts
}

// takeUnsent returns the records to append, with the removals of expired ones. Without any it ends the sending.
func (q *quarantineState) takeUnsent(now time.Time, wall func(time.Time) time.Time) ([]port.TopicRecord, []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var records []port.TopicRecord
	var keys []string
	for key := range q.unsent {
		d := q.own[key]
		d.At = wall(d.At)
		raw, err := json.Marshal(d)
		if err != nil {
			continue // not reached: a death holds only strings, numbers and a time
		}
		records, keys = append(records, port.TopicRecord{Key: key, Value: append([]byte(deathMark), raw...)}), append(keys, key)
	}
	if len(records) == 0 {
		q.sending = false
		return nil, nil
	}
	q.unsent = map[string]bool{}
	for key, at := range q.listed {
		if now.Sub(at) > quarantine.SuspicionTTL {
			records = append(records, port.TopicRecord{Key: key})
		}
	}
	for key, d := range q.own {
		if now.Sub(d.At) > quarantine.SuspicionTTL {
			delete(q.own, key)
		}
	}
	return records, keys
}

// returnUnsent undoes takeUnsent for records that could not be appended.
func (q *quarantineState) returnUnsent(keys []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, key := range keys {
		q.unsent[key] = true
	}
}

// sendDeaths appends records until there are none left. One that fails is repeated with a growing delay.
func (g *Gateway) sendDeaths() {
	backoff := minBackoff
	pause(g.context(), appendDelay)
	for g.tomb.Alive() {
		began := time.Now()
		records, keys := g.quarantine.takeUnsent(began, g.clock.Wall)
		if len(records) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(g.context(), port.StoreReplyTimeout)
		_, err := g.ports.Store.Append(ctx, port.TopicHosts, port.Unconditional, records...)
		cancel()
		g.observeStore("append", began, time.Now(), err)
		if err == nil {
			backoff = minBackoff
			pause(g.context(), appendInterval)
			continue
		}
		g.log.Warn().Str("event", "deaths_not_recorded").Int("records", len(records)).Err(err).Msg("")
		g.quarantine.returnUnsent(keys)
		pause(g.context(), backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// repeatDeaths appends this host's records again that a snapshot lacks: the store may have returned from an older
// copy.
func (g *Gateway) repeatDeaths(snapshot []port.TopicRecord) {
	if g.quarantine.enqueueMissing(snapshot) {
		go g.sendDeaths()
	}
}

// enqueueMissing enqueues this host's records that a snapshot lacks. The result is as for enqueue.
func (q *quarantineState) enqueueMissing(records []port.TopicRecord) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.listed = map[string]time.Time{}
	present := map[string]bool{}
	for _, r := range records {
		present[r.Key] = true
	}
	for key := range q.own {
		if !present[key] {
			q.unsent[key] = true
		}
	}
	starts := !q.sending && len(q.unsent) > 0
	q.sending = q.sending || starts
	return starts
}

// receiveDeaths adds the deaths among the records of a page of the hosts' reports, and returns the other records.
func (g *Gateway) receiveDeaths(now time.Time, records []port.TopicRecord) []port.TopicRecord {
	var others []port.TopicRecord
	for _, r := range records {
		switch {
		case !strings.HasPrefix(r.Key, deathKeyPrefix):
			others = append(others, r)
		case r.Removed():
			g.quarantine.unlist(r.Key)
		default:
			var d quarantine.Death
			if err := json.Unmarshal(bytes.TrimPrefix(r.Value, []byte(deathMark)), &d); err != nil {
				g.log.Warn().Str("event", "death_unreadable").Str("key", r.Key).Int64("offset", r.Offset).Err(err).Msg("")
				continue
			}
			g.quarantine.list(r.Key, g.addDeath(now, d, r.Key))
		}
	}
	return others
}

// addDeath adds a record of another host and returns the time of the death. The record holds a wall-clock time, the
// result is a time of this host's steady clock.
func (g *Gateway) addDeath(now time.Time, d quarantine.Death, by string) time.Time {
	d.At = now.Add(-max(g.clock.Wall(now).Sub(d.At), 0))
	if g.quarantine.table.Add(now, d) && len(d.Cleared)+len(d.ClearedParts) == 0 {
		g.logDeath(d, by)
	}
	return d.At
}

// gather adds deaths to the next notice, which is due at a time or before. It reports whether none is due by then, so
// that the caller has to send one.
func (q *quarantineState) gather(due time.Time, deaths []quarantine.Death) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.untold = append(q.untold, deaths...)
	if !q.noticeDue.IsZero() && !due.Before(q.noticeDue) {
		return false
	}
	q.noticeDue = due
	return true
}

func (q *quarantineState) takeUntold() []quarantine.Death {
	q.mu.Lock()
	defer q.mu.Unlock()
	untold := q.untold
	q.untold, q.noticeDue = nil, time.Time{}
	return untold
}

// notifyHosts tells other hosts of the deaths gathered. One that does not answer reads them with the reports of hosts.
func (g *Gateway) notifyHosts() {
	deaths := g.quarantine.takeUntold()
	if len(deaths) == 0 || g.ports.Peers == nil || !g.tomb.Alive() {
		return
	}
	notice := deathNotice{By: g.opts.Host}
	for _, d := range deaths {
		d.At = g.clock.Wall(d.At)
		notice.Deaths = append(notice.Deaths, d)
	}
	_, addresses := g.recordHosts()
	delete(addresses, g.opts.Host)
	for _, host := range rendezvous.Top(deaths[0].Endpoint, slices.Collect(maps.Keys(addresses)), maxNotifiedHosts) {
		go func() {
			ctx, cancel := context.WithTimeout(g.context(), notifyTimeout)
			defer cancel()
			if err := g.ports.Peers.Call(ctx, addresses[host], methodDeaths, notice, nil); err != nil {
				g.log.Info().Str("event", "death_untold").Str("peer", host).Int("deaths", len(deaths)).Err(err).Msg("")
			}
		}()
	}
}

type deathNotice struct {
	By     string             `json:"by"`
	Deaths []quarantine.Death `json:"deaths"`
}

func (g *Gateway) serveDeaths(_ context.Context, params json.RawMessage) (any, error) {
	var n deathNotice
	if err := json.Unmarshal(params, &n); err != nil {
		return nil, errors.Wrap(err, "decode deaths")
	}
	for _, d := range n.Deaths {
		g.addDeath(time.Now(), d, n.By)
	}
	return struct{}{}, nil
}

func (q *quarantineState) list(key string, at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.listed[key] = at
}

func (q *quarantineState) unlist(key string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.listed, key)
}
