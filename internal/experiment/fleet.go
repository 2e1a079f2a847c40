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
	// pollInterval is the interval at which a gateway polls the replicas' reports.
	pollInterval = 500 * time.Millisecond
	// gatewaysPerRegion is the number of gateways in each region. A gateway knows the
	// requests of the others only from the replicas' reports.
	gatewaysPerRegion = 3
	// serviceTimeSmoothing is the weight of one request in the moving average of the
	// service time.
	serviceTimeSmoothing = 0.1
)

// replica is one emulated replica of a region.
type replica struct {
	name     string
	emulated emulator.Replica
}

// View is a gateway's knowledge about one replica.
type View struct {
	Name string
	// Report is the replica's last report.
	Report emulator.State
	// InFlight is the number of requests that this gateway has in flight on the replica.
	// OtherInFlight is the number of other gateways' requests, according to the last
	// report.
	InFlight      int
	OtherInFlight int
	// SentTokens is the prefill work, in tokens, that this gateway has sent since the
	// last report.
	SentTokens float64
	// ServiceTime is the moving average of the time from the arrival of a request to its
	// end, in seconds.
	ServiceTime float64

	reports uint64 // number of reports received
}

// ActiveRequests returns the known number of requests on the replica.
func (v *View) ActiveRequests() int {
	return v.InFlight + v.OtherInFlight
}

// observe updates the view from a report of the replica.
func (v *View) observe(state emulator.State) {
	v.Report = state
	v.OtherInFlight = max(0, state.Running+state.Queued-v.InFlight)
	v.SentTokens = 0
	v.reports++
}

// gateway places requests on the replicas of its region.
type gateway struct {
	policy   Policy
	views    []*View
	nextPoll time.Duration
}

// regionFleet is one region with its replicas and gateways. share is the weight with
// which the region is drawn for a request.
type regionFleet struct {
	name     string
	share    float64
	replicas []*replica
	gateways []*gateway
}

// attempt is a request that was sent to a replica and is still in progress.
type attempt struct {
	request         *workload.Request
	gateway         *gateway
	target          int
	expectedCached  int // tokens
	uncachedTokens  float64
	reportsWhenSent uint64
	firstTokenSeen  bool
	firstTokenAt    time.Duration
}

// Fleet is the model service of a deployment in virtual time.
type Fleet struct {
	regions  []*regionFleet
	random   *rand.Rand
	attempts map[string]*attempt
	result   *Result
	// measureFrom is the end of the warm-up. Requests that arrived earlier do not count.
	measureFrom time.Duration
}

// FleetConfig configures one run.
type FleetConfig struct {
	Profile    *workload.Profile
	Parameters emulator.Parameters
	Scenario   workload.Scenario
	Seed       uint64
	// Policy returns a new policy for the gateway with the given number, for the named
	// replicas of its region.
	Policy func(gatewayNumber int, replicas []string) Policy
	// ByClientRegion distributes the requests over the regions by client share instead
	// of in proportion to the replicas.
	ByClientRegion bool
	// WarmUp is the part of Duration, at its beginning, that does not count in the
	// results.
	WarmUp, Duration time.Duration
}

// Run runs the configured load with the configured policy. It skips requests of the class
// fetch, which are not sent to the model service.
func Run(config FleetConfig) *Result {
	fleet := newFleet(config)
	generator := workload.New(config.Profile, config.Scenario, config.Seed, "experiment")
	for {
		request := generator.Next()
		if request.At >= config.Duration {
			break
		}
		if request.Generate.Class == api.ClassFetch {
			continue
		}
		fleet.advanceTo(request.At)
		fleet.placeRequest(&request)
	}
	fleet.advanceTo(config.Duration)
	fleet.result.Unfinished = len(fleet.attempts)
	fleet.result.measuredTime = config.Duration - config.WarmUp
	fleet.result.computeFigures()
	return fleet.result
}

func newFleet(config FleetConfig) *Fleet {
	fleet := &Fleet{
		random:      rand.New(rand.NewPCG(config.Seed, 2)),
		attempts:    make(map[string]*attempt),
		result:      &Result{},
		measureFrom: config.WarmUp,
	}
	gatewayNumber := 0
	for _, region := range config.Profile.Regions {
		fleet.regions = append(fleet.regions, newRegionFleet(config, region, gatewayNumber))
		gatewayNumber += gatewaysPerRegion
	}
	return fleet
}

// newRegionFleet returns a region with warm replicas. firstGateway is the number of its
// first gateway.
func newRegionFleet(config FleetConfig, region workload.Region, firstGateway int) *regionFleet {
	fleet := &regionFleet{name: region.Name, share: float64(region.ModelReplicas)}
	if config.ByClientRegion {
		fleet.share = region.ClientShare
	}
	var names []string
	for index := range region.ModelReplicas {
		// The seed is part of the name, so that the results over several seeds do not
		// depend on the hashes of a single set of names.
		name := fmt.Sprintf("%s-%d-%d", region.Name, config.Seed, index)
		seed := config.Seed*100 + uint64(firstGateway*20+index)
		fleet.replicas = append(fleet.replicas, &replica{name: name, emulated: emulator.New(config.Parameters, seed, false)})
		names = append(names, name)
	}
	for index := range gatewaysPerRegion {
		number := firstGateway + index
		fleet.gateways = append(fleet.gateways, newGateway(config.Policy(number, names), names, number))
	}
	return fleet
}

// newGateway returns a gateway that has not received a report yet. The times of its polls
// are offset by its number, so that the gateways poll at different times.
func newGateway(policy Policy, replicas []string, number int) *gateway {
	g := &gateway{policy: policy, nextPoll: time.Duration(number) * pollInterval / 16}
	for _, name := range replicas {
		g.views = append(g.views, &View{Name: name, Report: emulator.State{Slots: 1}})
	}
	return g
}

// advanceTo processes all events of replicas and all polls before now, in chronological
// order.
func (f *Fleet) advanceTo(now time.Duration) {
	for {
		next := now
		var work func()
		for _, region := range f.regions {
			for index, candidate := range region.replicas {
				at, pending := candidate.emulated.NextEvent()
				if pending && at < next {
					next = at
					work = func() { f.processEvents(region, index, at) }
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

// poll reads the reports of all replicas of the region.
func (g *gateway) poll(region *regionFleet) {
	for index, candidate := range region.replicas {
		g.observe(index, candidate.emulated.State(g.nextPoll))
	}
	g.nextPoll += pollInterval
}

// observe updates the view of a replica from its report. It reports new cache evictions
// to the policy: only this gateway's share of them, rounded up.
func (g *gateway) observe(target int, state emulator.State) {
	view := g.views[target]
	evictions := state.CacheEvictions - view.Report.CacheEvictions
	view.observe(state)
	if evictions > 0 {
		g.policy.RecordEvictions(target, int(evictions)/gatewaysPerRegion+1)
	}
}

// processEvents processes the events of one replica up to the given time.
func (f *Fleet) processEvents(region *regionFleet, index int, at time.Duration) {
	for _, event := range region.replicas[index].emulated.Advance(at) {
		current := f.attempts[event.Job]
		if !current.firstTokenSeen {
			current.firstTokenSeen = true
			current.firstTokenAt = event.At
			current.subtractSentPrefill()
			current.gateway.policy.RecordAnswer(current.target, current.expectedCached, event.CachedTokens)
		}
		if event.Kind == emulator.EventEnd {
			f.endAttempt(region, current, event)
		}
	}
}

// subtractSentPrefill subtracts the request's prefill work from the tokens sent since the last
// report, unless a report has arrived since the request was sent: such a report already
// accounts for the work.
func (a *attempt) subtractSentPrefill() {
	view := a.gateway.views[a.target]
	if view.reports == a.reportsWhenSent {
		view.SentTokens = max(0, view.SentTokens-a.uncachedTokens)
	}
}

// endAttempt updates the gateway's view and the result after an answer, which includes a
// report of the replica.
func (f *Fleet) endAttempt(region *regionFleet, current *attempt, event emulator.Event) {
	delete(f.attempts, event.Job)
	view := current.gateway.views[current.target]
	view.InFlight--
	serviceTime := (event.At - current.request.At).Seconds()
	view.ServiceTime += serviceTimeSmoothing * (serviceTime - view.ServiceTime)
	current.gateway.observe(current.target, region.replicas[current.target].emulated.State(event.At))
	if current.request.At >= f.measureFrom {
		f.result.addAnswer(current, event)
	}
}

// placeRequest draws a region by its share and a random gateway in it, and sends the
// request to the replica that the gateway's policy picks. A refused request is not
// retried.
func (f *Fleet) placeRequest(request *workload.Request) {
	region := f.drawRegion()
	sender := region.gateways[f.random.IntN(len(region.gateways))]
	target, expected := sender.policy.Pick(request, sender.views)
	job := emulator.Job{
		ID:           request.Generate.RequestID,
		Prefixes:     request.Generate.Prefixes,
		PromptTokens: request.Generate.PromptTokens,
		AnswerTokens: request.Generate.MaxTokens,
	}
	if err := region.replicas[target].emulated.Submit(request.At, job); err != nil {
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
		request: request, gateway: sender, target: target, expectedCached: expected, uncachedTokens: uncached, reportsWhenSent: view.reports,
	}
}

// drawRegion returns a random region, weighted by the regions' shares.
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

// promptTokens returns the length of the complete prompt in tokens, including its prefixes.
func promptTokens(request *workload.Request) float64 {
	return float64(prefixTokens(request) + request.Generate.PromptTokens)
}

// prefixTokens returns the total length of the prompt's prefixes in tokens.
func prefixTokens(request *workload.Request) int {
	total := 0
	for _, prefix := range request.Generate.Prefixes {
		total += prefix.Tokens
	}
	return total
}
