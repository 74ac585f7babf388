package gentrace

import (
	"fmt"

	"github.com/cicadanotch/cicadanotch/port"
	"github.com/cicadanotch/cicadanotch/replay"
)

const millisPerSecond = 1000

// All returns the traces by file name. Errors wrap ErrEncode.
func All() (map[string][]byte, error) {
	out := map[string][]byte{}
	for _, b := range []*builder{
		quietDay(), morningBurst(), reviewsAndQuestions(), zoneReclaim(),
		staleLoad(), killer(), partedRegions(), pricesCrossing(),
	} {
		raw, err := b.encode()
		if err != nil {
			return nil, err
		}
		out[b.header.Name+".jsonl"] = raw
	}
	return out, nil
}

func quietDay() *builder {
	b := coldroot("quiet-day", "an ordinary day's traffic", 11)
	b.stateOutcomes()
	b.addArrivals(0, 90, 10, question)
	return b
}

func morningBurst() *builder {
	b := mandacaru("morning-burst", "one large workspace sends a burst from 10 s to 30 s", 12)
	b.stateOutcomes()
	for _, w := range []string{"ports", "tanneries", "quarries"} {
		limit := float64(firstTokenMS)
		b.outcomes = append(b.outcomes, replay.Outcome{Type: replay.TypeOutcome, Measure: "first_token_p95_ms", Workspace: w, AtMost: &limit})
	}
	b.addArrivals(0, 45, 12, question)
	b.addArrivals(10, 30, 35, func(b *builder) replay.Event { return b.questionOf("sugar-mills") })
	return b
}

func reviewsAndQuestions() *builder {
	b := mandacaru("reviews-and-questions", "long datasheet reviews beside short fitting questions", 13)
	b.stateOutcomes()
	b.addArrivals(0, 50, 1.5, review)
	b.addArrivals(0, 50, 18, shortQuestion)
	return b
}

// review returns an arrival with a long datasheet review: a draft against one of a few datasheets.
func review(b *builder) replay.Event {
	w := b.randomWorkspace()
	sheet := b.popularIndex(12)
	return replay.Event{
		Workspace: w, Entry: b.randomEntry(), AnswerTokens: b.randomIn([2]int{200, 400}),
		Prompt: fmt.Sprintf("system:192 %s:128 sheet-%d:%d draft%d:%d", w, sheet, 2400+sheet*90, b.arrivalCount, b.randomIn([2]int{300, 900})),
	}
}

// shortQuestion returns an arrival with a short question about fitting a part, asked while a
// customer is on the line.
func shortQuestion(b *builder) replay.Event {
	w := b.randomWorkspace()
	return replay.Event{
		Workspace: w, Entry: b.randomEntry(), AnswerTokens: b.randomIn([2]int{15, 50}),
		Prompt: fmt.Sprintf("system:192 %s:128 part-%d:%d q%d:%d", w, b.popularIndex(60), 200, b.arrivalCount, b.randomIn([2]int{20, 60})),
	}
}

func zoneReclaim() *builder {
	b := coldroot("zone-reclaim-in-burst", "jos-a is reclaimed on ten seconds of notice while a burst runs", 14)
	b.stateOutcomes()
	b.addArrivals(0, 60, 14, question)
	b.addArrivals(10, 30, 14, question)
	b.add(replay.Event{Type: replay.TypeNotice, AtMS: 15 * millisPerSecond, Zone: "jos-a", Kind: port.NoticeReclaim, DeadlineMS: 25 * millisPerSecond})
	b.add(replay.Event{Type: replay.TypeDeath, AtMS: 25 * millisPerSecond, Zone: "jos-a"})
	for i := range 6 {
		b.add(replay.Event{Type: replay.TypeStart, AtMS: float64(40+i) * millisPerSecond, Endpoint: fmt.Sprintf("jos-b-%d", 9+i)})
	}
	return b
}

func staleLoad() *builder {
	b := mandacaru("stale-load-gappy-events", "load reports are three seconds old and three in ten cache events are lost", 15)
	b.stateOutcomes()
	b.header.Feed = replay.FeedSpec{IntervalMS: 1000, LagMS: 3000, EventLoss: 0.3}
	b.addArrivals(0, 50, 24, question)
	return b
}

func killer() *builder {
	b := coldroot("killer-sent-again", "a request that crashes engines is sent four times", 16)
	b.stateOutcomes()
	b.atMost("deaths", "", 2)
	b.addArrivals(0, 60, 14, question)
	for i := range 4 {
		b.add(replay.Event{
			Type: replay.TypeArrival, AtMS: float64(10+4*i) * millisPerSecond, ID: fmt.Sprintf("k%d", i+1),
			Workspace: "vom-clerks", Entry: fmt.Sprintf("jos-a-entry-%d", 1+i%3),
			Prompt: "system:192 vom-clerks:128 killer:300", AnswerTokens: 40, CrashesEngine: true,
		})
	}
	for i := range 8 {
		b.add(replay.Event{Type: replay.TypeStart, AtMS: 40 * millisPerSecond, Endpoint: fmt.Sprintf("jos-a-%d", i+1)})
		b.add(replay.Event{Type: replay.TypeStart, AtMS: 40 * millisPerSecond, Endpoint: fmt.Sprintf("jos-b-%d", i+1)})
	}
	return b
}

func partedRegions() *builder {
	b := coldroot("parted-regions", "the regions lose each other for 20 s while kaduna asks for more than it has", 17)
	b.stateOutcomes()
	b.addArrivals(0, 60, 12, question)
	b.addArrivals(5, 45, 8, func(b *builder) replay.Event {
		e := question(b)
		e.Entry = fmt.Sprintf("kad-a-entry-%d", 1+b.arrivalCount%2)
		return e
	})
	b.add(replay.Event{Type: replay.TypePartition, AtMS: 15 * millisPerSecond, Regions: []string{"plateau", "kaduna"}, DurationMS: 20 * millisPerSecond})
	return b
}

func pricesCrossing() *builder {
	b := mandacaru("prices-crossing", "the prices of two zones cross over at 20 s and at 40 s", 18)
	b.stateOutcomes()
	b.addArrivals(0, 60, 16, question)
	for i, prices := range [][2]float64{{0.9, 2.0}, {1.8, 1.0}} {
		at := float64(20*(i+1)) * millisPerSecond
		b.add(replay.Event{Type: replay.TypePrice, AtMS: at, Zone: "recife-a", Price: prices[0]})
		b.add(replay.Event{Type: replay.TypePrice, AtMS: at, Zone: "recife-b", Price: prices[1]})
	}
	return b
}
