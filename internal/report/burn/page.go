package burn

import (
	"fmt"
	"html/template"
	"io"
	"strings"
)

// Size of a plot in pixels.
const (
	plotWidth  = 360.0
	plotHeight = 60.0
)

var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": func(f float64) string { return fmt.Sprintf("%.2f%%", 100*f) },
	"rate":    func(f float64) string { return fmt.Sprintf("%.1f", f) },
	"plot":    plot,
	"alerts":  alertText,
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:14px sans-serif;margin:2em;color:#222}
table{border-collapse:collapse}
th,td{padding:.35em .8em;border-bottom:1px solid #ddd;text-align:right}
th:first-child,td:first-child,th:nth-child(2),td:nth-child(2){text-align:left}
.bad{color:#b00020;font-weight:bold}
.missing{background:#fff3cd;padding:.5em}
</style></head><body>
<h1>Service-level burn</h1>
<p>{{.At.UTC.Format "2006-01-02 15:04:05"}} UTC, configuration version {{.Version}}, {{.Heard}} nodes heard.</p>
{{if .Missing}}<p class="missing">Not heard: {{range .Missing}}{{.}} {{end}}</p>{{end}}
<table>
<tr><th>Service</th><th>Class</th><th>Objective</th><th>Good</th><th>Bad</th><th>Budget left</th><th>5m</th><th>30m</th><th>1h</th><th>6h</th><th>3d</th><th>Alerts</th><th>Bad share, last hour</th></tr>
{{range .Rows}}<tr><td>{{.Key.Service}}</td><td>{{.Key.Class}}</td><td>{{percent .Objective.Share}}</td><td>{{.Good}}</td><td>{{.Bad}}</td><td{{if lt .BudgetLeft 0.0}} class="bad"{{end}}>{{percent .BudgetLeft}}</td>{{range .Burn}}<td>{{rate .}}</td>{{end}}<td{{if .Alerts}} class="bad"{{end}}>{{alerts .Alerts}}</td><td>{{plot .Steps}}</td></tr>
{{end}}</table>
<p>A burn rate of 1 spends the error budget exactly in its window. Alerts: page is 14.4 over 1h and 5m, page-slow is 6 over 6h and 30m, ticket is 1 over 3d and 6h.</p>
</body></html>
`))

// WriteHTML writes the report as a self-contained HTML page.
func (r Report) WriteHTML(w io.Writer) error {
	return pageTemplate.Execute(w, r)
}

// plot draws the share of bad calls of each step as an SVG bar chart.
func plot(steps []Count) template.HTML {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg width="%g" height="%g" viewBox="0 0 %g %g"><rect width="100%%" height="100%%" fill="#f4f4f4"/>`, plotWidth, plotHeight, plotWidth, plotHeight)
	width := plotWidth / float64(max(len(steps), 1))
	for i, c := range steps {
		if c.Total() == 0 {
			continue
		}
		x := float64(i) * width
		bad := c.BadShare() * plotHeight
		fmt.Fprintf(&b, `<rect x="%.1f" y="0" width="%.1f" height="%g" fill="#cfe8cf"/>`, x, width, plotHeight)
		fmt.Fprintf(&b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="#b00020"/>`, x, plotHeight-bad, width, bad)
	}
	b.WriteString(`</svg>`)
	return template.HTML(b.String())
}
