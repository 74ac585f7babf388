package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/fleet"
	"github.com/cicadanotch/cicadanotch/port"
)

// startBehind returns hosts that have version 2 in force, without the key of version 1, and one of them that is about
// to be restarted while the store holds version 1 only.
func startBehind(t *testing.T) (*testPlatform, *memoryPeers, *Gateway) {
	tp, peers := startRegions(t, 3, startInterval)
	tp.endpoints.respond = func(_ context.Context, f *port.Forward, _ int) (*port.Reply, error) {
		return completeReply(f, 200, "ok"), nil
	}
	withdrawn := configuration(2)
	withdrawn.Workspaces[0].Keys = []string{"other"}
	tp.store.put(port.TopicConfiguration, configurationKey, withdrawn)
	time.Sleep(inForce)
	tp.store.restoreAll(inForce + 100*time.Millisecond)
	time.Sleep(3 * time.Second)
	for _, g := range tp.hosts {
		if g.opts.Region == "r1" && g != tp.regionRelay(g) {
			return tp, peers, g
		}
	}
	t.Fatal("no host that is not the relay")
	return nil, nil, nil
}

// TestRestartedHostAcceptsNoWithdrawnKey guards against a key that was withdrawn and is accepted again by a process that
// starts anew and reads an older version than the other hosts have in force.
func TestRestartedHostAcceptsNoWithdrawnKey(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp, peers, old := startBehind(t)
		fresh := tp.restart(t, peers, old, 700*time.Millisecond)
		for n := range 60 {
			if n == 40 {
				withdrawn := configuration(2)
				withdrawn.Workspaces[0].Keys = []string{"other"}
				tp.store.put(port.TopicConfiguration, configurationKey, withdrawn)
			}
			r := sendRequest(t.Context(), fresh, "req", "get")
			is.True(r.status == 503 || r.status == 401) // not known yet, or not accepted
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(inForce)
		is.Equal(fresh.catalog.Current().Version, int64(2))
		is.True(fresh.Ready())
	})
}

// TestRestartedHostServesWhatIsLeft: if the later version does not return, the host serves by the one that the store has.
func TestRestartedHostServesWhatIsLeft(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp, peers, old := startBehind(t)
		fresh := tp.restart(t, peers, old, 700*time.Millisecond)
		time.Sleep(maxVersionWait + 2*configPollTimeout)
		is.True(fresh.Ready())
		is.Equal(fresh.catalog.Current().Version, int64(1))
	})
}

// TestRestartedHostKnowsWhatLeft guards against an endpoint that has left, or is leaving, and is used again by a process
// that starts anew and remembers nothing of it.
func TestRestartedHostKnowsWhatLeft(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp, peers := startRegions(t, 3, startInterval)
		for _, id := range []string{"stays", "drains", "goes"} {
			tp.store.put(port.TopicEndpoints, id, endpoint(id, "new"))
		}
		time.Sleep(inForce)
		leaving := endpoint("drains", "new")
		leaving.State = fleet.StateDraining
		tp.store.put(port.TopicEndpoints, "drains", leaving)
		tp.store.remove(port.TopicEndpoints, "goes")
		time.Sleep(inForce)
		fresh := tp.restart(t, peers, tp.hosts[0], 700*time.Millisecond)
		for range 60 {
			for _, v := range fresh.fleet.Usable(time.Now(), "new") {
				is.Equal(v.ID, "stays")
			}
			time.Sleep(50 * time.Millisecond)
		}
		is.Equal(len(fresh.fleet.Usable(time.Now(), "new")), 1)
	})
}
