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
	// defaultConcurrency bounds a replica when neither the service nor the
	// replica says anything.
	defaultConcurrency = 8
	// slowStartFraction of its bound is a returning warm replica's first step.
	slowStartFraction = 0.25
	// slowStartClosure is the time without work after which a replica is ramped again.
	slowStartClosure = 3 * time.Second
	// warmupHandoverDelay is how long a new feeder of the same cold replica waits, so
	// that what the feeder before it had under way is seen in a report.
	warmupHandoverDelay = time.Second
	// longWarmupDelay is how long a cold replica at its first step waits for
	// something shorter before it is given a long request.
	longWarmupDelay = 2 * time.Second
	// minCapacityWait is the least time, in seconds, that a replica without room is
	// expected to stay so.
	minCapacityWait = 0.001
	// serviceTimeSmoothing is the weight of one request in the time a slot is held.
	serviceTimeSmoothing = 0.1
	// cacheAccuracySmoothing is the weight of one answer in the trust in expected caches.
	cacheAccuracySmoothing = 0.1
	// swingSeconds is half of the period of planted.SwingingLimit.
	swingSeconds = 4
)

// replica is what the gateway knows of one replica of its region.
type replica struct {
	name    string
	hash    uint64
	number  int // in its service
	entry  catalog.Replica
	service *service
	isWatcher bool // this gateway is its watcher
	removed    bool // no longer listed

	admittedByPlan     bool // by list, drain record and zone
	condition   catalog.Condition
	conditioned bool

	report   api.ReplicaReport
	reported bool
	stateUnknown  bool // the last poll failed
	previousIncarnation   string
	created  time.Time
	detector    *failuredetector.Detector
	conditionHysteresis     failuredetector.Hysteresis[catalog.ConditionState]
	lastProposal  proposal

	open        bool // everything but time admits new work
	suspectedAt time.Time
	closedUntil time.Time // ejection or change of feeder
	closedAt    time.Time

	inFlight     int
	inFlightLong int
	waiters       int     // waiting requests that wait for this replica
	consecutiveRejections     int     // in a row
	inFlightElsewhere       int     // requests of other gateways, by the last report
	sentTokens   float64 // prefill sent since the last report
	epoch        uint64  // counts reports
	serviceTime         float64 // seconds a request holds a slot, smoothed
	cacheAccuracy        float64 // found over expected cached tokens, smoothed
	limit        *admission.Limit
	slowStart    *slowstart.Limiter
	slowStartIncarnation    string // incarnation the ramp belongs to
	lastWarmup        time.Time
}

func newReplica(service *service, name string, number int, listed catalog.Replica, now time.Time) *replica {
	target := &replica{
		name:    name,
		hash:    placement.Hash(name),
		number:  number,
		entry:  listed,
		service: service,
		created: now,
		detector:   failuredetector.New(service.router.detectorConfig, now),
		cacheAccuracy:   1,
	}
	target.limit = admission.NewLimit(target.maxConcurrency(), service.firstTokenTarget)
	return target
}

// applyPlan takes over what the active applyPlan says of the replica.
func (t *replica) applyPlan(now time.Time, plan *Plan) {
	router := t.service.router
	t.isWatcher = placement.Owner(t.name, router.gateways) == router.config.Gateway
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
	gateways := max(1, len(t.service.router.gateways))
	part := (int(count) + gateways - 1) / gateways
	t.service.index.Evicted(t.number, part)
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

// conditionAllows judges the condition record against the report. A cold replica is
// open to the one feeder that the plan names for this incarnation, and to
// nobody while the plan does not name one.
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

// warmingUp reports whether the replica counts as warmingUp: until both its own report
// and the plan say otherwise.
func (t *replica) warmingUp() bool {
	return !planted.Active(planted.RampPerGateway) && (t.report.Cold || t.conditioned && t.condition.State == catalog.ConditionWarmingUp)
}

// updateSlowStart begins a ramp for a new incarnation, after a long closure, and when
// a replica has become cold or warm.
func (t *replica) updateSlowStart(now time.Time, was bool) {
	fresh := t.slowStartIncarnation != t.report.Incarnation
	long := !was && now.Sub(t.closedAt) >= slowStartClosure
	bound := t.maxConcurrency()
	additive := t.slowStart != nil && t.slowStart.Growth() == slowstart.Additive
	if fresh || long || (t.warmingUp() && !additive) {
		t.slowStartIncarnation = t.report.Incarnation
		t.slowStart = t.newSlowStart(bound)
		t.lastWarmup = now
		return
	}
	if additive && !t.warmingUp() {
		t.slowStart = slowstart.New(slowstart.Doubling, t.slowStart.Limit(), bound)
	}
}

func (t *replica) newSlowStart(bound int) *slowstart.Limiter {
	if t.warmingUp() {
		return slowstart.New(slowstart.Additive, t.service.warmupConcurrency, bound)
	}
	return slowstart.New(slowstart.Doubling, int(slowStartFraction*float64(bound)), bound)
}

// maxConcurrency is the fixed upper limit of requests in flight.
func (t *replica) maxConcurrency() int {
	bound := t.service.settings.MaxConcurrency
	if bound <= 0 {
		bound = defaultConcurrency
	}
	if t.report.Slots > 0 {
		bound = min(bound, t.report.Slots)
	}
	return bound
}

// usable reports whether the replica may get anything new at all.
func (t *replica) usable(now time.Time) bool {
	return t.open && now.Before(t.suspectedAt) && !now.Before(t.closedUntil)
}

// concurrencyLimit is the limit on the replica's requests from all gateways.
func (t *replica) concurrencyLimit() int {
	if planted.Active(planted.SwingingLimit) && time.Now().Unix()/swingSeconds%2 == 0 {
		return 0
	}
	ceiling := min(t.limit.Value(), t.maxConcurrency())
	if t.slowStart != nil {
		ceiling = min(ceiling, t.slowStart.Limit())
	}
	return ceiling
}

// hasCapacity reports whether one more request of a class fits. A gateway may always
// use its even part of the ceiling, and the rest as far as the last report
// showed it free. Long requests have the same within their part of the ceiling,
// and the others' requests all count as long. A cold replica has no such part:
// its ceiling binds all.
func (t *replica) hasCapacity(now time.Time, class api.Class) bool {
	ceiling := t.concurrencyLimit()
	if planted.Active(planted.RampPerGateway) {
		return t.inFlight < ceiling
	}
	if t.warmingUp() {
		return t.totalInFlight() < ceiling && (class != api.ClassLong || t.warmupAdmitsLong(now, ceiling))
	}
	gateways := max(1, len(t.service.router.gateways))
	part := (ceiling + gateways - 1) / gateways
	if t.inFlight >= max(part, ceiling-t.inFlightElsewhere) {
		return false
	}
	if class != api.ClassLong {
		return true
	}
	long := admission.ClassLimit(ceiling, class)
	return t.inFlightLong < max(1, long/gateways) || t.totalInFlight() < long
}

// warmupAdmitsLong keeps the first step of a cold replica for short requests,
// whose successes raise the ramp soonest, unless none has come for a while.
func (t *replica) warmupAdmitsLong(now time.Time, ceiling int) bool {
	if ceiling < 2 {
		return now.Sub(t.lastWarmup) >= longWarmupDelay
	}
	return t.inFlightLong < admission.ClassLimit(ceiling, api.ClassLong)
}

// expectedCapacityWait is the expected time until the replica has room for a waiter, in
// seconds, behind the others that wait for it.
func (t *replica) expectedCapacityWait(w *waiter) float64 {
	ahead := t.waiters
	if w.awaited == t {
		ahead--
	}
	hold := t.serviceTime
	if hold <= 0 {
		hold = t.service.serviceTime
	}
	return max(minCapacityWait, float64(ahead+1)*hold/float64(t.concurrencyLimit()))
}

// totalInFlight counts the requests on the replica, as far as known.
func (t *replica) totalInFlight() int {
	return t.inFlight + t.inFlightElsewhere
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
