package replay

import (
	"slices"
	"time"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/prefix"
)

// attempt is one request inside an engine.
type attempt struct {
	request *call
	entry   *entry
	engine  *engine
	// life is the engine's process that it was sent to.
	life int
	// sent is how many tokens of the answer were there before; they are
	// prefilled with the prompt.
	sent   int
	total  int
	cached int
	left   int
	looked bool
	made   int
	ended  bool
	// breakAfter ends the stream after this many tokens; 0 means never.
	breakAfter int
}

// engine is a small model of one engine: continuous batching in steps, chunked
// prefill in order of arrival, and a bounded prefix cache.
type engine struct {
	world *world
	spec  EngineSpec
	host  port.Host

	alive    bool
	life     int
	waiting  []*attempt
	running  []*attempt
	stepping bool
	cache    *cache
	busy     time.Duration
	cost     float64
}

func newEngine(w *world, host port.Host) *engine {
	return &engine{world: w, spec: w.trace.Header.Engine, host: host}
}

func (e *engine) start() {
	e.alive = true
	e.life++
	e.cache = newCache(e.spec.CacheBlocks)
}

// die breaks all streams.
func (e *engine) die() {
	if !e.alive {
		return
	}
	e.alive = false
	lost := slices.Concat(e.running, e.waiting)
	e.running, e.waiting, e.stepping = nil, nil, false
	for _, a := range lost {
		a.ended = true
		e.world.send(e.host, a.entry.host, 0, func() { a.entry.broken(a) })
	}
}

func (e *engine) accept(a *attempt) {
	if !e.alive {
		e.world.send(e.host, a.entry.host, 0, func() { a.entry.broken(a) })
		return
	}
	e.waiting = append(e.waiting, a)
	if !e.stepping {
		e.step()
	}
}

// cancel takes an attempt out.
func (e *engine) cancel(a *attempt) {
	a.ended = true
	gone := func(other *attempt) bool { return other == a }
	e.waiting = slices.DeleteFunc(e.waiting, gone)
	e.running = slices.DeleteFunc(e.running, gone)
}

// step begins one step of the batch.
func (e *engine) step() {
	for len(e.running) < e.spec.MaxRunning && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	decoding, prefilled := e.plan()
	if !e.alive {
		return
	}
	took := milliseconds(float64(prefilled) / e.spec.PrefillTokensPerSecond * 1000)
	if len(decoding) > 0 {
		took += milliseconds(e.spec.StepMS + e.spec.PerRequestMS*float64(len(decoding)))
	}
	e.busy += took
	e.cost += took.Hours() * e.host.PricePerHour
	life := e.life
	e.world.clock.after(took, func() {
		if e.alive && e.life == life {
			e.finish(decoding)
		}
	})
}

// plan returns who decodes in this step and spends its prefill budget; a prompt
// whose prefill is planned to its end enters the cache.
func (e *engine) plan() (decoding []*attempt, prefilled int) {
	budget := e.spec.ChunkTokens
	for _, a := range slices.Clone(e.running) {
		if !a.looked && budget > 0 {
			e.look(a)
			if !e.alive {
				return nil, 0
			}
		}
		if a.looked && a.left == 0 {
			decoding = append(decoding, a)
			continue
		}
		part := min(a.left, budget)
		a.left -= part
		budget -= part
		prefilled += part
		if a.looked && a.left == 0 {
			e.cache.store(a.request.blocks)
		}
	}
	return decoding, prefilled
}

// look finds what the cache holds of an attempt's prompt.
func (e *engine) look(a *attempt) {
	if a.request.event.Kills {
		e.world.killed(e)
		return
	}
	a.looked = true
	a.total = a.request.tokens + a.sent
	a.cached = min(e.cache.lookup(a.request.blocks)*prefix.BlockTokens, a.total-1)
	a.left = a.total - a.cached
	e.world.ledger.prefill(a)
}

// finish ends a step: those who decoded have a token each.
func (e *engine) finish(decoding []*attempt) {
	for _, a := range decoding {
		if !a.ended {
			e.emit(a)
		}
	}
	e.step()
}

func (e *engine) emit(a *attempt) {
	a.made++
	last := a.sent+a.made >= a.request.event.AnswerTokens
	index, broke := a.sent+a.made-1, a.breakAfter > 0 && a.made >= a.breakAfter
	if last || broke {
		e.cancel(a)
	}
	e.world.send(e.host, a.entry.host, eventBytes, func() {
		a.entry.token(a, index)
		switch {
		case broke && !last:
			a.entry.broken(a)
		case last:
			a.entry.whole(a)
		}
	})
}

func (e *engine) load() port.LoadReport {
	waiting := 0
	for _, a := range e.waiting {
		waiting += a.request.tokens + a.sent
	}
	for _, a := range e.running {
		if a.looked {
			waiting += a.left
		} else {
			waiting += a.request.tokens + a.sent
		}
	}
	return port.LoadReport{
		At: e.world.clock.time(), Running: len(e.running), Waiting: len(e.waiting),
		WaitingTokens: waiting, MaxRunning: e.spec.MaxRunning,
		Incarnation: incarnation(e.host.ID, e.life), Models: []string{e.world.trace.Header.Model},
	}
}
