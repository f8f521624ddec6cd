package report

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/hyssopspindle/hyssopspindle/internal/load/replay"
)

// The size of a plot in points.
const (
	plotWidth  vg.Length = 510
	plotHeight vg.Length = 255
)

type pageData struct {
	Report Report
	Plots  []template.HTML
}

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Report.Name}}</title>
<style>body{font-family:sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse}
td,th{border:1px solid #999;padding:.3em .6em;text-align:right}th{background:#eee}</style></head><body>
<h1>{{.Report.Name}}</h1>
<p>Seed {{.Report.Seed}}, {{printf "%.1f" .Report.Seconds}} s, {{.Report.Total.Sent}} requests. Times count from when a
request was due, in milliseconds.</p>
<table><tr><th>service</th><th>sent</th><th>whole</th><th>in time</th><th>away</th><th>cost</th><th>repeats</th>
<th>first p50</th><th>p95</th><th>p99</th><th>took p50</th><th>p99</th><th>gap p99</th><th>refusals</th></tr>
{{range .Report.Services}}<tr><td>{{.Name}}</td><td>{{.Sent}}</td><td>{{.Whole}}</td><td>{{.InTime}}</td>
<td>{{.Away}}</td><td>{{printf "%.0f" .Cost}}</td><td>{{.Repeats}}</td><td>{{printf "%.0f" .First.P50}}</td>
<td>{{printf "%.0f" .First.P95}}</td><td>{{printf "%.0f" .First.P99}}</td><td>{{printf "%.0f" .Took.P50}}</td>
<td>{{printf "%.0f" .Took.P99}}</td><td>{{printf "%.0f" .Gap.P99}}</td><td>{{.Refusals}}</td></tr>
{{end}}</table>
{{range .Plots}}<p>{{.}}</p>{{end}}
</body></html>
`))

// Page writes a report as a self-contained HTML page.
func Page(w io.Writer, r Report, samples []replay.Sample) error {
	p := pageData{Report: r}
	for _, build := range []func([]replay.Sample) (*plot.Plot, error){firstTokenPlot, ratePlot} {
		svg, err := render(build, samples)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		p.Plots = append(p.Plots, svg)
	}
	if err := pageTemplate.Execute(w, p); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

func render(build func([]replay.Sample) (*plot.Plot, error), samples []replay.Sample) (template.HTML, error) {
	p, err := build(samples)
	if err != nil {
		return "", err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", fmt.Errorf("render: %w", err)
	}
	// The SVG needs no escaping: it is drawn above from numbers and names of the inventory.
	return template.HTML(b.String()), nil
}

func firstTokenPlot(samples []replay.Sample) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "time to first token"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "ms"
	points := map[string]plotter.XYs{}
	for _, s := range samples {
		if s.Outcome.Complete {
			points[s.Item.Service] = append(points[s.Item.Service], plotter.XY{
				X: s.Item.SendTime().Seconds(), Y: float64(s.TimeToFirstToken) / float64(time.Millisecond),
			})
		}
	}
	var args []any
	for name, xys := range points {
		args = append(args, name, xys)
	}
	if err := plotutil.AddScatters(p, args...); err != nil {
		return nil, fmt.Errorf("plot of times to first token: %w", err)
	}
	return p, nil
}

func ratePlot(samples []replay.Sample) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "requests and complete answers per second"
	p.X.Label.Text = "seconds"
	var sent, whole plotter.XYs
	count := func(list plotter.XYs, at time.Duration) plotter.XYs {
		for len(list) <= int(at.Seconds()) {
			list = append(list, plotter.XY{X: float64(len(list))})
		}
		list[int(at.Seconds())].Y++
		return list
	}
	for _, s := range samples {
		sent = count(sent, s.Item.SendTime())
		if s.Outcome.Complete {
			whole = count(whole, s.Item.SendTime()+s.Elapsed)
		}
	}
	if err := plotutil.AddLines(p, "sent", sent, "whole", whole); err != nil {
		return nil, fmt.Errorf("plot of rates: %w", err)
	}
	return p, nil
}
