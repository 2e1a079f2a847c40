package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/admission"
	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/failuredetector"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/placement"
	"github.com/deckpulley/deckpulley/slowstart"
)

const (
	// defaultConcurrency is the limit of requests in flight at a replica whose service has
	// no limit configured.
	defaultConcurrency = 8
	// slowStartFraction is the initial limit of the slow start of a replica that need not
	// warm up, as a fraction of its maximum concurrency.
	slowStartFraction = 0.25
	// slowStartClosure is how long a replica must have been closed to new requests for a
	// slow start to begin when it reopens.
	slowStartClosure = 3 * time.Second
	// warmupHandoverDelay is how long a new warm-up gateway of a replica waits before it
	// sends requests, so that a report shows those of the previous warm-up gateway.
	warmupHandoverDelay = time.Second
	// longWarmupDelay is how long a replica in the first step of its slow start must have
	// been sent no request before it may get a long one.
	longWarmupDelay = 2 * time.Second
	// minCapacityWait is the lowest expected time, in seconds, until a replica has capacity.
	minCapacityWait = 0.001
	// serviceTimeSmoothing is the weight of one sample in the smoothed service time, and in
	// the smoothed waits, delays and report intervals.
	serviceTimeSmoothing = 0.1
	// cacheAccuracySmoothing is the weight of one answer in the smoothed cache accuracy.
	cacheAccuracySmoothing = 0.1
	// swingHalfPeriodSeconds is half of the period, in seconds, of planted.SwingingLimit.
	swingHalfPeriodSeconds = 4
)

// replica is the routing state of one replica of the local region, divided into embedded
// structs by concern. The router's mutex guards all of it.
type replica struct {
	name    string
	hash    uint64
	number  int // index of the replica in its service
	entry   catalog.Replica
	service *service
	created time.Time
	removed bool // no longer in the plan

	plannedState
	reportedState
	availability
	replicaLoad
	slowStartState
	conditionHysteresis failuredetector.Hysteresis[catalog.ConditionState]
	lastProposal        proposal
}

// plannedState is the state of a replica according to the active plan.
type plannedState struct {
	admittedByPlan    bool // neither drained nor in an evacuated zone
	condition         catalog.Condition
	hasCondition      bool // the plan has a condition for the replica
	proposesCondition bool // this gateway is the one that proposes the replica's condition
}

// reportedState is the state of a replica according to its own reports.
type reportedState struct {
	report              api.ReplicaReport // the newest
	reported            bool              // at least one report has arrived
	stateUnknown        bool              // a poll or a connection has failed since the last report
	previousIncarnation string
	reportCount         uint64  // reports received since the replica was added
	inFlightElsewhere   int     // requests of other gateways, according to the last report
	sentTokens          float64 // prompt tokens to prefill that were sent since the last report
	detector            *failuredetector.Detector
}

// availability determines when the replica may be sent new requests.
type availability struct {
	open        bool      // whether plan and reports allow new requests; the times below may not
	suspectedAt time.Time // when the failure detector suspects it unless it reports
	closedUntil time.Time // end of an ejection or of a warm-up handover
	closedAt    time.Time // when open last became false
}

// replicaLoad is the load of this gateway on the replica, the replica's concurrency limit
// and the estimates measured from its requests.
type replicaLoad struct {
	inFlight              int
	inFlightLong          int
	waiters               int // queued requests that wait for this replica
	consecutiveRejections int
	serviceTime           float64 // seconds that a request takes, smoothed
	cacheAccuracy         float64 // ratio of found to expected cached tokens, smoothed
	limit                 *admission.Limit
}

// slowStartState is the slow start of the replica.
type slowStartState struct {
	slowStart            *slowstart.Limiter // nil before the replica first opens
	slowStartIncarnation string             // incarnation for which slowStart began
	lastWarmup           time.Time          // last request, or the beginning of the slow start
}

// newReplica returns the state of a replica that was added to a service and has not
// reported yet.
func newReplica(service *service, name string, number int, entry catalog.Replica, now time.Time) *replica {
	target := &replica{
		name:    name,
		hash:    placement.Hash(name),
		number:  number,
		entry:   entry,
		service: service,
		created: now,
	}
	target.detector = failuredetector.New(service.router.detectorConfig, now)
	target.cacheAccuracy = 1
	target.limit = admission.NewLimit(target.maxConcurrency(), service.firstTokenTarget)
	return target
}

// applyPlan updates the replica from a new plan.
func (r *replica) applyPlan(now time.Time, plan *Plan) {
	router := r.service.router
	r.proposesCondition = placement.Owner(r.name, router.gateways.up) == router.config.Gateway
	r.admittedByPlan = !plan.IsDraining(r.name) && !plan.IsEvacuated(r.entry.Zone)
	previous, hadCondition := r.condition, r.hasCondition
	r.condition, r.hasCondition = plan.Condition(r.name)
	self := router.config.Gateway
	tookOver := hadCondition && r.hasCondition && r.condition.WarmupGateway == self &&
		previous.WarmupGateway != self && previous.WarmupGateway != "" && previous.Incarnation == r.condition.Incarnation
	if tookOver {
		r.closedUntil = latest(r.closedUntil, now.Add(warmupHandoverDelay))
	}
	r.limit.SetSetPoint(r.service.firstTokenTarget)
	r.limit.SetMaximum(r.maxConcurrency())
	r.refresh(now)
}

// observe records a report of the replica. It ignores a report that names another
// replica or no incarnation, that is older than the newest one, or that comes from the
// previous incarnation.
func (r *replica) observe(at time.Time, report api.ReplicaReport) {
	if report.Replica != r.name || report.Incarnation == "" || report.Incarnation == r.previousIncarnation {
		return
	}
	report.Draining = report.Draining && !planted.Active(planted.IgnoreDrainReport)
	same := r.reported && report.Incarnation == r.report.Incarnation
	if same && report.Sequence < r.report.Sequence {
		return
	}
	switch {
	case !same:
		r.reset(at)
	case report.Cold && !r.report.Cold:
		r.service.prefixIndex.Forget(r.number)
	default:
		r.recordEvictions(report.CacheEvictions - r.report.CacheEvictions)
	}
	r.report = report
	r.reported, r.stateUnknown = true, false
	r.detector.Heartbeat(at)
	r.suspectedAt = r.detector.SuspectedAt()
	r.inFlightElsewhere = max(0, report.Running+report.Queued-r.inFlight)
	r.sentTokens = 0
	r.reportCount++
	r.limit.SetMaximum(r.maxConcurrency())
	r.refresh(at)
}

// reset discards the state and the estimates that belong to the previous incarnation.
func (r *replica) reset(at time.Time) {
	if r.reported {
		r.previousIncarnation = r.report.Incarnation
	}
	r.service.prefixIndex.Forget(r.number)
	r.service.outlierGroup.Forget(r.name)
	r.closedUntil = time.Time{}
	r.conditionHysteresis.Reset()
	r.detector = failuredetector.New(r.service.router.detectorConfig, at)
	r.limit = admission.NewLimit(r.maxConcurrency(), r.service.firstTokenTarget)
	r.serviceTime, r.cacheAccuracy, r.consecutiveRejections = 0, 1, 0
}

// recordEvictions removes entries of the replica from the prefix index after the replica
// evicted some from its cache. It assumes that each gateway placed an equal part of them.
func (r *replica) recordEvictions(count uint64) {
	if count == 0 || count > placement.IndexEntries {
		return
	}
	gateways := r.service.router.gateways.count()
	share := (int(count) + gateways - 1) / gateways
	r.service.prefixIndex.Evicted(r.number, share)
}

// refresh recomputes whether plan and reports allow new requests to the replica, and its
// slow start if they do.
func (r *replica) refresh(now time.Time) {
	wasOpen := r.open
	current := r.report.ConfigurationVersion <= r.service.router.version || planted.Active(planted.KeepOldConfiguration)
	r.open = r.admittedByPlan && r.reported && !r.stateUnknown && !r.report.Draining && current && r.conditionAllows()
	if wasOpen && !r.open {
		r.closedAt = now
	}
	if !r.open {
		return
	}
	r.updateSlowStart(now, wasOpen)
}

// conditionAllows reports whether the condition in the plan and the newest report together
// allow new requests. A replica that is warming up is open only to the gateway that the
// plan names as the warm-up gateway of this incarnation.
func (r *replica) conditionAllows() bool {
	if !r.hasCondition {
		return !r.report.Cold
	}
	switch r.condition.State {
	case catalog.ConditionUp:
		return !r.report.Cold
	case catalog.ConditionWarmingUp:
		isWarmupGateway := r.condition.WarmupGateway == r.service.router.config.Gateway || planted.Active(planted.RampPerGateway)
		return isWarmupGateway && r.condition.Incarnation == r.report.Incarnation
	default:
		return false
	}
}

// candidate returns the replica as a candidate for placement. Position is its index among
// the replicas of the service, and cached the expected number of cached tokens.
func (r *replica) candidate(position int, cached float64) placement.Candidate {
	slots := r.report.Slots
	if slots <= 0 {
		slots = r.maxConcurrency()
	}
	return placement.Candidate{
		Number:         position,
		Hash:           r.hash,
		PendingTokens:  float64(r.report.PendingPrefillTokens) + r.sentTokens,
		PrefillRate:    r.report.PrefillTokensPerSecond,
		ActiveRequests: float64(r.totalInFlight()),
		Slots:          float64(slots),
		ServiceTime:    r.serviceTime,
		CachedTokens:   cached * r.cacheAccuracy,
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
