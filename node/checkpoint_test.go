package node

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/fold"
	"github.com/cicadanotch/cicadanotch/publish"
	"github.com/cicadanotch/cicadanotch/relay"
	"github.com/cicadanotch/cicadanotch/standin"
)

// TestCheckpointWanted guards against checkpoints that are written too late, so
// that the latest one ages out of the log, or too early.
func TestCheckpointWanted(t *testing.T) {
	day := 24 * time.Hour
	for name, tc := range map[string]struct {
		in   checkpointInput
		age  time.Duration
		want bool
	}{
		"empty log":                   {checkpointInput{next: 1, oldest: 1, end: 1, retention: day}, day, false},
		"few records, young":          {checkpointInput{next: 10, oldest: 1, end: 10, retention: day}, time.Hour, false},
		"few records, a third passed": {checkpointInput{next: 10, oldest: 1, end: 10, retention: day}, 8 * time.Hour, true},
		"many records":                {checkpointInput{next: maxRecordsSinceCheckpoint + 1, oldest: 1, end: maxRecordsSinceCheckpoint + 1, retention: day}, 0, true},
		"in the newer half":           {checkpointInput{latest: fold.Checkpoint{Offset: 160, Next: 160}, next: 200, oldest: 100, end: 200, retention: day}, 0, false},
		"in the older half":           {checkpointInput{latest: fold.Checkpoint{Offset: 140, Next: 140}, next: 200, oldest: 100, end: 200, retention: day}, 0, true},
		"aged out":                    {checkpointInput{latest: fold.Checkpoint{Offset: 50, Next: 50}, next: 200, oldest: 100, end: 200, retention: day}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tc.in.needed(tc.age), tc.want)
		})
	}
}

// publishMany publishes count revisions, one a second, and returns the offset
// of the last.
func (c *cluster) publishMany(count int) int64 {
	c.t.Helper()
	is := is.New(c.t)
	current, err := publish.Get(c.t.Context(), c.log, testService)
	is.NoErr(err)
	base := current.Offset
	for i := range count {
		text := strings.Replace(testDocument(), `"kind"`, fmt.Sprintf(`"priority": %d, "kind"`, i%100), 1)
		base, err = publish.Publish(c.t.Context(), c.log, testService, base, text)
		is.NoErr(err)
		time.Sleep(time.Second)
	}
	return base
}

// TestCheckpointsCarryState guards against state that is lost when the records
// of documents and claims age out of the log: a process that starts later must
// restore it from a checkpoint.
func TestCheckpointsCarryState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newClusterOn(t, 3, standin.LogOptions{MaxRecords: 60})
		is.Equal(c.awaitEnd(c.send(0, "key-1", "fan on")), ranOnce)
		revision := c.publishMany(150)
		page, err := c.log.Read(t.Context(), 1, 1, 0)
		is.True(err != nil)
		is.True(page.Oldest > 50) // the first document and the claim have aged out

		c.restart(2)
		time.Sleep(3 * time.Second)
		got, ok := c.nodes[2].documents.Service(testService)
		is.True(ok)
		is.Equal(got.Offset, revision)
		is.Equal(c.awaitEnd(c.send(2, "key-1", "fan on")), ranOnce) // the recorded answer, without a second run
		is.Equal(c.services.ran("fan on"), 1)

		// All processes must have reached the same state.
		digests := map[string]bool{}
		for _, n := range c.nodes {
			for n.tail.offset() < c.nodes[0].tail.offset() {
				time.Sleep(100 * time.Millisecond)
			}
			snap, err := n.tail.state.Snapshot()
			is.NoErr(err)
			snap.Next = 0
			digest, err := snap.Digest()
			is.NoErr(err)
			digests[digest] = true
		}
		is.Equal(len(digests), 1)
	})
}

// TestFallenOut guards against a process that does not recover after it was
// disconnected from the log until its next record had aged out.
func TestFallenOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newClusterOn(t, 3, standin.LogOptions{MaxRecords: 60})
		n := c.nodes[2]
		c.claimLog.disconnect(n.settings.Host)
		c.peers.refuse(relay.MethodRead, true)
		time.Sleep(3 * time.Second)
		before := n.tail.offset()
		revision := c.publishMany(150)
		is.True(n.Stale()) // peers are ahead: it leaves the address answers
		c.claimLog.disconnect("")
		c.peers.refuse(relay.MethodRead, false)
		time.Sleep(5 * time.Second)
		got, ok := n.documents.Service(testService)
		is.True(ok)
		is.Equal(got.Offset, revision)
		is.True(n.tail.offset() > before)
		is.True(!n.Stale())
	})
}

// TestStartWithLogDown guards against a process that cannot start while the log
// is unavailable: it must restore the state of the most advanced peer.
func TestStartWithLogDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		revision := c.publishMany(3)
		time.Sleep(time.Second)
		c.faults.Add(standin.Fault{Point: standin.PointRead, Action: standin.ActionFail})
		c.faults.Add(standin.Fault{Point: standin.PointAppend, Action: standin.ActionFail})
		c.restart(2)
		time.Sleep(5 * time.Second)
		got, ok := c.nodes[2].documents.Service(testService)
		is.True(ok)
		is.Equal(got.Offset, revision)
		is.True(!c.nodes[2].Stale())
	})
}

// TestOneCheckpointWriter guards against several hosts writing the same
// checkpoint.
func TestOneCheckpointWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 4)
		time.Sleep(5 * time.Minute)
		count := 0
		page, err := c.log.Read(t.Context(), 1, 1<<30, 0)
		is.NoErr(err)
		for _, r := range page.Records {
			if strings.Contains(string(r.Data), `"kind":"checkpoint"`) {
				count++
			}
		}
		is.Equal(count, 2) // one per third of the retention time
	})
}
