// Package results stores the results of complete runs of the fault suite and of the
// planted defects, and renders the stored records as the page docs/RESULTS.md, which
// lists the shortfalls first and then the tables.
package results

import "time"

// Kind names the suite whose run a record describes.
type Kind string

const (
	// KindFaults is the kind of a run of the fault suite.
	KindFaults Kind = "faults"
	// KindPlanted is the kind of a run of the planted defects.
	KindPlanted Kind = "planted"
)

// Record describes one run of a suite on one deployment. It is stored as JSON in files
// that later versions must be able to read.
type Record struct {
	Kind       Kind   `json:"kind"`
	Deployment string `json:"deployment"`
	// Command is the command line of the run.
	Command string    `json:"command"`
	Build   Build     `json:"build"`
	Machine Machine   `json:"machine"`
	Began   time.Time `json:"began"`
	// Seconds is the duration of the run.
	Seconds   float64    `json:"seconds"`
	Scenarios []Scenario `json:"scenarios,omitempty"`
	Promises  []Promise  `json:"promises,omitempty"`
	Defects   []Defect   `json:"defects,omitempty"`
	// Partial is set if only some of the suite was run.
	Partial bool `json:"partial,omitempty"`
}

// Build identifies the source of the program that made the record.
type Build struct {
	// Commit is the revision, "unknown" if the build did not record one.
	Commit string `json:"commit"`
	// Modified is set if the source differed from the commit.
	Modified bool `json:"modified,omitempty"`
}

// Machine describes the machine of the run.
type Machine struct {
	Processors int `json:"processors"`
	// MemoryBytes is the total memory, 0 if unknown.
	MemoryBytes int64 `json:"memory_bytes,omitempty"`
	// LoadBefore is the one-minute load average before the run, 0 if unknown. It
	// shows a reader whether the machine was shared.
	LoadBefore float64 `json:"load_before"`
}

// Scenario is the result of one scenario.
type Scenario struct {
	Name string `json:"name"`
	// Good is set if the scenario violated no promise, completed all its steps and
	// exercised every promise that it is meant to exercise.
	Good     bool `json:"good"`
	Requests int  `json:"requests"`
	// Succeeded is the ratio of successful requests, 0 to 1.
	Succeeded   float64  `json:"succeeded"`
	Seconds     float64  `json:"seconds"`
	Broken      []string `json:"broken,omitempty"`
	Unexercised []string `json:"unexercised,omitempty"`
	// Problems lists the errors that prevented the start, and those of scenario steps.
	Problems []string `json:"problems,omitempty"`
}

// Promise is the verdict on one promise over all scenarios.
type Promise struct {
	Name       string   `json:"name"`
	Title      string   `json:"title"`
	Status     string   `json:"status"`
	Scenarios  []string `json:"scenarios,omitempty"`
	Examined   int      `json:"examined"`
	Violations int      `json:"violations"`
	// Worst and Allowed are in Unit, which is empty for a promise without a measured
	// bound.
	Worst   float64 `json:"worst,omitempty"`
	Allowed float64 `json:"allowed,omitempty"`
	Unit    string  `json:"unit,omitempty"`
	// First holds summaries of the first violations.
	First []string `json:"first,omitempty"`
}

// Defect is the result of one planted defect, or of a control run without one.
type Defect struct {
	Name     string  `json:"name"`
	Scenario string  `json:"scenario"`
	Seconds  float64 `json:"seconds"`
	// Promise is the promise that the defect breaks.
	Promise string `json:"promise"`
	// Also lists promises that the defect breaks as a consequence; Because is the
	// reason.
	Also    []string `json:"also,omitempty"`
	Because string   `json:"because,omitempty"`
	// Reported lists the promises that the checker reported as broken.
	Reported []string `json:"reported,omitempty"`
	// Caught is set if the result is the expected one. Verdict is the result in words.
	Caught  bool   `json:"caught"`
	Verdict string `json:"verdict"`
	// First is the first violation or, if there was no run, the reason for that.
	First string `json:"first,omitempty"`
}
