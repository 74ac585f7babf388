// Package report writes an HTML page about measured days of a deployment: what each was
// worth and what was paid, and for single days what was served and refused over time,
// by kind of request and by availability zone. The page is self-contained. Several runs,
// such as two versions, stand side by side.
package report

import (
	"fmt"
	"html/template"
	"io"
	"slices"

	"github.com/pkg/errors"
)

// Run is one measurement of one or more days.
type Run struct {
	// Title names the run, Reason says what it was for.
	Title  string
	Reason string
	Days   []Day
}

// Day is the result of one day.
type Day struct {
	Name  string
	Worth float64
	// Broken names the rules that were broken.
	Broken []string
	// Parts are the parts of the worth before prices, Prices what was taken off.
	Parts  []Share
	Prices []Share
	// Kinds and Zones are empty if the run does not hold them, Intervals and Events, too.
	Kinds     []Share
	Zones     []Share
	Intervals []Interval
	Events    []Event
}

// Share is a named fraction of what a day is worth, or of what a kind or zone could earn.
type Share struct {
	Name  string
	Value float64
}

// Interval holds the requests that were sent in a part of the day.
type Interval struct {
	StartS                              float64
	InTime, Late, Refused, Failed, Sent float64
}

// Event is a disruption or planned work.
type Event struct {
	Name       string
	FromS, ToS float64
}

// ErrNoDays is returned when there is nothing to write about.
var ErrNoDays = errors.New("no measured days")

// Write writes the page. It returns ErrNoDays without a day, and errors of the writer and
// of the plots.
func Write(w io.Writer, runs []Run) error {
	p := page{}
	for _, run := range runs {
		p.Runs = append(p.Runs, run)
		for _, day := range run.Days {
			p.Days = append(p.Days, dayOfRun{run.Title, day})
		}
	}
	if len(p.Days) == 0 {
		return ErrNoDays
	}
	if err := p.plotAll(runs); err != nil {
		return err
	}
	return errors.Wrap(pageTemplate.Execute(w, p), "write report")
}

type dayOfRun struct {
	Run string
	Day
}

// Largest returns the largest prices of a day, in descending order.
func (d Day) Largest() []Share {
	const shown = 6
	out := slices.DeleteFunc(slices.Clone(d.Prices), func(s Share) bool { return s.Value <= 0 })
	slices.SortFunc(out, func(a, b Share) int {
		switch {
		case a.Value > b.Value:
			return -1
		case a.Value < b.Value:
			return 1
		}
		return 0
	})
	return out[:min(len(out), shown)]
}

// page holds what the template shows.
type page struct {
	Runs          []Run
	Days          []dayOfRun
	Worth, Prices template.HTML
	Details       []detail
}

// detail is the section of one day with its plots.
type detail struct {
	Title string
	Plots []template.HTML
}

func (p *page) plotAll(runs []Run) error {
	var err error
	if p.Worth, err = plotWorth(runs); err != nil {
		return err
	}
	if p.Prices, err = plotPrices(p.Days); err != nil {
		return err
	}
	for _, day := range p.Days {
		d := detail{Title: fmt.Sprintf("%s, %s", day.Run, day.Name)}
		for _, draw := range []func(Day) (template.HTML, error){plotIntervals, plotKinds, plotZones} {
			plot, err := draw(day.Day)
			if err != nil {
				return err
			}
			if plot != "" {
				d.Plots = append(d.Plots, plot)
			}
		}
		if len(d.Plots) > 0 {
			p.Details = append(p.Details, d)
		}
	}
	return nil
}

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Measured days</title>
<style>
body { font: 15px/1.45 sans-serif; margin: 2em auto; max-width: 60em; }
table { border-collapse: collapse; } td, th { padding: .2em .8em; text-align: left; border-bottom: 1px solid #ddd; }
td.n { text-align: right; font-variant-numeric: tabular-nums; } .broken { color: #b00; }
svg { max-width: 100%; height: auto; }
</style></head><body>
<h1>Measured days</h1>
<table><tr><th>run</th><th>reason</th><th>days</th></tr>
{{range .Runs}}<tr><td>{{.Title}}</td><td>{{.Reason}}</td><td class="n">{{len .Days}}</td></tr>
{{end}}</table>
<h2>Worth</h2>{{.Worth}}
<h2>Prices</h2>{{.Prices}}
<table><tr><th>run</th><th>day</th><th>worth</th><th>parts</th><th>largest prices</th><th>broken</th></tr>
{{range .Days}}<tr><td>{{.Run}}</td><td>{{.Name}}</td><td class="n">{{printf "%.3f" .Worth}}</td>
<td>{{range .Parts}}{{.Name}} {{printf "%.3f" .Value}}<br>{{end}}</td>
<td>{{range .Largest}}{{.Name}} {{printf "%.3f" .Value}}<br>{{end}}</td>
<td class="broken">{{range .Broken}}{{.}}<br>{{end}}</td></tr>
{{end}}</table>
{{range .Details}}<h2>{{.Title}}</h2>{{range .Plots}}{{.}}{{end}}{{end}}
</body></html>
`))
