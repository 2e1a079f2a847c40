package platform

import (
	"fmt"
	"sync"
	"time"
)

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
	statuses map[string]int // requests by their status, or "none"
	restarts int
	peak     int64 // of the resident memory of any process, in bytes
}

func newRecord() *record { return &record{started: time.Now(), statuses: make(map[string]int)} }

// report adds a finding.
func (r *record) report(rule Rule, format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.findings = append(r.findings, Finding{Rule: rule, At: time.Since(r.started), Text: fmt.Sprintf(format, arguments...)})
}

// count counts the result of a request.
func (r *record) count(status int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	name := "none"
	if status > 0 {
		name = fmt.Sprint(status)
	}
	r.statuses[name]++
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
