package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/platform/platformtest"
)

// TestRolloutOverTheWire orders a good and a bad version through the store's own interface: the operator reads how the
// order ended, and after it requests go to one version only.
func TestRolloutOverTheWire(t *testing.T) {
	for name, tc := range map[string]struct {
		behaviour platformtest.Behaviour // of the target's endpoints
		status    string
		left      string // version that gets nothing after the end
	}{
		"good": {platformtest.Serve, `{"state":"completed","target":"v2"}`, "v1"},
		"bad":  {platformtest.Fail, `{"state":"rolled_back","target":"v2"}`, "v2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t)
			t.Cleanup(func() { d.cancel(); is.NoErr(<-d.done) })
			d.configure(1, "")
			endpoints := map[string]*platformtest.Endpoint{}
			for _, version := range []string{"v1", "v2"} {
				behaviour := platformtest.Serve
				if version == "v2" {
					behaviour = tc.behaviour
				}
				e := platformtest.NewEndpoint("i-"+version, func(string, int) platformtest.Behaviour { return behaviour })
				t.Cleanup(e.Close)
				e.SetSoftware(version)
				endpoints[version] = e
				d.store.Register(e.ID, e.Entry("api", "a", "ready"))
			}
			d.awaitReady(2)
			d.store.OrderRollout("api", "v2", 5)
			n := 0
			for ; d.store.RolloutStatus("api") != tc.status; n++ {
				d.request(fmt.Sprintf("r%05d", n), "/get/1", "secret", false)
				time.Sleep(5 * time.Millisecond)
			}
			runs := len(endpoints[tc.left].Runs())
			for i := range 50 {
				is.Equal(d.request(fmt.Sprintf("s%05d", i), "/get/1", "secret", false).Status, 200)
			}
			is.Equal(len(endpoints[tc.left].Runs()), runs)
			t.Log(n, "requests until the end of the order")
		})
	}
}
