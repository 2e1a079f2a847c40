package dispatch

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/placement"
	"github.com/deckpulley/deckpulley/routemap"
)

const (
	// uncachedPrefixWeight is the additional cost of prefilling a shared prefix that the
	// replica has not cached, as a multiple of the prefill time.
	uncachedPrefixWeight = 1
	// warmupPenalty is the additional cost of a replica in slow start, in seconds. It makes
	// a warm replica preferred unless it is clearly worse.
	warmupPenalty = 0.05
	// newConnectionPenalty is the cost of a new connection in addition to its round trip,
	// in seconds: work at both ends, and one more of the replica's limited connections.
	newConnectionPenalty = 0.005
	// connectionShare is the share of a replica's MaxConnections that all gateways
	// together use.
	connectionShare = 0.8
	// minConnections is the number of connections to a replica that every gateway may
	// use, however many gateways there are.
	minConnections = 2
	// memoryShare is the share of a replica's CacheTokens that requests in flight may
	// fill.
	memoryShare = 0.85
	// defaultSlots is the assumed number of slots of a replica if it is not configured.
	defaultSlots = 8
	// waitShare is the share of the route's FirstEventTarget that a request may always
	// wait, even if its own prefill takes most of the target or exceeds it.
	waitShare = 0.25
)

// selector selects the replica of one attempt.
type selector struct {
	dispatcher *Dispatcher
	snapshot   *snapshot
	service    *service
	route      *routemap.Route
	request    *Request
	// tried holds the ids of the replicas of earlier attempts.
	tried map[string]bool
	// mayHaveRun is set if an earlier attempt may have run. The request can then no longer
	// be rejected as one that has not run.
	mayHaveRun bool
	now        time.Time
}

// preference is the rank of a replica. A replica is used only if there is none with a lower
// value, and never if it is excluded.
type preference int

const (
	preferred preference = iota // no known problem; in slow start only if a request is due
	avoided                     // failed recently, idle, ejected, or in an avoided zone
	excluded                    // in slow start and not due for a request of this gateway
)

// selection is the replica that was selected for one attempt.
type selection struct {
	replica *replica
	// expected is the expected time to the first event.
	expected time.Duration
	// cachedTokens is the number of the prompt's tokens that are known to be in the
	// replica's cache.
	cachedTokens int
}

// find selects the replica of the next attempt. It returns an error if no replica is
// available or the request would wait too long. The caller holds the Dispatcher's mutex.
func (s *selector) find() (*selection, *RequestError) {
	var byPreference [excluded][]*replica
	full := false
	for _, r := range s.service.replicas {
		if !s.isAllowed(r) {
			continue
		}
		if s.now.Before(r.rejectedUntil) || s.connectionsExhausted(r) {
			full = true
			continue
		}
		if preference := s.preference(r); preference < excluded {
			byPreference[preference] = append(byPreference[preference], r)
		}
	}
	for _, replicas := range byPreference {
		if len(replicas) > 0 {
			return s.best(replicas)
		}
	}
	if full {
		return nil, overloadedError()
	}
	return nil, noReplicaError()
}

// isAllowed reports whether the replica may be selected: it is in service, in a home region
// of the route, and not one that was tried before.
func (s *selector) isAllowed(r *replica) bool {
	if r.draining || r.evacuated || r.replaced || s.tried[r.id] {
		return false
	}
	return len(s.route.HomeRegions) == 0 || slices.Contains(s.route.HomeRegions, r.region)
}

// connectionsExhausted reports whether this gateway has used up its share of the replica's
// connections.
func (s *selector) connectionsExhausted(r *replica) bool {
	limit := s.service.spec.MaxConnections
	if limit == 0 {
		return false
	}
	share := int(connectionShare * float64(limit) / float64(max(1, len(s.snapshot.gateways))))
	return r.inFlight >= max(share, minConnections)
}

// preference returns the rank of a replica that is allowed.
func (s *selector) preference(r *replica) preference {
	d := s.dispatcher
	if s.inSlowStart(r) && (s.now.Before(r.nextSlowStart) || s.snapshot.slowStartOwner(r) != d.options.Gateway) {
		return excluded
	}
	if s.now.Before(r.avoidedUntil) || r.isIdle(s.now, d.options.Backend.LastReceived(r.address)) {
		return avoided
	}
	if s.now.Before(s.service.outliers.EjectedUntil(r.id)) || s.now.Before(d.zone(r.zone).avoidedUntil) {
		return avoided
	}
	return preferred
}

// inSlowStart reports whether the replica is warming up and the service has a slow-start
// rate.
func (s *selector) inSlowStart(r *replica) bool {
	return s.service.spec.SlowStartRate > 0 && r.isWarmingUp(s.now)
}

// best selects one of several replicas of the same preference.
func (s *selector) best(replicas []*replica) (*selection, *RequestError) {
	work := s.work()
	cachedTokens := s.cachedTokens()
	candidates := s.candidates(replicas, cachedTokens)
	position, expected := placement.Choose(candidates, work)
	if s.isRejectable() && expected > s.maxExpected(&candidates[position], work) {
		return nil, overloadedError()
	}
	selected := replicas[position]
	if s.inSlowStart(selected) {
		rate := s.dispatcher.options.Bounds.slowStartRatio() * s.service.spec.SlowStartRate
		selected.nextSlowStart = s.now.Add(time.Duration(float64(time.Second) / rate))
	}
	return &selection{
		replica:      selected,
		expected:     time.Duration(expected * float64(time.Second)),
		cachedTokens: cachedTokens[selected.number],
	}, nil
}

// isRejectable reports whether the request may be rejected because it would wait too long.
// A request that may have run is not rejected: its client could not safely retry it, so a
// late response is better than an error.
func (s *selector) isRejectable() bool { return s.route.FirstEventTarget > 0 && !s.mayHaveRun }

// maxExpected returns the longest acceptable expected time to the first event, in seconds.
// Beyond it the request is rejected: the wait would make it late, and it would delay other
// requests. It may be in time when the client retries it.
func (s *selector) maxExpected(selected *placement.Candidate, work placement.Work) float64 {
	target := s.route.FirstEventTarget.Seconds()
	prefill := 0.0
	if selected.PrefillRate > 0 {
		prefill = max(0, work.Tokens-selected.CachedTokens) / selected.PrefillRate
	}
	return max(target, prefill+waitShare*target)
}

// work describes the request for placement.Choose. Its number of tokens is not the length of
// the prompt, but the number that the reference replica would prefill in the same time at
// referencePrefillRate, so that it includes the attention of a long prompt.
func (s *selector) work() placement.Work {
	tokens := prefillWork(s.request.PromptTokens, 0) * referencePrefillRate
	link, found := placement.AffinityLink(s.request.PrefixChain)
	if !found || s.service.spec.CacheTokens == 0 {
		return placement.Work{Tokens: tokens, AffinityHash: placement.Hash(s.request.ID)}
	}
	return placement.Work{
		Tokens:                tokens,
		AffinityHash:          link.Hash,
		AffinityTokens:        float64(link.Tokens),
		UncachedPrefillWeight: uncachedPrefixWeight,
	}
}

// cachedTokens returns the number of the prompt's tokens that each replica is known to have
// in its cache, by the replica's number.
func (s *selector) cachedTokens() map[int]int {
	cachedTokens := make(map[int]int)
	s.service.index.Cached(s.request.PrefixChain, func(number, tokens int) { cachedTokens[number] = tokens })
	return cachedTokens
}

// candidates describes the replicas for placement.Choose.
func (s *selector) candidates(replicas []*replica, cachedTokens map[int]int) []placement.Candidate {
	candidates := make([]placement.Candidate, 0, len(replicas))
	for position, r := range replicas {
		candidates = append(candidates, s.candidate(position, r, cachedTokens[r.number]))
	}
	return candidates
}

func (s *selector) candidate(position int, r *replica, cachedTokens int) placement.Candidate {
	others := s.dispatcher.loads.at(r.key, s.now)
	roundTrip := s.dispatcher.roundTrip(r).Seconds()
	c := placement.Candidate{
		Number:         position,
		Hash:           r.hash,
		ActiveRequests: float64(r.inFlight + others.Requests),
		Slots:          float64(s.slots(r)),
		ServiceTime:    s.service.serviceTime,
		Wait:           roundTrip,
		Penalty:        crossZonePenalty * roundTrip,
	}
	if !s.dispatcher.options.Backend.HasIdleConnection(r.address) {
		c.Wait += roundTrip
		c.Penalty += newConnectionPenalty
	}
	if s.inSlowStart(r) {
		c.Penalty += warmupPenalty
	}
	if s.service.spec.CacheTokens > 0 {
		s.addPrefill(&c, r, float64(cachedTokens), float64(others.Tokens))
	}
	return c
}

// addPrefill sets the fields of a candidate that matter for a service that prefills prompts.
func (s *selector) addPrefill(c *placement.Candidate, r *replica, cachedTokens, othersTokens float64) {
	model := s.service.prefill.model
	c.PrefillRate = referencePrefillRate / (model.factor * r.slowdown)
	c.Wait += model.overhead + r.backlog.remaining(s.now).Seconds()
	c.CachedTokens = cachedTokens
	freeTokens := memoryShare*float64(s.service.spec.CacheTokens) - r.inFlightTokens - othersTokens
	if freeTokens < s.request.PromptTokens {
		c.Wait += s.service.serviceTime
	}
}

// slots returns the number of requests that a replica runs concurrently.
func (s *selector) slots(r *replica) int {
	switch {
	case s.service.spec.Slots > 0:
		return s.service.spec.Slots
	case r.slots > 0:
		return r.slots
	default:
		return defaultSlots
	}
}
