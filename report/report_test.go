package report

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func sampleRuns() []Run {
	day := func(name string, worth float64) Day {
		return Day{
			Name: name, Worth: worth, Broken: []string{"DRAIN"},
			Parts:  []Share{{"whole day", 0.9}, {"worst windows", 0.5}},
			Prices: []Share{{"hosts", 0.1}, {"engines", 0.2}, {"calls", 0}, {"bytes", 0.01}},
		}
	}
	detailed := day("trouble-1", 0.3)
	detailed.Kinds, detailed.Zones = []Share{{"summary", 0.8}, {"order <1>", 1}}, []Share{{"jos-a", 0.7}}
	detailed.Intervals = []Interval{{StartS: 0, Sent: 10, InTime: 9, Refused: 1}, {StartS: 2, Sent: 0}, {StartS: 4, Sent: 12, InTime: 6, Late: 6}}
	detailed.Events = []Event{{"reclaim", 1, 3}}
	return []Run{
		{Title: "before", Reason: "a <first> run", Days: []Day{day("quiet-1", 0.5), day("trouble-1", 0.2)}},
		{Title: "after", Days: []Day{day("quiet-1", 0.6), detailed}},
	}
}

// TestWrite: the page holds each run and day, draws the days side by side, and loads nothing from elsewhere.
func TestWrite(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(Write(&out, sampleRuns()))
	page := out.String()
	for _, want := range []string{"before", "after", "a &lt;first&gt; run", "trouble-1", "0.300", "DRAIN", "engines 0.200", "<h2>after, trouble-1</h2>"} {
		if !strings.Contains(page, want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
	is.Equal(strings.Count(page, "<svg"), 5) // worth, prices, and three of the detailed day
	for _, foreign := range []string{"<script", "<link", "src=\"http", "<?xml"} {
		is.True(!strings.Contains(page, foreign))
	}
}

func TestWriteNothing(t *testing.T) {
	is := is.New(t)
	is.True(errors.Is(Write(&bytes.Buffer{}, []Run{{Title: "empty"}}), ErrNoDays))
}

func TestLargest(t *testing.T) {
	is := is.New(t)
	d := sampleRuns()[0].Days[0]
	is.Equal(d.Largest(), []Share{{"engines", 0.2}, {"hosts", 0.1}, {"bytes", 0.01}})
}
