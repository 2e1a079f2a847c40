package suite

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/planted/catalog"
	"github.com/deckpulley/deckpulley/internal/results"
	"github.com/deckpulley/deckpulley/internal/scenario"
	"github.com/deckpulley/deckpulley/scenarios"
)

// defectVariable is the environment variable that selects the defect in daemons built with the
// tag "planted".
const defectVariable = "DECKPULLEY_PLANTED_DEFECT"

// SelectCases returns the cases of the named defects without duplicates. Without names it
// returns all cases and the control runs.
func SelectCases(names []string) ([]catalog.Case, error) {
	if len(names) == 0 {
		return append(catalog.Cases(), catalog.Controls()...), nil
	}
	var selected []catalog.Case
	for i, name := range names {
		if slices.Contains(names[:i], name) {
			continue // two runs with the same name would share a folder
		}
		found, err := catalog.Find(name)
		if err != nil {
			return nil, fmt.Errorf("--defect: %w", err)
		}
		selected = append(selected, found)
	}
	return selected, nil
}

// caseOutcome is the outcome of a planted defect or control run.
type caseOutcome struct {
	// expected is the case that was run, with its expected result.
	expected catalog.Case
	// result is nil if the run was not completed.
	result *scenario.Result
	broken []checker.Promise
	// caught reports whether the run had the expected result.
	caught bool
	// evidence is the first violation, or the reason why the run was not completed.
	evidence string
	err      error
}

// Planted holds the outcomes of a run of planted defects.
type Planted struct{ outcomes []caseOutcome }

// RunPlanted runs cases, each on a separate fleet. The daemons must be built with the tag
// "planted".
func RunPlanted(ctx context.Context, config Config, cases []catalog.Case) *Planted {
	planted := &Planted{outcomes: make([]caseOutcome, len(cases))}
	forEach(config.Parallel, len(cases), func(index int) {
		planted.outcomes[index] = config.runCase(ctx, cases[index])
	})
	return planted
}

func (c Config) runCase(ctx context.Context, expected catalog.Case) caseOutcome {
	done := caseOutcome{expected: expected}
	done.result, done.err = c.startCase(ctx, expected)
	if done.err != nil {
		done.evidence = firstLine(done.err)
		return done
	}
	done.broken, done.caught = expected.Judge(done.result.Report)
	if expected.Control() {
		done.caught = done.result.Good()
	}
	if verdict, ok := done.result.Report.Verdict(expected.Promise); ok && len(verdict.Violations) > 0 {
		done.evidence = verdict.Violations[0].Summary
	}
	done.result.Events = nil // they remain on disk
	return done
}

func (c Config) startCase(ctx context.Context, expected catalog.Case) (*scenario.Result, error) {
	name := cmp.Or(string(expected.Defect), "none-"+expected.Scenario)
	shown, err := loadPlanted(expected.Scenario)
	if err != nil {
		return nil, err
	}
	result, _, err := c.start(ctx, run{
		scenario: shown, folder: "planted-" + name, label: progressLabel(name),
		environment: []string{defectVariable + "=" + string(expected.Defect)},
	})
	return result, err
}

// loadPlanted reads the scenario with the given name that is used for planted defects.
func loadPlanted(name string) (*scenario.Scenario, error) {
	text, err := fs.ReadFile(scenarios.Planted(), name+".yaml")
	if err != nil {
		return nil, fmt.Errorf("reading scenario: %w", err)
	}
	return scenario.Parse(name, text)
}

// defect returns the name of the defect, or "none" for a control run.
func (o caseOutcome) defect() string { return cmp.Or(string(o.expected.Defect), "none") }

// verdict describes the outcome in one or two words.
func (o caseOutcome) verdict() string {
	switch {
	case o.expected.Control() && o.caught:
		return "clean"
	case o.expected.Control():
		return "not clean"
	case o.caught:
		return "caught"
	default:
		return "not caught"
	}
}

// Count returns the number of cases.
func (p *Planted) Count() int { return len(p.outcomes) }

// Check returns ErrBroken if any case did not have the expected result.
func (p *Planted) Check() error {
	if slices.ContainsFunc(p.outcomes, func(done caseOutcome) bool { return !done.caught }) {
		return ErrBroken
	}
	return nil
}

// Record adds the outcomes of the cases to the record of the run.
func (p *Planted) Record(record *results.Record) {
	for _, done := range p.outcomes {
		record.Defects = append(record.Defects, done.record())
	}
}

func (o caseOutcome) record() results.Defect {
	recorded := results.Defect{
		Name: o.defect(), Scenario: o.expected.Scenario, Promise: string(o.expected.Promise), Also: promiseNames(o.expected.Also),
		Because: o.expected.Because, Reported: promiseNames(o.broken), Caught: o.caught, Verdict: o.verdict(), First: o.evidence,
	}
	if o.result != nil {
		recorded.Seconds = o.result.Took.Seconds()
	}
	return recorded
}

// Write writes a table with one row per case. It then explains which other promises a defect
// also breaks, and lists the details of runs that did not have the expected result.
func (p *Planted) Write(out io.Writer) error {
	if err := p.writeTable(out); err != nil {
		return fmt.Errorf("writing the table: %w", err)
	}
	for _, done := range p.outcomes {
		if done.expected.Because != "" {
			fmt.Fprintf(out, "%s breaks %s too: %s\n", done.expected.Defect, strings.Join(promiseNames(done.expected.Also), " "), done.expected.Because)
		}
		if !done.caught && done.result != nil {
			done.writeUnexpected(out)
		}
	}
	return nil
}

func (p *Planted) writeTable(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "defect\tscenario\tseconds\tpromise\tbroken too\treported\tverdict\tfirst violation")
	for _, done := range p.outcomes {
		took := "-"
		if done.result != nil {
			took = fmt.Sprintf("%.0f", done.result.Took.Seconds())
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", done.defect(), done.expected.Scenario, took,
			cmp.Or(string(done.expected.Promise), "-"), joinItems(promiseNames(done.expected.Also)), joinItems(promiseNames(done.broken)), done.verdict(), done.evidence)
	}
	return table.Flush()
}

// writeUnexpected writes the details of a run that did not have the expected result.
func (o caseOutcome) writeUnexpected(out io.Writer) {
	fmt.Fprintf(out, "%s in %s: %s; logs in %s\n", o.defect(), o.expected.Scenario, o.verdict(), o.result.Folder)
	if unexercised := o.result.Unexercised(); len(unexercised) > 0 {
		fmt.Fprintf(out, "  not exercised: %s\n", strings.Join(unexercised, " "))
	}
	for _, promise := range o.broken {
		if verdict, ok := o.result.Report.Verdict(promise); ok {
			fmt.Fprintf(out, "  %s: %s\n", promise, verdict.Violations[0].Summary)
		}
	}
	for _, problem := range o.result.Problems {
		fmt.Fprintf(out, "  step: %v\n", problem)
	}
}
