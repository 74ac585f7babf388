package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
	"github.com/cicadanotch/cicadanotch/client"
	"github.com/cicadanotch/cicadanotch/problem"
	"github.com/cicadanotch/cicadanotch/request"
	"github.com/cicadanotch/cicadanotch/standin"
)

// Composition of the load: shares of the kinds of requests, prompt sizes in bytes of
// text, and answer lengths in tokens.
const (
	nonIdempotentShare = 0.10
	readShare          = 0.05
	reviewShare        = 0.10

	sharedPromptBytes = 2048
	reviewPromptBytes = 12288
	reviewTokens      = 160
	questionTokens    = 40

	// requestTimeout bounds how long a caller waits for one request.
	requestTimeout = 60 * time.Second
)

// load sends a mix of requests through the client library, limited in rate and number.
type load struct {
	deployment *Deployment
	tally      *Tally
	clients    map[string]*client.Client
	wg         sync.WaitGroup

	mu  sync.Mutex
	rng *rand.Rand
	// disconnects holds the addresses whose connections ended before the answer did, by request.
	disconnects map[request.ID][]string
}

func newLoad(d *Deployment, tally *Tally, seed uint64) *load {
	l := &load{
		deployment:  d,
		tally:       tally,
		clients:     map[string]*client.Client{},
		rng:         rand.New(rand.NewPCG(seed, 0)),
		disconnects: map[request.ID][]string{},
	}
	for i, w := range d.Profile.Workspaces {
		for _, service := range []string{d.Profile.ModelService, d.Profile.PlainService} {
			l.clients[w.Name+"/"+service] = client.New(client.Options{
				Seeds:        l.seeds(),
				Service:      service,
				Key:          w.Key(),
				HTTP:         jsonhttp.NewClient(jsonhttp.NewTransport(d.Network.Dialer(""))),
				Rand:         rand.New(rand.NewPCG(seed, uint64(i+1))),
				OnDisconnect: l.recordDisconnect,
			})
		}
	}
	return l
}

func (l *load) seeds() []string {
	var out []string
	for _, e := range l.deployment.Entries() {
		out = append(out, e.Host.CallerAddress)
	}
	return out
}

func (l *load) recordDisconnect(id request.ID, address string, _ error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnects[id] = append(l.disconnects[id], address)
}

func (l *load) disconnectsOf(id request.ID) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.disconnects[id]
}

// run sends requests at the given rate for the given time and waits for their answers.
func (l *load) run(ctx context.Context, perSecond float64, duration time.Duration) {
	total := int(perSecond * duration.Seconds())
	begin := time.Now()
	for i := range total {
		due := begin.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))
		if !wait(ctx, time.Until(due)) {
			break
		}
		l.wg.Go(func() { l.sendOne(ctx, i) })
	}
	l.wg.Wait()
}

// sendOne sends one request of the mix.
func (l *load) sendOne(ctx context.Context, number int) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	w, draw := l.draw()
	l.tally.RecordSend()
	switch {
	case draw < nonIdempotentShare:
		l.tally.Add(l.sendNonIdempotent(ctx, w, number))
	case draw < nonIdempotentShare+readShare:
		l.tally.Add(l.sendRead(ctx, w, number))
	case draw < nonIdempotentShare+readShare+reviewShare:
		l.tally.Add(l.sendGenerate(ctx, w, KindReview, prompt(w.Name, number, reviewPromptBytes), reviewTokens))
	default:
		l.tally.Add(l.sendGenerate(ctx, w, KindQuestion, prompt(w.Name, number, sharedPromptBytes), questionTokens))
	}
}

// draw returns a workspace, drawn by share, and a random number in [0,1).
func (l *load) draw() (WorkspaceProfile, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.rng.Float64()
	for _, w := range l.deployment.Profile.Workspaces {
		if at < w.Share {
			return w, l.rng.Float64()
		}
		at -= w.Share
	}
	return l.deployment.Profile.Workspaces[0], l.rng.Float64()
}

// prompt returns a prompt of about size bytes: a prefix shared by all requests of the
// workspace and size, followed by a question that differs per request.
func prompt(workspace string, number, size int) string {
	line := fmt.Sprintf("Season records of %s, store by store, with every reading. ", workspace)
	return strings.Repeat(line, size/len(line)) + fmt.Sprintf("Question %d: what should be done today?", number)
}

func chatBody(model, text string, tokens int) ([]byte, error) {
	return json.Marshal(map[string]any{
		"model": model, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
}

// sendGenerate sends a generate call and compares its answer with the expected text.
func (l *load) sendGenerate(ctx context.Context, w WorkspaceProfile, kind Kind, text string, tokens int) Outcome {
	p := l.deployment.Profile
	out := Outcome{Kind: kind, Workspace: w.Name}
	body, err := chatBody(p.Model, text, tokens)
	if err != nil {
		out.Err = err
		return out
	}
	id := request.NewID()
	begin := time.Now()
	last := begin
	answer, err := l.clients[w.Name+"/"+p.ModelService].Generate(ctx, client.Generate{ID: id, Body: body, OnChunk: func(index int, _ string) {
		now := time.Now()
		if index == 0 {
			out.FirstToken = now.Sub(begin)
		} else {
			out.Gaps = append(out.Gaps, now.Sub(last))
		}
		last = now
	}})
	out.Cuts = l.disconnectsOf(id)
	want := strings.Join(standin.ExpectedAnswer(p.Model, "user\n"+text+"\n", tokens), "")
	out.Whole = err == nil && answer.Text == want
	out.Mixed = !strings.HasPrefix(want, answer.Text) || (err == nil && answer.Text != want)
	out.setFailure(err)
	return out
}

// setFailure records why a request has no answer.
func (o *Outcome) setFailure(err error) {
	var p *problem.Problem
	if errors.As(err, &p) {
		o.Refusal = p
		return
	}
	o.Err = err
}

// sendNonIdempotent sends a call that must run at most once. Its body is unique, so that
// the ledger counts its executions.
func (l *load) sendNonIdempotent(ctx context.Context, w WorkspaceProfile, number int) Outcome {
	p := l.deployment.Profile
	body := fmt.Sprintf("order %d of %s", number, w.Name)
	out := Outcome{Kind: KindNonIdempotent, Workspace: w.Name, Body: body}
	resp, err := l.clients[w.Name+"/"+p.PlainService].Call(ctx, client.Call{
		Service: p.PlainService, Method: http.MethodPost, Path: p.OrderPath, Body: []byte(body),
		IdempotencyKey: fmt.Sprintf("key-%d-%s", number, w.Name),
	})
	out.Whole = err == nil && resp.Status == http.StatusOK && strings.Contains(string(resp.Body), body)
	out.Mixed = err == nil && !out.Whole
	out.setFailure(err)
	return out
}

func (l *load) sendRead(ctx context.Context, w WorkspaceProfile, number int) Outcome {
	p := l.deployment.Profile
	out := Outcome{Kind: KindRead, Workspace: w.Name}
	path := fmt.Sprintf("%s/%d", p.ReadPath, number)
	resp, err := l.clients[w.Name+"/"+p.PlainService].Call(ctx, client.Call{
		Service: p.PlainService, Method: http.MethodGet, Path: path,
	})
	out.Whole = err == nil && resp.Status == http.StatusOK && strings.Contains(string(resp.Body), path)
	out.Mixed = err == nil && !out.Whole
	out.setFailure(err)
	return out
}

// sendCrashing sends a request that crashes the engine that runs it. The request is the
// same each time.
func (l *load) sendCrashing(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	w := l.deployment.Profile.Workspaces[0]
	l.tally.RecordSend()
	l.tally.Add(l.sendGenerate(ctx, w, KindCrashing, "Please "+CrashMarker, questionTokens))
}
