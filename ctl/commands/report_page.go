package commands

import (
	"html/template"

	"catkinrail.example/catkinrail/ctl/report"
)

// Sizes of the plot of seconds, in pixels.
const (
	secondWidth  = 6
	secondHeight = 160
	minPlotWidth = 300
)

// column is one second of the plot. Served, Repeated and Refused are the heights of
// its parts, stacked in this order from the bottom; ServedY, RepeatedY and RefusedY
// are the positions of their upper edges from the top.
type column struct {
	X                                    int
	Title                                string
	Served, ServedY, Repeated, RepeatedY int
	Refused, RefusedY, Events, Width     int
}

type reportPage struct {
	*report.Report
	Columns       []column
	Width, Height int
	Worst         []report.Second
}

var reportTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>How callers were served</title>
<style>
body { font: 14px sans-serif; margin: 2em }
table { border-collapse: collapse } td, th { padding: 2px 10px; text-align: right; border-bottom: 1px solid #ddd }
td:first-child, th:first-child, td:last-child, th:last-child { text-align: left }
.served { fill: #3b7ea1 } .late { fill: #e0a030 } .refused { fill: #c0392b } .event { fill: #555 }
</style></head><body>
<h1>How callers were served</h1>
<p>New flows by second: answered at once (blue), opening packet retransmitted (yellow), refused (red); a gray mark shows events.
Burn rates: refused {{printf "%.2f" .RefusedBurn}}, repeated {{printf "%.2f" .RepeatedBurn}}; 1 uses up the budget exactly.</p>
<svg width="{{.Width}}" height="{{.Height}}" role="img" aria-label="New flows by second">
{{range .Columns}}<g><title>{{.Title}}</title>
<rect class="served" x="{{.X}}" y="{{.ServedY}}" width="{{.Width}}" height="{{.Served}}"/>
<rect class="late" x="{{.X}}" y="{{.RepeatedY}}" width="{{.Width}}" height="{{.Repeated}}"/>
<rect class="refused" x="{{.X}}" y="{{.RefusedY}}" width="{{.Width}}" height="{{.Refused}}"/>
{{if .Events}}<rect class="event" x="{{.X}}" y="{{$.Height}}" width="{{.Width}}" height="3" transform="translate(0,-3)"/>{{end}}</g>
{{end}}</svg>
<h2>Worst seconds</h2>
<table><tr><th>Time</th><th>Flows</th><th>Refused</th><th>Repeated</th><th>Dropped</th><th>Reasons and events</th></tr>
{{range .Worst}}<tr><td>{{.Time.Format "15:04:05"}}</td><td>{{.Flows}}</td><td>{{.Refused}}</td><td>{{.Repeated}}</td><td>{{.Dropped}}</td>
<td>{{.ReasonText}}{{range .Events}}<br>{{.Time.Format "15:04:05.000"}} {{.Instance}}: {{.Message}} {{.Text}}{{end}}</td></tr>
{{end}}</table></body></html>
`))

// writeReportPage writes the report to a file, as an HTML page with a column for each
// second.
func writeReportPage(file string, r *report.Report, worst int) error {
	page := &reportPage{Report: r, Columns: columns(r), Height: secondHeight, Worst: r.Worst(worst)}
	page.Width = minPlotWidth
	if n := len(page.Columns); n > 0 {
		page.Width = max(page.Width, page.Columns[n-1].X+secondWidth)
	}
	return writePage(file, reportTemplate, page)
}

// columns returns the plot's columns, placed by time.
func columns(r *report.Report) []column {
	most := uint64(1)
	for i := range r.Seconds {
		most = max(most, r.Seconds[i].Flows)
	}
	height := func(n uint64) int { return int(min(n, most) * (secondHeight - 4) / most) }
	var list []column
	for i := range r.Seconds {
		s := &r.Seconds[i]
		repeated := min(s.Repeated, s.Flows-s.Refused)
		c := column{
			X: int(s.Time.Sub(r.Seconds[0].Time).Seconds()) * secondWidth, Width: secondWidth - 1,
			Title:  s.Time.Format("15:04:05") + " " + s.ReasonText(),
			Served: height(s.Flows - s.Refused - repeated), Repeated: height(repeated), Refused: height(s.Refused), Events: len(s.Events),
		}
		c.ServedY = secondHeight - 4 - c.Served
		c.RepeatedY = c.ServedY - c.Repeated
		c.RefusedY = c.RepeatedY - c.Refused
		list = append(list, c)
	}
	return list
}
