package checker

import (
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// Promise is the short name of a promise, "P1" to "P18".
type Promise string

// Status is the overall result of a verdict.
type Status string

const (
	// StatusKept means that events were examined and none violated the promise.
	StatusKept Status = "kept"
	// StatusBroken means that at least one violation was found.
	StatusBroken Status = "broken"
	// StatusNotExercised means that the run had no events to examine.
	StatusNotExercised Status = "not exercised"
)

// Violation describes one violation of a promise, with the events that prove it.
type Violation struct {
	Summary  string           `json:"summary"`
	Evidence []eventlog.Event `json:"evidence"`
}

// Bound is the worst value measured and the value allowed, both in Unit.
type Bound struct {
	Worst   float64 `json:"worst"`
	Allowed float64 `json:"allowed"`
	Unit    string  `json:"unit"`
}

// Verdict is the result for one promise.
type Verdict struct {
	Promise Promise `json:"promise"`
	Title   string  `json:"title"`
	// Examined is the number of events, requests or operations that were examined.
	Examined   int         `json:"examined"`
	Violations []Violation `json:"violations,omitempty"`
	// Bound is nil for promises without a measured bound.
	Bound *Bound `json:"bound,omitempty"`
	// Remark is additional information for readers, such as the settling time.
	Remark string `json:"remark,omitempty"`
}

// Status returns the overall result of the verdict.
func (v *Verdict) Status() Status {
	if len(v.Violations) > 0 {
		return StatusBroken
	}
	if v.Examined == 0 {
		return StatusNotExercised
	}
	return StatusKept
}

// addViolation adds a violation with its evidence.
func (v *Verdict) addViolation(summary string, evidence ...eventlog.Event) {
	v.Violations = append(v.Violations, Violation{Summary: summary, Evidence: evidence})
}

// measure records a measured value: the bound's worst value is the largest of them.
func (v *Verdict) measure(value float64) {
	if value > v.Bound.Worst {
		v.Bound.Worst = value
	}
}

// Report holds the verdicts in the order of the promises.
type Report struct {
	Verdicts []Verdict `json:"verdicts"`
	// Events is the number of events read.
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

// Verdict returns the verdict on a promise, if the report has one.
func (r Report) Verdict(promise Promise) (Verdict, bool) {
	for _, verdict := range r.Verdicts {
		if verdict.Promise == promise {
			return verdict, true
		}
	}
	return Verdict{}, false
}

// Merge combines the reports of several runs. Each verdict has the sum of the examined
// counts, all violations, the worst measured value and the last remark.
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
	verdict.Bound = copyBound(verdict.Bound)
	return verdict
}

func copyBound(bound *Bound) *Bound {
	if bound == nil {
		return nil
	}
	copied := *bound
	return &copied
}

func mergeVerdict(into *Verdict, from Verdict) {
	into.Examined += from.Examined
	into.Violations = append(into.Violations, from.Violations...)
	if from.Remark != "" {
		into.Remark = from.Remark
	}
	switch {
	case from.Bound == nil:
	case into.Bound == nil:
		into.Bound = copyBound(from.Bound)
	default:
		into.measure(from.Bound.Worst)
	}
}
