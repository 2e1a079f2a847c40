package docscheck

import (
	"slices"
	"strings"
	"testing"
)

const (
	architecturePage = "docs/ARCHITECTURE.md"
	metricsPage      = "docs/METRICS.md"
	operationsPage   = "docs/OPERATIONS.md"
	// architectureLines is the maximum length of the page, so that it can be read in one
	// sitting.
	architectureLines = 150
	headingLog        = "Log messages"
	headingMetrics    = "Metrics"
	headingAct        = "Log messages to act on"
)

// walkthroughs maps the headings whose numbered lists describe a path through the code
// to the minimum number of steps of the list.
var walkthroughs = map[string]int{
	"A request to `/v1/requests`":         6,
	"A request by host and path":          6,
	"A configuration change":              8,
	"A lost or new control node":          6,
	"The event loop of a control node":    4,
	"A new primary, and gateways' leases": 5,
}

func TestArchitectureIsOnePage(t *testing.T) {
	if length := readPage(t, architecturePage).length; length > architectureLines {
		t.Errorf("the page has %d lines, want at most %d", length, architectureLines)
	}
}

func TestArchitectureNamesAreDeclared(t *testing.T) {
	checkReferences(t, loadSource(t), readPage(t, architecturePage), everyPackage)
}

func TestArchitectureStepsNameTheirFunctions(t *testing.T) {
	read := readPage(t, architecturePage)
	for heading, least := range walkthroughs {
		steps := read.section(t, heading).steps()
		if len(steps) < least {
			t.Errorf("%q has %d steps, want at least %d", heading, len(steps), least)
		}
		for _, step := range steps {
			if len(references(step.text)) == 0 {
				t.Errorf("%s:%d: the step names no function", read.path, step.number)
			}
		}
	}
}

// servingPackages returns the packages that run in a deployment, that is all except those
// for testing and measuring.
func servingPackages(parsed source) []*declarations {
	var found []*declarations
	for folder, declared := range parsed {
		tool := strings.HasPrefix(folder, "cmd/standin-") || slices.Contains([]string{
			"cmd/deckpulley-bench", "cmd/deckpulley-experiment", "cmd/deckpulley-fleet", "cmd/deckpulley-scale", "cmd/deckpulley-simulate", "cmd/deckpulley-soak",
		}, folder)
		if !tool && !strings.HasPrefix(folder, "internal/") && !strings.HasPrefix(folder, "examples") {
			found = append(found, declared)
		}
	}
	return found
}

// listing is the set of names in the first column of a table, where each may occur once.
type listing map[string]row

func newListing(t *testing.T, read page) listing {
	t.Helper()
	listed := make(listing)
	for _, r := range read.rows() {
		for _, name := range spans(r.cells[0]) {
			if _, twice := listed[name]; twice {
				t.Errorf("%s:%d: %q is listed twice", read.path, r.number, name)
			}
			listed[name] = r
		}
	}
	if len(listed) == 0 {
		t.Fatalf("%s: the table is empty", read.path)
	}
	return listed
}

// TestArchitectureLogMessages checks that each log message of a row is written by one of
// the functions that the row names.
func TestArchitectureLogMessages(t *testing.T) {
	parsed := loadSource(t)
	for message, r := range newListing(t, readPage(t, architecturePage).section(t, headingLog)) {
		if !slices.Contains(messagesOf(parsed, r), message) {
			t.Errorf("%s:%d: no function of the row logs %q", architecturePage, r.number, message)
		}
	}
}

// TestArchitectureHasEachLogMessage checks that every message that a serving package logs
// at level info or above has a row.
func TestArchitectureHasEachLogMessage(t *testing.T) {
	listed := newListing(t, readPage(t, architecturePage).section(t, headingLog))
	for _, declared := range servingPackages(loadSource(t)) {
		for function, messages := range declared.messages {
			for _, message := range messages {
				if _, found := listed[message]; !found {
					t.Errorf("%s: %q, logged by %s of %s, has no row", architecturePage, message, function, declared.folder)
				}
			}
		}
	}
}

// TestOperationsLogMessages checks that the messages that the page asks operators to act
// on are logged by a serving package.
func TestOperationsLogMessages(t *testing.T) {
	logged := make(map[string]bool)
	for _, declared := range servingPackages(loadSource(t)) {
		for _, messages := range declared.messages {
			for _, message := range messages {
				logged[message] = true
			}
		}
	}
	for message, r := range newListing(t, readPage(t, operationsPage).section(t, headingAct)) {
		if !logged[message] {
			t.Errorf("%s:%d: no serving package logs %q", operationsPage, r.number, message)
		}
	}
}

// messagesOf returns the log messages of all functions that a row names.
func messagesOf(parsed source, r row) []string {
	var messages []string
	for _, named := range references(strings.Join(r.cells[1:], " ")) {
		if declared, key, err := parsed.resolve(named); err == nil {
			messages = append(messages, declared.messages[key]...)
		}
	}
	return messages
}

// TestArchitectureMetrics checks that the page has a row that names a function for each
// metric in docs/METRICS.md, and no row for any other metric.
func TestArchitectureMetrics(t *testing.T) {
	listed := newListing(t, readPage(t, architecturePage).section(t, headingMetrics))
	described := describedMetrics(t)
	for name, r := range listed {
		if !described[name] {
			t.Errorf("%s:%d: %s is not in %s", architecturePage, r.number, name, metricsPage)
		}
		if len(references(strings.Join(r.cells[1:], " "))) == 0 {
			t.Errorf("%s:%d: the row names no function", architecturePage, r.number)
		}
	}
	for name := range described {
		if _, found := listed[name]; !found {
			t.Errorf("%s: %s has no row", architecturePage, name)
		}
	}
}

func describedMetrics(t *testing.T) map[string]bool {
	t.Helper()
	described := make(map[string]bool)
	for _, r := range readPage(t, metricsPage).rows() {
		for _, span := range spans(r.cells[0]) {
			if strings.HasPrefix(span, "deckpulley_") {
				described[span] = true
			}
		}
	}
	return described
}
