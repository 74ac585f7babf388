package demo_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/demo"
	"github.com/cicadanotch/cicadanotch/node"
	"github.com/cicadanotch/cicadanotch/prefix"
)

// choiceTimeout bounds the wait for cache events and reports.
const choiceTimeout = 20 * time.Second

// longPrompt returns the body of a chat call of about 40 blocks that ends with a question.
func longPrompt(model, question string) string {
	datasheet := strings.Repeat("valve body DN25 PN16 ", 40*prefix.BlockTokens*prefix.BytesPerToken/21)
	return `{"model":"` + model + `","max_tokens":4,"messages":[{"role":"user","content":"` + datasheet + question + `"}]}`
}

// awaitChoiceState polls a node's choice state until it satisfies ok.
func awaitChoiceState(t *testing.T, n *node.Node, ok func(node.ChoiceState) bool) node.ChoiceState {
	t.Helper()
	for deadline := time.Now().Add(choiceTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if s := n.State().Choice; ok(s) {
			return s
		}
	}
	t.Fatal("choice state did not satisfy the condition in time")
	return node.ChoiceState{}
}

func entryOf(d *demo.Deployment, zone string) *demo.EntryHost {
	for _, e := range d.Entries() {
		if e.Host.Zone == zone {
			return e
		}
	}
	return nil
}

// TestChoiceFollowsTheCaches sends two prompts with a common prefix to two entry hosts of
// a region. The second host must learn from cache events which endpoint caches the prefix
// and choose it; otherwise the prefix is recomputed.
func TestChoiceFollowsTheCaches(t *testing.T) {
	is := is.New(t)
	p := smallProfile()
	d := start(t, p)
	key := p.Workspaces[0].Key()
	first, second := entryOf(d, "jos-a"), entryOf(d, "jos-b")

	resp, _ := do(t, "POST", "http://"+first.Host.CallerAddress+"/v1/chat/completions", key, longPrompt(p.Model, "torque?"))
	is.Equal(resp.StatusCode, http.StatusOK)
	chosen := first.Node.State().Choice.Recent[0].Candidates
	is.True(len(chosen) > 1)
	is.True(chosen[0].Terms.Prefill > 0)

	awaitChoiceState(t, second.Node, func(s node.ChoiceState) bool { return s.Prefixes[p.ModelService].Blocks >= 30 })
	resp, _ = do(t, "POST", "http://"+second.Host.CallerAddress+"/v1/chat/completions", key, longPrompt(p.Model, "weight?"))
	is.Equal(resp.StatusCode, http.StatusOK)

	s := second.Node.State().Choice
	is.True(s.Recent[0].Candidates[0].Chosen)
	is.Equal(s.Recent[0].Candidates[0].Endpoint, chosen[0].Endpoint)
	is.True(s.Recent[0].Candidates[0].CachedTokens >= 30*prefix.BlockTokens)
	is.True(s.Prefixes[p.ModelService].Events > 0)
	_, recomputed := d.Ledger.Tokens()
	is.Equal(recomputed, 0) // counted by the engines
}

// TestChoiceExcludesKilledEndpoint kills the endpoint that caches a prefix: the next request
// with this prefix must be served by another one.
func TestChoiceExcludesKilledEndpoint(t *testing.T) {
	is := is.New(t)
	p := smallProfile()
	d := start(t, p)
	key := p.Workspaces[0].Key()
	entry := entryOf(d, "jos-a")
	url := "http://" + entry.Host.CallerAddress + "/v1/chat/completions"
	resp, _ := do(t, "POST", url, key, longPrompt(p.Model, "torque?"))
	is.Equal(resp.StatusCode, http.StatusOK)
	cachingEndpoint := entry.Node.State().Choice.Recent[0].Candidates[0].Endpoint
	for _, e := range d.Endpoints() {
		if e.Host.ID == cachingEndpoint {
			e.Kill()
		}
	}
	resp, _ = do(t, "POST", url, key, longPrompt(p.Model, "weight?"))
	is.Equal(resp.StatusCode, http.StatusOK)
	latest := entry.Node.State().Choice.Recent[0]
	for _, c := range latest.Candidates {
		is.True(!c.Chosen || c.Endpoint != cachingEndpoint)
	}
}
