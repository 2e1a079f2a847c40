package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/placement"
)

const (
	// maxUnsentAttempts is the number of attempts that did not reach a replica after
	// which the request fails.
	maxUnsentAttempts = 4
	// maxRejections is the number of rejected attempts after which the request fails if a
	// replica rejects it because of load. maxReplacedRejections is the limit if another
	// replica has taken over the address: it is higher because such a rejection is
	// immediate, and often many replicas are replaced at the same time.
	maxRejections         = 2
	maxReplacedRejections = 4
	// minAnnouncedPrefill is the shortest prefill of shared prefixes, in seconds, for
	// which the prefixes are announced to the other gateways.
	minAnnouncedPrefill = 0.01
)

// placedAttempt is one attempt with the replica that was selected for it.
type placedAttempt struct {
	service  *service
	replica  *replica
	endpoint Endpoint
	load     *attemptLoad
	// expected is the expected time to the first event.
	expected time.Duration
}

// place selects the replica of the next attempt, adds the attempt to the replica's load,
// and announces the prompt to the other gateways.
func (t *transaction) place() (*placedAttempt, *RequestError) {
	d := t.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	service, found := d.services[t.service]
	if !found {
		return nil, noReplicaError()
	}
	now := time.Now()
	if !t.countedInBudget {
		t.countedInBudget = true
		service.budget.RecordFirstAttempt(now)
	}
	selector := &selector{
		dispatcher: d,
		snapshot:   t.snapshot,
		service:    service,
		route:      t.route,
		request:    t.request,
		tried:      t.tried,
		mayHaveRun: t.possibleRuns > 0,
		now:        now,
	}
	selected, requestErr := selector.find()
	if requestErr != nil {
		return nil, requestErr
	}
	r := selected.replica
	t.tried[r.id] = true
	load := r.addAttempt(now, t.estimatePrefill(service, selected.cachedTokens), t.request.PromptTokens)
	if service.spec.CacheTokens > 0 {
		t.announcePrompt(service, load)
	}
	return &placedAttempt{
		service:  service,
		replica:  r,
		endpoint: Endpoint{ID: r.id, Address: r.address},
		load:     load,
		expected: selected.expected,
	}, nil
}

// estimatePrefill returns the estimated prefill of the request's prompt at a replica that has
// cachedTokens of the prompt's tokens in its cache.
func (t *transaction) estimatePrefill(service *service, cachedTokens int) prefillEstimate {
	if service.spec.CacheTokens == 0 {
		return prefillEstimate{}
	}
	sharedTokens := 0
	if links := len(t.request.PrefixChain); links > 0 {
		sharedTokens = t.request.PrefixChain[links-1].Tokens
	}
	uncachedTokens := t.request.PromptTokens - float64(cachedTokens)
	return prefillEstimate{
		work:    prefillWork(t.request.PromptTokens, float64(cachedTokens)),
		model:   service.prefill.model,
		certain: float64(sharedTokens-cachedTokens) <= maxUnknownCached*uncachedTokens,
	}
}

// announcePrompt records in the prefix index that the replica will cache the prompt's shared
// prefixes, and announces the prompt and these prefixes to the other gateways. The caller
// holds the Dispatcher's mutex.
func (t *transaction) announcePrompt(service *service, load *attemptLoad) {
	d := t.dispatcher
	prefixes := placement.Hashes(t.request.PrefixChain)
	service.index.RecordHashes(load.replica.number, prefixes)
	if d.options.OnPlaced == nil || load.prefill == 0 {
		return
	}
	if t.sharedPrefill(service) < minAnnouncedPrefill {
		prefixes = nil
	}
	d.options.OnPlaced(peer.PlacedPrompt{
		Replica:   load.replica.key,
		PrefillMS: int(load.prefill.Milliseconds()),
		Prefixes:  prefixes,
	})
}

// sharedPrefill returns the time to prefill the prompt's shared prefixes up to the
// affinity link, in seconds, if none of it is cached.
func (t *transaction) sharedPrefill(service *service) float64 {
	link, found := placement.AffinityLink(t.request.PrefixChain)
	if !found {
		return 0
	}
	return service.prefill.model.factor * prefillWork(float64(link.Tokens), 0)
}

// send makes one attempt and relays the response. It reports whether to make another
// attempt.
func (t *transaction) send(ctx context.Context, attempt *placedAttempt) (retry bool, requestErr *RequestError) {
	t.dispatcher.countAttempt()
	defer t.dispatcher.release(attempt)
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := t.newIdleWatchdog(attempt, cancel)
	defer watchdog.stop()
	response, err := t.dispatcher.options.Backend.Send(attemptCtx, &Attempt{
		Request:     t.request,
		Replica:     attempt.endpoint,
		Deadline:    t.deadline,
		Priority:    t.route.Priority,
		LastEventID: t.lastEventID,
	})
	if err != nil {
		return t.handleFailure(ctx, attempt, err)
	}
	defer response.Body.Close()
	t.possibleRuns++
	if response.EventStream && response.Status < http.StatusMultipleChoices {
		return t.relayEvents(ctx, attempt, response, watchdog)
	}
	if t.responseStarted {
		return false, &RequestError{Code: CodeOutcomeUnknown} // this body cannot continue the event stream that has started
	}
	return t.relayBody(ctx, attempt, response)
}

func (d *Dispatcher) countAttempt() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.counts.Attempts++
}

// release removes an attempt from its replica's load.
func (d *Dispatcher) release(attempt *placedAttempt) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	attempt.load.release()
}

// handleFailure classifies the error of an attempt without a response and reports whether
// to make another attempt.
func (t *transaction) handleFailure(ctx context.Context, attempt *placedAttempt, err error) (retry bool, requestErr *RequestError) {
	failure := &AttemptError{Reason: FailureIndeterminate, Err: err}
	errors.As(err, &failure)
	if failure.Reason == FailureIndeterminate {
		t.possibleRuns++
	}
	if requestErr := t.checkDone(ctx); requestErr != nil {
		return false, requestErr
	}
	d := t.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.counts.FailedAttempts[failure.Reason]++
	d.log.Debug("attempt failed", "request", t.request.ID, "replica", attempt.endpoint.ID, "failure", string(failure.Reason), "error", failure.Err)
	switch failure.Reason {
	case FailureUnsent:
		return t.afterUnsent(attempt, now, failure.NoResponse)
	case FailureReplaced:
		attempt.replica.replaced = true
		return t.afterRejection(attempt, now, maxReplacedRejections, noReplicaError())
	case FailureRejected:
		attempt.replica.rejectedUntil = now.Add(max(minRejectedAvoidance, failure.RetryAfter))
		attempt.service.outliers.RecordRejection(now, attempt.replica.id)
		return t.afterRejection(attempt, now, maxRejections, overloadedError())
	default:
		return t.afterIndeterminate(attempt, now)
	}
}

// afterUnsent records an attempt that did not reach its replica. It reports whether to
// make another attempt: yes, until there were maxUnsentAttempts of them. The retry budget
// does not apply, because no replica received anything. The caller holds the Dispatcher's
// mutex.
func (t *transaction) afterUnsent(attempt *placedAttempt, now time.Time, noResponse bool) (retry bool, requestErr *RequestError) {
	attempt.replica.recordUnreachable(now)
	if noResponse {
		t.dispatcher.zone(attempt.replica.zone).recordNoResponse(now, attempt.replica.id)
	}
	t.unsentAttempts++
	if t.unsentAttempts >= maxUnsentAttempts {
		return false, noReplicaError()
	}
	return true, nil
}

// afterRejection records an attempt that a replica rejected. It reports whether to make
// another attempt, which depends on the limit of rejections and on the service's retry budget: a
// rejected attempt has arrived at a replica like any other. Otherwise it returns
// requestErr. The caller holds the Dispatcher's mutex.
func (t *transaction) afterRejection(attempt *placedAttempt, now time.Time, limit int, requestErr *RequestError) (bool, *RequestError) {
	t.rejections++
	if t.rejections >= limit || !attempt.service.budget.Allow(now) {
		return false, requestErr
	}
	t.dispatcher.counts.Retries++
	return true, nil
}

// afterIndeterminate records a failed attempt that may have run, because its response is
// missing or was interrupted: the replica is avoided for a while, and outlier detection
// counts a failure. It reports whether to make another attempt, which starts the request
// again or, if a part of the response was sent, resumes the event stream after the last
// event. That depends on mayRepeat and on the retry budget; if either does not permit it,
// the error is CodeOutcomeUnknown. The caller holds the Dispatcher's mutex.
func (t *transaction) afterIndeterminate(attempt *placedAttempt, now time.Time) (retry bool, requestErr *RequestError) {
	attempt.replica.recordUnreachable(now)
	attempt.service.outliers.RecordFailure(now, attempt.replica.id)
	if !t.mayRepeat() || !attempt.service.budget.Allow(now) {
		return false, &RequestError{Code: CodeOutcomeUnknown}
	}
	counts := &t.dispatcher.counts
	counts.Retries++
	if t.responseStarted {
		counts.Resumed++
	}
	return true, nil
}

// mayRepeat reports whether the route permits another attempt of a request that may
// already have run. Once a part of the response was sent, that takes a resumable event
// stream with a known last event.
func (t *transaction) mayRepeat() bool {
	resumable := t.route.Resumable && t.lastEventID != ""
	if t.responseStarted && !resumable {
		return false
	}
	return t.route.Retryable() && t.possibleRuns < t.route.MaxAttempts
}
