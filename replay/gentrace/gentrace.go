// Package gentrace generates the traces of the two deployments: seeded arrivals, events at hosts,
// and the outcomes that follow from the targets.
package gentrace

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/replay"
)

// ErrEncode is returned when a line cannot be encoded as JSON.
var ErrEncode = errors.New("encode trace line")

// The targets of the two deployments, which are the stated outcomes.
const (
	firstTokenMS    = 800
	betweenTokensMS = 36
	// maxRecomputedShare bounds the recomputed tokens, as a fraction of those that the
	// least-in-flight policy recomputes.
	maxRecomputedShare = 0.5
	timeoutMS          = 30_000
	// linkBytesPerSecond is 30 Mbit/s.
	linkBytesPerSecond = 30e6 / 8
	linkBytesPerHour   = 2 << 30
	linkPricePerGB     = 0.1
)

// builder collects the lines of one trace.
type builder struct {
	header       replay.Header
	outcomes     []replay.Outcome
	events       []replay.Event
	rng          *rand.Rand
	profile      profile
	arrivalCount int
	sessions     []session
}

// profile describes the traffic of a deployment.
type profile struct {
	workspaces []workspaceShare
	// documents is the number of documents that each workspace asks about; the popular ones are
	// asked for more often.
	documents int
	// documentTokens and questionTokens bound the parts of prompts, answerTokens the answers.
	documentTokens [2]int
	questionTokens [2]int
	answerTokens   [2]int
	// followUpShare is the fraction of arrivals that continue a session.
	followUpShare float64
}

// workspaceShare is a workspace and its fraction of the traffic.
type workspaceShare struct {
	name  string
	share float64
}

// session is a conversation that later arrivals may continue.
type session struct {
	workspace    string
	entry        string
	prompt       string
	answerTokens int
	turns        int
}

func engineSpec() replay.EngineSpec {
	return replay.EngineSpec{
		MaxRunning: 16, StepMS: 12, PerRequestMS: 0.3,
		PrefillTokensPerSecond: 8000, ChunkTokens: 128, CacheBlocks: 1024,
	}
}

func newBuilder(name, note string, seed uint64) *builder {
	return &builder{
		rng: rand.New(rand.NewPCG(seed, 5)),
		header: replay.Header{
			Type: replay.TypeTrace, Name: name, Note: note,
			FirstTokenMS: firstTokenMS, BetweenTokensMS: betweenTokensMS, TimeoutMS: timeoutMS,
			ZoneDelayMS: 1.5, RegionDelayMS: 30,
			LinkBytesPerSecond: linkBytesPerSecond, LinkBytesPerHour: linkBytesPerHour, LinkPricePerGB: linkPricePerGB,
			Engine: engineSpec(),
			Feed:   replay.FeedSpec{IntervalMS: 250, LagMS: 400, EventLoss: 0.01},
		},
	}
}

func coldroot(name, note string, seed uint64) *builder {
	b := newBuilder(name, note, seed)
	b.header.Deployment, b.header.Service, b.header.Model = "coldroot", "assistant-llm", "assistant-7b"
	b.header.Zones = []replay.ZoneSpec{
		{Zone: "jos-a", Region: "plateau", Entries: 3, Engines: 8, Price: 1.1},
		{Zone: "jos-b", Region: "plateau", Entries: 2, Engines: 8, Price: 1.0},
		{Zone: "kad-a", Region: "kaduna", Entries: 2, Engines: 4, Price: 0.8},
	}
	b.profile = profile{
		workspaces: []workspaceShare{{"bokkos-coop", 0.4}, {"mangu-stores", 0.3}, {"barkin-ladi", 0.15}, {"heipang-farm", 0.1}, {"vom-clerks", 0.05}},
		documents:  40, documentTokens: [2]int{600, 1400}, questionTokens: [2]int{30, 120}, answerTokens: [2]int{40, 160},
		followUpShare: 0.4,
	}
	return b
}

func mandacaru(name, note string, seed uint64) *builder {
	b := newBuilder(name, note, seed)
	b.header.Deployment, b.header.Service, b.header.Model = "mandacaru", "spec-assistant", "spec-13b"
	b.header.Zones = []replay.ZoneSpec{
		{Zone: "recife-a", Region: "recife", Entries: 3, Engines: 8, Price: 1.4},
		{Zone: "recife-b", Region: "recife", Entries: 2, Engines: 8, Price: 1.3},
		{Zone: "fortaleza-a", Region: "fortaleza", Entries: 2, Engines: 4, Price: 1.2},
	}
	b.profile = profile{
		workspaces: []workspaceShare{{"sugar-mills", 0.4}, {"bottlers", 0.3}, {"ports", 0.15}, {"tanneries", 0.1}, {"quarries", 0.05}},
		documents:  50, documentTokens: [2]int{800, 2000}, questionTokens: [2]int{30, 150}, answerTokens: [2]int{30, 140},
		followUpShare: 0.3,
	}
	return b
}

// stateOutcomes adds the outcomes that hold for every trace without overload.
func (b *builder) stateOutcomes() {
	b.atMost("first_token_p95_ms", "", firstTokenMS)
	b.atMost("between_tokens_p95_ms", "", betweenTokensMS)
	b.atMost("refused", "", 0)
	b.atMost("unfinished", "", 0)
	b.atMost("recomputed_tokens", replay.PolicyLeastInFlight, maxRecomputedShare)
	b.below("recomputed_tokens", replay.PolicyPrefixAffinity)
	for _, name := range replay.Policies()[1:] {
		b.below("cost_at_target", name)
	}
}

func (b *builder) atMost(measure, of string, limit float64) {
	b.outcomes = append(b.outcomes, replay.Outcome{Type: replay.TypeOutcome, Measure: measure, RelativeTo: of, AtMost: &limit})
}

func (b *builder) below(measure, of string) {
	limit := 1.0
	b.outcomes = append(b.outcomes, replay.Outcome{Type: replay.TypeOutcome, Measure: measure, RelativeTo: of, Below: &limit})
}

func (b *builder) add(e replay.Event) { b.events = append(b.events, e) }

// addArrivals adds arrivals from a Poisson process with a rate per second, over a span in seconds.
func (b *builder) addArrivals(from, to, rate float64, newEvent func(*builder) replay.Event) {
	for at := from + b.rng.ExpFloat64()/rate; at < to; at += b.rng.ExpFloat64() / rate {
		e := newEvent(b)
		e.Type, e.AtMS = replay.TypeArrival, math.Round(at*1000)
		b.arrivalCount++
		e.ID = fmt.Sprintf("r%d", b.arrivalCount)
		b.add(e)
	}
}

// question returns an arrival from a random workspace.
func question(b *builder) replay.Event { return b.questionOf(b.randomWorkspace()) }

func (b *builder) questionOf(workspace string) replay.Event {
	p := &b.profile
	if b.rng.Float64() < p.followUpShare {
		if e, ok := b.followUp(workspace); ok {
			return e
		}
	}
	document := b.popularIndex(p.documents)
	tokens := p.documentTokens[0] + (document*137)%(p.documentTokens[1]-p.documentTokens[0])
	prompt := fmt.Sprintf("system:192 %s:128 %s-%d:%d q%d:%d", workspace, workspace, document, tokens, b.arrivalCount, b.randomIn(p.questionTokens))
	s := session{workspace: workspace, entry: b.randomEntry(), prompt: prompt, answerTokens: b.randomIn(p.answerTokens), turns: 1}
	b.sessions = append(b.sessions, s)
	return s.event()
}

// maxTurns bounds the turns of a session.
const maxTurns = 4

// followUp continues one of the workspace's recent sessions.
func (b *builder) followUp(workspace string) (replay.Event, bool) {
	const recent = 40
	from := max(len(b.sessions)-recent, 0)
	for i := from; i < max(len(b.sessions)-recent/4, from); i++ {
		s := &b.sessions[i]
		if s.workspace != workspace || s.turns >= maxTurns {
			continue
		}
		s.prompt += fmt.Sprintf(" a%d:%d q%d:%d", b.arrivalCount, s.answerTokens, b.arrivalCount, b.randomIn(b.profile.questionTokens))
		s.answerTokens = b.randomIn(b.profile.answerTokens)
		s.turns++
		return s.event(), true
	}
	return replay.Event{}, false
}

func (s *session) event() replay.Event {
	return replay.Event{Workspace: s.workspace, Entry: s.entry, Prompt: s.prompt, AnswerTokens: s.answerTokens}
}

func (b *builder) randomWorkspace() string {
	at := b.rng.Float64()
	for _, w := range b.profile.workspaces {
		if at -= w.share; at < 0 {
			return w.name
		}
	}
	return b.profile.workspaces[0].name
}

// popularIndex returns a random number below n; low numbers are more likely.
func (b *builder) popularIndex(n int) int {
	return int(math.Pow(float64(n), b.rng.Float64())) - 1
}

func (b *builder) randomIn(bounds [2]int) int { return bounds[0] + b.rng.IntN(bounds[1]-bounds[0]) }

// randomEntry returns a random entry host. Callers use the entry hosts of their own region, and
// each zone receives requests in proportion to its engines.
func (b *builder) randomEntry() string {
	engines := 0
	for _, z := range b.header.Zones {
		engines += z.Engines
	}
	at := b.rng.IntN(engines)
	for _, z := range b.header.Zones {
		if at -= z.Engines; at < 0 {
			return fmt.Sprintf("%s-entry-%d", z.Zone, 1+b.rng.IntN(z.Entries))
		}
	}
	return ""
}

// encode returns the trace as JSON lines. Errors wrap ErrEncode.
func (b *builder) encode() ([]byte, error) {
	slices.SortStableFunc(b.events, func(x, y replay.Event) int { return int(x.AtMS - y.AtMS) })
	lines := []any{b.header}
	for _, o := range b.outcomes {
		lines = append(lines, o)
	}
	for _, e := range b.events {
		lines = append(lines, e)
	}
	var out bytes.Buffer
	for _, line := range lines {
		raw, err := json.Marshal(line)
		if err != nil {
			return nil, errors.Wrap(ErrEncode, err.Error())
		}
		out.Write(raw)
		out.WriteByte('\n')
	}
	return out.Bytes(), nil
}
