package report

import (
	"bytes"
	"html/template"
	"image/color"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of plots. The bars of all days share barSpace.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barSpace   = 16 * vg.Centimeter
	maxBar     = vg.Centimeter
)

// render returns a plot as SVG for use within a page.
func render(p *plot.Plot) (template.HTML, error) {
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", errors.Wrap(err, "draw plot")
	}
	var out bytes.Buffer
	if _, err := writer.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "draw plot")
	}
	svg := out.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:] // without the XML declaration
	}
	return template.HTML(svg), nil
}

func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, y
	p.Legend.Top = true
	return p
}

// barWidth returns the width of a bar if each of n days has a number of bars beside one another.
func barWidth(n, beside int) vg.Length {
	return min(barSpace/vg.Length(max(n*(beside+1), 1)), maxBar)
}

// plotWorth shows the worth of each day, the runs side by side.
func plotWorth(runs []Run) (template.HTML, error) {
	var names []string
	for _, run := range runs {
		for _, day := range run.Days {
			if !slices.Contains(names, day.Name) {
				names = append(names, day.Name)
			}
		}
	}
	p := newPlot("", "worth")
	width := barWidth(len(names), len(runs))
	for i, run := range runs {
		values := make(plotter.Values, len(names))
		for _, day := range run.Days {
			values[slices.Index(names, day.Name)] = day.Worth
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return "", errors.Wrap(err, "draw worth")
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(i), 0
		bars.Offset = width * (vg.Length(i) - vg.Length(len(runs)-1)/2)
		p.Add(bars)
		p.Legend.Add(run.Title, bars)
	}
	p.NominalX(names...)
	return render(p)
}

// plotPrices shows the prices of each day, stacked: those that are largest over all days, and the rest.
func plotPrices(days []dayOfRun) (template.HTML, error) {
	const shown = 5
	sums := map[string]float64{}
	for _, day := range days {
		for _, s := range day.Prices {
			sums[s.Name] += s.Value
		}
	}
	largest := make([]Share, 0, len(sums))
	for name, sum := range sums {
		largest = append(largest, Share{name, sum})
	}
	largest = Day{Prices: largest}.Largest()
	largest = largest[:min(len(largest), shown)]
	p := newPlot("", "worth taken off")
	var below *plotter.BarChart
	rest := make(plotter.Values, len(days))
	for i, day := range days {
		for _, s := range day.Prices {
			rest[i] += s.Value
		}
	}
	for n, price := range append(largest, Share{Name: "other"}) {
		values := make(plotter.Values, len(days))
		for i, day := range days {
			for _, s := range day.Prices {
				if s.Name == price.Name {
					values[i] += s.Value
				}
			}
			rest[i] -= values[i]
		}
		if n == len(largest) {
			values = rest
		}
		bars, err := plotter.NewBarChart(values, barWidth(len(days), 1))
		if err != nil {
			return "", errors.Wrap(err, "draw prices")
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(n), 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(price.Name, bars)
	}
	names := make([]string, len(days))
	for i, day := range days {
		names[i] = day.Name
	}
	p.NominalX(names...)
	return render(p)
}

// plotIntervals shows the requests over time, with the times of disruptions shaded. It returns nothing for
// a day without intervals.
func plotIntervals(d Day) (template.HTML, error) {
	if len(d.Intervals) == 0 {
		return "", nil
	}
	p := newPlot("requests by the time they were sent, disruptions shaded", "share of those sent")
	p.X.Label.Text = "seconds"
	for _, e := range d.Events {
		shade, err := plotter.NewPolygon(plotter.XYs{{X: e.FromS, Y: 0}, {X: e.ToS, Y: 0}, {X: e.ToS, Y: 1}, {X: e.FromS, Y: 1}})
		if err != nil {
			return "", errors.Wrap(err, "draw disruption")
		}
		shade.Color, shade.LineStyle.Width = color.NRGBA{R: 200, G: 80, B: 0, A: 18}, 0
		p.Add(shade)
	}
	for i, line := range []struct {
		name  string
		value func(Interval) float64
	}{
		{"in time", func(v Interval) float64 { return v.InTime }},
		{"late", func(v Interval) float64 { return v.Late }},
		{"refused", func(v Interval) float64 { return v.Refused }},
		{"failed", func(v Interval) float64 { return v.Failed }},
	} {
		var points plotter.XYs
		for _, v := range d.Intervals {
			if v.Sent > 0 {
				points = append(points, plotter.XY{X: v.StartS, Y: line.value(v) / v.Sent})
			}
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return "", errors.Wrap(err, "draw requests")
		}
		l.Color, l.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(line.name, l)
	}
	p.Y.Min, p.Y.Max = 0, 1
	return render(p)
}

func plotKinds(d Day) (template.HTML, error) {
	return plotShares("share of its worth, by kind of request", d.Kinds)
}

func plotZones(d Day) (template.HTML, error) {
	return plotShares("share of its worth, by availability zone of the callers", d.Zones)
}

func plotShares(title string, shares []Share) (template.HTML, error) {
	if len(shares) == 0 {
		return "", nil
	}
	p := newPlot(title, "")
	values, names := make(plotter.Values, len(shares)), make([]string, len(shares))
	for i, s := range shares {
		values[i], names[i] = s.Value, s.Name
	}
	bars, err := plotter.NewBarChart(values, barWidth(len(shares), 1))
	if err != nil {
		return "", errors.Wrap(err, "draw shares")
	}
	bars.Color, bars.LineStyle.Width = plotutil.Color(0), 0
	p.Add(bars)
	p.NominalX(names...)
	p.Y.Min, p.Y.Max = 0, 1
	return render(p)
}
