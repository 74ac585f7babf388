package standin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
	"github.com/cicadanotch/cicadanotch/record"
	"github.com/cicadanotch/cicadanotch/request"
)

var (
	errCrashed   = errors.New("engine crashed")
	errCancelled = errors.New("attempt cancelled")
	errDraining  = errors.New("engine takes no new work")
)

// EngineOptions sets the capacity and speed of an Engine.
type EngineOptions struct {
	Models []string
	// MaxRunning is the maximum number of requests that run at once; zero means 16.
	MaxRunning int
	// PrefillTokensPerSecond is the prefill speed; zero means 8,000.
	PrefillTokensPerSecond float64
	// TokenInterval is the time between tokens with one request running; zero means 20 ms. Each
	// further request adds the fraction BatchSlowdown of it.
	TokenInterval time.Duration
	BatchSlowdown float64
	// CacheBlocks is the size of the prefix cache in blocks; zero means 4,096.
	CacheBlocks int
	// EventLag and ReportLag are the delays of cache events and load reports.
	EventLag  time.Duration
	ReportLag time.Duration
	// KVBytesPerToken and TransferBytesPerSecond set the size and the rate of KV cache transfers.
	KVBytesPerToken        int64
	TransferBytesPerSecond float64
	// ChecksFencing makes the engine reject commands with an outdated fencing token.
	ChecksFencing bool
	// CrashMarker crashes the engine when a prompt contains it; empty disables this.
	CrashMarker string
	// OnCrash is called once when the engine crashes.
	OnCrash func()
	// Weights is the store from which WeightBytes are fetched for each model loaded; if it is nil,
	// models load at once.
	Weights     *WeightStore
	WeightBytes int64
	Ledger      *Ledger
	Faults      *Faults
}

func (o EngineOptions) withDefaults() EngineOptions {
	if o.MaxRunning == 0 {
		o.MaxRunning = 16
	}
	if o.PrefillTokensPerSecond == 0 {
		o.PrefillTokensPerSecond = 8000
	}
	if o.TokenInterval == 0 {
		o.TokenInterval = 20 * time.Millisecond
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = 4096
	}
	if o.KVBytesPerToken == 0 {
		o.KVBytesPerToken = 128 << 10
	}
	if o.TransferBytesPerSecond == 0 {
		o.TransferBytesPerSecond = 1 << 30
	}
	if o.Ledger == nil {
		o.Ledger = NewLedger()
	}
	return o
}

// Engine is a model engine with continuous batching, one prefill at a time, a bounded prefix cache,
// priorities, resume, cancel, and KV cache export and import. Its answers depend on model, prompt
// text and token limit alone, so that tests can check them.
type Engine struct {
	opts        EngineOptions
	incarnation string
	cache       *blockCache

	mu           sync.Mutex
	attempts     map[string]*activeAttempt
	waiting      []*activeAttempt
	running      int
	prefilling   bool
	exports      map[string]kvState
	imports      map[string]kvState
	fencingToken int64
	models       []string
	commands     []port.Command
	reports      []port.LoadReport
	crashed      chan struct{}
	crashOnce    sync.Once
}

// kvState is the KV cache of an attempt, as exported to another engine.
type kvState struct {
	Tokens int      `json:"tokens"`
	Blocks []uint64 `json:"blocks"`
}

// activeAttempt is one attempt in the engine, waiting or running.
type activeAttempt struct {
	req      port.GenerateRequest
	prompt   request.Prompt
	blocks   []uint64
	admitted chan struct{}
	stop     chan struct{}
	once     sync.Once
	// index is the number of chunks generated so far, those of earlier attempts included.
	index int
	usage port.Usage
}

func (a *activeAttempt) cancel() { a.once.Do(func() { close(a.stop) }) }

// NewEngine returns an engine with an empty cache.
func NewEngine(opts EngineOptions) *Engine {
	opts = opts.withDefaults()
	return &Engine{
		opts:        opts,
		incarnation: record.NewID(),
		cache:       newBlockCache(opts.CacheBlocks),
		attempts:    map[string]*activeAttempt{},
		exports:     map[string]kvState{},
		imports:     map[string]kvState{},
		models:      slices.Clone(opts.Models),
		crashed:     make(chan struct{}),
	}
}

// ExpectedAnswer returns the chunks that every engine generates for a prompt.
func ExpectedAnswer(model, text string, maxTokens int) []string {
	seed := xxhash.Sum64String(model + "\x00" + text)
	n := maxTokens
	if n <= 0 {
		n = 16 + int(seed%48)
	}
	out := make([]string, n)
	for i := range out {
		seed = seed*6364136223846793005 + 1442695040888963407
		out[i] = fmt.Sprintf(" t%07x", seed>>36)
	}
	return out
}

// Crash ends the engine: every stream breaks and no further call is answered.
func (e *Engine) Crash() {
	e.crashOnce.Do(func() {
		close(e.crashed)
		if e.opts.OnCrash != nil {
			e.opts.OnCrash()
		}
	})
}

// Crashed reports whether the engine has crashed.
func (e *Engine) Crashed() bool {
	select {
	case <-e.crashed:
		return true
	default:
		return false
	}
}

// generate runs one attempt and passes each chunk to emit.
func (e *Engine) generate(ctx context.Context, req port.GenerateRequest, emit func(port.Chunk) error) error {
	a, err := e.enqueue(req)
	if err != nil {
		return err
	}
	defer e.remove(a)
	if err := e.await(ctx, a, a.admitted); err != nil {
		return err
	}
	if err := e.prefill(ctx, a); err != nil {
		return err
	}
	return e.decode(ctx, a, emit)
}

// enqueue adds an attempt to the waiting queue: by priority, then in order of arrival. A prompt
// that contains CrashMarker crashes the engine instead.
func (e *Engine) enqueue(req port.GenerateRequest) (*activeAttempt, error) {
	prompt, err := request.ParsePrompt(req.API, req.Body)
	if err != nil {
		return nil, err
	}
	if e.opts.CrashMarker != "" && strings.Contains(prompt.Text, e.opts.CrashMarker) {
		e.Crash()
		return nil, errCrashed
	}
	a := &activeAttempt{
		req:      req,
		prompt:   prompt,
		blocks:   prefix.Blocks(prompt.Model, prompt.Text),
		admitted: make(chan struct{}),
		stop:     make(chan struct{}),
		index:    req.ResumeIndex,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts[req.AttemptID] = a
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].req.Priority < req.Priority {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, a)
	e.admitNext()
	return a, nil
}

// admitNext starts the next waiting attempt if there is capacity. The caller holds mu.
func (e *Engine) admitNext() {
	if e.prefilling || e.running >= e.opts.MaxRunning || len(e.waiting) == 0 {
		return
	}
	a := e.waiting[0]
	e.waiting = e.waiting[1:]
	e.running++
	e.prefilling = true
	close(a.admitted)
}

// remove removes an attempt, waiting or running, and admits the next.
func (e *Engine) remove(a *activeAttempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.attempts[a.req.AttemptID] == a {
		delete(e.attempts, a.req.AttemptID)
	}
	if at := slices.Index(e.waiting, a); at >= 0 {
		e.waiting = slices.Delete(e.waiting, at, at+1)
		return
	}
	e.running--
	e.admitNext()
}

func (e *Engine) await(ctx context.Context, a *activeAttempt, ready <-chan struct{}) error {
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-a.stop:
		return errCancelled
	case <-e.crashed:
		return errCrashed
	}
}

func (e *Engine) prefill(ctx context.Context, a *activeAttempt) error {
	total := prefix.Tokens(a.prompt.Text) + a.req.ResumeIndex
	cached := e.cache.lookup(a.blocks) * prefix.BlockTokens
	e.mu.Lock()
	if imported, ok := e.imports[a.req.KVHandle]; ok {
		cached = max(cached, imported.Tokens)
		delete(e.imports, a.req.KVHandle)
	}
	e.mu.Unlock()
	cached = min(cached, total)
	a.usage.PromptTokens = prefix.Tokens(a.prompt.Text)
	a.usage.CachedTokens = cached
	e.opts.Ledger.recordPrefill(a.blocks, total, cached, a.req.ResumeIndex)
	err := e.pause(ctx, a, time.Duration(float64(total-cached)/e.opts.PrefillTokensPerSecond*float64(time.Second)))
	if err == nil {
		e.cache.store(a.prompt.Model, a.blocks)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefilling = false
	e.admitNext()
	return err
}

func (e *Engine) pause(ctx context.Context, a *activeAttempt, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-a.stop:
		return errCancelled
	case <-e.crashed:
		return errCrashed
	}
}

func (e *Engine) decode(ctx context.Context, a *activeAttempt, emit func(port.Chunk) error) error {
	texts := ExpectedAnswer(a.prompt.Model, a.prompt.Text, a.prompt.MaxTokens)
	for i := a.req.ResumeIndex; i < len(texts); i++ {
		if err := e.pause(ctx, a, e.interval()); err != nil {
			return err
		}
		c := port.Chunk{AttemptID: a.req.AttemptID, Index: i, Text: texts[i]}
		if err := emit(c); err != nil {
			return err
		}
		e.mu.Lock()
		a.index = i + 1
		e.mu.Unlock()
	}
	a.usage.CompletionTokens = len(texts)
	return emit(port.Chunk{AttemptID: a.req.AttemptID, Index: len(texts), FinishReason: "stop", Usage: &a.usage})
}

// interval returns the time between tokens at the current batch size.
func (e *Engine) interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	slowdown := 1 + e.opts.BatchSlowdown*float64(max(e.running-1, 0))
	return time.Duration(float64(e.opts.TokenInterval) * slowdown)
}

// Load returns the current load, without the delay that the handler adds.
func (e *Engine) Load() port.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens, waitingTokens := 0, 0
	for _, a := range e.attempts {
		tokens += prefix.Tokens(a.prompt.Text) + a.index
	}
	for _, a := range e.waiting {
		waitingTokens += prefix.Tokens(a.prompt.Text)
	}
	return port.LoadReport{
		At:            time.Now(),
		Running:       e.running,
		Waiting:       len(e.waiting),
		WaitingTokens: waitingTokens,
		KVTokensUsed:  tokens,
		KVTokensLimit: e.opts.CacheBlocks * prefix.BlockTokens,
		MaxRunning:    e.opts.MaxRunning,
		Incarnation:   e.incarnation,
		Models:        slices.Clone(e.models),
	}
}

// delayedLoad returns the newest report that is at least ReportLag old or, if there is none, the
// oldest one.
func (e *Engine) delayedLoad() port.LoadReport {
	now := e.Load()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports = append(e.reports, now)
	for len(e.reports) > 1 && now.At.Sub(e.reports[1].At) >= e.opts.ReportLag {
		e.reports = e.reports[1:]
	}
	return e.reports[0]
}

// Commands returns the commands that took effect.
func (e *Engine) Commands() []port.Command {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.commands)
}

func (e *Engine) applyCommand(c port.Command) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing && c.FencingToken < e.fencingToken {
		return port.ErrStaleFencingToken
	}
	e.fencingToken = max(e.fencingToken, c.FencingToken)
	e.commands = append(e.commands, c)
	switch c.Kind {
	case port.CommandLoad:
		if !slices.Contains(e.models, c.Model) {
			e.models = append(e.models, c.Model)
		}
	case port.CommandUnload:
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == c.Model })
		e.cache.clear(c.Model)
	}
	return nil
}

// export stores the KV cache of an attempt for another engine to fetch, and stops the attempt.
func (e *Engine) export(attemptID string) (port.KVExport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, ok := e.attempts[attemptID]
	if !ok {
		return port.KVExport{}, port.ErrKVTransfer
	}
	handle := record.NewID()
	tokens := prefix.Tokens(a.prompt.Text) + a.index
	e.exports[handle] = kvState{Tokens: tokens, Blocks: a.blocks}
	a.cancel()
	return port.KVExport{Handle: handle, Tokens: tokens, Bytes: int64(tokens) * e.opts.KVBytesPerToken}, nil
}

func (e *Engine) storeImport(handle string, state kvState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.imports[handle] = state
}
