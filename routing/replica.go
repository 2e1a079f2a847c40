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
	// returnPart of its bound is a returning warm replica's first step.
	returnPart = 0.25
	// longClosure is the time without work after which a replica is ramped again.
	longClosure = 3 * time.Second
	// feederChange is how long a new feeder of the same cold replica waits, so
	// that what the feeder before it had under way is seen in a report.
	feederChange = time.Second
	// longFeedDelay is how long a cold replica at its first step waits for
	// something shorter before it is given a long request.
	longFeedDelay = 2 * time.Second
	// leastWait is the least time, in seconds, that a replica without room is
	// expected to stay so.
	leastWait = 0.001
	// holdSmoothing is the weight of one request in the time a slot is held.
	holdSmoothing = 0.1
	// trustSmoothing is the weight of one answer in the trust in expected caches.
	trustSmoothing = 0.1
	// swingSeconds is half of the period of planted.SwingingLimit.
	swingSeconds = 4
)

// replica is what the gateway knows of one replica of its region.
type replica struct {
	name    string
	hash    uint64
	number  int // in its service
	listed  catalog.Replica
	service *service
	watched bool // this gateway is its watcher
	gone    bool // no longer listed

	allowed     bool // by list, drain record and zone
	condition   catalog.Condition
	conditioned bool

	report   api.ReplicaReport
	reported bool
	unknown  bool // the last poll failed
	former   string
	created  time.Time
	watch    *failuredetector.Detector
	fact     failuredetector.Hysteresis[catalog.ConditionState]
	emitted  emission

	open        bool // everything but time admits new work
	suspectedAt time.Time
	closedUntil time.Time // ejection or change of feeder
	closedAt    time.Time

	inFlight     int
	inFlightLong int
	wanted       int     // waiting requests that wait for this replica
	refusals     int     // in a row
	others       int     // requests of other gateways, by the last report
	sentTokens   float64 // prefill sent since the last report
	epoch        uint64  // counts reports
	hold         float64 // seconds a request holds a slot, smoothed
	trust        float64 // found over expected cached tokens, smoothed
	limit        *admission.Limit
	slowStart    *slowstart.Limiter
	rampedFor    string // incarnation the ramp belongs to
	fedAt        time.Time
}

func newReplica(service *service, name string, number int, listed catalog.Replica, now time.Time) *replica {
	target := &replica{
		name:    name,
		hash:    placement.Hash(name),
		number:  number,
		listed:  listed,
		service: service,
		created: now,
		watch:   failuredetector.New(service.router.watching, now),
		trust:   1,
	}
	target.limit = admission.NewLimit(target.bound(), service.firstToken)
	return target
}

// plan takes over what the active plan says of the replica.
func (t *replica) plan(now time.Time, plan *Plan) {
	router := t.service.router
	t.watched = placement.Owner(t.name, router.gateways) == router.config.Gateway
	t.allowed = !plan.IsDraining(t.name) && !plan.IsEvacuated(t.listed.Zone)
	before, had := t.condition, t.conditioned
	t.condition, t.conditioned = plan.Condition(t.name)
	self := router.config.Gateway
	tookOver := had && t.conditioned && t.condition.WarmupGateway == self &&
		before.WarmupGateway != self && before.WarmupGateway != "" && before.Incarnation == t.condition.Incarnation
	if tookOver {
		t.closedUntil = later(t.closedUntil, now.Add(feederChange))
	}
	t.limit.SetSetPoint(t.service.firstToken)
	t.limit.SetMaximum(t.bound())
	t.refresh(now)
}

// observe takes a report unless it is older than what is known.
func (t *replica) observe(at time.Time, report api.ReplicaReport) {
	if report.Replica != t.name || report.Incarnation == "" || report.Incarnation == t.former {
		return
	}
	report.Draining = report.Draining && !planted.Active(planted.IgnoreDrainReport)
	same := t.reported && report.Incarnation == t.report.Incarnation
	if same && report.Sequence < t.report.Sequence {
		return
	}
	switch {
	case !same:
		t.restarted(at)
	case report.Cold && !t.report.Cold:
		t.service.index.Forget(t.number)
	default:
		t.evictions(report.CacheEvictions - t.report.CacheEvictions)
	}
	t.report = report
	t.reported, t.unknown = true, false
	t.watch.Heartbeat(at)
	t.suspectedAt = t.watch.SuspectedAt()
	t.others = max(0, report.Running+report.Queued-t.inFlight)
	t.sentTokens = 0
	t.epoch++
	t.limit.SetMaximum(t.bound())
	t.refresh(at)
}

// restarted forgets what was learnt of the incarnation before.
func (t *replica) restarted(at time.Time) {
	if t.reported {
		t.former = t.report.Incarnation
	}
	t.service.index.Forget(t.number)
	t.service.group.Forget(t.name)
	t.closedUntil = time.Time{}
	t.fact.Reset()
	t.watch = failuredetector.New(t.service.router.watching, at)
	t.limit = admission.NewLimit(t.bound(), t.service.firstToken)
	t.hold, t.trust, t.refusals = 0, 1, 0
}

// evictions drops this gateway's part of what the replica evicted.
func (t *replica) evictions(count uint64) {
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
	t.open = t.allowed && t.reported && !t.unknown && !t.report.Draining && current && t.conditionAllows()
	if was && !t.open {
		t.closedAt = now
	}
	if !t.open {
		return
	}
	t.startRamp(now, was)
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

// cold reports whether the replica counts as cold: until both its own report
// and the plan say otherwise.
func (t *replica) cold() bool {
	return !planted.Active(planted.RampPerGateway) && (t.report.Cold || t.conditioned && t.condition.State == catalog.ConditionWarmingUp)
}

// startRamp begins a ramp for a new incarnation, after a long closure, and when
// a replica has become cold or warm.
func (t *replica) startRamp(now time.Time, was bool) {
	fresh := t.rampedFor != t.report.Incarnation
	long := !was && now.Sub(t.closedAt) >= longClosure
	bound := t.bound()
	additive := t.slowStart != nil && t.slowStart.Growth() == slowstart.Additive
	if fresh || long || (t.cold() && !additive) {
		t.rampedFor = t.report.Incarnation
		t.slowStart = t.newRamp(bound)
		t.fedAt = now
		return
	}
	if additive && !t.cold() {
		t.slowStart = slowstart.New(slowstart.Doubling, t.slowStart.Limit(), bound)
	}
}

func (t *replica) newRamp(bound int) *slowstart.Limiter {
	if t.cold() {
		return slowstart.New(slowstart.Additive, t.service.coldConcurrency, bound)
	}
	return slowstart.New(slowstart.Doubling, int(returnPart*float64(bound)), bound)
}

// bound is the fixed upper limit of requests in flight.
func (t *replica) bound() int {
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

// ceiling is the limit on the replica's requests from all gateways.
func (t *replica) ceiling() int {
	if planted.Active(planted.SwingingLimit) && time.Now().Unix()/swingSeconds%2 == 0 {
		return 0
	}
	ceiling := min(t.limit.Value(), t.bound())
	if t.slowStart != nil {
		ceiling = min(ceiling, t.slowStart.Limit())
	}
	return ceiling
}

// room reports whether one more request of a class fits. A gateway may always
// use its even part of the ceiling, and the rest as far as the last report
// showed it free. Long requests have the same within their part of the ceiling,
// and the others' requests all count as long. A cold replica has no such part:
// its ceiling binds all.
func (t *replica) room(now time.Time, class api.Class) bool {
	ceiling := t.ceiling()
	if planted.Active(planted.RampPerGateway) {
		return t.inFlight < ceiling
	}
	if t.cold() {
		return t.busy() < ceiling && (class != api.ClassLong || t.coldRoomForLong(now, ceiling))
	}
	gateways := max(1, len(t.service.router.gateways))
	part := (ceiling + gateways - 1) / gateways
	if t.inFlight >= max(part, ceiling-t.others) {
		return false
	}
	if class != api.ClassLong {
		return true
	}
	long := admission.ClassLimit(ceiling, class)
	return t.inFlightLong < max(1, long/gateways) || t.busy() < long
}

// coldRoomForLong keeps the first step of a cold replica for short requests,
// whose successes raise the ramp soonest, unless none has come for a while.
func (t *replica) coldRoomForLong(now time.Time, ceiling int) bool {
	if ceiling < 2 {
		return now.Sub(t.fedAt) >= longFeedDelay
	}
	return t.inFlightLong < admission.ClassLimit(ceiling, api.ClassLong)
}

// waitForRoom is the expected time until the replica has room for a waiter, in
// seconds, behind the others that wait for it.
func (t *replica) waitForRoom(w *waiter) float64 {
	ahead := t.wanted
	if w.wants == t {
		ahead--
	}
	hold := t.hold
	if hold <= 0 {
		hold = t.service.hold
	}
	return max(leastWait, float64(ahead+1)*hold/float64(t.ceiling()))
}

// busy counts the requests on the replica, as far as known.
func (t *replica) busy() int {
	return t.inFlight + t.others
}

func (t *replica) candidate(position int, cached float64) placement.Candidate {
	slots := t.report.Slots
	if slots <= 0 {
		slots = t.bound()
	}
	return placement.Candidate{
		Number:         position,
		Hash:           t.hash,
		PendingTokens:  float64(t.report.PendingPrefillTokens) + t.sentTokens,
		PrefillRate:    t.report.PrefillTokensPerSecond,
		ActiveRequests: float64(t.busy()),
		Slots:          float64(slots),
		ServiceTime:    t.hold,
		CachedTokens:   cached * t.trust,
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
