package demo_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/demo"
	"github.com/cicadanotch/cicadanotch/node"
	"github.com/cicadanotch/cicadanotch/standin"
)

const startTimeout = 30 * time.Second

func start(t testing.TB, p demo.Profile) *demo.Deployment {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	d, err := demo.Start(ctx, p, nil)
	t.Cleanup(d.Stop)
	is.NoErr(err)
	is.NoErr(d.AwaitReady(ctx))
	return d
}

func smallProfile() demo.Profile {
	p := demo.Coldroot()
	for i := range p.Zones {
		p.Zones[i].Entries, p.Zones[i].Engines = 1, 2
	}
	p.Engine.TokenInterval = time.Millisecond
	return p
}

func do(t *testing.T, method, url, key, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return resp, string(text)
}

// events returns the text of a chat stream and whether it ended with [DONE].
func events(t *testing.T, stream string) (string, bool) {
	t.Helper()
	is := is.New(t)
	var text strings.Builder
	for line := range strings.Lines(stream) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), true
		}
		var ev struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		is.NoErr(json.Unmarshal([]byte(data), &ev))
		text.WriteString(ev.Choices[0].Delta.Content)
	}
	return text.String(), false
}

// TestRequestPath checks the path of a request through all parts: the address list, a streamed
// answer, and a call with an idempotency key, which must run once even when it is repeated
// at another entry host.
func TestRequestPath(t *testing.T) {
	is := is.New(t)
	p := smallProfile()
	d := start(t, p)
	entry := "http://" + d.Entries()[0].Host.CallerAddress

	_, text := do(t, "GET", entry+"/v1/addresses?service="+p.ModelService, "", "")
	var list node.AddressList
	is.NoErr(json.Unmarshal([]byte(text), &list))
	is.Equal(len(list.Addresses), len(d.Entries()))

	key := p.Workspaces[0].Key()
	chat := `{"model":"` + p.Model + `","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"How is store 4?"}]}`
	resp, stream := do(t, "POST", "http://"+list.Addresses[0].Address+"/v1/chat/completions", key, chat)
	is.Equal(resp.StatusCode, http.StatusOK)
	got, done := events(t, stream)
	is.True(done)
	is.Equal(got, strings.Join(standin.ExpectedAnswer(p.Model, "user\nHow is store 4?\n", 20), ""))

	orderURL := entry + "/services/" + p.PlainService + p.OrderPath
	resp, first := do(t, "POST", orderURL, key, "fan 3 on", "Idempotency-Key", "order-1")
	is.Equal(resp.StatusCode, http.StatusOK)
	otherURL := "http://" + list.Addresses[len(list.Addresses)-1].Address + "/services/" + p.PlainService + p.OrderPath
	resp, second := do(t, "POST", otherURL, key, "fan 3 on", "Idempotency-Key", "order-1")
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(first, second)
	is.Equal(d.Ledger.Executions()["fan 3 on"], 1)
	resp, _ = do(t, "POST", orderURL, key, "fan 4 on", "Idempotency-Key", "order-1")
	is.Equal(resp.StatusCode, http.StatusUnprocessableEntity)
}

func TestBadInput(t *testing.T) {
	d := start(t, smallProfile())
	entry := "http://" + d.Entries()[0].Host.CallerAddress
	key := d.Profile.Workspaces[0].Key()
	model := `"model":"` + d.Profile.Model + `"`
	for name, tc := range map[string]struct {
		path, key, body string
		status          int
	}{
		"broken JSON":     {"/v1/chat/completions", key, `{`, http.StatusBadRequest},
		"no messages":     {"/v1/chat/completions", key, `{` + model + `}`, http.StatusBadRequest},
		"unknown model":   {"/v1/chat/completions", key, `{"model":"x","messages":[{"role":"user","content":"a"}]}`, http.StatusNotFound},
		"bad key":         {"/v1/completions", "wrong", `{` + model + `,"prompt":"a"}`, http.StatusUnauthorized},
		"huge body":       {"/v1/completions", key, strings.Repeat("a", node.DefaultMaxBodyBytes+1), http.StatusRequestEntityTooLarge},
		"unknown service": {"/services/none/x", key, ``, http.StatusNotFound},
		"unknown route":   {"/services/" + d.Profile.PlainService + "/none", key, ``, http.StatusNotFound},
		"unknown path":    {"/nothing", key, ``, http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp, text := do(t, "POST", entry+tc.path, tc.key, tc.body)
			is.Equal(resp.StatusCode, tc.status)
			is.Equal(resp.Header.Get("Content-Type"), "application/problem+json")
			var p struct {
				Run string `json:"run"`
			}
			is.NoErr(json.NewDecoder(bytes.NewReader([]byte(text))).Decode(&p))
			is.Equal(p.Run, "not-run")
		})
	}
}
