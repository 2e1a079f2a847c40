// Package scenario reads declarative fault scenarios and runs them on a fleet under
// load. The words of the files are those of the constants' values; docs/FAULTS.md has
// them.
package scenario

import (
	"time"

	"github.com/deckpulley/deckpulley/internal/fleet"
)

// Scenario is the content of one file.
type Scenario struct {
	// Name is that of the file, without its suffix.
	Name string `yaml:"-"`
	// About says in one sentence what happens.
	About string `yaml:"about"`
	// Short includes the scenario in the short suite.
	Short bool `yaml:"short,omitempty"`
	// Promises are those that the scenario must exercise.
	Promises []string `yaml:"promises"`
	// Load multiplies the deployment's request rate. The default is 1.
	Load float64 `yaml:"load,omitempty"`
	// Cold starts the model replicas cold.
	Cold bool `yaml:"cold,omitempty"`
	// Relays puts relays into the links between nodes, ReplicaRelays also into those
	// from gateways to replicas. Links without relays can't be cut or delayed.
	Relays        bool `yaml:"relays,omitempty"`
	ReplicaRelays bool `yaml:"replica_relays,omitempty"`
	// Random replaces Steps by faults drawn from the seed.
	Random *Random `yaml:"random,omitempty"`
	Steps  []Step  `yaml:"steps,omitempty"`
	// Tail is how long the load continues after the last step. The default is 5 s.
	Tail Duration `yaml:"tail,omitempty"`
}

// Random draws faults, one after the other.
type Random struct {
	// For is the total time and Interval the time from one fault to the next.
	For      Duration `yaml:"for"`
	Interval Duration `yaml:"interval"`
}

// Step is one action at a time or on a condition.
type Step struct {
	// At counts from the start of the load, After from the end of the step before.
	// They exclude each other.
	At    *Duration `yaml:"at,omitempty"`
	After *Duration `yaml:"after,omitempty"`
	// When waits for a condition after that, for Within at most. The default is 30 s.
	When   Condition `yaml:"when,omitempty"`
	Within Duration  `yaml:"within,omitempty"`

	Do Action `yaml:"do"`
	// Target names a node, a replica, "primary", "follower", "last", "lost", "all",
	// "controls", "zone:NAME", "region:NAME" or "models:NAME".
	Target string `yaml:"target,omitempty"`
	// To is the other end of a link, or the region to which clients move.
	To string `yaml:"to,omitempty"`
	// OneWay cuts or delays only what goes from Target to To.
	OneWay bool `yaml:"one_way,omitempty"`
	// For is the duration of what the action begins. Without it, a later step ends it.
	For Duration `yaml:"for,omitempty"`
	// Delay is that of a link.
	Delay Duration `yaml:"delay,omitempty"`
	// Factor multiplies the load.
	Factor float64 `yaml:"factor,omitempty"`
	// Count is a number of operations.
	Count int `yaml:"count,omitempty"`
	// Cold starts a replica cold.
	Cold bool `yaml:"cold,omitempty"`
	// Fault is that of replicas.
	Fault *fleet.ReplicaFault `yaml:"fault,omitempty"`
	// Background lets the next step begin before this one has ended.
	Background bool `yaml:"background,omitempty"`
}

// Condition is a state of the fleet for which a step waits.
type Condition string

const (
	// WhenReady holds while every running node is ready.
	WhenReady Condition = "ready"
	// WhenRepaired holds while the control nodes report that repair is done.
	WhenRepaired Condition = "repaired"
	// WhenSucceeded holds while a node other than the last target is the primary.
	WhenSucceeded Condition = "succeeded"
)

// Length returns the estimated time under load.
func (s *Scenario) Length() time.Duration {
	if s.Random != nil {
		return time.Duration(s.Random.For) + time.Duration(s.Tail)
	}
	var elapsed time.Duration
	for _, step := range s.Steps {
		if step.At != nil {
			elapsed = max(elapsed, time.Duration(*step.At))
		}
		if step.After != nil {
			elapsed += time.Duration(*step.After)
		}
		if !step.Background {
			elapsed += time.Duration(step.For)
		}
	}
	return elapsed + time.Duration(s.Tail)
}
