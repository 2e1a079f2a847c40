package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/admission"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/feedback"
	"github.com/deckpulley/deckpulley/outlier"
	"github.com/deckpulley/deckpulley/placement"
)

const (
	// unservable is the utilization told of a service without a usable replica.
	unservable = 100
	// fedElsewhere is the utilization told of a service whose only replicas are
	// cold ones that other gateways feed: it serves, and has nothing to spare.
	fedElsewhere = unservable / 2
	// expectedSmoothing is the weight of one answer in the expected durations.
	expectedSmoothing = 0.05
)

// Gains of the spill controller, argued in docs/design/routing.md.
const (
	spillProportional = 0.25
	spillIntegral     = 0.35 // per second
	spillSmoothing    = 500 * time.Millisecond
	spillMaximum      = 0.9
)

// service is the routing state of one service.
type service struct {
	router   *Router
	name     string
	settings catalog.Service
	replicas []*replica
	numbers  []*replica // by number, nil if free
	cached   []float64  // by number, scratch of place

	firstToken      time.Duration
	coldConcurrency int
	queueLength     int

	group       *outlier.Group
	index       *placement.Index
	queue       *admission.Queue[*waiter]
	completions admission.Rate
	completed   int
	dispatched  time.Time
	queuedSince time.Time // when the queue began to stand; zero if it is empty
	hold        float64   // seconds a request takes, smoothed
	perToken    float64   // of it, seconds per token asked for, smoothed
	waited      float64   // seconds granted requests waited in the queue, smoothed
	delay       float64   // seconds to the first token without own prefill, smoothed

	spill       *feedback.Controller
	target      float64 // utilization to hold while all regions together can
	utilization float64
	regions     map[string]*placement.Region
	gates       map[string]*placement.SpillGate
	closedSince time.Time // no replica was usable since; zero if one is
	recovering  time.Time // when the own region had a usable replica again

	candidates []placement.Candidate
}

func newService(router *Router, name string, limits catalog.Limits) *service {
	return &service{
		router:  router,
		name:    name,
		group:   outlier.NewGroup(outlier.DefaultConfig()),
		index:   placement.NewIndex(0),
		queue:   admission.NewQueue[*waiter](limits.QueueLength),
		regions: make(map[string]*placement.Region),
		gates:   make(map[string]*placement.SpillGate),
		spill: feedback.New(feedback.Config{
			Name:         "utilization",
			SetPoint:     limits.TargetUtilization,
			Proportional: spillProportional,
			Integral:     spillIntegral,
			Reverse:      true,
			Maximum:      spillMaximum,
			Smoothing:    spillSmoothing,
		}),
	}
}

func (s *service) set(settings catalog.Service, limits catalog.Limits) {
	s.settings = settings
	s.firstToken = time.Duration(limits.FirstTokenMS) * time.Millisecond
	s.coldConcurrency = limits.WarmupConcurrency
	s.queueLength = limits.QueueLength
	s.queue.SetLength(limits.QueueLength)
	s.target = limits.TargetUtilization
}

func (s *service) add(name string, listed catalog.Replica, now time.Time) *replica {
	number := 0
	for number < len(s.numbers) && s.numbers[number] != nil {
		number++
	}
	target := newReplica(s, name, number, listed, now)
	if number == len(s.numbers) {
		s.numbers = append(s.numbers, target)
		s.cached = append(s.cached, 0)
	}
	s.numbers[number] = target
	return target
}

func (s *service) remove(target *replica) {
	s.index.Forget(target.number)
	s.numbers[target.number] = nil
	target.open, target.allowed, target.gone = false, false, true
}

// regroup brings the list of replicas and the groups that judge them in line.
func (s *service) regroup() {
	s.replicas = s.replicas[:0]
	names := make([]string, 0, len(s.numbers))
	for _, target := range s.numbers {
		if target != nil {
			s.replicas = append(s.replicas, target)
			names = append(names, target.name)
		}
	}
	s.group.SetMembers(names)
	s.index.SetCount(len(names))
}

// possible reports whether the plan leaves a replica that may become usable
// without another plan.
func (s *service) possible() bool {
	for _, target := range s.replicas {
		state := target.condition.State
		shut := target.conditioned && (state == catalog.ConditionDown || state == catalog.ConditionDraining)
		if target.allowed && !shut {
			return true
		}
	}
	return false
}

func (s *service) anyUsable(now time.Time) bool {
	for _, target := range s.replicas {
		if target.usable(now) {
			return true
		}
	}
	return false
}

// unusableFor is the time since a replica was last usable, 0 if one is.
func (s *service) unusableFor(now time.Time) time.Duration {
	if s.anyUsable(now) {
		if !s.closedSince.IsZero() && now.Sub(s.closedSince) >= unusableWait {
			s.recovering = now
		}
		s.closedSince = time.Time{}
		return 0
	}
	if s.closedSince.IsZero() {
		s.closedSince = now
	}
	return now.Sub(s.closedSince)
}

// tick updates the controllers and the knowledge of the regions.
func (s *service) tick(now time.Time) {
	s.unusableFor(now)
	s.utilization = s.measureUtilization(now)
	s.refreshRegions(now)
	s.spill.Update(now, s.utilization)
	s.boundStanding(now)
	s.sweep(now)
}

// measureUtilization is the work on the usable replicas and in the queues over
// their ceilings; the other gateways of the region are taken to queue as much
// as this one. It is bounded by placement.MaxComparedLoad unless nothing is usable, which
// is unservable. A cold replica that another gateway feeds is left out.
func (s *service) measureUtilization(now time.Time) float64 {
	busy := float64(s.queue.Len() * max(1, len(s.router.gateways)))
	ceilings := 0.0
	for _, target := range s.replicas {
		if !target.usable(now) {
			continue
		}
		busy += float64(target.busy())
		ceilings += float64(target.ceiling())
	}
	if ceilings == 0 {
		return unservable
	}
	return min(busy/ceilings, placement.MaxComparedLoad)
}

// regionLoad is the utilization to be told to other regions.
func (s *service) regionLoad() float64 {
	if s.utilization < unservable {
		return s.utilization
	}
	for _, target := range s.replicas {
		if target.allowed && target.reported && !target.unknown && target.condition.State == catalog.ConditionWarmingUp {
			return fedElsewhere
		}
	}
	return unservable
}
