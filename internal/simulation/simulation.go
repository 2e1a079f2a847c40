package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/deckpulley/deckpulley/internal/defect"
)

// Options determines, together with the seed, what a history contains.
type Options struct {
	// Duration is the virtual time during which faults are injected. Zero selects the
	// default of 12 s.
	Duration time.Duration
	// Defects are the mutations applied to every machine. An empty set tests the unmodified
	// code.
	Defects defect.Set
}

// Violation describes how a rule was violated.
type Violation struct {
	At     time.Duration // virtual time since the start of the history
	Rule   Rule
	Detail string
}

// String returns the rule, the time and the detail.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %v: %s", v.Rule, v.At, v.Detail)
}

// Result is the outcome of one history.
type Result struct {
	Seed uint64
	// Violation is the first violation, nil if there is none. A violation ends the
	// history.
	Violation *Violation
	// Faults counts the injected faults by kind.
	Faults map[FaultKind]int
	// Steps counts events, Elections elected leaders, Committed committed log entries,
	// Answered operations whose operators received an answer, and Placements requests
	// placed by gateways.
	Steps      int
	Elections  int
	Committed  int
	Answered   int
	Placements int
}

const (
	defaultDuration = 12 * time.Second
	// recoveryTimeout is the time from the last fault until the service must have
	// recovered.
	recoveryTimeout = 20 * time.Second
	// drainTime lets late messages arrive before the final checks.
	drainTime = 2 * time.Second

	// A group has from minMembers to maxMembers voters.
	minMembers = 3
	maxMembers = 7
)

// Run runs one history.
func Run(seed uint64, options Options) Result {
	if options.Duration <= 0 {
		options.Duration = defaultDuration
	}
	w := newWorld(seed, options)
	w.populate(minMembers + w.random.IntN(maxMembers-minMembers+1))
	w.startFaults(options.Duration)
	w.runUntil(options.Duration)
	w.endFaults()
	w.runUntilRecovered(options.Duration + recoveryTimeout)
	w.runUntil(w.now + drainTime)
	w.checkFinalState()
	return w.result
}

// world is the complete state of a simulated history.
type world struct {
	options Options
	random  *rand.Rand
	queue   eventQueue
	now     time.Duration
	result  Result

	settings  settings
	machines  []*machine
	operators []*operator
	gateways  []*gateway
	network   network
	checks    *checks
	faults    faultPlan
	// namesIssued counts the names and disk identities that were issued.
	namesIssued int
}

// settings are the configuration of the nodes, drawn for each history. The possible values
// include the defaults.
type settings struct {
	electionTimeout time.Duration
	inflight        int
	appendBytes     int
	// promoteLag is how many committed entries a learner may lack when it is promoted.
	promoteLag uint64
}

// heartbeatsPerTimeout is the election timeout divided by the heartbeat interval.
const heartbeatsPerTimeout = 6

// Values from which the settings are drawn.
var (
	electionTimeouts = []time.Duration{600 * time.Millisecond, 300 * time.Millisecond, 150 * time.Millisecond}
	inflightLimits   = []int{1, 4, 64}
	// appendByteLimits produce messages with one entry, a few entries, or all entries.
	appendByteLimits = []int{1, 300, 256 << 10}
	promoteLags      = []uint64{0, 64}
)

// newWorld draws the settings of a history and returns its world, without machines.
func newWorld(seed uint64, options Options) *world {
	w := &world{
		options: options,
		random:  rand.New(rand.NewPCG(seed, 0x5eed)),
		result:  Result{Seed: seed, Faults: make(map[FaultKind]int)},
	}
	w.settings = settings{
		electionTimeout: pick(w, electionTimeouts),
		inflight:        pick(w, inflightLimits),
		appendBytes:     pick(w, appendByteLimits),
		promoteLag:      pick(w, promoteLags),
	}
	w.network = newNetwork(w)
	w.checks = newChecks(w)
	return w
}

func (w *world) hasDefect(candidate defect.Defect) bool {
	return w.options.Defects.Has(candidate)
}

// recordViolation records a violation unless there already is one.
func (w *world) recordViolation(rule Rule, format string, arguments ...any) {
	if w.result.Violation == nil {
		w.result.Violation = &Violation{At: w.now, Rule: rule, Detail: fmt.Sprintf(format, arguments...)}
	}
}

// violated reports whether a rule was violated.
func (w *world) violated() bool {
	return w.result.Violation != nil
}

// between draws a duration from [low, high).
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// chance returns true with the given probability.
func (w *world) chance(probability float64) bool {
	return w.random.Float64() < probability
}

// pick draws one element of a non-empty slice.
func pick[T any](w *world, values []T) T {
	return values[w.random.IntN(len(values))]
}
