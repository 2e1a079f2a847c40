package routing

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/failuredetector"
	"github.com/deckpulley/deckpulley/retry"
)

const (
	// tickInterval is how often controllers and remote loads are brought up to date.
	tickInterval = 100 * time.Millisecond
	// unusableWait is how long requests wait for a replica while none is usable.
	unusableWait = time.Second
)

// Config names the gateway that routes.
type Config struct {
	// Region and Gateway are the own names.
	Region  string
	Gateway string
	// Seed varies draws between gateways.
	Seed uint64
	// Logger takes one line per decision of weight; nil discards.
	Logger *slog.Logger
	// PollInterval is the expected time between reports. Default 500 ms.
	PollInterval time.Duration
}

// Router holds the routing state of one gateway. Its methods may be called from
// any goroutine. It starts no goroutine: waiting happens in the callers of
// Acquire, and every event (report, end of a request, plan) moves the queues on.
type Router struct {
	config   Config
	logger   *slog.Logger
	watching failuredetector.Config

	mutex    sync.Mutex
	plan     *Plan
	version  uint64
	serial   uint32
	services map[string]*service
	replicas map[string]*replica
	remotes  map[string]*remote
	// gateways are the up gateways of the own region, sorted; feeders those of
	// them that may feed cold replicas.
	gateways []string
	feeders  []string
	budget   *retry.Budget
	lastTick time.Time
	// lastConditions and resumed tell a pause of this process from silence.
	lastConditions time.Time
	resumed        time.Time
}

// New returns a router that refuses everything until it has a plan.
func New(config Config) *Router {
	logger := config.Logger
	if logger == nil {
		logger = slog.New(slog.DiscardHandler)
	}
	watching := failuredetector.DefaultConfig()
	if config.PollInterval > 0 {
		watching.ExpectedInterval = config.PollInterval
		watching.MinStdDeviation = config.PollInterval / 2
	}
	return &Router{
		config:   config,
		logger:   logger,
		watching: watching,
		services: make(map[string]*service),
		replicas: make(map[string]*replica),
		remotes:  make(map[string]*remote),
		budget:   retry.NewBudget(retry.DefaultRatio),
	}
}

// SetPlan makes a plan decide from now on. Requests that wait are judged again
// under it.
func (r *Router) SetPlan(plan *Plan) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.plan = plan
	r.version = plan.Version()
	r.serial = plan.Serial()
	r.budget.SetRatio(plan.Limits().RetryRatio)
	r.setGateways(plan)
	waiting := r.setServices(plan)
	r.setReplicas(plan, now)
	r.setRegions(plan, now)
	for _, waiter := range waiting {
		r.judgeAgain(now, waiter)
	}
	for _, service := range r.services {
		service.judgeQueue(now)
		service.dispatch(now)
	}
}

// Observe takes a report of a replica, polled or sent along with an answer, at
// the time it arrived. Reports that are older than one already seen are dropped.
func (r *Router) Observe(replica string, report api.ReplicaReport, at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	target := r.replicas[replica]
	if target == nil {
		return
	}
	target.observe(at, report)
	r.tick(at)
	target.service.dispatch(at)
}

// RecordPollFailure records that a replica did not answer a poll: its incarnation is
// unknown and nothing new goes to it until it reports.
func (r *Router) RecordPollFailure(replica string, at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	target := r.replicas[replica]
	if target == nil {
		return
	}
	target.unknown = true
	target.refresh(at)
	r.tick(at)
	target.service.judgeQueue(at)
}

// Suspect records that a replica's connection broke, or that it said to be of
// another incarnation than the given one: nothing new goes to it until it
// reports. It does nothing and returns false if another incarnation has reported
// meanwhile, since the suspicion is about its predecessor.
func (r *Router) Suspect(replica, incarnation string, at time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	target := r.replicas[replica]
	if target == nil || target.report.Incarnation != incarnation {
		return false
	}
	target.unknown = true
	target.refresh(at)
	target.service.judgeQueue(at)
	return true
}

// Watched names the replicas that this gateway polls, sorted: every replica of
// its own region, so that it need not trust another gateway's word.
func (r *Router) Watched() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	names := make([]string, 0, len(r.replicas))
	for name := range r.replicas {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// RecordAttempt counts a first attempt sent to a replica, which earns budget for
// retries.
func (r *Router) RecordAttempt() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.budget.RecordFirstAttempt(time.Now())
}

// AllowRetry reports whether a request may be attempted again, and spends the
// budget for it. A request that was retried once must not ask again.
func (r *Router) AllowRetry() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.budget.Allow(time.Now())
}

// setGateways finds the up gateways of the own region and those that may feed:
// the ones outside evacuated zones, or all if there is none.
func (r *Router) setGateways(plan *Plan) {
	r.gateways = r.gateways[:0]
	r.feeders = r.feeders[:0]
	for name, gateway := range plan.Gateways() {
		if !gateway.Up || gateway.Region != r.config.Region {
			continue
		}
		r.gateways = append(r.gateways, name)
		if !plan.IsEvacuated(gateway.Zone) {
			r.feeders = append(r.feeders, name)
		}
	}
	if len(r.feeders) == 0 {
		r.feeders = append(r.feeders, r.gateways...)
	}
	slices.Sort(r.gateways)
	slices.Sort(r.feeders)
}

// setServices keeps, adds and removes services. It returns the waiters of
// removed services and those whose model is routed elsewhere now.
func (r *Router) setServices(plan *Plan) []*waiter {
	var moved []*waiter
	for name, service := range r.services {
		if _, ok := plan.Service(name); ok {
			moved = append(moved, service.takeRerouted(plan)...)
			continue
		}
		for _, item := range service.queue.Drain() {
			moved = append(moved, item.Payload)
		}
		delete(r.services, name)
	}
	limits := plan.Limits()
	for name, settings := range plan.Services() {
		if r.services[name] == nil {
			r.services[name] = newService(r, name, limits)
		}
		r.services[name].set(settings, limits)
	}
	return moved
}

// setReplicas keeps, adds and removes the replicas of the own region.
func (r *Router) setReplicas(plan *Plan, now time.Time) {
	listed := plan.Replicas()
	for name, target := range r.replicas {
		entry, ok := listed[name]
		if !ok || entry != target.listed || r.services[entry.Service] != target.service {
			target.service.remove(target)
			delete(r.replicas, name)
		}
	}
	for _, name := range r.ownReplicas(listed) {
		entry := listed[name]
		service := r.services[entry.Service]
		if r.replicas[name] == nil {
			r.replicas[name] = service.add(name, entry, now)
		}
		r.replicas[name].plan(now, plan)
	}
	for _, service := range r.services {
		service.regroup()
	}
}

// ownReplicas names the listed replicas of the own region that belong to a
// known service, sorted, so that equal plans are taken in alike.
func (r *Router) ownReplicas(listed map[string]catalog.Replica) []string {
	var names []string
	for name, entry := range listed {
		if entry.Region == r.config.Region && r.services[entry.Service] != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// tick updates what moves with time alone.
func (r *Router) tick(now time.Time) {
	if now.Sub(r.lastTick) < tickInterval || r.plan == nil {
		return
	}
	r.lastTick = now
	for _, service := range r.services {
		service.tick(now)
	}
}
