package node

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/standin"
)

func mustJSON(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types of the tests always encode
	}
	return raw
}

func fromJSON(raw json.RawMessage, v any) {
	if v == nil {
		return
	}
	if err := json.Unmarshal(raw, v); err != nil {
		panic(err)
	}
}

// holder returns the index of the node that holds the lease and its fencing
// token, or -1 for none. It fails the test when two nodes hold the lease.
func (c *cluster) holder(name string) (int, int64) {
	held, fence := -1, int64(0)
	for i, n := range c.nodes {
		f, ok := n.lease(name)
		if !ok {
			continue
		}
		if held >= 0 {
			c.t.Fatalf("nodes %d and %d hold the lease", held, i)
		}
		held, fence = i, f
	}
	return held, fence
}

// TestLeaseTakeover guards against a lease that no other node takes over after
// its holder was killed, and against a new holder without a higher fencing
// token.
func TestLeaseTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		c.holder("capacity")
		time.Sleep(2 * time.Second)
		first, fence := c.holder("capacity")
		is.True(first >= 0) // one node took the lease
		_, early := c.nodes[first].leaseUnfenced("capacity")
		is.True(!early) // commands without a fencing check wait
		time.Sleep(6 * time.Second)
		_, ok := c.nodes[first].leaseUnfenced("capacity")
		is.True(ok)

		c.kill(first)
		second, next := first, fence
		for range 60 {
			time.Sleep(500 * time.Millisecond)
			second, next = c.holder("capacity")
			if second >= 0 && second != first {
				break
			}
		}
		is.True(second >= 0 && second != first) // another node took over
		is.True(next > fence)
	})
}

// TestLeaseInLogOutage guards against a lease that stays valid beyond its TTL
// when the holder cannot renew it because appends to the log fail, and against a
// change of the holder meanwhile.
func TestLeaseInLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		c.holder("capacity")
		time.Sleep(2 * time.Second)
		first, fence := c.holder("capacity")
		is.True(first >= 0)

		c.faults.Add(standin.Fault{Point: standin.PointAppend, Action: standin.ActionFail})
		for range 100 {
			time.Sleep(300 * time.Millisecond)
			if held, f := c.holder("capacity"); held >= 0 {
				is.Equal(held, first)
				is.Equal(f, fence)
			}
		}
		held, _ := c.holder("capacity")
		is.Equal(held, -1) // the lease has expired and no node could take over

		c.faults.Remove(standin.PointAppend)
		for range 60 {
			time.Sleep(500 * time.Millisecond)
			c.holder("capacity")
		}
		held, next := c.holder("capacity")
		is.True(held >= 0)
		is.True(next > fence)
	})
}

// TestLeaseRelease guards against a released lease that other nodes take over
// only after its TTL.
func TestLeaseRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		c.holder("capacity")
		time.Sleep(2 * time.Second)
		first, fence := c.holder("capacity")
		is.True(first >= 0)
		c.cloud.remove(c.nodes[first].settings.Host)
		time.Sleep(2 * time.Second)
		c.nodes[first].releaseLeases(t.Context())
		_, ok := c.nodes[first].lease("capacity")
		is.True(!ok)
		time.Sleep(3 * time.Second) // far less than the TTL of the lease
		second, next := c.holder("capacity")
		is.True(second >= 0 && second != first)
		is.True(next > fence)
	})
}
