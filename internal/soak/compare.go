// This file draws two measurements side by side as one page.

package soak

import (
	"fmt"
	"html/template"
	"io"
	"strings"
)

// Named is a measurement with the name under which it stands on the page.
type Named struct {
	Name   string
	Report *LoadReport
}

// chart is a line chart of two measurements over the seconds.
type chart struct {
	Title string
	Most  float64 // top of the scale
	Lines []line
}

type line struct {
	Name, Color, Points string
}

// Sizes of a chart, in pixels.
const (
	chartWidth  = 640
	chartHeight = 160
)

var lineColors = []string{"#1f77b4", "#d62728"}

// drawChart draws a figure of each second.
func drawChart(title string, runs []Named, value func(SecondFigures) float64) chart {
	c := chart{Title: title, Most: 1}
	seconds := 2
	for _, run := range runs {
		seconds = max(seconds, len(run.Report.Seconds))
		for _, s := range run.Report.Seconds {
			c.Most = max(c.Most, value(s))
		}
	}
	for i, run := range runs {
		var points []string
		for _, s := range run.Report.Seconds {
			x := float64(s.Second) / float64(seconds-1) * chartWidth
			y := chartHeight - value(s)/c.Most*chartHeight
			points = append(points, fmt.Sprintf("%.1f,%.1f", x, y))
		}
		c.Lines = append(c.Lines, line{Name: run.Name, Color: lineColors[i%len(lineColors)], Points: strings.Join(points, " ")})
	}
	return c
}

type page struct {
	Runs          []Named
	Charts        []chart
	Width, Height int
}

// Compare writes an HTML page with the figures of the runs and their course.
func Compare(w io.Writer, runs ...Named) error {
	p := page{Runs: runs, Width: chartWidth, Height: chartHeight, Charts: []chart{
		drawChart("requests served a second", runs, func(s SecondFigures) float64 { return float64(s.Served) }),
		drawChart("time to the first part, median, ms", runs, func(s SecondFigures) float64 { return s.First.P50 }),
		drawChart("time to the first part, 99 in 100, ms", runs, func(s SecondFigures) float64 { return s.First.P99 }),
	}}
	return comparePage.Execute(w, &p)
}

var comparePage = template.Must(template.New("compare").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>hingewinch load</title>
<style>body{font:14px sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}th:first-child,td:first-child{text-align:left}svg{background:#f6f6f6}</style>
</head><body>
{{range .Runs}}<h2>{{.Name}}</h2>
<p>{{.Report.Shape.Daemons}} daemons, {{.Report.Shape.Chat}} engines, {{.Report.Shape.Rate}} requests a second,
{{.Report.Shape.Subjects}} subjects, skew {{.Report.Shape.Skew}}; prompts met again at a replica that holds them
{{printf "%.3f" .Report.Reuse}}, greatest engine {{printf "%.2f" .Report.ChatSkew}} times the mean</p>
<table><tr><th>route</th><th>requests</th><th>served</th><th>first p50</th><th>p90</th><th>p99</th><th>max</th><th>total p50</th><th>p99 ms</th></tr>
{{range .Report.Routes}}<tr><td>{{.Route}}</td><td>{{.Requests}}</td><td>{{.Served}}</td><td>{{printf "%.1f" .First.P50}}</td><td>{{printf "%.1f" .First.P90}}</td><td>{{printf "%.1f" .First.P99}}</td><td>{{printf "%.1f" .First.Max}}</td><td>{{printf "%.1f" .Total.P50}}</td><td>{{printf "%.1f" .Total.P99}}</td></tr>
{{end}}</table>
{{end}}
{{$p := .}}{{range .Charts}}<h3>{{.Title}} (top {{printf "%.1f" .Most}})</h3>
<svg width="{{$p.Width}}" height="{{$p.Height}}">{{range .Lines}}<polyline fill="none" stroke="{{.Color}}" stroke-width="2" points="{{.Points}}"/>{{end}}</svg>
<p>{{range .Lines}}<span style="color:{{.Color}}">{{.Name}}</span> {{end}}</p>
{{end}}</body></html>
`))
