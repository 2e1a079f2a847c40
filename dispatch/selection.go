package dispatch

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/placement"
	"github.com/deckpulley/deckpulley/routemap"
)

const (
	// uncachedPrefixWeight weighs the prefill of a shared prefix that another replica
	// has in its cache, as a multiple of the time that it takes.
	uncachedPrefixWeight = 1
	// warmupPenalty keeps requests off a replica that is warming up while a warm one is
	// nearly as good, in seconds.
	warmupPenalty = 0.05
	// newConnectionPenalty is what a new connection costs beside its round trip, in
	// seconds: work at both ends, and a share of the replica's connections.
	newConnectionPenalty = 0.005
	// connectionShare is the share of a replica's connections that all gateways use.
	connectionShare = 0.8
	// minConnections is what every gateway may use.
	minConnections = 2
	// memoryShare is the share of a replica's memory that requests in flight may fill.
	memoryShare = 0.85
	// defaultSlots is assumed for replicas whose slots are not known.
	defaultSlots = 8
	// waitShare is the share of the target for the first event that a request may wait
	// whose own prefill takes the rest of the target or more.
	waitShare = 0.25
)

// selector selects the replica of one attempt.
type selector struct {
	dispatcher *Dispatcher
	snapshot   *snapshot
	service    *service
	route      *routemap.Route
	request    *Request
	// tried are the replicas of earlier attempts, by id.
	tried map[string]bool
	// mayHaveRun says that an earlier attempt may have run, so that the request cannot
	// be rejected as one that has not.
	mayHaveRun bool
	now        time.Time
}

// preference orders replicas: one is used only if there is none of a lower value.
type preference int

const (
	preferred preference = iota // warm, or warming up and due for a request
	avoided                     // failed recently, or idle
	excluded
)

// selection is the replica of one attempt.
type selection struct {
	replica *replica
	// expected is the expected time to the first event.
	expected time.Duration
	// cachedTokens of the prompt are known to be in the replica's cache.
	cachedTokens int
}

// find returns the replica of the next attempt, or why there is none. The caller holds
// the Dispatcher's mutex.
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

// isAllowed reports whether the registry and the earlier attempts permit the replica.
func (s *selector) isAllowed(r *replica) bool {
	if r.draining || r.evacuated || r.replaced || s.tried[r.id] {
		return false
	}
	return len(s.route.HomeRegions) == 0 || slices.Contains(s.route.HomeRegions, r.region)
}

// connectionsExhausted reports whether this gateway uses its share of the replica's
// connections.
func (s *selector) connectionsExhausted(r *replica) bool {
	limit := s.service.spec.MaxConnections
	if limit == 0 {
		return false
	}
	share := int(connectionShare * float64(limit) / float64(max(1, len(s.snapshot.gateways))))
	return r.inFlight >= max(share, minConnections)
}

// preference returns how a replica ranks that is allowed.
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

// inSlowStart reports whether the slow-start rate limits the replica.
func (s *selector) inSlowStart(r *replica) bool {
	return s.service.spec.SlowStartRate > 0 && r.isWarmingUp(s.now)
}

// best selects one of replicas of the same preference.
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

// isRejectable reports whether the request may be rejected because it would wait too
// long. One that may have run could not be retried as one that has not, so that a late
// response is worth more to it.
func (s *selector) isRejectable() bool { return s.route.FirstEventTarget > 0 && !s.mayHaveRun }

// maxExpected returns the expected time to the first event, in seconds, beyond which
// the request is rejected: it would be late because of its wait, and delay others. When
// the client retries, it may be in time.
func (s *selector) maxExpected(selected *placement.Candidate, work placement.Work) float64 {
	target := s.route.FirstEventTarget.Seconds()
	prefill := 0.0
	if selected.PrefillRate > 0 {
		prefill = max(0, work.Tokens-selected.CachedTokens) / selected.PrefillRate
	}
	return max(target, prefill+waitShare*target)
}

// work describes the request to the placement. Its tokens stand for the prefill time,
// so that a long prompt counts as the long time that it takes.
func (s *selector) work() placement.Work {
	tokens := prefillWork(s.request.PromptTokens, 0) * referencePrefillRate
	link, found := placement.Affinity(s.request.PrefixChain)
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

// cachedTokens returns the tokens of the prompt that replicas are known to have in
// their caches, by the replica's number.
func (s *selector) cachedTokens() map[int]int {
	cachedTokens := make(map[int]int)
	s.service.index.Cached(s.request.PrefixChain, func(number, tokens int) { cachedTokens[number] = tokens })
	return cachedTokens
}

// candidates describes the replicas to the placement.
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

// addPrefill adds to a candidate what matters for a service that prefills prompts.
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

// slots returns how many requests a replica runs at once.
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
