package results

import (
	"fmt"
	"strings"

	"github.com/deckpulley/deckpulley/internal/checker"
)

// shortfalls lists all results in a record that are not as expected.
func shortfalls(record Record) []string {
	var list []string
	if record.Partial {
		list = append(list, "only a part of the suite was run")
	}
	for _, promise := range record.Promises {
		list = append(list, promiseShortfalls(promise)...)
	}
	for _, scenario := range record.Scenarios {
		list = append(list, scenarioShortfalls(scenario)...)
	}
	for _, defect := range record.Defects {
		if !defect.Caught {
			list = append(list, fmt.Sprintf("defect %s in %s: %s; reported broken: %s",
				defect.Name, defect.Scenario, defect.Verdict, joined(defect.Reported)))
		}
	}
	return list
}

func promiseShortfalls(promise Promise) []string {
	switch checker.Status(promise.Status) {
	case checker.StatusBroken:
		return []string{fmt.Sprintf("%s (%s) broken, %d violations: %s",
			promise.Name, promise.Title, promise.Violations, strings.Join(promise.First, "; "))}
	case checker.StatusNotExercised:
		return []string{fmt.Sprintf("%s (%s) not exercised", promise.Name, promise.Title)}
	}
	return nil
}

func scenarioShortfalls(scenario Scenario) []string {
	var list []string
	for _, problem := range scenario.Problems {
		list = append(list, fmt.Sprintf("scenario %s: %s", scenario.Name, problem))
	}
	if len(scenario.Unexercised) > 0 {
		list = append(list, fmt.Sprintf("scenario %s left %s unexercised", scenario.Name, strings.Join(scenario.Unexercised, ", ")))
	}
	return list
}
