// Package experiment runs emulated replicas, generated callers and the deciding
// packages together in virtual time, to compare and to tune decisions without a
// fleet. Equal inputs give equal results.
package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/emulator"
	"github.com/deckpulley/deckpulley/internal/workload"
)

const (
	// pollInterval is the time between two reports of a replica to a gateway.
	pollInterval = 500 * time.Millisecond
	// gatewaysPerRegion share a region's requests without knowing each other's.
	gatewaysPerRegion = 3
	// holdSmoothing is the weight of one request in the time a slot is held.
	holdSmoothing = 0.1
)

// replica is one emulated replica of a region.
type replica struct {
	name  string
	model emulator.Replica
}

// View is what one gateway knows of one replica.
type View struct {
	Name string
	// Report is the last state that the replica reported.
	Report emulator.State
	// InFlight counts the gateway's own requests, Others those of other gateways
	// by the last report.
	InFlight int
	Others   int
	// SentTokens is the prefill work sent since the last report, in tokens.
	SentTokens float64
	// Hold is how long a request occupies a slot, smoothed, in seconds.
	Hold float64

	epoch uint64 // counts reports
}

// Busy counts the requests on the replica, as far as known.
func (v *View) Busy() int {
	return v.InFlight + v.Others
}

// observe takes a report.
func (v *View) observe(state emulator.State) {
	v.Report = state
	v.Others = max(0, state.Running+state.Queued-v.InFlight)
	v.SentTokens = 0
	v.epoch++
}

// gateway places requests on the replicas of its region.
type gateway struct {
	policy   Policy
	views    []*View
	nextPoll time.Duration
}

// regionFleet is one region: replicas and the gateways before them.
type regionFleet struct {
	name     string
	share    float64
	replicas []*replica
	gateways []*gateway
}

// attempt is one request on its way.
type attempt struct {
	request  *workload.Request
	gateway  *gateway
	target   int
	expected int // cached tokens expected
	uncached float64
	epoch    uint64
	started  bool
	first    time.Duration
}

// Fleet is a deployment's model service in virtual time.
type Fleet struct {
	regions  []*regionFleet
	random   *rand.Rand
	attempts map[string]*attempt
	result   *Result
	// measureFrom excludes the warm-up from the results.
	measureFrom time.Duration
}

// FleetConfig describes a run.
type FleetConfig struct {
	Profile    *workload.Profile
	Parameters emulator.Parameters
	Scenario   workload.Scenario
	Seed       uint64
	// Policy makes the policy of one gateway.
	Policy func(gatewayNumber int, replicas []string) Policy
	// ByClients keeps each request in its client's region; otherwise requests go
	// to the regions in proportion to their replicas.
	ByClients bool
	// WarmUp is left out of the results; Length is the whole run.
	WarmUp, Length time.Duration
}

// Run plays one load against one policy.
func Run(config FleetConfig) *Result {
	fleet := newFleet(config)
	generator := workload.New(config.Profile, config.Scenario, config.Seed, "experiment")
	for {
		request := generator.Next()
		if request.At >= config.Length {
			break
		}
		if request.Generate.Class == api.ClassFetch {
			continue
		}
		fleet.advance(request.At)
		fleet.place(&request)
	}
	fleet.advance(config.Length)
	fleet.result.Unfinished = len(fleet.attempts)
	fleet.result.length = config.Length - config.WarmUp
	fleet.result.finish()
	return fleet.result
}

func newFleet(config FleetConfig) *Fleet {
	fleet := &Fleet{
		random:      rand.New(rand.NewPCG(config.Seed, 2)),
		attempts:    make(map[string]*attempt),
		result:      &Result{},
		measureFrom: config.WarmUp,
	}
	number := 0
	for _, region := range config.Profile.Regions {
		built := &regionFleet{name: region.Name, share: float64(region.ModelReplicas)}
		if config.ByClients {
			built.share = region.ClientShare
		}
		var names []string
		for index := range region.ModelReplicas {
			// The seed is part of the name, so that no single draw of hashes decides.
			name := fmt.Sprintf("%s-%d-%d", region.Name, config.Seed, index)
			seed := config.Seed*100 + uint64(number*20+index)
			built.replicas = append(built.replicas, &replica{name: name, model: emulator.New(config.Parameters, seed, false)})
			names = append(names, name)
		}
		for range gatewaysPerRegion {
			built.gateways = append(built.gateways, newGateway(config.Policy(number, names), names, number))
			number++
		}
		fleet.regions = append(fleet.regions, built)
	}
	return fleet
}

func newGateway(policy Policy, replicas []string, number int) *gateway {
	g := &gateway{policy: policy, nextPoll: time.Duration(number) * pollInterval / 16}
	for _, name := range replicas {
		g.views = append(g.views, &View{Name: name, Report: emulator.State{Slots: 1}})
	}
	return g
}

// advance plays all replicas' events and all polls up to now, in time order.
func (f *Fleet) advance(now time.Duration) {
	for {
		next := now
		var work func()
		for _, region := range f.regions {
			for index, candidate := range region.replicas {
				at, pending := candidate.model.NextEvent()
				if pending && at < next {
					next = at
					work = func() { f.step(region, index, at) }
				}
			}
			for _, poller := range region.gateways {
				if poller.nextPoll < next {
					next = poller.nextPoll
					work = func() { poller.poll(region) }
				}
			}
		}
		if work == nil {
			return
		}
		work()
	}
}

func (g *gateway) poll(region *regionFleet) {
	for index, candidate := range region.replicas {
		g.observe(index, candidate.model.State(g.nextPoll))
	}
	g.nextPoll += pollInterval
}

func (g *gateway) observe(target int, state emulator.State) {
	view := g.views[target]
	evictions := state.CacheEvictions - view.Report.CacheEvictions
	view.observe(state)
	if evictions > 0 {
		g.policy.Evicted(target, int(evictions)/gatewaysPerRegion+1)
	}
}

// step plays the events of one replica at a time.
func (f *Fleet) step(region *regionFleet, index int, at time.Duration) {
	for _, event := range region.replicas[index].model.Advance(at) {
		current := f.attempts[event.Job]
		if !current.started {
			current.started = true
			current.first = event.At
			current.prefillDone()
			current.gateway.policy.Answered(current.target, current.expected, event.CachedTokens)
		}
		if event.Kind == emulator.EventEnd {
			f.end(region, current, event)
		}
	}
}

// prefillDone takes the request's prefill off what was sent since the last
// report, unless a report has counted it since.
func (a *attempt) prefillDone() {
	view := a.gateway.views[a.target]
	if view.epoch == a.epoch {
		view.SentTokens = max(0, view.SentTokens-a.uncached)
	}
}

func (f *Fleet) end(region *regionFleet, current *attempt, event emulator.Event) {
	delete(f.attempts, event.Job)
	view := current.gateway.views[current.target]
	view.InFlight--
	held := (event.At - current.request.At).Seconds()
	view.Hold += holdSmoothing * (held - view.Hold)
	current.gateway.observe(current.target, region.replicas[current.target].model.State(event.At))
	if current.request.At >= f.measureFrom {
		f.result.add(current, event)
	}
}

// place sends a request to a region in proportion to its replicas, there to one
// of the gateways, and from it to the replica that the policy picks.
func (f *Fleet) place(request *workload.Request) {
	region := f.drawRegion()
	sender := region.gateways[f.random.IntN(len(region.gateways))]
	target, expected := sender.policy.Pick(request, sender.views)
	job := emulator.Job{
		ID:           request.Generate.RequestID,
		Prefixes:     request.Generate.Prefixes,
		PromptTokens: request.Generate.PromptTokens,
		AnswerTokens: request.Generate.MaxTokens,
	}
	if err := region.replicas[target].model.Submit(request.At, job); err != nil {
		if request.At >= f.measureFrom {
			f.result.Refused++
		}
		return
	}
	view := sender.views[target]
	uncached := max(0, promptTokens(request)-float64(expected))
	view.InFlight++
	view.SentTokens += uncached
	f.attempts[job.ID] = &attempt{
		request: request, gateway: sender, target: target, expected: expected, uncached: uncached, epoch: view.epoch,
	}
}

func (f *Fleet) drawRegion() *regionFleet {
	total := 0.0
	for _, region := range f.regions {
		total += region.share
	}
	pick := f.random.Float64() * total
	for _, region := range f.regions {
		pick -= region.share
		if pick < 0 {
			return region
		}
	}
	return f.regions[0]
}

func promptTokens(request *workload.Request) float64 {
	return float64(prefixTokens(request) + request.Generate.PromptTokens)
}

func prefixTokens(request *workload.Request) int {
	total := 0
	for _, prefix := range request.Generate.Prefixes {
		total += prefix.Tokens
	}
	return total
}
