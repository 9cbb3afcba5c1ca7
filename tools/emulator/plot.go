package emulator

import (
	"image/color"
	"path/filepath"

	"github.com/samber/oops"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 3.5 * vg.Inch
	barWidth   = 8 * vg.Length(1)
)

// outcomeColors are the bar colors of the outcomes.
var outcomeColors = map[Outcome]color.Color{
	Served: color.RGBA{R: 46, G: 125, B: 50, A: 255}, Late: color.RGBA{R: 249, G: 168, B: 37, A: 255},
	Refused: color.RGBA{R: 21, G: 101, B: 192, A: 255}, Failed: color.RGBA{R: 198, G: 40, B: 40, A: 255},
}

// plot writes the plots of the report as SVG.
func (r *Report) plot(folder string) error {
	for name, draw := range map[string]func() (*plot.Plot, error){
		"outcomes.svg": r.outcomePlot, "latency.svg": r.latencyPlot, "histogram.svg": r.histogramPlot,
	} {
		p, err := draw()
		if err == nil {
			err = p.Save(plotWidth, plotHeight, filepath.Join(folder, name))
		}
		if err != nil {
			return oops.In("emulator").Wrapf(err, "plot %s", name)
		}
	}
	return nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// outcomePlot shows the outcomes per second of arrival as stacked bars.
func (r *Report) outcomePlot() (*plot.Plot, error) {
	p := newPlot("Requests by second of arrival", "second", "requests")
	var below *plotter.BarChart
	for _, series := range []struct {
		outcome Outcome
		count   func(SecondsReport) int
	}{
		{Served, func(s SecondsReport) int { return s.Served }}, {Late, func(s SecondsReport) int { return s.Late }},
		{Refused, func(s SecondsReport) int { return s.Refused }}, {Failed, func(s SecondsReport) int { return s.Failed }},
	} {
		values := make(plotter.Values, len(r.Seconds))
		for i, s := range r.Seconds {
			values[i] = float64(series.count(s))
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, err
		}
		bars.Color, bars.LineStyle.Width = outcomeColors[series.outcome], 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(string(series.outcome), bars)
	}
	return p, nil
}

// latencyPlot shows the 95th percentile of the latency per second of arrival.
func (r *Report) latencyPlot() (*plot.Plot, error) {
	p := newPlot("Time to the first event, 95th percentile", "second", "ms")
	points := make(plotter.XYs, len(r.Seconds))
	for i, s := range r.Seconds {
		points[i].X, points[i].Y = float64(s.Second), s.P95MS
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return nil, err
	}
	p.Add(line)
	return p, nil
}

// histogramPlot shows the latency histogram of each kind on a logarithmic scale.
func (r *Report) histogramPlot() (*plot.Plot, error) {
	p := newPlot("Time to the first event by kind", "ms", "requests")
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for i, k := range r.Kinds {
		points := make(plotter.XYs, len(k.Histogram))
		for j, b := range k.Histogram {
			points[j].X, points[j].Y = b.UpToMS, float64(b.Count)
		}
		if len(points) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, err
		}
		line.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		p.Add(line, dots)
		p.Legend.Add(k.Kind, line)
	}
	return p, nil
}
