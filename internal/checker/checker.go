// Package checker decides, from event logs alone, which promises a run kept. It
// reads what callers, replicas and operators wrote and nothing that a daemon
// says of itself. It does no I/O and keeps no state between calls.
package checker

import (
	"time"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// Promise is the short name of a promise, "P1" to "P18".
type Promise string

// Status is the verdict on one promise.
type Status string

const (
	// StatusKept means that events were examined and none broke the promise.
	StatusKept Status = "kept"
	// StatusBroken means that at least one violation was found.
	StatusBroken Status = "broken"
	// StatusNotExercised means that the run holds nothing to examine.
	StatusNotExercised Status = "not exercised"
)

// Violation is one break of a promise with the log lines that prove it.
type Violation struct {
	Summary  string           `json:"summary"`
	Evidence []eventlog.Event `json:"evidence"`
}

// Bound is a measured worst value beside the allowed one, in Unit.
type Bound struct {
	Worst   float64 `json:"worst"`
	Allowed float64 `json:"allowed"`
	Unit    string  `json:"unit"`
}

// Verdict is the result for one promise.
type Verdict struct {
	Promise    Promise     `json:"promise"`
	Title      string      `json:"title"`
	Examined   int         `json:"examined"`
	Violations []Violation `json:"violations,omitempty"`
	// Bound is nil for promises without a measured bound.
	Bound *Bound `json:"bound,omitempty"`
	// Remark adds a measured figure for a person, such as a settling time.
	Remark string `json:"remark,omitempty"`
}

// Status condenses the verdict.
func (v *Verdict) Status() Status {
	if len(v.Violations) > 0 {
		return StatusBroken
	}
	if v.Examined == 0 {
		return StatusNotExercised
	}
	return StatusKept
}

// violate records a violation.
func (v *Verdict) violate(summary string, evidence ...eventlog.Event) {
	v.Violations = append(v.Violations, Violation{Summary: summary, Evidence: evidence})
}

// worst raises the worst value seen.
func (v *Verdict) worst(value float64) {
	if value > v.Bound.Worst {
		v.Bound.Worst = value
	}
}

// Report holds the verdicts in the order of the promises.
type Report struct {
	Verdicts []Verdict `json:"verdicts"`
	// Events is the number of log lines read.
	Events int `json:"events"`
}

// Broken reports whether any promise is broken.
func (r Report) Broken() bool {
	for i := range r.Verdicts {
		if r.Verdicts[i].Status() == StatusBroken {
			return true
		}
	}
	return false
}

// Verdict returns the verdict on one promise.
func (r Report) Verdict(promise Promise) (Verdict, bool) {
	for _, verdict := range r.Verdicts {
		if verdict.Promise == promise {
			return verdict, true
		}
	}
	return Verdict{}, false
}

// Bounds that the promises state.
const (
	configurationBound = 2500 * time.Millisecond
	drainBound         = 4 * time.Second
	evacuationBound    = 5 * time.Second
	returnBound        = 12 * time.Second
	silenceLength      = 20 * time.Second
	// arrivalSkew is how far apart two requests of one gateway may reach two
	// replicas in the other order than they were decided in.
	arrivalSkew = 100 * time.Millisecond
	// successionWindow is how long after the end of a freeze or cut the former
	// primary is watched for writes.
	successionWindow = 10 * time.Second
	retryWindow      = 10 * time.Second
	retryStep        = time.Second
	retryAllowed     = 0.20
	// retryWindowMinimum is the least number of first attempts that make a ratio.
	retryWindowMinimum = 40
)

// Options are what the logs cannot say.
type Options struct {
	// ColdRamp is the first step of the ramp of a cold replica, in requests.
	ColdRamp int
	// Gateways is the number of gateways of the fleet.
	Gateways int
}

// check examines one promise.
type check struct {
	promise Promise
	title   string
	run     func(*log, Options, *Verdict)
}

// checks lists every promise in order.
func checks() []check {
	return []check{
		{"P1", "non-repeatable requests run at most once", checkAtMostOnce},
		{"P2", "refused requests never run", checkRefusals},
		{"P3", "a success is whole and the caller's own", checkSuccesses},
		{"P4", "streams arrive in order, once, from one run", checkStreams},
		{"P5", "an acknowledged configuration decides everywhere", checkConfigurationBound},
		{"P6", "no step back to an older configuration", checkStepsBack},
		{"P7", "acknowledged orders survive lost disks", checkDurability},
		{"P8", "refused configurations have no effect, one writer wins", checkRefusedOrders},
		{"P9", "a resent order gets its first answer", checkResentOrders},
		{"P10", "a silent control node never writes beside its successor", checkSuccession},
		{"P11", "a draining replica gets nothing new", checkDrains},
		{"P12", "an evacuated zone gets nothing new", checkEvacuations},
		{"P13", "home-bound requests run at home only", checkHomes},
		{"P14", "cold replicas are ramped", checkColdReplicas},
		{"P15", "retries stay within a fifth", checkRetries},
		{"P16", "service returns after machines come back", checkReturn},
		{"P17", "one loss leaves the others serving", checkLosses},
		{"P18", "load settles near its set point", checkSettling},
	}
}

// Check examines events, ordered by their stamps, for every promise.
func Check(events []eventlog.Event, options Options) Report {
	index := newLog(events)
	report := Report{Events: len(events)}
	for _, check := range checks() {
		verdict := Verdict{Promise: check.promise, Title: check.title}
		check.run(index, options, &verdict)
		report.Verdicts = append(report.Verdicts, verdict)
	}
	return report
}

// Merge adds the verdicts of several runs: examined events and violations add
// up and the worst bound stays.
func Merge(reports ...Report) Report {
	var merged Report
	for _, report := range reports {
		merged.Events += report.Events
		for i, verdict := range report.Verdicts {
			if i >= len(merged.Verdicts) {
				merged.Verdicts = append(merged.Verdicts, copyVerdict(verdict))
				continue
			}
			mergeVerdict(&merged.Verdicts[i], verdict)
		}
	}
	return merged
}

func copyVerdict(verdict Verdict) Verdict {
	verdict.Violations = append([]Violation(nil), verdict.Violations...)
	if verdict.Bound != nil {
		bound := *verdict.Bound
		verdict.Bound = &bound
	}
	return verdict
}

func mergeVerdict(into *Verdict, from Verdict) {
	into.Examined += from.Examined
	into.Violations = append(into.Violations, from.Violations...)
	if from.Remark != "" {
		into.Remark = from.Remark
	}
	if from.Bound == nil {
		return
	}
	if into.Bound == nil {
		bound := *from.Bound
		into.Bound = &bound
		return
	}
	into.worst(from.Bound.Worst)
}

// seconds converts nanoseconds of the log.
func seconds(nanoseconds int64) float64 {
	return float64(nanoseconds) / float64(time.Second)
}
