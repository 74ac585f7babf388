package replay

import (
	"slices"
	"time"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
)

// attempt is one attempt at an engine to answer a request.
type attempt struct {
	request *call
	entry   *entry
	engine  *engine
	// generation is the generation of the engine that the attempt was sent to.
	generation int
	// resumedTokens is the number of answer tokens that earlier attempts delivered; they are
	// prefilled with the prompt.
	resumedTokens    int
	totalTokens      int
	cachedTokens     int
	prefillRemaining int
	prefillStarted   bool
	generated        int
	ended            bool
	// breakAfter ends the stream after this many tokens; 0 means never.
	breakAfter int
}

// engine simulates one engine: continuous batching in steps, chunked prefill in order of arrival, and
// a bounded prefix cache.
type engine struct {
	sim  *simulation
	spec EngineSpec
	host port.Host

	alive bool
	// generation counts the starts of the engine, and so identifies its process.
	generation int
	waiting    []*attempt
	running    []*attempt
	stepping   bool
	cache      *cache
	busy       time.Duration
	cost       float64
}

func newEngine(s *simulation, host port.Host) *engine {
	return &engine{sim: s, spec: s.trace.Header.Engine, host: host}
}

func (e *engine) start() {
	e.alive = true
	e.generation++
	e.cache = newCache(e.spec.CacheBlocks)
}

// crash ends the engine's process and breaks all its streams.
func (e *engine) crash() {
	if !e.alive {
		return
	}
	e.alive = false
	lost := slices.Concat(e.running, e.waiting)
	e.running, e.waiting, e.stepping = nil, nil, false
	for _, a := range lost {
		a.ended = true
		e.sim.send(e.host, a.entry.host, 0, func() { a.entry.streamBroken(a) })
	}
}

// enqueue adds an attempt to the waiting queue, or breaks its stream if the engine has ended.
func (e *engine) enqueue(a *attempt) {
	if !e.alive {
		e.sim.send(e.host, a.entry.host, 0, func() { a.entry.streamBroken(a) })
		return
	}
	e.waiting = append(e.waiting, a)
	if !e.stepping {
		e.step()
	}
}

// cancel removes an attempt from the engine.
func (e *engine) cancel(a *attempt) {
	a.ended = true
	match := func(other *attempt) bool { return other == a }
	e.waiting = slices.DeleteFunc(e.waiting, match)
	e.running = slices.DeleteFunc(e.running, match)
}

// step fills the batch from the queue and runs one step.
func (e *engine) step() {
	for len(e.running) < e.spec.MaxRunning && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	decoding, prefilled := e.planStep()
	if !e.alive {
		return
	}
	took := fromMilliseconds(float64(prefilled) / e.spec.PrefillTokensPerSecond * 1000)
	if len(decoding) > 0 {
		took += fromMilliseconds(e.spec.StepMS + e.spec.PerRequestMS*float64(len(decoding)))
	}
	e.busy += took
	e.cost += took.Hours() * e.host.PricePerHour
	generation := e.generation
	e.sim.clock.after(took, func() {
		if e.alive && e.generation == generation {
			e.finishStep(decoding)
		}
	})
}

// planStep returns the attempts that decode in this step and the number of tokens to prefill,
// within the step's prefill budget. A prompt is stored in the cache as soon as the last of its
// prefill is planned.
func (e *engine) planStep() (decoding []*attempt, prefilled int) {
	budget := e.spec.ChunkTokens
	for _, a := range slices.Clone(e.running) {
		if !a.prefillStarted && budget > 0 {
			e.startPrefill(a)
			if !e.alive {
				return nil, 0
			}
		}
		if a.prefillStarted && a.prefillRemaining == 0 {
			decoding = append(decoding, a)
			continue
		}
		part := min(a.prefillRemaining, budget)
		a.prefillRemaining -= part
		budget -= part
		prefilled += part
		if a.prefillStarted && a.prefillRemaining == 0 {
			e.cache.store(a.request.blocks)
		}
	}
	return decoding, prefilled
}

// startPrefill looks up an attempt's prompt in the cache and sets the number of tokens to prefill.
// It crashes the engine instead if the request is one that does so.
func (e *engine) startPrefill(a *attempt) {
	if a.request.event.CrashesEngine {
		e.sim.crash(e)
		return
	}
	a.prefillStarted = true
	a.totalTokens = a.request.tokens + a.resumedTokens
	a.cachedTokens = min(e.cache.lookup(a.request.blocks)*prefix.BlockTokens, a.totalTokens-1)
	a.prefillRemaining = a.totalTokens - a.cachedTokens
	e.sim.ledger.recordPrefill(a)
}

// finishStep emits one token for each attempt that decoded and begins the next step.
func (e *engine) finishStep(decoding []*attempt) {
	for _, a := range decoding {
		if !a.ended {
			e.emitToken(a)
		}
	}
	e.step()
}

func (e *engine) emitToken(a *attempt) {
	a.generated++
	last := a.resumedTokens+a.generated >= a.request.event.AnswerTokens
	index, broken := a.resumedTokens+a.generated-1, a.breakAfter > 0 && a.generated >= a.breakAfter
	if last || broken {
		e.cancel(a)
	}
	e.sim.send(e.host, a.entry.host, tokenEventBytes, func() {
		a.entry.receiveToken(a, index)
		switch {
		case broken && !last:
			a.entry.streamBroken(a)
		case last:
			a.entry.complete(a)
		}
	})
}

func (e *engine) loadReport() port.LoadReport {
	waiting := 0
	for _, a := range e.waiting {
		waiting += a.request.tokens + a.resumedTokens
	}
	for _, a := range e.running {
		if a.prefillStarted {
			waiting += a.prefillRemaining
		} else {
			waiting += a.request.tokens + a.resumedTokens
		}
	}
	return port.LoadReport{
		At: e.sim.clock.time(), Running: len(e.running), Waiting: len(e.waiting),
		WaitingTokens: waiting, MaxRunning: e.spec.MaxRunning,
		Incarnation: incarnation(e.host.ID, e.generation), Models: []string{e.sim.trace.Header.Model},
	}
}
