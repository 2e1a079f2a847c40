package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/deckpulley/deckpulley/internal/defect"
)

// Options chooses what a history contains.
type Options struct {
	// Duration is the part with faults, in virtual time. Default 12 s.
	Duration time.Duration
	// Defects are planted in every machine; empty for the true code.
	Defects defect.Set
}

// Violation is a broken rule.
type Violation struct {
	At     time.Duration // virtual
	Rule   Rule
	Detail string
}

// String names the rule and what broke it.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %v: %s", v.Rule, v.At, v.Detail)
}

// Result is what one history showed.
type Result struct {
	Seed uint64
	// Violation is the first broken rule, nil if there is none. The history
	// ends there.
	Violation *Violation
	// Faults counts what was injected, by kind.
	Faults map[FaultKind]int
	// Steps, Elections, Committed, Answered and Placements say how much happened.
	Steps      int
	Elections  int
	Committed  int
	Answered   int
	Placements int
}

const (
	defaultDuration = 12 * time.Second
	// recoveryTimeout is how long after the last fault everything must work again.
	recoveryTimeout = 20 * time.Second
	// drainTime lets late messages arrive before the last checks.
	drainTime = 2 * time.Second

	minMembers = 3
	maxMembers = 7
)

// Run plays one history.
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

// world is everything there is in a history.
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
	// namesIssued counts names and identities given out.
	namesIssued int
}

// settings are drawn for each history, the defaults among them.
type settings struct {
	electionTimeout time.Duration
	inflight        int
	appendBytes     int
	// promoteLag is how many committed entries a learner may lack to be let vote.
	promoteLag uint64
}

const heartbeatsPerTimeout = 6

var (
	electionTimeouts = []time.Duration{600 * time.Millisecond, 300 * time.Millisecond, 150 * time.Millisecond}
	inflightLimits   = []int{1, 4, 64}
	// appendByteLimits make a message of one entry, of a few, or of all.
	appendByteLimits = []int{1, 300, 256 << 10}
	promoteLags      = []uint64{0, 64}
)

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

func (w *world) hasDefect(planted defect.Defect) bool {
	return w.options.Defects.Has(planted)
}

// recordViolation notes the first broken rule.
func (w *world) recordViolation(rule Rule, format string, arguments ...any) {
	if w.result.Violation == nil {
		w.result.Violation = &Violation{At: w.now, Rule: rule, Detail: fmt.Sprintf(format, arguments...)}
	}
}

func (w *world) violated() bool {
	return w.result.Violation != nil
}

// between draws a duration from [least, most).
func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)))
}

func (w *world) chance(probability float64) bool {
	return w.random.Float64() < probability
}

// pick draws one element.
func pick[T any](w *world, from []T) T {
	return from[w.random.IntN(len(from))]
}
