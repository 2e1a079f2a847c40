package dispatch

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/placement"
	"github.com/deckpulley/deckpulley/routemap"
)

const (
	// rereading weighs the reading of a shared part that another replica holds
	// already, in multiples of the time that it takes.
	rereading = 1
	// coldPenalty keeps requests off a cold replica while a warm one is nearly as
	// good, in seconds.
	coldPenalty = 0.05
	// connectingPrice is what a new connection costs beside its round trip, in seconds:
	// work at both ends, and a part of the replica's connections.
	connectingPrice = 0.005
	// connectionShare is the part of a replica's connections that all gateways use.
	connectionShare = 0.8
	// leastConnections is what every gateway may use.
	leastConnections = 2
	// memoryShare is the part of a replica's memory that requests under way may fill.
	memoryShare = 0.85
	// defaultSlots is taken for replicas that do not tell theirs.
	defaultSlots = 8
	// waitPart is the part of the aim that a request may wait whose own reading
	// takes the rest of the aim or more.
	waitPart = 0.25
	// busyRetryAfter and absentRetryAfter are when a refused request may come again.
	busyRetryAfter   = 400 * time.Millisecond
	absentRetryAfter = 500 * time.Millisecond
	// startRetryAfter is when a gateway that has just started may have its configuration.
	startRetryAfter = 600 * time.Millisecond
)

// search looks for the replica of one attempt.
type search struct {
	dispatcher *Dispatcher
	plan       *plan
	service    *service
	route      *routemap.Route
	request    *Request
	tried      map[string]bool
	// repeats says that the request may have run: it cannot be refused as not run.
	repeats bool
	now     time.Time
}

// rank orders replicas by how willingly they are used.
type rank int

const (
	usable  rank = iota // warm, or cold with room in its ramp
	avoided             // it failed lately, or is silent
	excluded
)

// choice is the replica for one attempt.
type choice struct {
	replica  *replica
	expected time.Duration // to the first event
	cached   int           // tokens of the prompt that it is known to hold
}

// find returns the choice for the next attempt, or why there is none. The
// dispatcher's mutex is held.
func (s *search) find() (*choice, *RequestError) {
	var ranked [excluded][]*replica
	full := false
	for _, r := range s.service.replicas {
		if !s.allowed(r) {
			continue
		}
		if s.now.Before(r.fullUntil) || s.crowded(r) {
			full = true
			continue
		}
		if at := s.rank(r); at < excluded {
			ranked[at] = append(ranked[at], r)
		}
	}
	for _, list := range ranked {
		if len(list) > 0 {
			return s.best(list)
		}
	}
	if full {
		return nil, &RequestError{Code: CodeOverloaded, RetryAfter: busyRetryAfter}
	}
	return nil, &RequestError{Code: CodeNoReplica, RetryAfter: absentRetryAfter}
}

// allowed says whether the operators and the list permit the replica.
func (s *search) allowed(r *replica) bool {
	if r.draining || r.evacuated || r.replaced || s.tried[r.id] {
		return false
	}
	return len(s.route.HomeRegions) == 0 || slices.Contains(s.route.HomeRegions, r.region)
}

// crowded says whether this gateway uses its part of the replica's connections.
func (s *search) crowded(r *replica) bool {
	most := s.service.spec.MaxConnections
	if most == 0 {
		return false
	}
	share := int(connectionShare * float64(most) / float64(max(1, len(s.plan.gateways))))
	return r.inFlight >= max(share, leastConnections)
}

func (s *search) rank(r *replica) rank {
	d := s.dispatcher
	if s.ramped(r) && (s.now.Before(r.nextCold) || s.plan.feeder(r) != d.options.Gateway) {
		return excluded
	}
	if s.now.Before(r.avoidedUntil) || r.silent(s.now, d.options.Backend.LastReceived(r.address)) {
		return avoided
	}
	if s.now.Before(s.service.outliers.EjectedUntil(r.id)) || s.now.Before(d.zone(r.zone).avoidedUntil) {
		return avoided
	}
	return usable
}

// ramped says whether a cold replica's bound holds for the replica.
func (s *search) ramped(r *replica) bool {
	return s.service.spec.SlowStartRate > 0 && r.isCold(s.now)
}

// best chooses among replicas of one rank.
func (s *search) best(list []*replica) (*choice, *RequestError) {
	work := s.work()
	cached := s.cached()
	candidates := s.candidates(list, cached)
	position, expected := placement.Choose(candidates, work)
	if s.refusable() && expected > s.longest(&candidates[position], work) {
		return nil, &RequestError{Code: CodeOverloaded, RetryAfter: busyRetryAfter}
	}
	chosen := list[position]
	if s.ramped(chosen) {
		gap := time.Duration(float64(time.Second) / (s.dispatcher.options.Bounds.coldShare() * s.service.spec.SlowStartRate))
		chosen.nextCold = s.now.Add(gap)
	}
	return &choice{
		replica:  chosen,
		expected: time.Duration(expected * float64(time.Second)),
		cached:   cached[chosen.number],
	}, nil
}

// refusable says whether a request may be refused for waiting. One that may have run
// would not come again as one that has not: a late answer is worth more to it.
func (s *search) refusable() bool { return s.route.FirstEventTarget > 0 && !s.repeats }

// longest is the expected time to the first event, in seconds, beyond which the
// request is refused: it would be late for waiting. When it comes again it may be
// in time; here it would only delay others.
func (s *search) longest(chosen *placement.Candidate, work placement.Work) float64 {
	aim := s.route.FirstEventTarget.Seconds()
	own := 0.0
	if chosen.PrefillRate > 0 {
		own = max(0, work.Tokens-chosen.CachedTokens) / chosen.PrefillRate
	}
	return max(aim, own+waitPart*aim)
}

// work is what placement must know of the request. Reading times stand for
// tokens, so that long prompts count as the long time that they take.
func (s *search) work() placement.Work {
	tokens := readingWork(s.request.PromptTokens, 0) * readingSpeed
	link, found := placement.Affinity(s.request.PrefixChain)
	if !found || s.service.spec.CacheTokens == 0 {
		return placement.Work{Tokens: tokens, AffinityHash: placement.Hash(s.request.ID)}
	}
	return placement.Work{Tokens: tokens, AffinityHash: link.Hash, AffinityTokens: float64(link.Tokens), UncachedPrefillWeight: rereading}
}

// cached is what replicas are known to hold of the prompt, in tokens by number.
func (s *search) cached() map[int]int {
	cached := make(map[int]int)
	s.service.index.Cached(s.request.PrefixChain, func(number, tokens int) { cached[number] = tokens })
	return cached
}

func (s *search) candidates(list []*replica, cached map[int]int) []placement.Candidate {
	candidates := make([]placement.Candidate, 0, len(list))
	for i, r := range list {
		candidates = append(candidates, s.candidate(i, r, cached[r.number]))
	}
	return candidates
}

func (s *search) candidate(position int, r *replica, cached int) placement.Candidate {
	others := s.dispatcher.loads.others(r.key, s.now)
	trip := s.dispatcher.trip(r).Seconds()
	c := placement.Candidate{
		Number:         position,
		Hash:           r.hash,
		ActiveRequests: float64(r.inFlight + others.Requests),
		Slots:          float64(s.slots(r)),
		ServiceTime:    s.service.hold,
		Wait:           trip,
		Penalty:        crossing * trip,
	}
	if !s.dispatcher.options.Backend.HasIdleConnection(r.address) {
		c.Wait += trip
		c.Penalty += connectingPrice
	}
	if s.ramped(r) {
		c.Penalty += coldPenalty
	}
	if s.service.spec.CacheTokens > 0 {
		line := s.service.pace.now
		c.PrefillRate = readingSpeed / (line.factor * r.slowness)
		c.Wait += line.start + r.backlog.left(s.now).Seconds()
		c.CachedTokens = float64(cached)
		room := memoryShare*float64(s.service.spec.CacheTokens) - r.held - float64(others.Tokens)
		if room < s.request.PromptTokens {
			c.Wait += s.service.hold
		}
	}
	return c
}

func (s *search) slots(r *replica) int {
	switch {
	case s.service.spec.Slots > 0:
		return s.service.spec.Slots
	case r.slots > 0:
		return r.slots
	default:
		return defaultSlots
	}
}
