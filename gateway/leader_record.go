package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/rollout"
	"github.com/cicadanotch/cicadanotch/usage"
)

// leaderRecord is a record of the leader topic. Either Leader and Wall are set, or Usage, or Rollout.
//
// The topic is appended to only if it has not grown since it was read, so its order is the order of
// the decisions: no record of an earlier leader follows a takeover.
type leaderRecord struct {
	// Leader is the host that takes the leadership; the fencing token follows from the record's
	// position (see fencingToken).
	Leader string `json:"taker,omitempty"`
	// Era is the era of the store in which the record was written.
	Era port.Era `json:"era,omitempty"`
	// Wall is when it was taken, in Unix milliseconds by the new leader's clock.
	Wall int64 `json:"wall,omitempty"`
	// Usage is the usage to report for a window, written before the report is sent: every repeated
	// report, by whichever leader, has the same counts.
	Usage *decidedUsage `json:"usage,omitempty"`
	// Rollout is the state of an order to move a service to another version.
	Rollout *rollout.Record `json:"rollout,omitempty"`
	// UnknownUntil is the end, in Unix milliseconds, of the time in which windows may have been decided whose records
	// are lost with an earlier era. Every record has it, as each may be the only one left of its era.
	UnknownUntil int64 `json:"unknown_until,omitempty"`
	// Decided holds, in the first takeover of an era, the counts of windows that the new leader knows from before.
	Decided map[int64]usage.Counts `json:"decided,omitempty"`
}

// eraShift is the number of bits of a fencing token that hold the offset; the era is above them.
const eraShift = 32

// fencingToken returns the fencing token of a takeover that was recorded at a position. The era comes
// first, because a later era gives out the offsets of an earlier one again.
func fencingToken(p port.Position) int64 { return int64(p.Era)<<eraShift + p.Offset + 1 }

type decidedUsage struct {
	Window int64        `json:"window"`
	Counts usage.Counts `json:"counts"`
}

// readLeaderRecords reads the leader topic to its end. If the records to read next have expired it
// returns ErrStoreExpired, and the next call continues at the first record that is left.
func (g *Gateway) readLeaderRecords() error {
	s := g.leader
	began := time.Now()
	ctx, cancel := context.WithTimeout(g.context(), port.StoreReplyTimeout)
	defer cancel()
	page, err := g.ports.Store.Read(ctx, port.TopicLeader, s.topicEnd, 0)
	g.observeStore("read", began, time.Now(), err)
	if errors.Is(err, port.ErrStoreExpired) {
		// Records that have expired are older than any usage report that is still due.
		s.topicEnd = page.First
	}
	if err == nil && page.Era != s.era {
		err = errEraChanged
	}
	if err != nil {
		g.log.Warn().Str("event", "duties_unread").Int64("from", s.topicEnd).Err(err).Msg("")
		return err
	}
	for _, r := range page.Records {
		g.applyLeaderRecord(r)
	}
	s.topicEnd = page.End
	return nil
}

// errEraChanged means that an answer of the store is of another era than the position that it was
// asked for. The next run of the leader tasks enters that era.
var errEraChanged = errors.New("the store has changed its era")

func (g *Gateway) applyLeaderRecord(r port.TopicRecord) {
	var record leaderRecord
	if err := json.Unmarshal(r.Value, &record); err != nil {
		g.log.Warn().Str("event", "duty_unreadable").Int64("offset", r.Offset).Err(err).Msg("")
		return
	}
	s := g.leader
	s.writtenInEra = record.Era
	for window, counts := range record.Decided {
		s.decide(window, counts)
		s.recorded[window] = true
	}
	if record.Leader != "" {
		s.takenByOther, s.takenAtWall = record.Leader != g.opts.Host, time.UnixMilli(record.Wall)
		s.ledLastEra = s.ledLastEra && (!s.takenByOther || record.Era != s.era)
	}
	if record.UnknownUntil != 0 {
		until := time.UnixMilli(record.UnknownUntil)
		s.recordedUnknown = later(s.recordedUnknown, until)
		if !s.ledLastEra {
			s.unknownUntil = later(s.unknownUntil, until)
		}
	}
	if record.Usage != nil {
		s.decide(record.Usage.Window, record.Usage.Counts)
		s.recorded[record.Usage.Window] = true
	}
	if record.Rollout != nil {
		g.rollouts.adopt(*record.Rollout)
	}
}

// appendLeaderRecord appends a record if the topic has not grown meanwhile. If the answer to an
// append is lost, the next read shows whether the record was appended.
func (g *Gateway) appendLeaderRecord(record leaderRecord) (port.Position, error) {
	s := g.leader
	record.Era = s.era
	record.UnknownUntil = max(record.UnknownUntil, millis(s.recordedUnknown))
	raw, err := json.Marshal(record)
	if err != nil {
		return port.Position{}, errors.Wrap(err, "encode leader record")
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(g.context(), port.StoreReplyTimeout)
	defer cancel()
	position, err := g.ports.Store.Append(ctx, port.TopicLeader, s.topicEnd, port.TopicRecord{Value: raw})
	g.observeStore("append", began, time.Now(), err)
	if err == nil && position.Era != s.era {
		// The record is in another history, at an offset that happens to be equal.
		err = errEraChanged
	}
	if err != nil {
		g.log.Warn().Str("event", "duty_not_recorded").Int64("at", s.topicEnd).Err(err).Msg("")
		return port.Position{}, err
	}
	s.topicEnd = position.Offset + 1
	g.applyLeaderRecord(port.TopicRecord{Offset: position.Offset, Value: raw})
	return position, nil
}
