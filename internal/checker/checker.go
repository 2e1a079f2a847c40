// Package checker determines from event logs alone which promises (guarantees of the
// serving layer, P1 to P18) a run kept. It uses what callers, replicas and operators
// logged, and nothing that the daemons report about themselves. It does no I/O and
// retains no state between calls.
package checker

import "github.com/deckpulley/deckpulley/internal/eventlog"

// Options holds parameters of the fleet that the logs do not contain.
type Options struct {
	// SlowStartLimit is the initial concurrency limit of a cold replica's slow start,
	// in requests in flight.
	SlowStartLimit int
	// Gateways is the number of gateways of the fleet.
	Gateways int
}

// check names a promise and the function that examines it.
type check struct {
	promise Promise
	title   string
	examine func(*index, Options, *Verdict)
}

// checks returns the checks of all promises, ordered by promise number.
func checks() []check {
	return []check{
		{"P1", "non-repeatable requests run at most once", checkAtMostOnce},
		{"P2", "refused requests never run", checkRefusals},
		{"P3", "a success is whole and the caller's own", checkSuccesses},
		{"P4", "streams arrive in order, once, from one run", checkStreams},
		{"P5", "an acknowledged configuration decides everywhere", checkConfigurationBound},
		{"P6", "no step back to an older configuration", checkVersionOrder},
		{"P7", "acknowledged orders survive lost disks", checkDurability},
		{"P8", "refused configurations have no effect, one writer wins", checkRefusedOperations},
		{"P9", "a resent order gets its first answer", checkResentOperations},
		{"P10", "a silent control node never writes beside its successor", checkSuccession},
		{"P11", "a draining replica gets nothing new", checkDraining},
		{"P12", "an evacuated zone gets nothing new", checkEvacuations},
		{"P13", "home-bound requests run at home only", checkHomes},
		{"P14", "cold replicas are ramped", checkSlowStart},
		{"P15", "retries stay within a fifth", checkRetries},
		{"P16", "service returns after machines come back", checkRecovery},
		{"P17", "one loss leaves the others serving", checkFailures},
		{"P18", "load settles near its set point", checkSettling},
	}
}

// Check examines the events for every promise. The events must be ordered by their
// timestamps.
func Check(events []eventlog.Event, options Options) Report {
	indexed := newIndex(events)
	report := Report{Events: len(events)}
	for _, check := range checks() {
		verdict := Verdict{Promise: check.promise, Title: check.title}
		check.examine(indexed, options, &verdict)
		report.Verdicts = append(report.Verdicts, verdict)
	}
	return report
}
