package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/port"
)

// listReadsIn returns how often the platform's host list is read within a
// duration.
func (c *cluster) listReadsIn(d time.Duration) int {
	read := func() int {
		c.cloud.mu.Lock()
		defer c.cloud.mu.Unlock()
		return c.cloud.lists
	}
	before := read()
	time.Sleep(d)
	synctest.Wait()
	return read() - before
}

// TestHostListThroughRelays guards against reads of the platform's host list
// that grow with the number of hosts instead of relays, and against hosts that
// miss a new host because one of their relays is gone.
func TestHostListThroughRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const hosts = 8
		c := newCluster(t, hosts)
		time.Sleep(time.Minute) // until all hosts agree on the relays
		const seconds = 30
		reads := c.listReadsIn(seconds * time.Second)
		is.True(reads <= relaysPerZone*(seconds+1)) // each relay polls once a second

		for i, n := range c.nodes {
			if p := n.relays.list(); p[0].Address == "" {
				c.kill(i)
				break
			}
		}
		c.cloud.mu.Lock()
		c.cloud.hosts = append(c.cloud.hosts, port.Host{ID: "new", Role: port.RoleEndpoint, Service: testService, Zone: "jos-a"})
		c.cloud.mu.Unlock()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		for _, n := range c.nodes {
			if !n.tomb.Alive() {
				continue
			}
			_, known := n.hosts.get("new")
			is.True(known)
		}
	})
}
