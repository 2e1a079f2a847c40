package platform

import (
	"errors"
	"fmt"
	"sync"
	"time"

	standin "github.com/deckpulley/deckpulley/internal/standin/platform"
)

// contactTime is how long after a disturbance the rules that need calm don't count.
const contactTime = 3 * time.Second

// Rule is a rule that a run is judged by.
type Rule string

// Rules of a run.
const (
	// RuleEnds: a process ends only when it was told to, and in time.
	RuleEnds Rule = "OWN-END"
	// RuleMemory: the resident memory of a process stays below its limit.
	RuleMemory Rule = "MEMORY"
	// RuleAnswer: a success has the signature and the whole body of its own request.
	RuleAnswer Rule = "MIXED"
	// RuleOnce: a request that is not idempotent runs at most once.
	RuleOnce Rule = "TWICE"
	// RuleRefused: a request that was answered 503, 429 or 408 has not run.
	RuleRefused Rule = "REFUSED"
	// RuleLost: away from all disturbances, a request gets an answer.
	RuleLost Rule = "LOST"
	// RuleRecovery: at the end, after a quiet time, requests are served and configurations
	// are taken.
	RuleRecovery Rule = "RECOVER"
	// RuleDescriptors: at the end, a process has about as many descriptors open as a process
	// that has just come up.
	RuleDescriptors Rule = "DESCRIPTORS"
	// RuleConfiguration: the configuration that is read back is the newest acknowledged one, or
	// a newer one that was sent.
	RuleConfiguration Rule = "CONFIG"
)

// Finding is a rule that a run broke.
type Finding struct {
	Rule Rule          `json:"rule"`
	At   time.Duration `json:"at_ns"` // since the start of traffic
	Text string        `json:"text"`
}

// record collects what a run shows. It is safe for concurrent use.
type record struct {
	mutex    sync.Mutex
	started  time.Time
	findings []Finding
	known    []Finding      // failures that KNOWN-RED.txt lists
	statuses map[string]int // requests by their status, or "none"
	failures map[string]int // requests without an answer, by the cause
	// disturbances is the number of disturbances under way, and lastEnded when the last one
	// ended.
	disturbances int
	lastEnded    time.Time
	restarts     int
	peak         int64 // of the resident memory of any process, in bytes
}

func newRecord() *record {
	return &record{started: time.Now(), statuses: make(map[string]int), failures: make(map[string]int)}
}

// report adds a finding.
func (r *record) report(rule Rule, format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.findings = append(r.findings, Finding{Rule: rule, At: time.Since(r.started), Text: fmt.Sprintf(format, arguments...)})
}

// reportKnown adds a finding that KNOWN-RED.txt lists.
func (r *record) reportKnown(rule Rule, format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.known = append(r.known, Finding{Rule: rule, At: time.Since(r.started), Text: fmt.Sprintf(format, arguments...)})
}

// count counts the result of a request.
func (r *record) count(answer standin.Answer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if answer.Status > 0 {
		r.statuses[fmt.Sprint(answer.Status)]++
		return
	}
	r.statuses["none"]++
	r.failures[causeOf(answer.Err)]++
}

// causeOf returns the innermost error's text, which has no addresses.
func causeOf(err error) string {
	for err != nil {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
	return "unknown"
}

// isCalm reports whether no disturbance is under way and none was within contactTime before a
// time.
func (r *record) isCalm(since time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.disturbances == 0 && since.Sub(r.lastEnded) > contactTime
}

// disturb records that a disturbance begins. The returned function records its end.
func (r *record) disturb() (end func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.disturbances++
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.disturbances--
		r.lastEnded = time.Now()
	}
}

func (r *record) countRestart() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.restarts++
}

func (r *record) observeMemory(bytes int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peak = max(r.peak, bytes)
}
