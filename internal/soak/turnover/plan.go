// Package turnover plays one case on real processes of deckpulley-platform: all control nodes
// are replaced one after the other, by machines at other addresses, while some gateways are
// cut off from them; then the seeds in the settings change, and configurations follow. It
// judges from outside whether each gateway that is in contact again decides by the newest
// acknowledged configuration.
package turnover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// SeedChange is the way in which the settings of all processes get other seeds.
type SeedChange string

// Ways of changing the seeds.
const (
	// SeedsWithSignal replaces the settings file and sends SIGHUP.
	SeedsWithSignal SeedChange = "signal"
	// SeedsInFile replaces the settings file alone.
	SeedsInFile SeedChange = "file"
	// SeedsBesideFields replaces the settings file, in which other fields have changed too,
	// and sends SIGHUP.
	SeedsBesideFields SeedChange = "fields"
	// SeedsUnchanged leaves the settings as they are.
	SeedsUnchanged SeedChange = "none"
)

// Isolation is what a gateway that is cut off cannot reach.
type Isolation string

// Kinds of isolation.
const (
	// FromCore cuts a gateway off from all machines with a control node, later ones too.
	FromCore Isolation = "core"
	// FromInitialCore cuts a gateway off from the machines that have a control node when the
	// cut begins.
	FromInitialCore Isolation = "initial-core"
	// FromAll cuts a gateway off from all other machines.
	FromAll Isolation = "all"
	// Frozen suspends the processes of a gateway's machine.
	Frozen Isolation = "frozen"
	// Killed ends the processes of a gateway's machine, and starts them again afterwards.
	Killed Isolation = "killed"
)

// Plan is what a play does. Times count from the start of traffic.
type Plan struct {
	Seed uint64
	// Machines is the number of machines at the start, each with a gateway. The first one of
	// each zone has a control node too.
	Machines int
	// CutMachines is the number of machines that are cut off, and Isolation from what.
	CutMachines int
	Isolation   Isolation
	CutAt       time.Duration
	CutFor      time.Duration
	// Replacements are the times at which the machines with a control node are lost, and
	// ReplacementDelay the time until the successor of one starts.
	Replacements     []time.Duration
	ReplacementDelay time.Duration
	// LostRefuse is true if connections to a lost machine are refused, and false if their
	// packets are lost.
	LostRefuse bool
	SeedsAt    time.Duration
	SeedChange SeedChange
	// Changes are the times at which the configuration changes.
	Changes []time.Duration
	Length  time.Duration
}

// jitter is the most by which Draw shifts a time.
const jitter = 400 * time.Millisecond

// Default returns the case as it was first reported.
func Default() Plan {
	return Plan{
		Machines:         11,
		CutMachines:      1,
		Isolation:        FromCore,
		CutAt:            4400 * time.Millisecond,
		CutFor:           14 * time.Second,
		Replacements:     []time.Duration{4 * time.Second, 8 * time.Second, 13 * time.Second},
		ReplacementDelay: 100 * time.Millisecond,
		SeedsAt:          22 * time.Second,
		SeedChange:       SeedsWithSignal,
		Changes:          []time.Duration{26 * time.Second, 30 * time.Second, 34 * time.Second},
		Length:           44 * time.Second,
	}
}

// Draw returns a plan whose times are shifted by up to jitter. The same seed gives the same
// shifts; seed 0 shifts nothing.
func (p Plan) Draw(seed uint64) Plan {
	p.Seed = seed
	if seed == 0 {
		return p
	}
	random := rand.New(rand.NewPCG(seed, seed))
	shift := func(at time.Duration) time.Duration { return max(0, at+rand64(random, -jitter, jitter)) }
	p.CutAt = shift(p.CutAt)
	p.CutFor = shift(p.CutFor)
	p.Replacements = shiftAll(p.Replacements, shift)
	p.Changes = shiftAll(p.Changes, shift)
	p.SeedsAt = shift(p.SeedsAt)
	return p
}

// Bounds of what DrawVariant draws. catchUpTime is how long a successor has run before the next
// machine with a control node is lost.
const (
	firstLoss           = 4 * time.Second
	catchUpTime         = 4 * time.Second
	maxExtraGap         = 500 * time.Millisecond
	minReplacementDelay = 100 * time.Millisecond
	maxReplacementDelay = 1500 * time.Millisecond
	maxCutDelay         = 2 * time.Second
	minCut              = 6 * time.Second
	maxCut              = 20 * time.Second
	changeGap           = 4 * time.Second
	changeCount         = 3
	// endTime is the time after the last change.
	endTime = 8 * time.Second
)

// DrawVariant returns a plan of as many machines whose order of losses, times, isolation and
// change of the seeds are drawn from a seed. Each successor has had its catchUpTime before the
// next loss. The same seed gives the same plan.
func (p Plan) DrawVariant(seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, seed))
	p.Seed = seed
	p.Isolation = pick(random, FromCore, FromInitialCore, FromAll, Frozen, Killed)
	p.SeedChange = pick(random, SeedsWithSignal, SeedsInFile, SeedsBesideFields, SeedsUnchanged)
	p.CutMachines = 1 + random.IntN(p.Machines-zoneCount)
	p.LostRefuse = random.IntN(2) == 0
	p.ReplacementDelay = rand64(random, minReplacementDelay, maxReplacementDelay)
	p.CutAt = firstLoss + rand64(random, -maxCutDelay, maxCutDelay)
	p.CutFor = rand64(random, minCut, maxCut)
	p.Replacements = make([]time.Duration, zoneCount)
	at := firstLoss
	for _, zone := range random.Perm(zoneCount) {
		p.Replacements[zone] = at
		at += p.ReplacementDelay + catchUpTime + rand64(random, minReplacementDelay, maxExtraGap)
	}
	at = max(at, p.CutAt+p.CutFor)
	p.SeedsAt = at + rand64(random, 0, changeGap)
	p.Changes = nil
	for range changeCount {
		at += changeGap
		p.Changes = append(p.Changes, at)
	}
	p.Length = at + endTime
	return p
}

func pick[T any](random *rand.Rand, choices ...T) T { return choices[random.IntN(len(choices))] }

func shiftAll(times []time.Duration, shift func(time.Duration) time.Duration) []time.Duration {
	shifted := make([]time.Duration, 0, len(times))
	for _, at := range times {
		shifted = append(shifted, shift(at))
	}
	return shifted
}

func rand64(random *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(random.Int64N(int64(to-from)))
}

// FieldError describes a plan that cannot be played.
type FieldError struct {
	Field  string
	Reason string
}

func (e *FieldError) Error() string { return fmt.Sprintf("turnover: %s: %s", e.Field, e.Reason) }

// Validate checks the plan. The error is a *FieldError.
func (p Plan) Validate() error {
	switch {
	case p.Machines < zoneCount || p.Machines > maxMachines:
		return &FieldError{Field: "machines", Reason: fmt.Sprintf("must be %d to %d", zoneCount, maxMachines)}
	case p.CutMachines < 0 || p.CutMachines > p.Machines-zoneCount:
		return &FieldError{Field: "cut", Reason: "must leave the machines with a control node alone"}
	case len(p.Replacements) > zoneCount:
		return &FieldError{Field: "replacements", Reason: fmt.Sprintf("must be at most %d", zoneCount)}
	case !slices.Contains([]Isolation{FromCore, FromInitialCore, FromAll, Frozen, Killed}, p.Isolation):
		return &FieldError{Field: "isolation", Reason: fmt.Sprintf("%q is not known", p.Isolation)}
	}
	switch p.SeedChange {
	case SeedsWithSignal, SeedsInFile, SeedsBesideFields, SeedsUnchanged:
		return nil
	default:
		return &FieldError{Field: "seeds", Reason: fmt.Sprintf("%q is not known", p.SeedChange)}
	}
}
