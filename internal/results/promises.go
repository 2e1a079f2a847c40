package results

import "github.com/deckpulley/deckpulley/internal/checker"

// storedViolations is the maximum number of violations stored per promise.
const storedViolations = 3

// Promises converts the verdicts of a report to their stored form. The map scenarios
// lists the scenarios that examined each promise.
func Promises(report checker.Report, scenarios map[checker.Promise][]string) []Promise {
	var promises []Promise
	for i := range report.Verdicts {
		verdict := &report.Verdicts[i]
		promises = append(promises, condense(verdict, scenarios[verdict.Promise]))
	}
	return promises
}

func condense(verdict *checker.Verdict, scenarios []string) Promise {
	promise := Promise{
		Name: string(verdict.Promise), Title: verdict.Title, Status: string(verdict.Status()),
		Scenarios: scenarios, Examined: verdict.Examined, Violations: len(verdict.Violations),
	}
	if verdict.Bound != nil {
		promise.Worst, promise.Allowed, promise.Unit = verdict.Bound.Worst, verdict.Bound.Allowed, verdict.Bound.Unit
	}
	for _, violation := range verdict.Violations[:min(storedViolations, len(verdict.Violations))] {
		promise.First = append(promise.First, violation.Summary)
	}
	return promise
}
