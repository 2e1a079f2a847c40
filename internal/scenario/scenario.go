// Package scenario reads declarative fault scenarios and runs them on a fleet
// under load.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"path"
	"sort"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/deckpulley/deckpulley/internal/fleet"
)

// Duration is a time written as "300ms" or "2s".
type Duration time.Duration

// UnmarshalYAML reads the duration with its unit.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	parsed, err := time.ParseDuration(node.Value)
	if err != nil || parsed < 0 {
		return fmt.Errorf("line %d: %q is not a duration such as 300ms or 2s", node.Line, node.Value)
	}
	*d = Duration(parsed)
	return nil
}

// Scenario is one file.
type Scenario struct {
	// Name is that of its file.
	Name string `yaml:"-"`
	// About says in one sentence what happens.
	About string `yaml:"about"`
	// Short puts it into the short suite.
	Short bool `yaml:"short,omitempty"`
	// Promises are those that the scenario is for: one that it leaves unexercised
	// is a failure of the scenario.
	Promises []string `yaml:"promises"`
	// Load multiplies the deployment's request rate. Default 1.
	Load float64 `yaml:"load,omitempty"`
	// Cold starts the model replicas cold.
	Cold bool `yaml:"cold,omitempty"`
	// Relays puts relays into the links between our nodes; ReplicaRelays also into
	// those to replicas.
	Relays        bool `yaml:"relays,omitempty"`
	ReplicaRelays bool `yaml:"replica_relays,omitempty"`
	// Random replaces Steps by faults drawn from the seed for the given time.
	Random *Random `yaml:"random,omitempty"`
	Steps  []Step  `yaml:"steps,omitempty"`
	// Tail is how long the load goes on after the last step. Default 5 s.
	Tail Duration `yaml:"tail,omitempty"`
}

// Random draws faults; never two losses at once.
type Random struct {
	For      Duration `yaml:"for"`
	Interval Duration `yaml:"interval"`
}

// Step is one action at a time or on a condition.
type Step struct {
	// At counts from the start of the load; After counts from the step before.
	At    *Duration `yaml:"at,omitempty"`
	After *Duration `yaml:"after,omitempty"`
	// When waits for a condition, for Within at the most (default 30 s).
	When   Condition `yaml:"when,omitempty"`
	Within Duration  `yaml:"within,omitempty"`

	Do Action `yaml:"do"`
	// Target names a node, a replica, "primary", "follower", "last", "lost",
	// "all", "controls", "zone:NAME" or "region:NAME".
	Target string `yaml:"target,omitempty"`
	// To is the other end of a link, or the region that clients move to.
	To string `yaml:"to,omitempty"`
	// OneWay cuts or delays only what goes from Target to To.
	OneWay bool `yaml:"one_way,omitempty"`
	// For is the length of what the action begins, where it ends by itself.
	For Duration `yaml:"for,omitempty"`
	// Delay is that of a link.
	Delay Duration `yaml:"delay,omitempty"`
	// Factor multiplies load or lengths.
	Factor float64 `yaml:"factor,omitempty"`
	// Count is a number of orders.
	Count int `yaml:"count,omitempty"`
	// Cold starts a replica cold.
	Cold bool `yaml:"cold,omitempty"`
	// Fault is told to replicas.
	Fault *fleet.ReplicaFault `yaml:"fault,omitempty"`
	// Background lets the next step begin before this one is over.
	Background bool `yaml:"background,omitempty"`
}

// Condition is waited for before a step.
type Condition string

const (
	// WhenReady holds once every running node may do its work.
	WhenReady Condition = "ready"
	// WhenRepaired holds once the control nodes report their repair done.
	WhenRepaired Condition = "repaired"
	// WhenSucceeded holds once a primary other than the last target is known.
	WhenSucceeded Condition = "succeeded"
)

// Action is what a step does.
type Action string

// Actions on our own nodes.
const (
	Kill    Action = "kill"
	Start   Action = "start"
	Stop    Action = "stop"
	Restart Action = "restart" // stop and start again, one after the other
	Freeze  Action = "freeze"
	Thaw    Action = "thaw"
	Wipe    Action = "wipe" // kill and empty the data folder
	Replace Action = "replace"
	Cut     Action = "cut"
	Heal    Action = "heal"
	Delay   Action = "delay"
)

// Actions on replicas.
const (
	ReplicaFault Action = "replica_fault"
	Drain        Action = "drain"      // the replica reports it
	Undrain      Action = "undrain"    //
	ListDrain    Action = "list_drain" // the platform lists it
	ListUndrain  Action = "list_undrain"
)

// Actions of operators.
const (
	Configure    Action = "configure"
	ConfigureBad Action = "configure_bad" // refused by validation
	Outrace      Action = "outrace"       // on an old base version
	Race         Action = "race"          // two operators on one base
	LoseAnswer   Action = "lose_answer"   // send, lose the answer, resend to every node
	Resend       Action = "resend"        // resend every order so far to every node
	Evacuate     Action = "evacuate"
	Withdraw     Action = "withdraw"
	Fill         Action = "fill" // many orders that change nothing else
	Read         Action = "read" // read configuration and zones back
)

// Actions on the load.
const (
	Crowd Action = "crowd"
	Calm  Action = "calm"
	Swing Action = "swing"
	Move  Action = "move"
	Wait  Action = "wait"
)

// rule says what an action needs.
type rule struct {
	target, to, fault, factor, count, length bool
}

var rules = map[Action]rule{
	Kill: {target: true}, Start: {target: true}, Stop: {target: true}, Restart: {target: true},
	Freeze: {target: true}, Thaw: {target: true}, Wipe: {target: true}, Replace: {target: true},
	Cut: {target: true}, Heal: {target: true}, Delay: {target: true},
	ReplicaFault: {target: true, fault: true}, Drain: {target: true}, Undrain: {target: true},
	ListDrain: {target: true}, ListUndrain: {target: true},
	Configure: {}, ConfigureBad: {}, Outrace: {}, Race: {}, LoseAnswer: {}, Resend: {},
	Evacuate: {target: true}, Withdraw: {target: true}, Fill: {count: true}, Read: {},
	Crowd: {factor: true}, Calm: {}, Swing: {factor: true, length: true}, Move: {target: true, to: true, length: true}, Wait: {},
}

// Parse reads one scenario strictly and checks it.
func Parse(name string, text []byte) (*Scenario, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	parsed := &Scenario{Name: name, Load: 1, Tail: Duration(5 * time.Second)}
	if err := decoder.Decode(parsed); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	if err := parsed.validate(); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	return parsed, nil
}

func (s *Scenario) validate() error {
	if s.About == "" {
		return errors.New("about: missing")
	}
	if (s.Random == nil) == (len(s.Steps) == 0) {
		return errors.New("steps: either steps or random must be given")
	}
	for i, step := range s.Steps {
		if err := step.validate(s); err != nil {
			return fmt.Errorf("steps[%d] (%s): %w", i, step.Do, err)
		}
	}
	return nil
}

func (s Step) validate(of *Scenario) error {
	needs, ok := rules[s.Do]
	if !ok {
		return fmt.Errorf("do: unknown action %q", s.Do)
	}
	switch s.When {
	case "", WhenReady, WhenRepaired, WhenSucceeded:
	default:
		return fmt.Errorf("when: unknown condition %q", s.When)
	}
	missing := []struct {
		field  string
		needed bool
		given  bool
	}{
		{"target", needs.target, s.Target != ""},
		{"to", needs.to, s.To != ""},
		{"fault", needs.fault, s.Fault != nil},
		{"factor", needs.factor, s.Factor > 0},
		{"count", needs.count, s.Count > 0},
		{"for", needs.length, s.For > 0},
	}
	for _, field := range missing {
		if field.needed && !field.given {
			return fmt.Errorf("%s: missing", field.field)
		}
	}
	if s.At != nil && s.After != nil {
		return errors.New("at and after exclude each other")
	}
	if (s.Do == Cut || s.Do == Delay) && !of.Relays {
		return errors.New("needs relays: true")
	}
	return nil
}

// fileSuffix is that of scenario files.
const fileSuffix = ".yaml"

// LoadAll reads every scenario of a folder, ordered by name.
func LoadAll(folder fs.FS) ([]*Scenario, error) {
	names, err := fs.Glob(folder, "*"+fileSuffix)
	if err != nil {
		return nil, fmt.Errorf("listing scenarios: %w", err)
	}
	sort.Strings(names)
	var list []*Scenario
	for _, name := range names {
		text, err := fs.ReadFile(folder, name)
		if err != nil {
			return nil, fmt.Errorf("reading scenario: %w", err)
		}
		parsed, err := Parse(strings.TrimSuffix(path.Base(name), fileSuffix), text)
		if err != nil {
			return nil, err
		}
		list = append(list, parsed)
	}
	return list, nil
}

// Length estimates the time under load.
func (s *Scenario) Length() time.Duration {
	if s.Random != nil {
		return time.Duration(s.Random.For) + time.Duration(s.Tail)
	}
	var now time.Duration
	for _, step := range s.Steps {
		if step.At != nil {
			now = max(now, time.Duration(*step.At))
		}
		if step.After != nil {
			now += time.Duration(*step.After)
		}
		if !step.Background {
			now += time.Duration(step.For)
		}
	}
	return now + time.Duration(s.Tail)
}
