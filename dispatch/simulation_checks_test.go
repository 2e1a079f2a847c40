package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/routemap"
)

const (
	// timeoutSlack is how long after its deadline a request may still end.
	timeoutSlack = 50 * time.Millisecond
	// The arrivals at replicas after the first of each client attempt are limited in each
	// budgetWindow to budgetShare of the client attempts plus budgetSlack.
	budgetWindow = 10 * time.Second
	budgetShare  = 0.2
	budgetSlack  = 62
	// The arrivals at a replica that is warming up are limited in each slowStartWindow to
	// slowStartFactor times its slowStartRate plus slowStartSlack.
	slowStartWindow = time.Second
	slowStartFactor = 1.5
	slowStartSlack  = 5
	slowStartRate   = 10
	// recoveredShare is the share of the requests that must be served after the recovery.
	recoveredShare = 0.95
)

// clientAttempt is one attempt of a client to send a request to a gateway.
type clientAttempt struct {
	request    *Request
	began      time.Duration // since the start of the run
	took       time.Duration
	wait       time.Duration
	requestErr *RequestError
	text       string
	ran        []string // ids of the replicas that ran it
	arrived    int      // number of arrivals at replicas
}

// retryAfter returns the time after which the client may retry, 0 if it may not.
func (a *clientAttempt) retryAfter() time.Duration {
	if a.requestErr == nil {
		return 0
	}
	return a.requestErr.RetryAfter
}

// warmupPeriod is the start of the time in which a replica is warming up.
type warmupPeriod struct {
	replica string
	from    time.Time
}

// evacuation is the start of the time in which no request may arrive in a zone.
type evacuation struct {
	zone string
	from time.Time
}

// simulatedRecord records the events of one run of the simulation, and checks them.
type simulatedRecord struct {
	mutex        sync.Mutex
	attempts     map[string]*clientAttempt
	arrivals     map[string][]time.Time // by replica
	extra        []time.Time            // arrivals after the first of a client attempt
	firsts       []time.Time            // starts of client attempts
	warmups      []warmupPeriod
	evacuations  []evacuation
	recoveryTime time.Duration // since the start of the run; 0 if there is no recovery
	violations   []string
}

func newSimulatedRecord() *simulatedRecord {
	return &simulatedRecord{attempts: make(map[string]*clientAttempt), arrivals: make(map[string][]time.Time)}
}

func (r *simulatedRecord) begin(name string, request *Request, start time.Time) *clientAttempt {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	attempt := &clientAttempt{request: request, began: time.Since(start)}
	r.attempts[name] = attempt
	r.firsts = append(r.firsts, time.Now())
	return attempt
}

func (r *simulatedRecord) end(attempt *clientAttempt, requestErr *RequestError, text string, wait time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	attempt.requestErr = requestErr
	attempt.text = text
	attempt.wait = wait
}

func (r *simulatedRecord) took(attempt *clientAttempt, took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	attempt.took = took
}

// arrived records the arrival of an attempt at a replica.
func (r *simulatedRecord) arrived(name string, replica *simulatedReplica, from *simulatedGateway) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	r.arrivals[replica.id] = append(r.arrivals[replica.id], now)
	attempt := r.attempts[name]
	attempt.arrived++
	if attempt.arrived > 1 {
		r.extra = append(r.extra, now)
	}
	for _, zone := range r.evacuations {
		if zone.zone == replica.zone && now.After(zone.from) && !from.partitioned.Load() {
			r.violations = append(r.violations, fmt.Sprintf("EVACUATION: %s arrived at %s %v after the evacuation took effect", name, replica.id, now.Sub(zone.from)))
		}
	}
}

// ran records that a replica started to run a request.
func (r *simulatedRecord) ran(name string, replica *simulatedReplica) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	attempt := r.attempts[name]
	attempt.ran = append(attempt.ran, replica.id)
	route := trueRoute(attempt.request.Path)
	if region := simulatedZones[replica.zone]; len(route.HomeRegions) > 0 && !slices.Contains(route.HomeRegions, region) {
		r.violations = append(r.violations, fmt.Sprintf("HOME: %s ran in region %s, which is not a home region of its route", name, region))
	}
}

func (r *simulatedRecord) warmingUp(replica *simulatedReplica) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.warmups = append(r.warmups, warmupPeriod{replica: replica.id, from: time.Now().Add(updateDelay)})
}

func (r *simulatedRecord) evacuated(zone string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// Attempts that were placed before the change was active are still in flight.
	r.evacuations = append(r.evacuations, evacuation{zone: zone, from: time.Now().Add(updateDelay + confirmationDelay + crossZoneDelay + localDelay)})
}

func (r *simulatedRecord) evacuationEnded(zone string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.evacuations = slices.DeleteFunc(r.evacuations, func(e evacuation) bool { return e.zone == zone })
}

func (r *simulatedRecord) recoveredAt(at time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.recoveryTime = at
}

// check returns the violations of the run.
func (r *simulatedRecord) check() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	runs := make(map[string]int)
	for name, attempt := range r.attempts {
		runs[attempt.request.ID] += len(attempt.ran)
		r.checkAttempt(name, attempt)
	}
	for name, attempt := range r.attempts {
		route := trueRoute(attempt.request.Path)
		if !route.Retryable() && runs[attempt.request.ID] > 1 {
			r.violations = append(r.violations, fmt.Sprintf("AT-MOST-ONCE: the request of %s ran %d times", name, runs[attempt.request.ID]))
		}
	}
	r.checkBudget()
	r.checkSlowStart()
	r.checkRecovery()
	slices.Sort(r.violations)
	return r.violations
}

func (r *simulatedRecord) checkAttempt(name string, attempt *clientAttempt) {
	route := trueRoute(attempt.request.Path)
	report := func(rule, format string, values ...any) {
		r.violations = append(r.violations, fmt.Sprintf("%s: %s %s", rule, name, fmt.Sprintf(format, values...)))
	}
	if len(attempt.ran) > route.MaxAttempts {
		report("ATTEMPTS", "ran at more replicas than its route permits: %v", attempt.ran)
	}
	if attempt.took > min(route.Timeout, attempt.wait)+timeoutSlack {
		report("TIME", "took %v, longer than the timeout of its route or the client's wait of %v permits", attempt.took, attempt.wait)
	}
	if requestErr := attempt.requestErr; requestErr != nil && requestErr.RetryAfter > 0 && len(attempt.ran) > 0 {
		report("REFUSED", "was rejected as not run, but ran at %v", attempt.ran)
	}
	if attempt.requestErr == nil && attempt.text != wholeText(route, attempt.request.ID) {
		report("RESPONSE", "has the wrong body %q", attempt.text)
	}
	if attempt.requestErr != nil && !strings.HasPrefix(wholeText(route, attempt.request.ID), attempt.text) {
		report("RESPONSE", "was interrupted after the wrong text %q", attempt.text)
	}
}

// wholeText returns the correct and complete response body for a request.
func wholeText(route *routemap.Route, request string) string {
	if route.Kind != routemap.Stream {
		return pageText(request)
	}
	var text strings.Builder
	for number := 1; number <= simulatedEvents; number++ {
		text.WriteString(eventText(request, number))
	}
	return text.String()
}

func (r *simulatedRecord) checkBudget() {
	for _, at := range r.extra {
		extra := countBetween(r.extra, at, at.Add(budgetWindow))
		firsts := countBetween(r.firsts, at, at.Add(budgetWindow))
		if float64(extra) > budgetShare*float64(firsts)+budgetSlack {
			r.violations = append(r.violations, fmt.Sprintf("RETRY-BUDGET: %d arrivals after the first in a window with %d client attempts", extra, firsts))
			return
		}
	}
}

func (r *simulatedRecord) checkSlowStart() {
	const warmup = 3 * time.Second
	for _, period := range r.warmups {
		for _, at := range r.arrivals[period.replica] {
			if at.Before(period.from) || at.Add(slowStartWindow).After(period.from.Add(warmup)) {
				continue
			}
			count := countBetween(r.arrivals[period.replica], at, at.Add(slowStartWindow))
			if float64(count) > slowStartFactor*slowStartRate+slowStartSlack {
				r.violations = append(r.violations, fmt.Sprintf("COLD: %s received %d requests in one second while it was warming up", period.replica, count))
				break
			}
		}
	}
}

// checkRecovery checks that nearly all requests are served after the recovery.
func (r *simulatedRecord) checkRecovery() {
	if r.recoveryTime == 0 {
		return
	}
	attempted, served := 0, 0
	for _, attempt := range r.attempts {
		if attempt.began < r.recoveryTime {
			continue
		}
		attempted++
		if attempt.requestErr == nil {
			served++
		}
	}
	if attempted == 0 || float64(served) < recoveredShare*float64(attempted) {
		r.violations = append(r.violations, fmt.Sprintf("RECOVERY: %d of %d requests were served after the recovery", served, attempted))
	}
}

// countBetween counts the times in the half-open interval from one time to another.
func countBetween(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}
