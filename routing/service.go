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
	// unservableUtilization is the utilization of a service that has no usable replica.
	unservableUtilization = 100
	// warmupElsewhereUtilization is the reported utilization of a service that has no
	// usable replica but at least one that another gateway is warming up: the region can
	// serve requests but accepts no spill.
	warmupElsewhereUtilization = unservableUtilization / 2
	// secondsPerTokenSmoothing is the weight of one answer in the smoothed time per token.
	secondsPerTokenSmoothing = 0.05
)

// Gains of the spill controller; docs/design/routing.md gives the reasons.
const (
	spillProportional = 0.25
	spillIntegral     = 0.35 // per second
	spillSmoothing    = 500 * time.Millisecond
	spillMaximum      = 0.9
)

// service is the routing state of one service, divided into embedded structs by concern.
// The router's mutex guards all of it.
type service struct {
	router   *Router
	name     string
	settings catalog.Service

	replicas         []*replica
	replicasByNumber []*replica // indexed by number, nil if the number is unused
	outlierGroup     *outlier.Group
	prefixIndex      *placement.Index

	firstTokenTarget  time.Duration
	warmupConcurrency int

	queueState
	estimates
	spillState

	// Buffers that chooseReplica reuses to avoid allocations.
	cachedTokens []float64 // indexed by replica number
	candidates   []placement.Candidate
}

// queueState is the queue of a service and its timing.
type queueState struct {
	queue        *admission.Queue[*waiter]
	queueLength  int
	queuedSince  time.Time // since when the queue has not been empty; zero if it is empty
	lastDispatch time.Time
}

// estimates are measured from the requests of a service. All durations are in seconds and
// smoothed.
type estimates struct {
	completions     admission.Rate
	completed       int     // requests since the start
	serviceTime     float64 // of a request
	secondsPerToken float64 // duration without the prefill, divided by the requested tokens
	queueWait       float64 // of requests that were granted a reservation
	firstTokenDelay float64 // time to the first token without the request's own prefill
}

// spillState determines which fraction of a service's requests is sent to other regions.
type spillState struct {
	spillController   *feedback.Controller
	targetUtilization float64 // configured set point; a higher one is used while all regions together exceed it
	utilization       float64
	regions           map[string]*placement.Region
	gates             map[string]*placement.SpillGate
	unusableSince     time.Time // since when no replica has been usable; zero if one is
	recoveringSince   time.Time // when the local region last got a usable replica again
}

// newSpillState returns the spill state of a service, with its controller.
func newSpillState(targetUtilization float64) spillState {
	return spillState{
		regions: make(map[string]*placement.Region),
		gates:   make(map[string]*placement.SpillGate),
		spillController: feedback.New(feedback.Config{
			Name:         "utilization",
			SetPoint:     targetUtilization,
			Proportional: spillProportional,
			Integral:     spillIntegral,
			Reverse:      true,
			Maximum:      spillMaximum,
			Smoothing:    spillSmoothing,
		}),
	}
}

// newService returns a service without replicas. It must be configured before use.
func newService(router *Router, name string, limits catalog.Limits) *service {
	return &service{
		router:       router,
		name:         name,
		outlierGroup: outlier.NewGroup(outlier.DefaultConfig()),
		prefixIndex:  placement.NewIndex(0),
		queueState:   queueState{queue: admission.NewQueue[*waiter](limits.QueueLength)},
		spillState:   newSpillState(limits.TargetUtilization),
	}
}

// configure applies the settings and limits of a new plan.
func (s *service) configure(settings catalog.Service, limits catalog.Limits) {
	s.settings = settings
	s.firstTokenTarget = time.Duration(limits.FirstTokenMS) * time.Millisecond
	s.warmupConcurrency = limits.WarmupConcurrency
	s.queueLength = limits.QueueLength
	s.queue.SetLength(limits.QueueLength)
	s.targetUtilization = limits.TargetUtilization
}

// addReplica adds a replica with the lowest unused number.
func (s *service) addReplica(name string, entry catalog.Replica, now time.Time) *replica {
	number := 0
	for number < len(s.replicasByNumber) && s.replicasByNumber[number] != nil {
		number++
	}
	target := newReplica(s, name, number, entry, now)
	if number == len(s.replicasByNumber) {
		s.replicasByNumber = append(s.replicasByNumber, target)
		s.cachedTokens = append(s.cachedTokens, 0)
	}
	s.replicasByNumber[number] = target
	return target
}

// removeReplica removes a replica. Its reservations must still be finished.
func (s *service) removeReplica(target *replica) {
	s.prefixIndex.Forget(target.number)
	s.replicasByNumber[target.number] = nil
	target.open, target.admittedByPlan, target.removed = false, false, true
}

// updateMembers updates the list of replicas, the outlier group and the prefix index
// after replicas were added or removed.
func (s *service) updateMembers() {
	s.replicas = s.replicas[:0]
	names := make([]string, 0, len(s.replicasByNumber))
	for _, target := range s.replicasByNumber {
		if target != nil {
			s.replicas = append(s.replicas, target)
			names = append(names, target.name)
		}
	}
	s.outlierGroup.SetMembers(names)
	s.prefixIndex.SetCount(len(names))
}

// mayBecomeUsable reports whether any replica is usable or may become usable under the
// active plan.
func (s *service) mayBecomeUsable() bool {
	for _, target := range s.replicas {
		state := target.condition.State
		closed := target.hasCondition && (state == catalog.ConditionDown || state == catalog.ConditionDraining)
		if target.admittedByPlan && !closed {
			return true
		}
	}
	return false
}

// anyUsable reports whether any replica is usable.
func (s *service) anyUsable(now time.Time) bool {
	for _, target := range s.replicas {
		if target.usable(now) {
			return true
		}
	}
	return false
}

// unusableFor returns how long no replica has been usable, 0 if one is. It updates the
// times from which this and the recovery are measured.
func (s *service) unusableFor(now time.Time) time.Duration {
	if s.anyUsable(now) {
		if !s.unusableSince.IsZero() && now.Sub(s.unusableSince) >= unusableWait {
			s.recoveringSince = now
		}
		s.unusableSince = time.Time{}
		return 0
	}
	if s.unusableSince.IsZero() {
		s.unusableSince = now
	}
	return now.Sub(s.unusableSince)
}

// tick updates the controllers and the loads of the regions, and removes expired requests
// from the queue.
func (s *service) tick(now time.Time) {
	s.unusableFor(now)
	s.utilization = s.measureUtilization(now)
	s.refreshRegions(now)
	s.spillController.Update(now, s.utilization)
	s.limitStandingQueue(now)
	s.removeExpired(now)
}
