package results

import (
	"fmt"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/internal/checker"
)

// gibibyte is the unit of memory on the page.
const gibibyte = 1 << 30

// page builds Markdown.
type page struct{ strings.Builder }

func (p *page) line(format string, arguments ...any) {
	fmt.Fprintf(p, format+"\n", arguments...)
}

func (p *page) row(cells ...string) {
	escaped := make([]string, len(cells))
	for i, cell := range cells {
		escaped[i] = strings.ReplaceAll(strings.ReplaceAll(cell, "|", "\\|"), "\n", " ")
	}
	p.line("| %s |", strings.Join(escaped, " | "))
}

func (p *page) head(cells ...string) {
	p.row(cells...)
	p.line("|%s", strings.Repeat("---|", len(cells)))
}

// Page renders records in their order.
func Page(records []Record) string {
	p := &page{}
	p.line("# Results of the fault suite")
	p.line("")
	p.line("Written by `deckpulley-fleet results`; do not edit. How the suite works and what it cannot see: [FAULTS.md](FAULTS.md).")
	p.line("")
	p.shortfalls(records)
	p.runs(records)
	for _, record := range records {
		p.line("")
		p.line("## %s, %s", titles[record.Kind], record.Deployment)
		p.line("")
		if record.Kind == KindPlanted {
			p.defects(record)
			continue
		}
		p.promises(record)
		p.line("")
		p.scenarios(record)
	}
	return p.String()
}

var titles = map[Kind]string{KindFaults: "Fault suite", KindPlanted: "Planted defects"}

// shortfalls lists everything that was not as it should be.
func (p *page) shortfalls(records []Record) {
	p.line("## What fell short")
	p.line("")
	var list []string
	for _, record := range records {
		for _, text := range shortOf(record) {
			list = append(list, fmt.Sprintf("%s, %s: %s", titles[record.Kind], record.Deployment, text))
		}
	}
	if len(list) == 0 {
		p.line("Nothing in the runs below.")
	}
	for _, text := range list {
		p.line("- %s", strings.ReplaceAll(text, "\n", " "))
	}
}

func shortOf(record Record) []string {
	var list []string
	if record.Partial {
		list = append(list, "only a part of the suite was run")
	}
	for _, of := range record.Promises {
		switch checker.Status(of.Status) {
		case checker.StatusBroken:
			list = append(list, fmt.Sprintf("%s (%s) broken, %d violations: %s", of.Name, of.Title, of.Violations, strings.Join(of.First, "; ")))
		case checker.StatusNotExercised:
			list = append(list, fmt.Sprintf("%s (%s) not exercised", of.Name, of.Title))
		}
	}
	for _, of := range record.Scenarios {
		for _, problem := range of.Problems {
			list = append(list, fmt.Sprintf("scenario %s: %s", of.Name, problem))
		}
		if len(of.Unexercised) > 0 {
			list = append(list, fmt.Sprintf("scenario %s left %s unexercised", of.Name, strings.Join(of.Unexercised, ", ")))
		}
	}
	for _, of := range record.Defects {
		if !of.Caught {
			list = append(list, fmt.Sprintf("defect %s in %s: %s; reported broken: %s", of.Name, of.Scenario, of.Verdict, orDash(of.Reported)))
		}
	}
	return list
}

func orDash(list []string) string {
	if len(list) == 0 {
		return "–"
	}
	return strings.Join(list, ", ")
}

func (p *page) runs(records []Record) {
	p.line("")
	p.line("## Runs")
	p.line("")
	p.head("command", "commit", "began", "took", "processors", "memory", "load before")
	for _, record := range records {
		commit := record.Build.Commit
		if record.Build.Modified {
			commit += ", with changes"
		}
		p.row("`"+record.Command+"`", commit, record.Began.UTC().Format(time.DateTime)+" UTC", fmt.Sprintf("%.0f s", record.Seconds),
			fmt.Sprint(record.Machine.Processors), fmt.Sprintf("%.1f GiB", float64(record.Machine.MemoryBytes)/gibibyte),
			fmt.Sprintf("%.1f", record.Machine.LoadBefore))
	}
}

func (p *page) promises(record Record) {
	p.head("promise", "", "verdict", "examined", "violations", "worst", "allowed", "scenarios")
	for _, of := range record.Promises {
		worst, allowed := "–", "0 violations"
		if of.Unit != "" {
			worst, allowed = fmt.Sprintf("%.4g", of.Worst), fmt.Sprintf("%.4g %s", of.Allowed, of.Unit)
		}
		p.row(of.Name, of.Title, of.Status, fmt.Sprint(of.Examined), fmt.Sprint(of.Violations), worst, allowed, orDash(of.Scenarios))
	}
}

func (p *page) scenarios(record Record) {
	p.head("scenario", "verdict", "requests", "succeeded", "seconds", "broken", "not exercised")
	for _, of := range record.Scenarios {
		verdict := "bad"
		if of.Good {
			verdict = "good"
		}
		p.row(of.Name, verdict, fmt.Sprint(of.Requests), fmt.Sprintf("%.2f%%", 100*of.Succeeded), fmt.Sprintf("%.0f", of.Seconds),
			orDash(of.Broken), orDash(of.Unexercised))
	}
}

func (p *page) defects(record Record) {
	p.head("defect", "scenario", "seconds", "promise", "broken too", "reported", "verdict", "first violation")
	for _, of := range record.Defects {
		also := orDash(of.Also)
		if of.Because != "" {
			also += ": " + of.Because
		}
		p.row(of.Name, of.Scenario, fmt.Sprintf("%.0f", of.Seconds), of.Promise, also, orDash(of.Reported), of.Verdict, of.First)
	}
}
