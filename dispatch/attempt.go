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
	// maxUnsentAttempts bounds the attempts of a request that do not reach a replica.
	maxUnsentAttempts = 4
	// maxRejections bounds the replicas that may reject a request because of load, and
	// maxReplacedRejections those that turn out to be replaced: they reject at once, and
	// many are replaced together.
	maxRejections         = 2
	maxReplacedRejections = 4
	// minAnnouncedPrefill is the shortest prefill of shared prefixes that is announced to
	// other gateways, in seconds.
	minAnnouncedPrefill = 0.01
)

// placedAttempt is one attempt at a selected replica.
type placedAttempt struct {
	service  *service
	replica  *replica
	endpoint Endpoint
	use      *replicaUse
	// expected is the expected time to the first event.
	expected time.Duration
}

// place selects the replica of the next attempt, reserves it, and announces the prompt
// to the other gateways.
func (t *transaction) place() (*placedAttempt, *RequestError) {
	d := t.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known, found := d.services[t.service]
	if !found {
		return nil, noReplicaError()
	}
	now := time.Now()
	if !t.budgeted {
		t.budgeted = true
		d.budget.RecordFirstAttempt(now)
	}
	selector := &selector{
		dispatcher: d,
		snapshot:   t.snapshot,
		service:    known,
		route:      t.route,
		request:    t.request,
		tried:      t.tried,
		mayHaveRun: t.attempts > 0,
		now:        now,
	}
	selected, requestErr := selector.find()
	if requestErr != nil {
		return nil, requestErr
	}
	r := selected.replica
	t.tried[r.id] = true
	use := r.reserve(now, t.estimate(known, selected.cachedTokens), t.request.PromptTokens)
	if known.spec.CacheTokens > 0 {
		t.announce(known, use)
	}
	return &placedAttempt{
		service:  known,
		replica:  r,
		endpoint: Endpoint{ID: r.id, Address: r.address},
		use:      use,
		expected: selected.expected,
	}, nil
}

// estimate returns the prefill of the request's prompt at a replica that has so many
// tokens of it in its cache.
func (t *transaction) estimate(known *service, cachedTokens int) prefillEstimate {
	if known.spec.CacheTokens == 0 {
		return prefillEstimate{}
	}
	sharedTokens := 0
	if links := len(t.request.PrefixChain); links > 0 {
		sharedTokens = t.request.PrefixChain[links-1].Tokens
	}
	uncachedTokens := t.request.PromptTokens - float64(cachedTokens)
	return prefillEstimate{
		work:    prefillWork(t.request.PromptTokens, float64(cachedTokens)),
		model:   known.prefill.model,
		certain: float64(sharedTokens-cachedTokens) <= maxUnknownCached*uncachedTokens,
	}
}

// announce records the shared prefixes that the replica will have in its cache, and
// announces them and the prompt to the other gateways. The caller holds the mutex.
func (t *transaction) announce(known *service, use *replicaUse) {
	d := t.dispatcher
	prefixes := placement.Hashes(t.request.PrefixChain)
	known.index.RecordHashes(use.replica.number, prefixes)
	if d.options.OnPlaced == nil || use.prefill == 0 {
		return
	}
	if t.sharedPrefill(known) < minAnnouncedPrefill {
		prefixes = nil
	}
	d.options.OnPlaced(peer.PlacedPrompt{
		Replica:   use.replica.key,
		PrefillMS: int(use.prefill.Milliseconds()),
		Prefixes:  prefixes,
	})
}

// sharedPrefill returns the time to prefill the shared prefixes, in seconds.
func (t *transaction) sharedPrefill(known *service) float64 {
	link, found := placement.Affinity(t.request.PrefixChain)
	if !found {
		return 0
	}
	return known.prefill.model.factor * prefillWork(float64(link.Tokens), 0)
}

// send sends the request once and relays the response. It reports whether another
// attempt is to be made.
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
	t.attempts++
	if response.EventStream && response.Status < http.StatusMultipleChoices {
		return t.relayEvents(ctx, attempt, response, watchdog)
	}
	if t.responseStarted {
		return false, &RequestError{Code: CodeOutcomeUnknown} // cannot continue the events that were sent
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
	attempt.use.release()
}

// handleFailure decides what follows an attempt without a response.
func (t *transaction) handleFailure(ctx context.Context, attempt *placedAttempt, err error) (retry bool, requestErr *RequestError) {
	failure := &AttemptError{Reason: FailureIndeterminate, Err: err}
	errors.As(err, &failure)
	if failure.Reason == FailureIndeterminate {
		t.attempts++
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
		return t.afterRejection(now, maxReplacedRejections, noReplicaError())
	case FailureRejected:
		attempt.replica.rejectedUntil = now.Add(max(minRejectedAvoidance, failure.RetryAfter))
		attempt.service.outliers.RecordRejection(now, attempt.replica.id)
		return t.afterRejection(now, maxRejections, overloadedError())
	default:
		return t.afterIndeterminate(attempt, now)
	}
}

// afterUnsent tries another replica, within a number of them. The retry budget does not
// count these attempts, as they reached no replica.
func (t *transaction) afterUnsent(attempt *placedAttempt, now time.Time, noResponse bool) (retry bool, requestErr *RequestError) {
	attempt.replica.recordUnreachable(now)
	if noResponse {
		t.dispatcher.zone(attempt.replica.zone).recordNoResponse(now, attempt.replica.id)
	}
	t.unsent++
	if t.unsent >= maxUnsentAttempts {
		return false, noReplicaError()
	}
	return true, nil
}

// afterRejection tries another replica within a number of rejections and the retry
// budget: the rejected attempt arrived at a replica like any other.
func (t *transaction) afterRejection(now time.Time, limit int, requestErr *RequestError) (bool, *RequestError) {
	t.rejections++
	if t.rejections >= limit || !t.dispatcher.budget.Allow(now) {
		return false, requestErr
	}
	t.dispatcher.counts.Retries++
	return true, nil
}

// afterIndeterminate retries a request that may run again, or resumes its event stream
// after the last event, within the route's attempts and the retry budget.
func (t *transaction) afterIndeterminate(attempt *placedAttempt, now time.Time) (retry bool, requestErr *RequestError) {
	attempt.replica.recordUnreachable(now)
	attempt.service.outliers.RecordFailure(now, attempt.replica.id)
	if !t.mayRepeat() || !t.dispatcher.budget.Allow(now) {
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
// have run.
func (t *transaction) mayRepeat() bool {
	resumable := t.route.Resumable && t.lastEventID != ""
	if t.responseStarted && !resumable {
		return false
	}
	return t.route.Retryable() && t.attempts < t.route.MaxAttempts
}
