// Package results keeps what whole runs of the fault suite and of the planted
// defects measured, and renders it as the page docs/RESULTS.md: what fell short
// first, then the tables.
package results

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/deckpulley/deckpulley/internal/checker"
)

// Kind says what a record is of.
type Kind string

// Kinds of records.
const (
	KindFaults  Kind = "faults"
	KindPlanted Kind = "planted"
)

// Record is one run of a suite on one deployment.
type Record struct {
	Kind       Kind      `json:"kind"`
	Deployment string    `json:"deployment"`
	Command    string    `json:"command"`
	Build      Build     `json:"build"`
	Machine    Machine   `json:"machine"`
	Began      time.Time `json:"began"`
	// Seconds is how long it took.
	Seconds   float64    `json:"seconds"`
	Scenarios []Scenario `json:"scenarios,omitempty"`
	Promises  []Promise  `json:"promises,omitempty"`
	Defects   []Defect   `json:"defects,omitempty"`
	// Partial says that only some of the suite was run.
	Partial bool `json:"partial,omitempty"`
}

// Build is the source of the program that made the record.
type Build struct {
	Commit string `json:"commit"`
	// Modified says that the source differed from the commit.
	Modified bool `json:"modified,omitempty"`
}

// Machine is what the run had.
type Machine struct {
	Processors int `json:"processors"`
	// MemoryBytes is the whole memory, 0 if unknown.
	MemoryBytes int64 `json:"memory_bytes,omitempty"`
	// LoadBefore is the machine's load average over a minute before the run,
	// so that a reader sees whether it was shared.
	LoadBefore float64 `json:"load_before"`
}

// Scenario is one scenario's end.
type Scenario struct {
	Name        string   `json:"name"`
	Good        bool     `json:"good"`
	Requests    int      `json:"requests"`
	Succeeded   float64  `json:"succeeded"` // part of the requests, 0 to 1
	Seconds     float64  `json:"seconds"`
	Broken      []string `json:"broken,omitempty"`
	Unexercised []string `json:"unexercised,omitempty"`
	// Problems are what kept it from beginning, and steps that could not be done.
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
	// Worst and Allowed are in Unit; Unit is empty without a measured bound.
	Worst   float64 `json:"worst,omitempty"`
	Allowed float64 `json:"allowed,omitempty"`
	Unit    string  `json:"unit,omitempty"`
	// First are the first violations, in words.
	First []string `json:"first,omitempty"`
}

// Defect is the end of one planted defect, or of a run without one.
type Defect struct {
	Name     string   `json:"name"`
	Scenario string   `json:"scenario"`
	Seconds  float64  `json:"seconds"`
	Promise  string   `json:"promise"`
	Also     []string `json:"also,omitempty"`
	Because  string   `json:"because,omitempty"`
	Reported []string `json:"reported,omitempty"`
	// Caught says that the end is as it should be; Verdict says it in words.
	Caught  bool   `json:"caught"`
	Verdict string `json:"verdict"`
	// First is the first violation, or why there is no run.
	First string `json:"first,omitempty"`
}

// firstShown bounds the violations of one promise that are kept.
const firstShown = 3

// Promises condenses a report; scenarios names those that examined each promise.
func Promises(report checker.Report, scenarios map[checker.Promise][]string) []Promise {
	var list []Promise
	for i := range report.Verdicts {
		verdict := &report.Verdicts[i]
		of := Promise{
			Name: string(verdict.Promise), Title: verdict.Title, Status: string(verdict.Status()),
			Scenarios: scenarios[verdict.Promise], Examined: verdict.Examined, Violations: len(verdict.Violations),
		}
		if verdict.Bound != nil {
			of.Worst, of.Allowed, of.Unit = verdict.Bound.Worst, verdict.Bound.Allowed, verdict.Bound.Unit
		}
		for _, violation := range verdict.Violations[:min(firstShown, len(verdict.Violations))] {
			of.First = append(of.First, violation.Summary)
		}
		list = append(list, of)
	}
	return list
}

// Save writes a record to a file and makes its folder.
func Save(path string, record Record) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("saving the record: %w", err)
	}
	text, err := json.MarshalIndent(record, "", "  ")
	if err != nil {
		return fmt.Errorf("encoding the record: %w", err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("saving the record: %w", err)
	}
	return nil
}

// Load reads a record.
func Load(path string) (Record, error) {
	var record Record
	text, err := os.ReadFile(path)
	if err != nil {
		return record, fmt.Errorf("loading a record: %w", err)
	}
	if err := json.Unmarshal(text, &record); err != nil {
		return record, fmt.Errorf("loading %s: %w", path, err)
	}
	return record, nil
}
