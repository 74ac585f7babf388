package demo_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/demo"
	"github.com/cicadanotch/cicadanotch/quarantine"
	"github.com/cicadanotch/cicadanotch/standin"
)

// chatAndAnswer returns the body of a streamed chat call and the text of its answer.
func chatAndAnswer(p demo.Profile, prompt string, tokens int) (body, want string) {
	body = fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, p.Model, tokens, prompt)
	return body, strings.Join(standin.ExpectedAnswer(p.Model, "user\n"+prompt+"\n", tokens), "")
}

// engines returns the endpoints of the model service.
func engines(d *demo.Deployment) []*demo.EndpointHost {
	var out []*demo.EndpointHost
	for _, e := range d.Endpoints() {
		if e.Engine != nil {
			out = append(out, e)
		}
	}
	return out
}

// TestFaultsInStream sends a chat call through a real entry host while the first stream of
// every engine has the fault of the row. It guards against answers that are truncated,
// repeat chunks or contain those of other requests: the caller must get its complete answer and
// nothing else.
func TestFaultsInStream(t *testing.T) {
	p := smallProfile()
	d := start(t, p)
	entry := "http://" + d.Entries()[0].Host.CallerAddress
	key := p.Workspaces[0].Key()
	for name, fault := range map[string]standin.Fault{
		"truncated stream":      {Point: standin.PointChunk, Action: standin.ActionTruncate, FromCall: 6, ToCall: 6},
		"truncated at its end":  {Point: standin.PointChunk, Action: standin.ActionTruncate, FromCall: 21, ToCall: 21},
		"silent stream":         {Point: standin.PointChunk, Action: standin.ActionStall, FromCall: 6, ToCall: 6},
		"foreign chunk":         {Point: standin.PointChunk, Action: standin.ActionForeign, FromCall: 6, ToCall: 9},
		"repeated chunk":        {Point: standin.PointChunk, Action: standin.ActionRepeat, FromCall: 1, ToCall: 21},
		"dropped chunk":         {Point: standin.PointChunk, Action: standin.ActionDrop, FromCall: 6, ToCall: 6},
		"dropped finish mark":   {Point: standin.PointChunk, Action: standin.ActionDrop, FromCall: 21, ToCall: 21},
		"refused at first":      {Point: standin.PointGenerate, Action: standin.ActionRefuse, FromCall: 1, ToCall: 1},
		"broken at first":       {Point: standin.PointGenerate, Action: standin.ActionFail, FromCall: 1, ToCall: 1},
		"delayed within limits": {Point: standin.PointChunk, Action: standin.ActionDelay, Delay: 100 * time.Millisecond, FromCall: 6, ToCall: 6},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, e := range engines(d) {
				calls := e.Faults.Calls(fault.Point)
				e.Faults.Remove(fault.Point)
				row := fault
				row.FromCall, row.ToCall = row.FromCall+calls, row.ToCall+calls
				e.Faults.Add(row)
			}
			body, want := chatAndAnswer(p, "fault: "+name, 20)
			resp, stream := do(t, "POST", entry+"/v1/chat/completions", key, body)
			is.Equal(resp.StatusCode, http.StatusOK)
			got, done := events(t, stream)
			is.True(done)
			is.Equal(got, want)
		})
	}
}

// TestCrashInStream crashes the engine that runs a stream: the answer must continue from
// another engine.
func TestCrashInStream(t *testing.T) {
	is := is.New(t)
	p := smallProfile()
	p.Engine.TokenInterval = 20 * time.Millisecond
	d := start(t, p)
	victim := make(chan *demo.EndpointHost, 1)
	go crashFirstEngine(t.Context(), d, victim)
	body, want := chatAndAnswer(p, "crash in the stream", 50)
	resp, stream := do(t, "POST", "http://"+d.Entries()[0].Host.CallerAddress+"/v1/chat/completions", p.Workspaces[0].Key(), body)
	is.Equal(resp.StatusCode, http.StatusOK)
	got, done := events(t, stream)
	is.True(done)
	is.Equal(got, want)
	crashed := (<-victim).Faults.Calls(standin.PointChunk)
	is.True(crashed > 0)
	is.True(crashed < 50) // another engine sent the rest
}

// crashFirstEngine crashes the engine that sends the first token, after one token more.
func crashFirstEngine(ctx context.Context, d *demo.Deployment, victim chan<- *demo.EndpointHost) {
	for ctx.Err() == nil {
		for _, e := range engines(d) {
			if sent := e.Faults.Calls(standin.PointChunk); sent > 0 {
				e.Faults.Add(standin.Fault{Point: standin.PointChunk, Action: standin.ActionCrash, FromCall: sent + 2})
				victim <- e
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// TestKillerIsQuarantined repeatedly sends a request that crashes every engine that runs
// it, to several entry hosts. It guards against one request that takes down all engines:
// after two crashes every entry host must refuse it and still serve other requests, with
// the log up and down.
func TestKillerIsQuarantined(t *testing.T) {
	for name, faults := range map[string][]standin.Fault{
		"log up":   nil,
		"log down": {{Point: standin.PointAppend, Action: standin.ActionFail}, {Point: standin.PointRead, Action: standin.ActionFail}},
	} {
		t.Run(name, func(t *testing.T) { testCrashingRequest(t, faults) })
	}
}

func testCrashingRequest(t *testing.T, logFaults []standin.Fault) {
	is := is.New(t)
	p := smallProfile()
	d := start(t, p)
	for _, f := range logFaults {
		d.LogFaults.Add(f)
	}
	key := p.Workspaces[0].Key()
	crashing, _ := chatAndAnswer(p, demo.CrashMarker, 20)
	first, last := d.Entries()[0], d.Entries()[len(d.Entries())-1]

	resp, text := do(t, "POST", "http://"+first.Host.CallerAddress+"/v1/chat/completions", key, crashing)
	is.Equal(resp.StatusCode, http.StatusUnprocessableEntity)
	is.Equal(problemOf(t, text), [2]string{"quarantined", "unknown"}) // it ran

	resp, text = do(t, "POST", "http://"+first.Host.CallerAddress+"/v1/chat/completions", key, crashing)
	is.Equal(resp.StatusCode, http.StatusUnprocessableEntity)
	is.Equal(problemOf(t, text), [2]string{"quarantined", "not-run"}) // this acceptance did not run
	is.True(resp.Header.Get("Retry-After") != "")

	// Entry hosts report quarantines to each other directly; the timeout is that of the
	// test, not one of the system.
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	for !hasQuarantined(last) && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	resp, text = do(t, "POST", "http://"+last.Host.CallerAddress+"/v1/chat/completions", key, crashing)
	is.Equal(resp.StatusCode, http.StatusUnprocessableEntity)
	is.Equal(problemOf(t, text), [2]string{"quarantined", "not-run"})
	is.Equal(len(engines(d))-healthyEngines(t, d), 2) // two engines crashed, no third

	body, want := chatAndAnswer(p, "a harmless question", 10)
	resp, stream := do(t, "POST", "http://"+first.Host.CallerAddress+"/v1/chat/completions", key, body)
	is.Equal(resp.StatusCode, http.StatusOK)
	got, done := events(t, stream)
	is.True(done)
	is.Equal(got, want)
}

// hasQuarantined reports whether an entry host has a request in quarantine.
func hasQuarantined(e *demo.EntryHost) bool {
	for _, row := range e.Node.State().Suspected {
		if row.Verdict == quarantine.VerdictQuarantine {
			return true
		}
	}
	return false
}

// healthyEngines counts the engines that answer a health call.
func healthyEngines(t *testing.T, d *demo.Deployment) int {
	t.Helper()
	count := 0
	for _, e := range engines(d) {
		resp, err := http.Get("http://" + e.Host.EndpointAddress + "/engine/health")
		if err == nil {
			resp.Body.Close()
			count++
		}
	}
	return count
}

// problemOf returns the type and run of a problem document.
func problemOf(t *testing.T, text string) [2]string {
	t.Helper()
	var p struct {
		Type string `json:"type"`
		Run  string `json:"run"`
	}
	is.New(t).NoErr(json.Unmarshal([]byte(text), &p))
	return [2]string{p.Type, p.Run}
}
