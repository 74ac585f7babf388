package node

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/config"
	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/quarantine"
	"github.com/cicadanotch/cicadanotch/request"
)

// downLog is a log that is unavailable.
type downLog struct{}

// Append implements port.Log.
func (downLog) Append(context.Context, []byte) (int64, error) { return 0, port.ErrLogUnavailable }

// Read implements port.Log.
func (downLog) Read(ctx context.Context, _ int64, _ int, wait time.Duration) (port.Page, error) {
	delay(ctx, wait)
	return port.Page{}, port.ErrLogUnavailable
}

// TestQuarantineWithoutLog records two deaths at one host while the log is unavailable.
// The other hosts must quarantine the request within a second. A host that starts after
// the one that saw the deaths is gone must do so too.
func TestQuarantineWithoutLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const suspect = 7
		cloud := &fakeCloud{}
		peers := &fakePeers{nodes: map[string]*Node{}}
		for i := range 4 {
			id := fmt.Sprintf("entry-%d", i)
			cloud.hosts = append(cloud.hosts, port.Host{ID: id, Role: port.RoleEntry, Region: "plateau", Zone: "jos-a", State: port.HostLive, PeerAddress: id})
		}
		start := func(id string) *Node {
			n := New(Settings{
				Host: id, Region: "plateau", Zone: "jos-a", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
				PollInterval: config.Duration(time.Second), LoadInterval: config.Duration(time.Second),
			}, Ports{Log: downLog{}, Cloud: cloud, Services: newFakeServices(), Peers: peers, Engine: fakeEngine{}})
			n.Start()
			t.Cleanup(func() { _ = n.Stop() })
			peers.set(id, n)
			return n
		}
		verdict := func(n *Node) quarantine.Verdict { return n.quarantine.Judge(time.Now(), suspect, nil).Verdict }
		first, second, third := start("entry-0"), start("entry-1"), start("entry-2")
		time.Sleep(3 * time.Second)
		for _, endpoint := range []string{"a", "b"} {
			first.publishDeath(quarantine.Death{Endpoint: endpoint, Zone: "jos-a", At: time.Now(), Running: []uint64{suspect}})
		}
		time.Sleep(time.Second)
		for _, n := range []*Node{first, second, third} {
			is.Equal(verdict(n), quarantine.VerdictQuarantine)
		}
		peers.set("entry-0", nil)
		first.tomb.Kill(nil)
		newcomer := start("entry-3")
		time.Sleep(4 * deathSyncInterval) // each exchange is with one peer, and one peer is gone
		is.Equal(verdict(newcomer), quarantine.VerdictQuarantine)
	})
}

// TestLethalMessageIsRefusedAtEveryHost guards against chats that crash engines by one message and are refused only
// where the crashes were seen, and against refusing chats that share the other messages.
func TestLethalMessageIsRefusedAtEveryHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cloud := &fakeCloud{}
		peers := &fakePeers{nodes: map[string]*Node{}}
		var nodes []*Node
		ids := []string{"entry-0", "entry-1"}
		for _, id := range ids {
			cloud.hosts = append(cloud.hosts, port.Host{ID: id, Role: port.RoleEntry, Region: "plateau", Zone: "jos-a", State: port.HostLive, PeerAddress: id})
		}
		for _, id := range ids {
			n := New(Settings{
				Host: id, Region: "plateau", Zone: "jos-a", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
				PollInterval: config.Duration(time.Second), LoadInterval: config.Duration(time.Second),
			}, Ports{Log: downLog{}, Cloud: cloud, Services: newFakeServices(), Peers: peers, Engine: fakeEngine{}})
			n.Start()
			t.Cleanup(func() { _ = n.Stop() })
			peers.set(id, n)
			nodes = append(nodes, n)
		}
		chat := func(messages ...string) *request.Request {
			body := `{"model":"m","messages":[`
			for i, m := range messages {
				if i > 0 {
					body += ","
				}
				body += fmt.Sprintf(`{"role":"user","content":%q}`, m)
			}
			p, err := request.ParsePrompt(port.APIChat, []byte(body+"]}"))
			is.NoErr(err)
			return &request.Request{Service: "s", Parts: quarantine.PartKeys(p.Shared)}
		}
		time.Sleep(3 * time.Second)
		for i, endpoint := range []string{"a", "b", "c"} {
			killer := chat("you are helpful", "lethal", fmt.Sprint("question ", i))
			nodes[0].publishDeath(quarantine.Death{Endpoint: endpoint, Zone: "jos-a", At: time.Now(), Running: []uint64{uint64(i)}, Parts: killer.Parts})
			time.Sleep(time.Second)
		}
		nodes[0].publishRecords(nodes[0].quarantine.ClearParts(time.Now(), chat("you are helpful", "hello").Parts))
		time.Sleep(time.Second)
		for _, n := range nodes {
			var guard problem.Guard
			p := n.refuseQuarantined(chat("lethal", "another question"), &guard)
			is.True(p != nil && p.Type == problem.TypeQuarantined && p.Run == problem.RunNot)
			is.True(n.refuseQuarantined(chat("you are helpful", "hello"), &guard) == nil)
			is.True(n.refuseQuarantined(chat("lethal"), &guard) == nil) // its own part, which no other request has
		}
	})
}
