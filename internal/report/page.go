package report

import (
	"fmt"
	"html/template"
	"io"
	"strings"

	"github.com/deckpulley/deckpulley/internal/checker"
)

// Page holds the content of the HTML page about a run.
type Page struct {
	Title   string
	About   string
	Summary *Summary
	Report  checker.Report
	// Problems lists the errors of scenario steps that failed.
	Problems []string
}

// verdictRow is the table row of one promise.
type verdictRow struct {
	checker.Verdict
	Class          string // CSS class of the cell
	Worst, Allowed string
	Lines          []string // the first violations with their evidence
}

func verdictRows(report checker.Report) []verdictRow {
	classes := map[checker.Status]string{checker.StatusKept: "kept", checker.StatusBroken: "broken", checker.StatusNotExercised: "idle"}
	var rows []verdictRow
	for _, verdict := range report.Verdicts {
		row := verdictRow{Verdict: verdict, Class: classes[verdict.Status()]}
		row.Worst, row.Allowed = boundText(verdict)
		for _, violation := range verdict.Violations[:min(printedViolations, len(verdict.Violations))] {
			row.Lines = append(row.Lines, violation.Summary)
			for _, event := range violation.Evidence {
				row.Lines = append(row.Lines, "    "+logLine(event))
			}
		}
		rows = append(rows, row)
	}
	return rows
}

// WritePage writes the page as one self-contained HTML document.
func WritePage(out io.Writer, page Page) error {
	seconds, markers := page.Summary.timeline(), page.Summary.markers()
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
