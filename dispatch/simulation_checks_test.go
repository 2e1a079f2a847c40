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
	// holdSlack is how long a request may be held past its time.
	holdSlack = 50 * time.Millisecond
	// budgetWindow, budgetShare and budgetSlack bound the arrivals beyond the first.
	budgetWindow = 10 * time.Second
	budgetShare  = 0.2
	budgetSlack  = 62
	// coldWindow, coldFactor and coldSlack bound what a cold replica gets.
	coldWindow = time.Second
	coldFactor = 1.5
	coldSlack  = 5
	coldRate   = 10
	// settledShare of the requests must be served once the trouble is over.
	settledShare = 0.95
)

// simulatedTry is one sending of a request to one gateway.
type simulatedTry struct {
	request *Request
	began   time.Duration // into the day
	took    time.Duration
	wait    time.Duration
	refusal *RequestError
	text    string
	ran     []string // replicas
	arrived int
}

func (t *simulatedTry) retryAfter() time.Duration {
	if t.refusal == nil {
		return 0
	}
	return t.refusal.RetryAfter
}

// coldSpan is the cold time of one replica.
type coldSpan struct {
	replica string
	from    time.Time
}

// evacuation is the time from which nothing may arrive in a zone.
type evacuation struct {
	zone string
	from time.Time
}

// simulatedRecord keeps what happened on a day.
type simulatedRecord struct {
	mutex       sync.Mutex
	tries       map[string]*simulatedTry
	arrivals    map[string][]time.Time // by replica
	extra       []time.Time            // arrivals beyond the first of a try
	firsts      []time.Time
	colds       []coldSpan
	evacuations []evacuation
	settled     time.Duration // when the trouble is over, 0 for never
	wrong       []string
}

func newSimulatedRecord() *simulatedRecord {
	return &simulatedRecord{tries: make(map[string]*simulatedTry), arrivals: make(map[string][]time.Time)}
}

func (r *simulatedRecord) begin(name string, request *Request, day time.Time) *simulatedTry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	try := &simulatedTry{request: request, began: time.Since(day)}
	r.tries[name] = try
	r.firsts = append(r.firsts, time.Now())
	return try
}

func (r *simulatedRecord) end(try *simulatedTry, refusal *RequestError, text string, wait time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	try.refusal = refusal
	try.text = text
	try.wait = wait
}

func (r *simulatedRecord) took(try *simulatedTry, took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	try.took = took
}

// arrived notes an attempt at a replica.
func (r *simulatedRecord) arrived(name string, replica *simulatedReplica, from *simulatedGateway) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	r.arrivals[replica.id] = append(r.arrivals[replica.id], now)
	try := r.tries[name]
	try.arrived++
	if try.arrived > 1 {
		r.extra = append(r.extra, now)
	}
	for _, zone := range r.evacuations {
		if zone.zone == replica.zone && now.After(zone.from) && !from.cutOff.Load() {
			r.wrong = append(r.wrong, fmt.Sprintf("EVACUATION: %s reaches %s %v after the acknowledgement", name, replica.id, now.Sub(zone.from)))
		}
	}
}

// ran notes that a replica runs a request.
func (r *simulatedRecord) ran(name string, replica *simulatedReplica) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	try := r.tries[name]
	try.ran = append(try.ran, replica.id)
	route := trueRoute(try.request.Path)
	if region := simulatedZones[replica.zone]; len(route.HomeRegions) > 0 && !slices.Contains(route.HomeRegions, region) {
		r.wrong = append(r.wrong, fmt.Sprintf("HOME: %s runs in %s", name, region))
	}
}

func (r *simulatedRecord) cold(replica *simulatedReplica) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.colds = append(r.colds, coldSpan{replica: replica.id, from: time.Now().Add(updateDelay)})
}

func (r *simulatedRecord) evacuated(zone string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// What was placed before the change was active is still on its way.
	r.evacuations = append(r.evacuations, evacuation{zone: zone, from: time.Now().Add(updateDelay + claimTime + farDelay + nearDelay)})
}

func (r *simulatedRecord) takenBack(zone string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.evacuations = slices.DeleteFunc(r.evacuations, func(e evacuation) bool { return e.zone == zone })
}

func (r *simulatedRecord) settledAt(at time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.settled = at
}

// check returns what was wrong on the day.
func (r *simulatedRecord) check() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	runs := make(map[string]int)
	for name, try := range r.tries {
		runs[try.request.ID] += len(try.ran)
		r.checkTry(name, try)
	}
	for name, try := range r.tries {
		route := trueRoute(try.request.Path)
		if !route.Retryable() && runs[try.request.ID] > 1 {
			r.wrong = append(r.wrong, fmt.Sprintf("TWICE: %s ran %d times", name, runs[try.request.ID]))
		}
	}
	r.checkBudget()
	r.checkCold()
	r.checkSettled()
	slices.Sort(r.wrong)
	return r.wrong
}

func (r *simulatedRecord) checkTry(name string, try *simulatedTry) {
	route := trueRoute(try.request.Path)
	report := func(rule, format string, values ...any) {
		r.wrong = append(r.wrong, fmt.Sprintf("%s: %s %s", rule, name, fmt.Sprintf(format, values...)))
	}
	if len(try.ran) > route.MaxAttempts {
		report("ATTEMPTS", "ran at %v", try.ran)
	}
	if try.took > min(route.Timeout, try.wait)+holdSlack {
		report("TIME", "was held for %v of %v", try.took, try.wait)
	}
	if refusal := try.refusal; refusal != nil && refusal.RetryAfter > 0 && len(try.ran) > 0 {
		report("REFUSED", "was promised not to run and ran at %v", try.ran)
	}
	if try.refusal == nil && try.text != wholeText(route, try.request.ID) {
		report("ANSWER", "got %q", try.text)
	}
	if try.refusal != nil && !strings.HasPrefix(wholeText(route, try.request.ID), try.text) {
		report("ANSWER", "broke off after %q", try.text)
	}
}

// wholeText is the right answer to a request.
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
			r.wrong = append(r.wrong, fmt.Sprintf("BUDGET: %d arrivals beyond the first in a window with %d requests", extra, firsts))
			return
		}
	}
}

func (r *simulatedRecord) checkCold() {
	const cold = 3 * time.Second
	for _, span := range r.colds {
		for _, at := range r.arrivals[span.replica] {
			if at.Before(span.from) || at.Add(coldWindow).After(span.from.Add(cold)) {
				continue
			}
			count := countBetween(r.arrivals[span.replica], at, at.Add(coldWindow))
			if float64(count) > coldFactor*coldRate+coldSlack {
				r.wrong = append(r.wrong, fmt.Sprintf("COLD: %s gets %d requests in a second", span.replica, count))
				break
			}
		}
	}
}

// checkSettled wants nearly everything served after the trouble.
func (r *simulatedRecord) checkSettled() {
	if r.settled == 0 {
		return
	}
	asked, served := 0, 0
	for _, try := range r.tries {
		if try.began < r.settled {
			continue
		}
		asked++
		if try.refusal == nil {
			served++
		}
	}
	if asked == 0 || float64(served) < settledShare*float64(asked) {
		r.wrong = append(r.wrong, fmt.Sprintf("SETTLED: %d of %d served after the trouble", served, asked))
	}
}

func countBetween(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}
