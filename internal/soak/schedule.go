// Package soak draws schedules of disturbances from a seed: signals, restarts, changes and
// malformed messages that come in series and overlap. A schedule is written as a file before
// it is played, so that it can be played again and shortened. Package soak/platform plays
// schedules on real processes.
package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"
)

// Kind is a kind of disturbance.
type Kind string

// Kinds of disturbances. Node and Role name the process that they strike.
const (
	// Terminate sends SIGTERM and starts the process again once it has ended.
	Terminate Kind = "terminate"
	// Kill sends SIGKILL and starts the process again.
	Kill Kind = "kill"
	// HangUp rewrites the settings file and sends SIGHUP.
	HangUp Kind = "hang_up"
	// Freeze sends SIGSTOP, and SIGCONT after For.
	Freeze Kind = "freeze"
	// RestartAll kills all processes of a role at once and starts them again.
	RestartAll Kind = "restart_all"
	// Configure submits a configuration at a control node, by two operators at once.
	Configure Kind = "configure"
	// Evacuate empties the zone of the node, and takes that back after For.
	Evacuate Kind = "evacuate"
	// Drain replaces a replica: it drains, leaves, and another one comes.
	Drain Kind = "drain"
	// Malform lets a replica send malformed responses, of the form Detail, for For.
	Malform Kind = "malform"
	// Crowd sends Count requests at the same moment.
	Crowd Kind = "crowd"
	// Depart opens Count connections that send requests without reading the responses, and
	// closes them after For.
	Depart Kind = "depart"
	// Trickle opens Count connections whose requests arrive in part and never end, and closes
	// them after For.
	Trickle Kind = "trickle"
	// Wipe sends SIGKILL to a control node, deletes its data folder and starts it again.
	Wipe Kind = "wipe"
	// Reseed lets the settings of all processes name Count of the seeds, from number Detail
	// on, with SIGHUP if Signal is set.
	Reseed Kind = "reseed"
	// Replace ends a control node for good and starts one with an empty disk at another address.
	Replace Kind = "replace"
)

// rareKinds come at most a few times in a schedule. They are drawn apart from the others, so
// that the other events of a seed stay what they were in earlier releases.
var rareKinds = []Kind{Wipe, Reseed, Replace}

// Role is the role of a process.
type Role string

// Roles of processes.
const (
	RoleControl Role = "control"
	RoleGateway Role = "gateway"
)

// Event is one disturbance.
type Event struct {
	// At is the time from the start of traffic, and For how long the disturbance lasts.
	At  time.Duration `json:"at_ns"`
	For time.Duration `json:"for_ns,omitempty"`
	// Kind selects which of the other fields have a meaning.
	Kind Kind `json:"kind"`
	Role Role `json:"role,omitempty"`
	// Node is the number of the machine, or of the replica of Drain and Malform.
	Node   int  `json:"node"`
	Count  int  `json:"count,omitempty"`
	Detail int  `json:"detail,omitempty"`
	Signal bool `json:"signal,omitempty"`
}

// Schedule is what a run plays.
type Schedule struct {
	Seed   uint64        `json:"seed"`
	Length time.Duration `json:"length_ns"`
	// Gateways is the number of machines with a gateway; the first Controls of them have a
	// control node too.
	Gateways int `json:"gateways"`
	Controls int `json:"controls"`
	Replicas int `json:"replicas"`
	// RequestsPerSecond is the rate of the usual traffic, all clients together.
	RequestsPerSecond int `json:"requests_per_second"`
	// Events are in the order of their times.
	Events []Event `json:"events"`
}

// Options bound what Draw draws.
type Options struct {
	Seed     uint64
	Length   time.Duration
	Gateways int
	// MalformedForms is the number of forms of malformed responses.
	MalformedForms int
}

// Sizes of drawn schedules.
const (
	controls           = 3
	replicasPerGateway = 2
	ratePerGateway     = 40
	// quietFraction is the fraction of the length at the end without new disturbances.
	quietFraction = 0.3
	// meanSeriesGap is the mean time between the starts of two series.
	meanSeriesGap = 700 * time.Millisecond
	maxSeries     = 4 // events of a series
	maxCrowd      = 300
	minCrowd      = 50
	maxDepartures = 60
	// rareStream and replacementStream select the random numbers of rareKinds.
	rareStream        = 0x52415245
	replacementStream = 0x5245504c
	// maxReseeds bounds the changes of the seeds. earliestWipe and latestWipe are fractions
	// of the length: one disk may be lost, and its successor needs some seconds.
	maxReseeds   = 3
	earliestWipe = 0.1
	latestWipe   = 0.4
)

// Draw draws a schedule. The same options give the same schedule.
func Draw(options Options) Schedule {
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	schedule := Schedule{
		Seed: options.Seed, Length: options.Length, Gateways: options.Gateways, Controls: controls,
		Replicas: replicasPerGateway * options.Gateways, RequestsPerSecond: ratePerGateway * options.Gateways,
	}
	last := time.Duration((1 - quietFraction) * float64(options.Length))
	for at := between(random, 0, meanSeriesGap); at < last; at += between(random, 0, 2*meanSeriesGap) {
		schedule.addSeries(random, at, last, options.MalformedForms)
	}
	schedule.addRare(rand.New(rand.NewPCG(options.Seed, rareStream)), last)
	schedule.addReplacement(rand.New(rand.NewPCG(options.Seed, replacementStream)))
	slices.SortStableFunc(schedule.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return schedule
}

// addRare adds the loss of one disk, in half of the schedules, and changes of the seeds.
func (s *Schedule) addRare(random *rand.Rand, last time.Duration) {
	if random.IntN(2) == 0 {
		fraction := func(part float64) time.Duration { return time.Duration(part * float64(s.Length)) }
		at := between(random, fraction(earliestWipe), fraction(latestWipe))
		s.Events = append(s.Events, Event{At: at, Kind: Wipe, Role: RoleControl, Node: random.IntN(s.Controls)})
	}
	for range random.IntN(maxReseeds) {
		s.Events = append(s.Events, Event{
			At: between(random, 0, last), Kind: Reseed,
			Count: 1 + random.IntN(s.Controls), Detail: random.IntN(s.Controls), Signal: random.IntN(2) == 0,
		})
	}
}

// addReplacement adds the replacement of one control node to a schedule that loses no disk: the
// group bears the loss of one.
func (s *Schedule) addReplacement(random *rand.Rand) {
	if slices.ContainsFunc(s.Events, func(event Event) bool { return event.Kind == Wipe }) {
		return
	}
	fraction := func(part float64) time.Duration { return time.Duration(part * float64(s.Length)) }
	at := between(random, fraction(earliestWipe), fraction(latestWipe))
	s.Events = append(s.Events, Event{At: at, Kind: Replace, Role: RoleControl, Node: random.IntN(s.Controls)})
}

// addSeries adds some events of one kind, one soon after the other.
func (s *Schedule) addSeries(random *rand.Rand, at, last time.Duration, forms int) {
	kind := drawKind(random)
	for range 1 + random.IntN(maxSeries) {
		if at >= last {
			return
		}
		s.Events = append(s.Events, s.drawEvent(random, kind, at, forms))
		at += between(random, 10*time.Millisecond, time.Second)
	}
}

// kindWeights has the relative frequency of each kind, in a fixed order.
var kindWeights = []struct {
	kind   Kind
	weight int
}{
	{Terminate, 3},
	{Kill, 2},
	{HangUp, 2},
	{Freeze, 2},
	{RestartAll, 1},
	{Configure, 2},
	{Evacuate, 2},
	{Drain, 2},
	{Malform, 5},
	{Crowd, 3},
	{Depart, 2},
	{Trickle, 1},
}

func drawKind(random *rand.Rand) Kind {
	total := 0
	for _, each := range kindWeights {
		total += each.weight
	}
	drawn := random.IntN(total)
	for _, each := range kindWeights {
		drawn -= each.weight
		if drawn < 0 {
			return each.kind
		}
	}
	return Terminate
}

func (s *Schedule) drawEvent(random *rand.Rand, kind Kind, at time.Duration, forms int) Event {
	event := Event{At: at, Kind: kind, Node: random.IntN(s.Gateways), For: between(random, 100*time.Millisecond, 2*time.Second)}
	switch kind {
	case Terminate, Kill, HangUp, Freeze, RestartAll:
		event.Role = RoleGateway
		if random.IntN(3) == 0 {
			event.Role = RoleControl
			event.Node = random.IntN(s.Controls)
		}
	case Configure, Evacuate:
		event.Node = random.IntN(s.Controls)
	case Drain, Malform:
		event.Node = random.IntN(s.Replicas)
		event.Detail = random.IntN(max(1, forms))
	case Crowd:
		event.Count = minCrowd + random.IntN(maxCrowd-minCrowd)
	case Depart, Trickle:
		event.Count = 1 + random.IntN(maxDepartures)
	}
	return event
}

// between returns a random duration from low to high.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Float64()*float64(high-low))
}

// Write writes the schedule to a file.
func (s Schedule) Write(path string) error {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o600)
}

// Read reads a schedule from a file. A schedule that cannot be played is an error that names
// the field.
func Read(path string) (Schedule, error) {
	var schedule Schedule
	text, err := os.ReadFile(path)
	if err != nil {
		return schedule, err
	}
	if err := json.Unmarshal(text, &schedule); err != nil {
		return schedule, fmt.Errorf("soak: %s: %w", path, err)
	}
	return schedule, schedule.check()
}

func (s Schedule) check() error {
	switch {
	case s.Length <= 0:
		return &FieldError{"length_ns", "must be above 0"}
	case s.Controls < 1 || s.Controls > s.Gateways:
		return &FieldError{"controls", "must be from 1 to the number of gateways"}
	case s.Replicas < 1:
		return &FieldError{"replicas", "must be above 0"}
	}
	for i, event := range s.Events {
		limit := s.Gateways
		if event.Kind == Drain || event.Kind == Malform {
			limit = s.Replicas
		} else if event.Role == RoleControl || event.Kind == Configure || event.Kind == Evacuate {
			limit = s.Controls
		}
		if event.Node < 0 || event.Node >= limit {
			return &FieldError{fmt.Sprintf("events[%d].node", i), fmt.Sprintf("must be below %d", limit)}
		}
	}
	return nil
}

// FieldError reports a field of a schedule that cannot be played.
type FieldError struct {
	Field  string
	Reason string
}

func (e *FieldError) Error() string { return fmt.Sprintf("soak: %s: %s", e.Field, e.Reason) }
