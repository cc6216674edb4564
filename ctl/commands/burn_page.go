package commands

import (
	"fmt"
	"html/template"
	"os"

	"catkinrail.example/catkinrail/protocol/api"
)

// Sizes of the plot of burn rates, in pixels.
const (
	barHeight     = 14
	barGap        = 6
	burnUnitWidth = 120
	maxBarWidth   = 480
)

// bar is the bar of one burn rate.
type bar struct {
	Label      string
	Y, Height  int
	Width      float64
	Value      string
	OverBudget bool
}

type burnPage struct {
	Rows   []*api.BurnRow
	Bars   []bar
	Height int
	LimitX int
}

var burnTemplate = template.Must(template.New("burn").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Error budget burn rates</title>
<style>
body { font: 14px sans-serif; margin: 2em }
table { border-collapse: collapse } td, th { padding: 2px 10px; text-align: right; border-bottom: 1px solid #ddd }
td:first-child, th:first-child { text-align: left }
.bar { fill: #3b7ea1 } .over { fill: #c0392b } text { font: 11px sans-serif }
</style></head><body>
<h1>Error budget burn rates</h1>
<p>A burn rate of 1, the vertical line, uses up the budget exactly at the end of the window.</p>
<svg width="900" height="{{.Height}}" role="img" aria-label="Burn rates by service and window">
{{range .Bars}}<text x="0" y="{{.Y}}" dy="11">{{.Label}}</text>
<rect class="{{if .OverBudget}}over{{else}}bar{{end}}" x="260" y="{{.Y}}" width="{{printf "%.1f" .Width}}" height="{{.Height}}"/>
<text x="760" y="{{.Y}}" dy="11">{{.Value}}</text>
{{end}}<line x1="{{.LimitX}}" x2="{{.LimitX}}" y1="0" y2="{{.Height}}" stroke="#333" stroke-dasharray="4"/>
</svg>
<table><tr><th>Service</th><th>Window</th><th>Flows</th><th>Broken</th><th>Refused</th><th>Imbalance</th><th>Largest cause</th></tr>
{{range .Rows}}<tr><td>{{.Service}}</td><td>{{.Window}}</td><td>{{.Flows}}</td><td>{{.Broken}}</td><td>{{.Refused}}</td><td>{{printf "%.1f%%" .ImbalancePercent}}</td><td>{{.Cause}}</td></tr>
{{end}}</table></body></html>
`))

// writeBurnPage writes the report to a file, as an HTML page with a bar for each burn
// rate.
func writeBurnPage(file string, r *api.BurnReply) error {
	const labelWidth = 260
	page := burnPage{Rows: r.GetRows(), LimitX: labelWidth + burnUnitWidth}
	for _, row := range r.GetRows() {
		for _, b := range []struct {
			name string
			burn float64
		}{{"broken", row.GetBrokenBurn()}, {"refused", row.GetRefusedBurn()}, {"imbalance", row.GetImbalanceBurn()}} {
			page.Bars = append(page.Bars, bar{
				Label: fmt.Sprintf("%s %s %s", row.GetService(), row.GetWindow(), b.name),
				Y:     page.Height, Height: barHeight,
				Width: min(b.burn*burnUnitWidth, maxBarWidth), Value: fmt.Sprintf("%.2f", b.burn), OverBudget: b.burn > 1,
			})
			page.Height += barHeight + barGap
		}
	}
	return writePage(file, burnTemplate, page)
}

// writePage writes the template, filled in with the page, to a file.
func writePage(file string, t *template.Template, page any) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := t.Execute(f, page); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
