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
	// defaultConcurrency bounds the requests on a replica if neither the service nor
	// the replica gives a limit.
	defaultConcurrency = 8
	// slowStartFraction of its concurrency is the first step of a replica that returns
	// without having to warm up.
	slowStartFraction = 0.25
	// slowStartClosure is how long a replica must be closed to get a slow start again.
	slowStartClosure = 3 * time.Second
	// warmupHandoverDelay is how long a new warm-up gateway of a replica waits, so that
	// the requests of the previous one are in a report.
	warmupHandoverDelay = time.Second
	// longWarmupDelay is how long a replica at the first step of its warm-up waits for a
	// shorter request before it gets a long one.
	longWarmupDelay = 2 * time.Second
	// minCapacityWait is the least expected time, in seconds, until a full replica has
	// capacity.
	minCapacityWait = 0.001
	// serviceTimeSmoothing is the weight of one request in the service time.
	serviceTimeSmoothing = 0.1
	// cacheAccuracySmoothing is the weight of one answer in the cache accuracy.
	cacheAccuracySmoothing = 0.1
	// swingSeconds is half of the period, in seconds, of planted.SwingingLimit.
	swingSeconds = 4
)

// replica is the state of one replica of the local region. Its parts are narrow
// types by concern; the router's mutex guards all of them.
type replica struct {
	name    string
	hash    uint64
	number  int // in its service
	entry   catalog.Replica
	service *service
	created time.Time
	removed bool // no longer listed

	plannedState
	reportedState
	availability
	replicaLoad
	slowStartState
	conditionHysteresis failuredetector.Hysteresis[catalog.ConditionState]
	lastProposal        proposal
}

// plannedState is what the active plan says of a replica.
type plannedState struct {
	admittedByPlan bool // neither drained nor in an evacuated zone
	condition      catalog.Condition
	conditioned    bool // the plan has a condition
	isWatcher      bool // this gateway proposes the replica's condition
}

// reportedState is what the replica says of itself.
type reportedState struct {
	report              api.ReplicaReport // the newest
	reported            bool              // there is a report
	stateUnknown        bool              // the last poll failed
	previousIncarnation string
	epoch               uint64  // number of reports
	inFlightElsewhere   int     // requests of other gateways, by the last report
	sentTokens          float64 // prefill sent since the last report
	detector            *failuredetector.Detector
}

// availability says when the replica gets new requests.
type availability struct {
	open        bool // all but the following times admit new requests
	suspectedAt time.Time
	closedUntil time.Time // end of an ejection or of a warm-up handover
	closedAt    time.Time
}

// replicaLoad is this gateway's load on the replica, with its limit and what was
// learned from its requests.
type replicaLoad struct {
	inFlight              int
	inFlightLong          int
	waiters               int // queued requests that wait for this replica
	consecutiveRejections int
	serviceTime           float64 // seconds that a request takes, smoothed
	cacheAccuracy         float64 // found over expected cached tokens, smoothed
	limit                 *admission.Limit
}

// slowStartState is the slow start of the replica.
type slowStartState struct {
	slowStart            *slowstart.Limiter // nil before the first
	slowStartIncarnation string             // the incarnation that it is of
	lastWarmup           time.Time          // last request during warm-up
}

func newReplica(service *service, name string, number int, listed catalog.Replica, now time.Time) *replica {
	target := &replica{
		name:    name,
		hash:    placement.Hash(name),
		number:  number,
		entry:   listed,
		service: service,
		created: now,
	}
	target.detector = failuredetector.New(service.router.detectorConfig, now)
	target.cacheAccuracy = 1
	target.limit = admission.NewLimit(target.maxConcurrency(), service.firstTokenTarget)
	return target
}

// applyPlan applies what a new plan says of the replica.
func (t *replica) applyPlan(now time.Time, plan *Plan) {
	router := t.service.router
	t.isWatcher = placement.Owner(t.name, router.gateways.up) == router.config.Gateway
	t.admittedByPlan = !plan.IsDraining(t.name) && !plan.IsEvacuated(t.entry.Zone)
	before, had := t.condition, t.conditioned
	t.condition, t.conditioned = plan.Condition(t.name)
	self := router.config.Gateway
	tookOver := had && t.conditioned && t.condition.WarmupGateway == self &&
		before.WarmupGateway != self && before.WarmupGateway != "" && before.Incarnation == t.condition.Incarnation
	if tookOver {
		t.closedUntil = latest(t.closedUntil, now.Add(warmupHandoverDelay))
	}
	t.limit.SetSetPoint(t.service.firstTokenTarget)
	t.limit.SetMaximum(t.maxConcurrency())
	t.refresh(now)
}

// observe takes a report unless it is older than what is known.
func (t *replica) observe(at time.Time, report api.ReplicaReport) {
	if report.Replica != t.name || report.Incarnation == "" || report.Incarnation == t.previousIncarnation {
		return
	}
	report.Draining = report.Draining && !planted.Active(planted.IgnoreDrainReport)
	same := t.reported && report.Incarnation == t.report.Incarnation
	if same && report.Sequence < t.report.Sequence {
		return
	}
	switch {
	case !same:
		t.reset(at)
	case report.Cold && !t.report.Cold:
		t.service.index.Forget(t.number)
	default:
		t.recordEvictions(report.CacheEvictions - t.report.CacheEvictions)
	}
	t.report = report
	t.reported, t.stateUnknown = true, false
	t.detector.Heartbeat(at)
	t.suspectedAt = t.detector.SuspectedAt()
	t.inFlightElsewhere = max(0, report.Running+report.Queued-t.inFlight)
	t.sentTokens = 0
	t.epoch++
	t.limit.SetMaximum(t.maxConcurrency())
	t.refresh(at)
}

// reset forgets what was learnt of the incarnation before.
func (t *replica) reset(at time.Time) {
	if t.reported {
		t.previousIncarnation = t.report.Incarnation
	}
	t.service.index.Forget(t.number)
	t.service.group.Forget(t.name)
	t.closedUntil = time.Time{}
	t.conditionHysteresis.Reset()
	t.detector = failuredetector.New(t.service.router.detectorConfig, at)
	t.limit = admission.NewLimit(t.maxConcurrency(), t.service.firstTokenTarget)
	t.serviceTime, t.cacheAccuracy, t.consecutiveRejections = 0, 1, 0
}

// recordEvictions drops this gateway's part of what the replica evicted.
func (t *replica) recordEvictions(count uint64) {
	if count == 0 || count > placement.IndexEntries {
		return
	}
	gateways := t.service.router.gateways.count()
	share := (int(count) + gateways - 1) / gateways
	t.service.index.Evicted(t.number, share)
}

// refresh recomputes whether everything but time admits new work.
func (t *replica) refresh(now time.Time) {
	was := t.open
	current := t.report.ConfigurationVersion <= t.service.router.version || planted.Active(planted.KeepOldConfiguration)
	t.open = t.admittedByPlan && t.reported && !t.stateUnknown && !t.report.Draining && current && t.conditionAllows()
	if was && !t.open {
		t.closedAt = now
	}
	if !t.open {
		return
	}
	t.updateSlowStart(now, was)
}

// conditionAllows reports whether the condition record and the report together admit
// new requests. A replica that is warming up is open only to the gateway that the
// plan names for this incarnation.
func (t *replica) conditionAllows() bool {
	if !t.conditioned {
		return !t.report.Cold
	}
	switch t.condition.State {
	case catalog.ConditionUp:
		return !t.report.Cold
	case catalog.ConditionWarmingUp:
		feeds := t.condition.WarmupGateway == t.service.router.config.Gateway || planted.Active(planted.RampPerGateway)
		return feeds && t.condition.Incarnation == t.report.Incarnation
	default:
		return false
	}
}

func (t *replica) candidate(position int, cached float64) placement.Candidate {
	slots := t.report.Slots
	if slots <= 0 {
		slots = t.maxConcurrency()
	}
	return placement.Candidate{
		Number:         position,
		Hash:           t.hash,
		PendingTokens:  float64(t.report.PendingPrefillTokens) + t.sentTokens,
		PrefillRate:    t.report.PrefillTokensPerSecond,
		ActiveRequests: float64(t.totalInFlight()),
		Slots:          float64(slots),
		ServiceTime:    t.serviceTime,
		CachedTokens:   cached * t.cacheAccuracy,
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
