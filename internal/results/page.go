package results

import (
	"fmt"
	"strconv"
	"time"
)

// gibibyte is the unit of memory on the page.
const gibibyte = 1 << 30

// Page renders records as Markdown, in the order given.
func Page(records []Record) string {
	page := &document{}
	page.paragraph("# Results of the fault suite")
	page.paragraph("Written by `deckpulley-fleet results`; do not edit. How the suite works and what it cannot see: [FAULTS.md](FAULTS.md).")
	writeShortfalls(page, records)
	writeRuns(page, records)
	for _, record := range records {
		writeRecord(page, record)
	}
	return page.String()
}

// title returns the heading for the records of a kind.
func (k Kind) title() string {
	switch k {
	case KindFaults:
		return "Fault suite"
	case KindPlanted:
		return "Planted defects"
	}
	return ""
}

// writeShortfalls writes the shortfalls of all records. They come first on the page
// because readers look for them.
func writeShortfalls(page *document, records []Record) {
	page.paragraph("## What fell short")
	none := true
	for _, record := range records {
		for _, shortfall := range shortfalls(record) {
			page.line("- %s, %s: %s", record.Kind.title(), record.Deployment, singleLine(shortfall))
			none = false
		}
	}
	if none {
		page.line("Nothing in the runs below.")
	}
}

func writeRuns(page *document, records []Record) {
	page.line("")
	page.paragraph("## Runs")
	page.tableHeader("command", "commit", "began", "took", "processors", "memory", "load before")
	for _, record := range records {
		commit := record.Build.Commit
		if record.Build.Modified {
			commit += ", with changes"
		}
		page.row(
			"`"+record.Command+"`",
			commit,
			record.Began.UTC().Format(time.DateTime)+" UTC",
			fmt.Sprintf("%.0f s", record.Seconds),
			strconv.Itoa(record.Machine.Processors),
			fmt.Sprintf("%.1f GiB", float64(record.Machine.MemoryBytes)/gibibyte),
			fmt.Sprintf("%.1f", record.Machine.LoadBefore),
		)
	}
}

func writeRecord(page *document, record Record) {
	page.line("")
	page.paragraph(fmt.Sprintf("## %s, %s", record.Kind.title(), record.Deployment))
	if record.Kind == KindPlanted {
		writeDefects(page, record.Defects)
		return
	}
	writePromises(page, record.Promises)
	page.line("")
	writeScenarios(page, record.Scenarios)
}

func writePromises(page *document, promises []Promise) {
	page.tableHeader("promise", "", "verdict", "examined", "violations", "worst", "allowed", "scenarios")
	for _, promise := range promises {
		worst, allowed := emptyCell, "0 violations"
		if promise.Unit != "" {
			worst, allowed = fmt.Sprintf("%.4g", promise.Worst), fmt.Sprintf("%.4g %s", promise.Allowed, promise.Unit)
		}
		page.row(promise.Name, promise.Title, promise.Status, strconv.Itoa(promise.Examined),
			strconv.Itoa(promise.Violations), worst, allowed, joined(promise.Scenarios))
	}
}

func writeScenarios(page *document, scenarios []Scenario) {
	page.tableHeader("scenario", "verdict", "requests", "succeeded", "seconds", "broken", "not exercised")
	for _, scenario := range scenarios {
		verdict := "bad"
		if scenario.Good {
			verdict = "good"
		}
		page.row(scenario.Name, verdict, strconv.Itoa(scenario.Requests), fmt.Sprintf("%.2f%%", 100*scenario.Succeeded),
			fmt.Sprintf("%.0f", scenario.Seconds), joined(scenario.Broken), joined(scenario.Unexercised))
	}
}

func writeDefects(page *document, defects []Defect) {
	page.tableHeader("defect", "scenario", "seconds", "promise", "broken too", "reported", "verdict", "first violation")
	for _, defect := range defects {
		also := joined(defect.Also)
		if defect.Because != "" {
			also += ": " + defect.Because
		}
		page.row(defect.Name, defect.Scenario, fmt.Sprintf("%.0f", defect.Seconds), defect.Promise, also,
			joined(defect.Reported), defect.Verdict, defect.First)
	}
}
