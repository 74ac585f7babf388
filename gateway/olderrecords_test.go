package gateway

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/presence"
	"github.com/cicadanotch/cicadanotch/quarantine"
	"github.com/cicadanotch/cicadanotch/rollout"
)

// olderRecords are records that hosts of older builds have written to the store, a few of each kind.
//
//go:embed testdata/older_records.json
var olderRecords []byte

type olderRecord struct {
	// Build is the commit of the build.
	Build, Topic, Key, Value string
}

func readOlderRecords(t *testing.T) []olderRecord {
	t.Helper()
	var out []olderRecord
	is.New(t).NoErr(json.Unmarshal(olderRecords, &out))
	return out
}

// decodeOlder decodes the value of a record into the type that the present build has for it.
func decodeOlder(r olderRecord, value []byte) (any, error) {
	var target any
	switch {
	case strings.HasPrefix(r.Key, deathKeyPrefix):
		value, target = bytes.TrimPrefix(value, []byte(deathMark)), &quarantine.Death{}
	case r.Topic == string(port.TopicLeader):
		target = &leaderRecord{}
	case value[0] == '[':
		target = &[]presence.Report{}
	default:
		target = &presence.Report{}
	}
	return target, json.Unmarshal(value, target)
}

// TestOlderRecordsKeepTheirFields guards against a field of a record in the store that changes its name or type: hosts of
// two builds read each other's records while hosts are replaced.
func TestOlderRecordsKeepTheirFields(t *testing.T) {
	for _, r := range readOlderRecords(t) {
		t.Run(r.Build+" "+r.Topic+" "+r.Key, func(t *testing.T) {
			is := is.New(t)
			decoded, err := decodeOlder(r, []byte(r.Value))
			is.NoErr(err)
			again, err := json.Marshal(decoded)
			is.NoErr(err)
			var before, after any
			is.NoErr(json.Unmarshal([]byte(strings.TrimPrefix(r.Value, deathMark)), &before))
			is.NoErr(json.Unmarshal(again, &after))
			is.Equal(after, before)
		})
	}
}

// TestUnknownFieldsOfRecords guards against hosts that cannot read what a later build adds to a record.
func TestUnknownFieldsOfRecords(t *testing.T) {
	const added = `"added_later":{"a":[1,"b",null]},`
	for _, r := range readOlderRecords(t) {
		t.Run(r.Build+" "+r.Topic+" "+r.Key, func(t *testing.T) {
			is := is.New(t)
			want, err := decodeOlder(r, []byte(r.Value))
			is.NoErr(err)
			at := strings.Index(r.Value, "{") + 1
			got, err := decodeOlder(r, []byte(r.Value[:at]+added+r.Value[at:]))
			is.NoErr(err)
			is.Equal(got, want)
		})
	}
}

// TestHostReadsOlderRecords: a host that starts on a store that hosts of an older build have written to takes over their
// reports, the deaths of endpoints, the leader's usage and the state of a roll-out.
func TestHostReadsOlderRecords(t *testing.T) {
	builds := map[string][]olderRecord{}
	for _, r := range readOlderRecords(t) {
		builds[r.Build] = append(builds[r.Build], r)
	}
	is.New(t).Equal(len(builds), 2)
	for build, records := range builds {
		t.Run(build, func(t *testing.T) {
			is := is.New(t)
			tp := newTestPlatform()
			g := New(testOptions("h9"), Ports{Logger: &log.Logger{Writer: &log.IOWriter{Writer: tp}}})
			now := time.Now()
			deaths, windows := 0, 0
			for n, r := range records {
				record := port.TopicRecord{Offset: int64(n), Key: r.Key, Value: []byte(r.Value)}
				switch {
				case r.Topic == string(port.TopicLeader):
					g.applyLeaderRecord(record)
					windows += strings.Count(r.Value, `"usage"`)
				default:
					if strings.HasPrefix(r.Key, deathKeyPrefix) {
						deaths++
					}
					g.receiveReports(now, g.receiveDeaths(now, []port.TopicRecord{record}), false)
				}
			}
			g.presence.MarkRead(now)
			is.Equal(strings.Count(tp.log(), "unreadable"), 0)
			var hosts []string
			for _, r := range g.presence.Live() {
				is.Equal(r.State, presence.StateServing)
				is.Equal(r.Tunnel, "") // hosts of these builds carry no connections of others
				hosts = append(hosts, r.Host)
			}
			is.Equal(hosts, []string{"h0", "h1", "h2"})
			is.True(deaths > 0)
			is.Equal(len(g.quarantine.listed), deaths)
			is.True(windows > 0)
			is.Equal(len(g.leader.decided), windows)
			is.True(g.leader.takenByOther)
			taken := g.rollouts.recorded["llm"]
			is.Equal(taken.State, rollout.StateCompleted)
		})
	}
}
