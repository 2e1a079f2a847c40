package suite

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/report"
	"github.com/deckpulley/deckpulley/internal/results"
	"github.com/deckpulley/deckpulley/internal/scenario"
)

// outcome is the outcome of one scenario.
type outcome struct {
	scenario *scenario.Scenario
	// folder is the path of the run folder, or empty if it could not be determined.
	folder string
	// result is nil if the run was not completed.
	result  *scenario.Result
	summary *report.Summary
	page    string // path of the HTML report
	err     error
}

func (o outcome) good() bool { return o.err == nil && o.result.Good() }

// Faults holds the outcomes of a run of the fault suite.
type Faults struct {
	config   Config
	outcomes []outcome
	merged   checker.Report
	// examinedBy names, for each promise, the scenarios that examined it.
	examinedBy map[checker.Promise][]string
}

// RunFaults runs scenarios, each on a separate fleet. If a run is not completed, the reason is
// part of its outcome.
func RunFaults(ctx context.Context, config Config, list []*scenario.Scenario) *Faults {
	faults := &Faults{config: config, outcomes: make([]outcome, len(list))}
	forEach(config.Parallel, len(list), func(index int) {
		faults.outcomes[index] = config.runFaultScenario(ctx, list[index])
	})
	faults.merge()
	return faults
}

func (c Config) runFaultScenario(ctx context.Context, toRun *scenario.Scenario) outcome {
	done := outcome{scenario: toRun}
	done.result, done.folder, done.err = c.start(ctx, run{
		scenario: toRun, folder: toRun.Name, label: progressLabel(toRun.Name),
	})
	if done.err != nil {
		return done
	}
	done.summary = report.Summarize(done.result.Events)
	done.page, done.err = writePage(done.result, done.summary)
	// The events of many concurrent runs would use too much memory. They remain on disk.
	done.result.Events = nil
	return done
}

// merge merges the reports of all completed scenarios.
func (f *Faults) merge() {
	var reports []checker.Report
	f.examinedBy = map[checker.Promise][]string{}
	for _, done := range f.outcomes {
		if done.result == nil {
			continue
		}
		reports = append(reports, done.result.Report)
		for i := range done.result.Report.Verdicts {
			verdict := &done.result.Report.Verdicts[i]
			if verdict.Status() != checker.StatusNotExercised {
				f.examinedBy[verdict.Promise] = append(f.examinedBy[verdict.Promise], done.scenario.Name)
			}
		}
	}
	f.merged = checker.Merge(reports...)
}

// Count returns the number of scenarios.
func (f *Faults) Count() int { return len(f.outcomes) }

// Write writes a table with one row per scenario, the problems of the scenarios, and the merged
// verdicts.
func (f *Faults) Write(out io.Writer) error {
	if err := f.writeTable(out); err != nil {
		return err
	}
	for _, done := range f.outcomes {
		if done.result == nil {
			fmt.Fprintf(out, "%s: %v\n", done.scenario.Name, done.err)
			continue
		}
		for _, problem := range done.result.Problems {
			fmt.Fprintf(out, "%s: %v\n", done.scenario.Name, problem)
		}
	}
	return report.WriteVerdicts(out, f.merged, f.examinedBy)
}

func (f *Faults) writeTable(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "scenario\tverdict\trequests\tsucceeded\tseconds\tbroken\tnot exercised\treport")
	for _, done := range f.outcomes {
		if done.err != nil {
			fmt.Fprintf(table, "%s\tfailed\t-\t-\t-\t-\t-\t%v\n", done.scenario.Name, firstLine(done.err))
			continue
		}
		verdict := "good"
		if !done.good() {
			verdict = "bad"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%.2f%%\t%.0f\t%s\t%s\t%s\n", done.scenario.Name, verdict, len(done.summary.Requests),
			100*done.summary.SuccessRatio(), done.result.Took.Seconds(), joinItems(brokenPromises(done.result.Report)),
			joinItems(done.result.Unexercised()), done.page)
	}
	return table.Flush()
}

// Record adds the scenarios and the promises to the record of the run.
func (f *Faults) Record(record *results.Record) {
	for _, done := range f.outcomes {
		record.Scenarios = append(record.Scenarios, done.record())
	}
	record.Promises = results.Promises(f.merged, f.examinedBy)
}

func (o outcome) record() results.Scenario {
	recorded := results.Scenario{Name: o.scenario.Name, Good: o.good()}
	if o.err != nil {
		recorded.Problems = append(recorded.Problems, firstLine(o.err))
	}
	if o.result != nil {
		recorded.Seconds = o.result.Took.Seconds()
		recorded.Broken, recorded.Unexercised = brokenPromises(o.result.Report), o.result.Unexercised()
		for _, problem := range o.result.Problems {
			recorded.Problems = append(recorded.Problems, firstLine(problem))
		}
	}
	if o.summary != nil {
		recorded.Requests, recorded.Succeeded = len(o.summary.Requests), o.summary.SuccessRatio()
	}
	return recorded
}

// Check returns ErrBroken, with the reasons, if any scenario was not good, or if a complete run
// did not exercise every promise.
func (f *Faults) Check(partial bool) error {
	var reasons []string
	for _, done := range f.outcomes {
		if !done.good() {
			reasons = append(reasons, done.reason())
		}
	}
	if len(reasons) > 0 {
		return fmt.Errorf("%w: %s", ErrBroken, strings.Join(reasons, "; "))
	}
	if missing := unexercisedPromises(f.merged); !partial && len(missing) > 0 {
		return fmt.Errorf("%w: not exercised: %v", ErrBroken, missing)
	}
	return nil
}

// reason describes in one line why a scenario was not good. It is complete without the rest of
// the output, of which possibly only the end is available.
func (o outcome) reason() string {
	if o.err != nil {
		return fmt.Sprintf("%s: %s", o.scenario.Name, firstLine(o.err))
	}
	return fmt.Sprintf("%s: broken %s, not exercised %s, %d problems", o.scenario.Name,
		joinItems(brokenPromises(o.result.Report)), joinItems(o.result.Unexercised()), len(o.result.Problems))
}

func brokenPromises(checked checker.Report) []string {
	return promiseNames(promisesOf(checked, checker.StatusBroken))
}

func unexercisedPromises(checked checker.Report) []checker.Promise {
	return promisesOf(checked, checker.StatusNotExercised)
}

// promisesOf returns the promises with the given status.
func promisesOf(checked checker.Report, status checker.Status) []checker.Promise {
	var list []checker.Promise
	for i := range checked.Verdicts {
		if checked.Verdicts[i].Status() == status {
			list = append(list, checked.Verdicts[i].Promise)
		}
	}
	return list
}

func promiseNames(promises []checker.Promise) []string {
	var list []string
	for _, promise := range promises {
		list = append(list, string(promise))
	}
	return list
}

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// joinItems returns the items as the text of a table cell.
func joinItems(items []string) string {
	if len(items) == 0 {
		return "-"
	}
	return strings.Join(items, " ")
}
