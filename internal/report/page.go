package report

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"math"
	"sort"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// Page is what the HTML page shows.
type Page struct {
	Title   string
	About   string
	Summary *Summary
	Report  checker.Report
	// Problems are steps that could not be done.
	Problems []string
}

// line is an event as in its log.
func line(event eventlog.Event) string {
	text, err := json.Marshal(event)
	if err != nil {
		return fmt.Sprintf("%+v", event)
	}
	return string(text)
}

// second is one second of the run.
type second struct {
	outcomes   map[string]int
	placements map[string]int
	firsts     []float64
	version    uint64
}

// seconds divides the run by the time at which requests began and ran.
func (s *Summary) seconds() []second {
	if s.End <= s.Start {
		return nil
	}
	count := int((s.End-s.Start)/int64(time.Second)) + 1
	list := make([]second, count)
	for i := range list {
		list[i] = second{outcomes: map[string]int{}, placements: map[string]int{}}
	}
	for _, of := range s.Requests {
		at := &list[s.index(of.At, count)]
		at.outcomes[of.Outcome]++
		if of.Outcome == OutcomeSuccess {
			at.firsts = append(at.firsts, of.FirstTokenMS)
		}
	}
	for _, executed := range s.executions {
		if executed.At < s.Start {
			continue
		}
		at := &list[s.index(executed.At, count)]
		at.placements[s.regionOf(executed)]++
		at.version = max(at.version, executed.Version)
	}
	return list
}

func (s *Summary) index(at int64, count int) int {
	return min(count-1, max(0, int((at-s.Start)/int64(time.Second))))
}

// Measures of a chart, in pixels.
const (
	chartWidth  = 1000
	chartHeight = 150
	chartLeft   = 60
	chartTop    = 14
	chartBottom = 24
)

// palette gives each series its color.
var palette = map[string]string{
	OutcomeSuccess: "#4c9f70", OutcomeRefused: "#e0a030", OutcomeFailed: "#c8553d",
	OutcomeUnknown: "#7d5ba6", OutcomeUnreachable: "#555555", OutcomeAbandoned: "#a0b4c8", OutcomeUnanswered: "#222222",
}

var seriesColors = []string{"#3566a8", "#4c9f70", "#e0a030", "#c8553d", "#7d5ba6", "#555555"}

// chart draws into one inline SVG.
type chart struct {
	title   string
	unit    string
	count   int
	maximum float64
	body    strings.Builder
	legend  []string
}

func newChart(title, unit string, count int, maximum float64) *chart {
	return &chart{title: title, unit: unit, count: max(1, count), maximum: niceMaximum(maximum)}
}

// niceMaximum rounds up to 1, 2 or 5 times a power of ten.
func niceMaximum(value float64) float64 {
	if value <= 0 {
		return 1
	}
	power := math.Pow(10, math.Floor(math.Log10(value)))
	for _, step := range []float64{1, 2, 5, 10} {
		if value <= step*power {
			return step * power
		}
	}
	return value
}

func (c *chart) x(at float64) float64 {
	return chartLeft + at*float64(chartWidth-chartLeft)/float64(c.count)
}

func (c *chart) y(value float64) float64 {
	return chartTop + float64(chartHeight)*(1-math.Min(1, value/c.maximum))
}

func (c *chart) bar(at int, from, to float64, color string) {
	if to <= from {
		return
	}
	fmt.Fprintf(&c.body, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`,
		c.x(float64(at))+0.3, c.y(to), c.x(1)-c.x(0)-0.6, c.y(from)-c.y(to), color)
}

func (c *chart) curve(values []float64, color string) {
	var points []string
	for i, value := range values {
		if !math.IsNaN(value) {
			points = append(points, fmt.Sprintf("%.1f,%.1f", c.x(float64(i)+0.5), c.y(value)))
		}
	}
	fmt.Fprintf(&c.body, `<polyline points="%s" fill="none" stroke="%s" stroke-width="1.6"/>`, strings.Join(points, " "), color)
}

func (c *chart) name(label, color string) {
	c.legend = append(c.legend, fmt.Sprintf(`<span><i style="background:%s"></i>%s</span>`, color, template.HTMLEscapeString(label)))
}

// marker is a fault or an order on the time axis.
type marker struct {
	at    float64
	label string
	color string
}

// svg closes the chart with its axes and the markers over it.
func (c *chart) svg(markers []marker) template.HTML {
	var out strings.Builder
	height := chartTop + chartHeight + chartBottom
	fmt.Fprintf(&out, `<h3>%s <small>%s</small></h3><p class="legend">%s</p>`, template.HTMLEscapeString(c.title), c.unit, strings.Join(c.legend, " "))
	fmt.Fprintf(&out, `<svg viewBox="0 0 %d %d" role="img" aria-label="%s">`, chartWidth, height, template.HTMLEscapeString(c.title))
	const lines = 4
	for i := 0; i <= lines; i++ {
		value := c.maximum * float64(i) / lines
		fmt.Fprintf(&out, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ddd"/><text x="%d" y="%.1f" text-anchor="end">%.4g</text>`,
			chartLeft, chartWidth, c.y(value), c.y(value), chartLeft-6, c.y(value)+4, value)
	}
	for at := 0; at <= c.count; at += max(1, c.count/12) {
		fmt.Fprintf(&out, `<text x="%.1f" y="%d" text-anchor="middle">%d s</text>`, c.x(float64(at)), height-6, at)
	}
	out.WriteString(c.body.String())
	for i, mark := range markers {
		fmt.Fprintf(&out, `<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" stroke="%s" stroke-dasharray="3 3"><title>%s</title></line>`,
			c.x(mark.at), c.x(mark.at), chartTop, chartTop+chartHeight, mark.color, template.HTMLEscapeString(mark.label))
		fmt.Fprintf(&out, `<text x="%.1f" y="%d" text-anchor="middle" style="fill:%s">%d</text>`, c.x(mark.at), chartTop-3, mark.color, i+1)
	}
	out.WriteString(`</svg>`)
	return template.HTML(out.String())
}

// Colors of markers.
const (
	faultColor = "#c8553d"
	orderColor = "#3566a8"
)

func (s *Summary) markers() []marker {
	var list []marker
	place := func(at int64, label, color string) {
		if at >= s.Start && at <= s.End {
			list = append(list, marker{at: float64(at-s.Start) / float64(time.Second), label: label, color: color})
		}
	}
	for _, fault := range s.Faults {
		place(fault.At, fault.Detail+" "+fault.Target, faultColor)
	}
	for _, order := range s.Orders {
		place(order.At, fmt.Sprintf("%s acknowledged (%s)", order.Detail, order.Order), orderColor)
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
	return list
}

func outcomeChart(seconds []second, markers []marker) template.HTML {
	names := []string{OutcomeSuccess, OutcomeAbandoned, OutcomeRefused, OutcomeFailed, OutcomeUnknown, OutcomeUnreachable, OutcomeUnanswered}
	return stacked("Requests by their final outcome", "a second, by the time they began", seconds, markers, names,
		func(at second) map[string]int { return at.outcomes }, func(name string, _ int) string { return palette[name] })
}

func placementChart(seconds []second, markers []marker) template.HTML {
	regions := map[string]bool{}
	for _, at := range seconds {
		for region := range at.placements {
			regions[region] = true
		}
	}
	return stacked("Executions by region", "a second", seconds, markers, sortedKeys(regions),
		func(at second) map[string]int { return at.placements }, func(_ string, i int) string { return seriesColors[i%len(seriesColors)] })
}

func stacked(title, unit string, seconds []second, markers []marker, names []string, values func(second) map[string]int, color func(string, int) string) template.HTML {
	maximum := 0.0
	for _, at := range seconds {
		sum := 0
		for _, value := range values(at) {
			sum += value
		}
		maximum = max(maximum, float64(sum))
	}
	drawn := newChart(title, unit, len(seconds), maximum)
	for i, at := range seconds {
		height := 0.0
		for index, name := range names {
			value := float64(values(at)[name])
			drawn.bar(i, height, height+value, color(name, index))
			height += value
		}
	}
	for index, name := range names {
		drawn.name(name, color(name, index))
	}
	return drawn.svg(markers)
}

// Quantiles of the latency chart.
const (
	middle = 0.5
	high   = 0.95
)

func latencyChart(seconds []second, markers []marker) template.HTML {
	half, tail := make([]float64, len(seconds)), make([]float64, len(seconds))
	maximum := 0.0
	for i, at := range seconds {
		half[i], tail[i] = quantile(at.firsts, middle), quantile(at.firsts, high)
		if !math.IsNaN(tail[i]) {
			maximum = max(maximum, tail[i])
		}
	}
	drawn := newChart("First token", "ms, by the time requests began", len(seconds), maximum)
	drawn.curve(half, seriesColors[0])
	drawn.curve(tail, seriesColors[3])
	drawn.name("median", seriesColors[0])
	drawn.name("95th percentile", seriesColors[3])
	return drawn.svg(markers)
}

func quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

func versionChart(seconds []second, markers []marker) template.HTML {
	values := make([]float64, len(seconds))
	maximum := 0.0
	for i, at := range seconds {
		values[i] = math.NaN()
		if at.version > 0 {
			values[i] = float64(at.version)
			maximum = max(maximum, values[i])
		}
	}
	drawn := newChart("Configuration version", "newest stamp at any replica", len(seconds), maximum)
	drawn.curve(values, seriesColors[4])
	return drawn.svg(markers)
}

// verdictRow is one promise in the table.
type verdictRow struct {
	checker.Verdict
	Class          string
	Worst, Allowed string
	Lines          []string
}

func verdictRows(report checker.Report) []verdictRow {
	classes := map[checker.Status]string{checker.StatusKept: "kept", checker.StatusBroken: "broken", checker.StatusNotExercised: "idle"}
	var rows []verdictRow
	for _, verdict := range report.Verdicts {
		row := verdictRow{Verdict: verdict, Class: classes[verdict.Status()]}
		row.Worst, row.Allowed = boundText(verdict)
		for i, violation := range verdict.Violations {
			if i == violationsShown {
				break
			}
			row.Lines = append(row.Lines, violation.Summary)
			for _, event := range violation.Evidence {
				row.Lines = append(row.Lines, "    "+line(event))
			}
		}
		rows = append(rows, row)
	}
	return rows
}

// WritePage writes the page.
func WritePage(out io.Writer, page Page) error {
	seconds, markers := page.Summary.seconds(), page.Summary.markers()
	var figures strings.Builder
	if err := WriteSummary(&figures, page.Summary); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	data := struct {
		Page
		Rows    []verdictRow
		Charts  []template.HTML
		Markers []string
		Figures string
	}{Page: page, Rows: verdictRows(page.Report), Figures: figures.String()}
	data.Charts = []template.HTML{
		outcomeChart(seconds, markers), latencyChart(seconds, markers),
		placementChart(seconds, markers), versionChart(seconds, markers),
	}
	for i, mark := range markers {
		data.Markers = append(data.Markers, fmt.Sprintf("%3d  %7.2f s  %s", i+1, mark.at, mark.label))
	}
	if err := pageTemplate.Execute(out, data); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return nil
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title><style>
body{font:14px/1.4 system-ui,sans-serif;max-width:1060px;margin:24px auto;padding:0 16px;color:#222}
table{border-collapse:collapse;width:100%}td,th{border-bottom:1px solid #ddd;padding:3px 8px;text-align:left;vertical-align:top}
td.kept{color:#2d7a4f}td.broken{color:#fff;background:#c8553d}td.idle{color:#888}
svg{width:100%;background:#fafafa}svg text{font:11px system-ui,sans-serif;fill:#555}
.legend span{margin-right:14px}.legend i{display:inline-block;width:10px;height:10px;margin-right:4px}
pre{background:#f5f5f5;padding:8px;overflow-x:auto;font-size:12px}h3{margin:18px 0 2px}small{color:#777;font-weight:normal}
</style></head><body>
<h1>{{.Title}}</h1><p>{{.About}}</p>
{{if .Problems}}<h2>Steps that could not be done</h2><pre>{{range .Problems}}{{.}}
{{end}}</pre>{{end}}
<h2>Promises</h2>
<table><tr><th>promise</th><th></th><th>verdict</th><th>examined</th><th>violations</th><th>worst</th><th>allowed</th></tr>
{{range .Rows}}<tr><td>{{.Promise}}</td><td>{{.Title}}{{if .Remark}}<br><small>{{.Remark}}</small>{{end}}</td><td class="{{.Class}}">{{.Status}}</td><td>{{.Examined}}</td><td>{{len .Violations}}</td><td>{{.Worst}}</td><td>{{.Allowed}}</td></tr>
{{if .Lines}}<tr><td></td><td colspan="6"><pre>{{range .Lines}}{{.}}
{{end}}</pre></td></tr>{{end}}{{end}}</table>
<h2>Course of the run</h2>
<p>Numbered lines are faults (red) and acknowledged orders (blue), named in the list below the charts.</p>
{{range .Charts}}{{.}}{{end}}
<h2>Faults and orders</h2><pre>{{range .Markers}}{{.}}
{{end}}</pre>
<h2>Figures</h2><pre>{{.Figures}}</pre>
</body></html>
`))
