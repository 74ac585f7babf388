package gateway

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/placement"
	"github.com/cicadanotch/cicadanotch/port"
)

// startRegion starts hosts of one region that reach each other, and engines.
func startRegion(t *testing.T, hosts, engines int) (*testPlatform, *memoryPeers) {
	t.Helper()
	tp := newTestPlatform()
	tp.publish()
	for i := range engines {
		tp.store.put(port.TopicEndpoints, fmt.Sprint("e", i), endpoint(fmt.Sprint("e", i), "llm"))
	}
	tp.endpoints.respond = func(ctx context.Context, f *port.Forward, _ int) (*port.Reply, error) {
		return streamReply(ctx, f, io.EOF, 100*time.Millisecond, events(1, 3)...), nil
	}
	peers := tp.startZone(t, hosts)
	time.Sleep(6 * time.Second)
	return tp, peers
}

func (tp *testPlatform) placerOf(g *Gateway) *Gateway {
	placer, ok := g.currentPlacer(time.Now())
	if !ok {
		return nil
	}
	return tp.hostNamed(placer.Host)
}

// TestPlacerSpreadsRequests: requests that reach different hosts at the same moment go to different
// engines, and nothing is booked any longer once they have ended.
func TestPlacerSpreadsRequests(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp, peers := startRegion(t, 4, 4)
		placer := tp.placerOf(tp.hosts[0])
		for _, g := range tp.hosts {
			is.Equal(tp.placerOf(g), placer) // all have chosen the same one
		}
		for round := range 10 {
			for i, g := range tp.hosts {
				go sendRequest(t.Context(), g, fmt.Sprintf("r%d-%d", round, i), "stream")
			}
			time.Sleep(50 * time.Millisecond)
			used := map[string]bool{}
			for i := range tp.hosts {
				used[tp.endpoints.attempts(fmt.Sprintf("r%d-%d", round, i))[0].Endpoint] = true
			}
			is.Equal(len(used), 4)
			time.Sleep(time.Second)
		}
		is.True(peers.count(methodPlace) >= 30) // the placer's own requests need no call
		is.Equal(len(placer.placer.table.OwnLoads()), 0)
		placer.placer.mu.Lock()
		is.Equal(len(placer.placer.placements), 0)
		placer.placer.mu.Unlock()
	})
}

// TestPlacerDoesNotAnswer: a host whose placer is silent chooses on its own within placeTimeout, without
// a call for a while, and uses the placer again later.
func TestPlacerDoesNotAnswer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp, peers := startRegion(t, 4, 2)
		placer := tp.placerOf(tp.hosts[0])
		g := tp.hosts[0]
		if g == placer {
			g = tp.hosts[1]
		}
		peers.setUnresponsive(placer.opts.Peer, true)
		began := time.Now()
		is.Equal(sendRequest(t.Context(), g, "first", "stream").status, 200)
		is.Equal(time.Since(began), placeTimeout+300*time.Millisecond) // and three events
		is.True(strings.Contains(tp.log(), `"dependency":"placer/`))
		calls := peers.count(methodPlace)
		is.Equal(sendRequest(t.Context(), g, "second", "stream").status, 200)
		is.Equal(peers.count(methodPlace), calls)
		peers.setUnresponsive(placer.opts.Peer, false)
		time.Sleep(2 * time.Second)
		is.Equal(sendRequest(t.Context(), g, "third", "stream").status, 200)
		is.True(peers.count(methodPlace) > calls)
	})
}

// TestPlacementOfLostHostExpires: a host that asks for a placement and is never heard of again does not
// keep an engine booked past the end of its request.
func TestPlacementOfLostHostExpires(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp, _ := startRegion(t, 3, 2)
		placer := tp.placerOf(tp.hosts[0])
		req := placeRequest{Service: "llm", Zone: "a", Prompt: 9000, Answer: 50, Remaining: 3 * time.Second}
		reply, err := placer.placeForRegion(time.Now(), req)
		is.NoErr(err)
		is.True(reply.Endpoint != "")
		is.Equal(placer.placer.table.OwnLoads()[reply.Endpoint].Requests, 1)
		time.Sleep(5 * time.Second)
		is.Equal(len(placer.placer.table.OwnLoads()), 0)
	})
}

// TestPlacerRespectsTheCaller: an endpoint that the asking host has tried is not chosen, one that is
// suspect there only if there is no other.
func TestPlacerRespectsTheCaller(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp, _ := startRegion(t, 3, 2)
		placer := tp.placerOf(tp.hosts[0])
		place := func(excluded, suspect []string) string {
			reply, err := placer.placeForRegion(time.Now(), placeRequest{
				Service: "llm", Zone: "a", Prompt: 900, Answer: 50, Excluded: excluded, Suspect: suspect, Remaining: time.Second,
			})
			is.NoErr(err)
			return reply.Endpoint
		}
		is.Equal(place([]string{"e0"}, nil), "e1")
		is.Equal(place(nil, []string{"e1"}), "e0")
		is.Equal(place([]string{"e0"}, []string{"e1"}), "e1")
		is.Equal(place([]string{"e0", "e1"}, nil), "")
	})
}

// TestLoadsOfOtherRegion: what another placer has sent counts once, and not the reports of its hosts
// beside it; when it falls silent, the reports count.
func TestLoadsOfOtherRegion(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp, _ := startRegion(t, 3, 2)
		placer := tp.placerOf(tp.hosts[0])
		now := time.Now()
		live := placer.presence.Live()
		for i := range live {
			live[i].Placer, live[i].Loads = "far", map[string]placement.Load{"e0": {Requests: 2, Prefill: 100}}
		}
		_, err := placer.serveLoads(t.Context(), []byte(`{"host":"far","loads":{"e0":{"n":3,"p":700}}}`))
		is.NoErr(err)
		is.Equal(placer.placerPeerLoads(now, live)["e0"], placement.Load{Requests: 3, Prefill: 700})
		is.Equal(placer.placerPeerLoads(now.Add(2*loadTTL), live)["e0"], placement.Load{Requests: 4, Prefill: 200})
		for i := range live {
			live[i].Placer = placer.opts.Host
		}
		is.Equal(placer.placerPeerLoads(now.Add(2*loadTTL), live)["e0"], placement.Load{}) // booked in its own table
	})
}
