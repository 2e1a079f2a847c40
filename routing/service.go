package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/admission"
	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/outlier"
	"github.com/deckpulley/deckpulley/placement"
	"github.com/deckpulley/deckpulley/places"
	"github.com/deckpulley/deckpulley/setpoint"
)

const (
	// feedInterval is the time between two requests that are sent to a cold
	// replica for its own sake.
	feedInterval = 200 * time.Millisecond
	// feedPart of a request's remaining time may be spent to feed a cold replica.
	feedPart = 0.25
	// youngQueue is the age up to which a queue is judged by what it should do.
	youngQueue = 4 * time.Second
	// patiencePart of its remaining time a request may wait for one replica.
	patiencePart = 0.25
	// leastStanding is the part of the queue's length that may always wait.
	leastStanding = 0.125
	// leastRate bounds the completions per second assumed, above zero.
	leastRate = 0.01
	// unservable is the utilization told of a service without a usable replica.
	unservable = 100
	// fedElsewhere is the utilization told of a service whose only replicas are
	// cold ones that other gateways feed: it serves, and has nothing to spare.
	fedElsewhere = 1
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
	settings places.Service
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

	spill       *setpoint.Controller
	utilization float64
	regions     map[string]*placement.Region
	gates       map[string]*placement.Gate
	closedSince time.Time // no replica was usable since; zero if one is
	recovering  time.Time // when the own region had a usable replica again

	candidates []placement.Candidate
}

func newService(router *Router, name string, limits places.Limits) *service {
	return &service{
		router:  router,
		name:    name,
		group:   outlier.NewGroup(outlier.DefaultConfig()),
		index:   placement.NewIndex(0),
		queue:   admission.NewQueue[*waiter](limits.QueueLength),
		regions: make(map[string]*placement.Region),
		gates:   make(map[string]*placement.Gate),
		spill: setpoint.New(setpoint.Config{
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

func (s *service) set(settings places.Service, limits places.Limits) {
	s.settings = settings
	s.firstToken = time.Duration(limits.FirstTokenMS) * time.Millisecond
	s.coldConcurrency = limits.ColdConcurrency
	s.queueLength = limits.QueueLength
	s.queue.SetLength(limits.QueueLength)
	s.spill.SetSetPoint(limits.TargetUtilization)
}

func (s *service) add(name string, listed places.Replica, now time.Time) *replica {
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
	s.group.Keep(names)
	s.index.SetCount(len(names))
}

// promptTokens is the whole prompt of a request.
func promptTokens(request *Request) float64 {
	total := request.PromptTokens
	for _, prefix := range request.Prefixes {
		total += prefix.Tokens
	}
	return float64(total)
}

// chosen is a replica with what was expected of it.
type chosen struct {
	target *replica
	cached float64 // tokens, by the index
	room   bool
}

// place chooses a replica for the waiter's request; its target is nil if there
// is none. With patient set a replica without room may be chosen, if waiting
// for it costs less than prefilling its prefix elsewhere.
func (s *service) place(now time.Time, w *waiter, patient bool) chosen {
	s.index.Cached(w.chain, func(number, tokens int) {
		s.cached[number] = float64(tokens)
	})
	choice := s.feed(now, w)
	if choice.target == nil {
		choice = s.choose(now, w, patient)
	}
	for number := range s.cached {
		s.cached[number] = 0
	}
	return choice
}

func (s *service) choose(now time.Time, w *waiter, patient bool) chosen {
	s.candidates = s.candidates[:0]
	longest := patiencePart * w.request.Deadline.Sub(now).Seconds()
	for position, target := range s.replicas {
		if !target.usable(now) || w.request.Exclude[target.name] {
			continue
		}
		room := target.room(now, w.request.Class)
		wait := target.waitForRoom(w)
		if !room && (!patient || wait > longest) {
			continue
		}
		candidate := target.candidate(position, s.cached[target.number])
		if !room {
			candidate.Wait = wait
		}
		s.candidates = append(s.candidates, candidate)
	}
	best, _ := placement.Choose(s.candidates, w.work)
	if best < 0 {
		return chosen{}
	}
	target := s.replicas[s.candidates[best].Number]
	return chosen{target: target, cached: s.cached[target.number], room: s.candidates[best].Wait == 0}
}

// feed picks a cold replica that waits for work, if the request can bear it:
// expected times alone would never choose a slow replica, and it would stay cold.
func (s *service) feed(now time.Time, w *waiter) chosen {
	for _, target := range s.replicas {
		due := target.cold() && now.Sub(target.fedAt) >= feedInterval
		if !due || !target.usable(now) || !target.room(now, w.request.Class) || w.request.Exclude[target.name] {
			continue
		}
		candidate := target.candidate(0, s.cached[target.number])
		left := w.request.Deadline.Sub(now).Seconds()
		if candidate.FirstToken(w.work.Tokens) > feedPart*left {
			continue
		}
		return chosen{target: target, cached: s.cached[target.number], room: true}
	}
	return chosen{}
}

// dispatch grants slots to waiting requests in fair order while there is room.
// A request whose prefix is worth the wait keeps waiting for its replica.
func (s *service) dispatch(now time.Time) {
	s.dispatched = now
	if s.queue.Len() == 0 {
		s.queuedSince = time.Time{}
		return
	}
	for s.anyRoom(now) && s.queue.Take(func(item *admission.Item[*waiter]) bool { return s.tryGrant(now, item.Payload) }) != nil {
	}
	s.sweep(now)
}

// anyRoom reports whether some replica would take a request that is not long.
func (s *service) anyRoom(now time.Time) bool {
	for _, target := range s.replicas {
		if target.usable(now) && target.room(now, api.ClassQuick) {
			return true
		}
	}
	return false
}

// tryGrant grants a waiting request its best replica if that has room.
func (s *service) tryGrant(now time.Time, w *waiter) bool {
	choice := s.place(now, w, true)
	if choice.target == nil || !choice.room {
		w.want(choice.target)
		return false
	}
	s.waited = smoothed(s.waited, now.Sub(w.since).Seconds(), holdSmoothing)
	w.grant(s.newSlot(now, w, choice))
	return true
}

// lastChance grants a request that must leave the queue any replica with room;
// else it is refused.
func (s *service) lastChance(now time.Time, w *waiter, failure *api.Error) {
	choice := s.place(now, w, false)
	if choice.target == nil {
		w.refuse(failure)
		return
	}
	w.grant(s.newSlot(now, w, choice))
}

// sweep refuses the waiting requests that can no longer make their time, and
// all of them once no replica has been usable for a while.
func (s *service) sweep(now time.Time) {
	rate := s.rate(now)
	for _, item := range s.queue.Sweep(now, rate) {
		s.lastChance(now, item.Payload, s.lateError(&item.Payload.request, rate))
	}
	if s.queue.Len() > 0 && s.unusableFor(now) >= unusableWait {
		for _, item := range s.queue.Drain() {
			item.Payload.refuse(s.unusableError(&item.Payload.request))
		}
	}
	for _, item := range s.queue.Items() {
		if s.exhausted(now, &item.Payload.request) && s.queue.Remove(item) {
			item.Payload.refuse(s.unusableError(&item.Payload.request))
		}
	}
}

// exhausted reports whether a request has tried every usable replica.
func (s *service) exhausted(now time.Time, request *Request) bool {
	if len(request.Exclude) == 0 {
		return false
	}
	for _, target := range s.replicas {
		if target.usable(now) && !request.Exclude[target.name] {
			return false
		}
	}
	return true
}

// judgeQueue refuses waiting requests that the present plan no longer admits.
func (s *service) judgeQueue(now time.Time) {
	if s.queue.Len() == 0 {
		return
	}
	possible := s.possible()
	for _, item := range s.queue.Items() {
		failure := s.router.planError(&item.Payload.request)
		if failure == nil && !possible {
			failure = s.unusableError(&item.Payload.request)
		}
		if failure != nil && s.queue.Remove(item) {
			item.Payload.refuse(failure)
		}
	}
	s.sweep(now)
}

// takeRerouted removes the waiters whose model belongs to another service under
// a new plan.
func (s *service) takeRerouted(plan *Plan) []*waiter {
	var moved []*waiter
	for _, item := range s.queue.Items() {
		route, _ := plan.Route(item.Payload.request.Model)
		if route.Service != s.name && s.queue.Remove(item) {
			moved = append(moved, item.Payload)
		}
	}
	return moved
}

// possible reports whether the plan leaves a replica that may become usable
// without another plan.
func (s *service) possible() bool {
	for _, target := range s.replicas {
		state := target.condition.State
		shut := target.conditioned && (state == places.ConditionDown || state == places.ConditionDraining)
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

// rate is the completions per second that the queue can count on, 0 if unknown.
// A queue that has stood for a while is judged by what was measured meanwhile;
// a young one also by Little's law, since what was measured before it was the
// demand and not the capacity.
func (s *service) rate(now time.Time) float64 {
	measured := s.completions.PerSecond(now)
	if s.queuedSince.IsZero() || now.Sub(s.queuedSince) < youngQueue {
		measured = max(measured, s.expectedRate())
	}
	if s.completed == 0 {
		return 0
	}
	return max(measured, leastRate)
}

// expectedRate is what the requests in flight complete per second if each takes
// the usual time.
func (s *service) expectedRate() float64 {
	if s.hold <= 0 {
		return 0
	}
	inFlight := 0
	for _, target := range s.replicas {
		inFlight += target.inFlight
	}
	return float64(inFlight) / s.hold
}

// needs is the expected time from the start to the first token on the best
// replica for it, without any queueing.
func (s *service) needs(w *waiter) time.Duration {
	speed := 0.0
	for _, target := range s.replicas {
		if target.open {
			speed = max(speed, target.report.PrefillTokensPerSecond)
		}
	}
	if speed <= 0 {
		return 0
	}
	most := 0
	s.index.Cached(w.chain, func(_, tokens int) {
		most = max(most, tokens)
	})
	seconds := max(0, w.work.Tokens-float64(most)) / speed
	return time.Duration(seconds * float64(time.Second))
}

// tick updates the controllers and the knowledge of the regions.
func (s *service) tick(now time.Time) {
	s.unusableFor(now)
	s.utilization = s.measureUtilization(now)
	s.spill.Update(now, s.utilization)
	s.refreshRegions(now)
	s.boundStanding(now)
	s.sweep(now)
}

// boundStanding keeps a queue that does not drain at the length that waits as
// long as the set point of the first token. A young queue may use all of it.
func (s *service) boundStanding(now time.Time) {
	if s.queuedSince.IsZero() || now.Sub(s.queuedSince) < youngQueue {
		s.queue.SetStanding(0)
		return
	}
	length := s.rate(now) * s.firstToken.Seconds()
	least := leastStanding * float64(s.queueLength)
	s.queue.SetStanding(int(max(length, least, 1)))
}

// measureUtilization is the work on the usable replicas and in the queues over
// their ceilings; the other gateways of the region are taken to queue as much
// as this one. A cold replica that another gateway feeds is left out.
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
	return busy / ceilings
}

// regionLoad is the utilization to be told to other regions.
func (s *service) regionLoad() float64 {
	if s.utilization < unservable {
		return s.utilization
	}
	for _, target := range s.replicas {
		if target.allowed && target.reported && !target.unknown && target.condition.State == places.ConditionCold {
			return fedElsewhere
		}
	}
	return unservable
}
