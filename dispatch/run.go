package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/placement"
	"github.com/deckpulley/deckpulley/routemap"
)

const (
	// mostUnsent bounds the replicas that are tried without reaching one.
	mostUnsent = 4
	// mostRefused bounds the full replicas that may refuse one request, and
	// mostReplaced those that were replaced: they answer at once, and many are replaced
	// together.
	mostRefused  = 2
	mostReplaced = 4
)

// run is one request on its way.
type run struct {
	dispatcher *Dispatcher
	plan       *plan
	route      *routemap.Route
	request    *Request
	client     ResponseWriter
	service    string
	deadline   time.Time

	tried    map[string]bool
	noted    bool // the retry budget knows of the request
	attempts int  // attempts that may have run
	unsent   int
	refused  int
	begun    bool   // the client has a part of an answer
	after    string // id of the last event that the client has
}

// Serve carries one request. It returns nil if a whole answer was relayed, also
// if that is a replica's own error, and else why not. It returns at the latest
// at the end of the route's time-out or of the client's wait.
func (d *Dispatcher) Serve(ctx context.Context, request *Request, client ResponseWriter) *RequestError {
	refusal := d.serve(ctx, request, client)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.counts.Requests++
	if refusal == nil {
		d.counts.Served++
	} else {
		d.counts.Rejected[refusal.Code]++
	}
	return refusal
}

func (d *Dispatcher) serve(ctx context.Context, request *Request, client ResponseWriter) *RequestError {
	decided := d.awaitPlan(ctx)
	if decided == nil {
		return &RequestError{Code: CodeNotReady, RetryAfter: startRetryAfter}
	}
	route := decided.routes.Lookup(request.Host, request.Path)
	if route == nil {
		return &RequestError{Code: CodeNoRoute}
	}
	wait := route.Timeout
	if request.ClientTimeout > 0 {
		wait = min(wait, request.ClientTimeout)
	}
	r := &run{
		dispatcher: d,
		plan:       decided,
		route:      route,
		request:    request,
		client:     client,
		service:    route.Pick(d.options.Random()),
		deadline:   request.Arrived.Add(wait),
		tried:      make(map[string]bool),
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	return r.carry(ctx)
}

// carry makes attempts until one is answered or none is left.
func (r *run) carry(ctx context.Context) *RequestError {
	for {
		if refusal := r.timeLeft(ctx); refusal != nil {
			return refusal
		}
		chosen, refusal := r.place()
		if refusal != nil {
			return r.final(refusal)
		}
		if chosen, refusal = r.claim(ctx, chosen); refusal != nil {
			return r.final(refusal)
		}
		again, refusal := r.attempt(ctx, chosen)
		if refusal != nil {
			return r.final(refusal)
		}
		if !again {
			return nil
		}
	}
}

// timeLeft refuses a request whose time is over or whose client has left.
func (r *run) timeLeft(ctx context.Context) *RequestError {
	err := ctx.Err()
	switch {
	case err == nil:
		return nil
	case !errors.Is(err, context.DeadlineExceeded):
		return &RequestError{Code: CodeClientClosed, ResponseStarted: r.begun}
	case r.attempts > 0:
		return &RequestError{Code: CodeTimedOut, ResponseStarted: r.begun}
	default:
		return &RequestError{Code: CodeExpiredUnsent, ResponseStarted: r.begun}
	}
}

// final keeps a refusal honest: what may have run is not refused as not run.
func (r *run) final(refusal *RequestError) *RequestError {
	refusal.ResponseStarted = r.begun
	if r.attempts == 0 {
		return refusal
	}
	switch refusal.Code {
	case CodeNotReady, CodeNoRoute, CodeNoReplica, CodeOverloaded, CodeExpiredUnsent:
		refusal.Code = CodeOutcomeUnknown
		refusal.RetryAfter = 0
	}
	return refusal
}

// place chooses the replica of the next attempt, gives it the prompt, and tells
// the other gateways.
func (r *run) place() (*placed, *RequestError) {
	d := r.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known, found := d.services[r.service]
	if !found {
		return nil, &RequestError{Code: CodeNoReplica, RetryAfter: absentRetryAfter}
	}
	now := time.Now()
	if !r.noted {
		r.noted = true
		d.budget.RecordFirstAttempt(now)
	}
	looking := &search{
		dispatcher: d,
		plan:       r.plan,
		service:    known,
		route:      r.route,
		request:    r.request,
		tried:      r.tried,
		repeats:    r.attempts > 0,
		now:        now,
	}
	choice, refusal := looking.find()
	if refusal != nil {
		return nil, refusal
	}
	chosen := choice.replica
	r.tried[chosen.id] = true
	taken := chosen.take(now, r.reading(known, choice.cached), r.request.PromptTokens)
	if known.spec.CacheTokens > 0 {
		r.tellPlaced(known, taken)
	}
	return &placed{
		service:  known,
		replica:  chosen,
		endpoint: Endpoint{ID: chosen.id, Address: chosen.address},
		expected: choice.expected,
		work:     taken,
	}, nil
}

// tellPlaced notes the shared parts that the replica will hold, here and at the
// other gateways.
func (r *run) tellPlaced(known *service, taken *work) {
	d := r.dispatcher
	prefixes := placement.Hashes(r.request.PrefixChain)
	known.index.RecordHashes(taken.replica.number, prefixes)
	if d.options.OnPlaced == nil || taken.reading == 0 {
		return
	}
	if r.sharedReading(known) < toldShared {
		prefixes = nil
	}
	d.options.OnPlaced(peer.PlacedPrompt{
		Replica:   taken.replica.key,
		PrefillMS: int(taken.reading.Milliseconds()),
		Prefixes:  prefixes,
	})
}

// toldShared is the least reading of shared parts that others are told of, in
// seconds: shorter ones are not worth the news.
const toldShared = 0.01

// sharedReading is the time that the shared parts take to read, in seconds.
func (r *run) sharedReading(known *service) float64 {
	link, found := placement.Affinity(r.request.PrefixChain)
	if !found {
		return 0
	}
	return known.pace.now.factor * readingWork(float64(link.Tokens), 0)
}

// reading is what a replica has to read of the prompt that holds a part of it.
func (r *run) reading(known *service, cached int) reading {
	if known.spec.CacheTokens == 0 {
		return reading{}
	}
	shared := 0
	if links := len(r.request.PrefixChain); links > 0 {
		shared = r.request.PrefixChain[links-1].Tokens
	}
	unread := r.request.PromptTokens - float64(cached)
	return reading{
		work:    readingWork(r.request.PromptTokens, float64(cached)),
		pace:    known.pace.now,
		certain: float64(shared-cached) <= uncertainPart*unread,
	}
}

// placed is one attempt and where it goes.
type placed struct {
	service  *service
	replica  *replica
	endpoint Endpoint
	work     *work
	expected time.Duration // to the first event
}

// attempt sends the request once and relays the answer. again says that another
// attempt is to be made.
func (r *run) attempt(ctx context.Context, at *placed) (again bool, refusal *RequestError) {
	r.dispatcher.begin()
	defer r.dispatcher.finish(at)
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := r.watchSilence(at, cancel)
	defer watch.stop()
	answer, err := r.dispatcher.options.Backend.Send(sending, &Attempt{
		Request:     r.request,
		Replica:     at.endpoint,
		Deadline:    r.deadline,
		Priority:    r.route.Priority,
		LastEventID: r.after,
	})
	if err != nil {
		return r.failed(ctx, at, err)
	}
	defer answer.Body.Close()
	r.attempts++
	if answer.EventStream && answer.Status < http.StatusMultipleChoices {
		return r.relayEvents(ctx, at, answer, watch)
	}
	if r.begun {
		return false, &RequestError{Code: CodeOutcomeUnknown} // nothing that could go on with the events sent
	}
	return r.relayWhole(ctx, at, answer)
}

// begin counts an attempt.
func (d *Dispatcher) begin() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.counts.Attempts++
}

// finish takes an attempt off its replica.
func (d *Dispatcher) finish(at *placed) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	at.work.end()
}

// failed decides what follows an attempt without an answer.
func (r *run) failed(ctx context.Context, at *placed, err error) (again bool, refusal *RequestError) {
	failure := &AttemptError{Reason: FailureIndeterminate, Err: err}
	errors.As(err, &failure)
	if failure.Reason == FailureIndeterminate {
		r.attempts++
	}
	if refusal := r.timeLeft(ctx); refusal != nil {
		return false, refusal
	}
	d := r.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.counts.FailedAttempts[failure.Reason]++
	d.log.Debug("attempt failed", "request", r.request.ID, "replica", at.endpoint.ID, "failure", string(failure.Reason), "error", failure.Err)
	switch failure.Reason {
	case FailureUnsent:
		return r.afterUnsent(at, now, failure.NoResponse)
	case FailureReplaced:
		at.replica.replaced = true
		return r.afterRefusal(now, mostReplaced, &RequestError{Code: CodeNoReplica, RetryAfter: absentRetryAfter})
	case FailureRejected:
		at.replica.fullUntil = now.Add(max(fullAvoidance, failure.RetryAfter))
		at.service.outliers.RecordRejection(now, at.replica.id)
		return r.afterRefusal(now, mostRefused, &RequestError{Code: CodeOverloaded, RetryAfter: busyRetryAfter})
	default:
		return r.afterBreak(at, now)
	}
}

func (r *run) afterUnsent(at *placed, now time.Time, silent bool) (bool, *RequestError) {
	at.replica.unreachable(now)
	if silent {
		r.dispatcher.zone(at.replica.zone).noteSilent(now, at.replica.id)
	}
	r.unsent++
	if r.unsent >= mostUnsent {
		return false, &RequestError{Code: CodeNoReplica, RetryAfter: absentRetryAfter}
	}
	return true, nil
}

// afterRefusal tries another replica within a number of them and the budget: the
// refused attempt arrived at a replica as any other.
func (r *run) afterRefusal(now time.Time, most int, refusal *RequestError) (bool, *RequestError) {
	r.refused++
	if r.refused >= most || !r.dispatcher.budget.Allow(now) {
		return false, refusal
	}
	r.dispatcher.counts.Retries++
	return true, nil
}

// afterBreak repeats what may be repeated, or goes on after the last event, within
// the route's attempts and the budget.
func (r *run) afterBreak(at *placed, now time.Time) (bool, *RequestError) {
	at.replica.unreachable(now)
	at.service.outliers.RecordFailure(now, at.replica.id)
	resumable := r.route.Resumable && r.after != ""
	if r.begun && !resumable || !r.route.Retryable() || r.attempts >= r.route.MaxAttempts {
		return false, &RequestError{Code: CodeOutcomeUnknown}
	}
	counts := &r.dispatcher.counts
	if !r.dispatcher.budget.Allow(now) {
		return false, &RequestError{Code: CodeOutcomeUnknown}
	}
	counts.Retries++
	if r.begun {
		counts.Resumed++
	}
	return true, nil
}
