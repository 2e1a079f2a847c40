// Package scenario reads declarative fault scenarios and runs them on a fleet under load. The
// values of the constants are the keywords of scenario files; docs/FAULTS.md describes them.
package scenario

import (
	"time"

	"github.com/deckpulley/deckpulley/internal/fleet"
)

// Scenario is the content of a scenario file.
type Scenario struct {
	// Name is the file name without its suffix.
	Name string `yaml:"-"`
	// About describes the scenario in one sentence.
	About string `yaml:"about"`
	// Short includes the scenario in the short suite.
	Short bool `yaml:"short,omitempty"`
	// Promises lists the promises that the scenario must exercise.
	Promises []string `yaml:"promises"`
	// Load multiplies the deployment's request rate. The default is 1.
	Load float64 `yaml:"load,omitempty"`
	// Cold starts the model replicas cold.
	Cold bool `yaml:"cold,omitempty"`
	// Relays puts relays into the links between nodes. ReplicaRelays also puts relays into
	// the links from gateways to replicas. Links without relays cannot be cut or delayed.
	Relays        bool `yaml:"relays,omitempty"`
	ReplicaRelays bool `yaml:"replica_relays,omitempty"`
	// Random generates faults from the seed instead of executing Steps.
	Random *Random `yaml:"random,omitempty"`
	Steps  []Step  `yaml:"steps,omitempty"`
	// Tail is how long the load continues after the last step. The default is 5 s.
	Tail Duration `yaml:"tail,omitempty"`
}

// Random configures a sequence of randomly drawn faults.
type Random struct {
	// For is the total duration. Interval is the time between the scheduled starts of
	// consecutive faults.
	For      Duration `yaml:"for"`
	Interval Duration `yaml:"interval"`
}

// Step is an action, together with the time or the condition at which it starts.
type Step struct {
	// At is measured from the start of the load, After from the end of the previous step.
	// They are mutually exclusive.
	At    *Duration `yaml:"at,omitempty"`
	After *Duration `yaml:"after,omitempty"`
	// When is a condition to wait for after that time, for at most Within. The default of
	// Within is 30 s.
	When   Condition `yaml:"when,omitempty"`
	Within Duration  `yaml:"within,omitempty"`

	Do Action `yaml:"do"`
	// Target names a node, a replica, "primary", "follower", "last", "lost", "all",
	// "controls", "zone:NAME", "region:NAME" or "models:NAME".
	Target string `yaml:"target,omitempty"`
	// To is the other end of a link, or the region to which clients move.
	To string `yaml:"to,omitempty"`
	// OneWay cuts or delays only the direction from Target to To.
	OneWay bool `yaml:"one_way,omitempty"`
	// For is the duration of the effect of the action. If it is zero, the effect lasts until
	// a later step ends it.
	For Duration `yaml:"for,omitempty"`
	// Delay is the delay of a link.
	Delay Duration `yaml:"delay,omitempty"`
	// Factor is the multiplier of the load.
	Factor float64 `yaml:"factor,omitempty"`
	// Count is the number of operations to send.
	Count int `yaml:"count,omitempty"`
	// Cold starts a replica cold.
	Cold bool `yaml:"cold,omitempty"`
	// Fault is the fault to inject into replicas.
	Fault *fleet.ReplicaFault `yaml:"fault,omitempty"`
	// Background lets the next step start before this one has ended.
	Background bool `yaml:"background,omitempty"`
}

// Condition is a state of the fleet for which a step waits.
type Condition string

const (
	// WhenReady holds while every running node is ready.
	WhenReady Condition = "ready"
	// WhenRepaired holds while the control nodes report that repair is done.
	WhenRepaired Condition = "repaired"
	// WhenNewPrimary holds while a node other than the last target is the primary: another
	// node has succeeded it.
	WhenNewPrimary Condition = "succeeded"
)

// Length returns the estimated duration of the scenario under load.
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
