package emulator

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// sequence is a job that occupies a slot.
type sequence struct {
	job Job
	// path is the sequence's pinned path in the prefix tree. privateTokens is the
	// number of cache tokens reserved for the rest of the prompt and the answer.
	path          []*prefixNode
	privateTokens int
	// prefillStarted is set when the prefill begins. cachedTokens is the number of prompt
	// tokens found in the cache then, and prefillTokens the number left to prefill.
	prefillStarted  bool
	cachedTokens    int
	prefillTokens   int
	generatedTokens int
	// prefillEnds is set during the step that completes the prefill.
	prefillEnds bool
}

// modelReplica is a language model with continuous batching: each step prefills a
// bounded number of prompt tokens, in order of admission, and decodes one token for
// every sequence whose prefill is complete.
type modelReplica struct {
	replicaBase
	cache   *prefixCache
	waiting []Job
	running []*sequence
	// stepping is set while a step runs; the step ends at stepEnd.
	stepping bool
	stepEnd  time.Duration
	// decoding lists the sequences that get a token from the running step.
	decoding []*sequence
}

// Submit implements Replica.
func (m *modelReplica) Submit(now time.Duration, job Job) error {
	m.advanceTo(now)
	if m.draining {
		return ErrDraining
	}
	if prefixTokens(job.Prefixes)+jobTokens(job) > m.parameters.CacheTokens {
		return ErrTooLarge
	}
	if len(m.waiting) >= m.parameters.QueueLength+m.freeSlots() {
		return ErrQueueFull
	}
	m.waiting = append(m.waiting, job)
	if !m.stepping {
		m.startStep(now)
	}
	return nil
}

func (m *modelReplica) freeSlots() int {
	return m.parameters.Slots - len(m.running)
}

// Cancel implements Replica.
func (m *modelReplica) Cancel(now time.Duration, id string) {
	m.advanceTo(now)
	m.waiting = slices.DeleteFunc(m.waiting, func(job Job) bool { return job.ID == id })
	for index, candidate := range m.running {
		if candidate.job.ID == id {
			m.running = slices.Delete(m.running, index, index+1)
			m.decoding = slices.DeleteFunc(m.decoding, func(s *sequence) bool { return s == candidate })
			m.cache.unpin(candidate.path, candidate.privateTokens)
			return
		}
	}
}

// NextEvent implements Replica.
func (m *modelReplica) NextEvent() (time.Duration, bool) {
	return m.stepEnd, m.stepping
}

// Advance implements Replica.
func (m *modelReplica) Advance(now time.Duration) []Event {
	m.advanceTo(now)
	return m.takeEvents()
}

// advanceTo completes each step that ends by now and starts the next one.
func (m *modelReplica) advanceTo(now time.Duration) {
	for m.stepping && m.stepEnd <= now {
		end := m.stepEnd
		m.finishStep(end)
		m.startStep(end)
	}
}

// startStep admits waiting jobs and begins the next step if there is work.
func (m *modelReplica) startStep(now time.Duration) {
	m.admit()
	m.stepping = len(m.running) > 0
	if !m.stepping {
		return
	}
	prefilled := m.prefill()
	m.selectDecoding()
	m.stepEnd = now + m.scaleDuration(now, m.stepDuration(prefilled))
}

// selectDecoding sets decoding to the sequences whose prefill was complete before
// this step.
func (m *modelReplica) selectDecoding() {
	m.decoding = m.decoding[:0]
	for _, candidate := range m.running {
		if candidate.prefillStarted && candidate.prefillTokens == 0 && !candidate.prefillEnds {
			m.decoding = append(m.decoding, candidate)
		}
	}
}

// stepDuration returns the duration of a step on a warm replica without jitter.
func (m *modelReplica) stepDuration(prefilled int) time.Duration {
	duration := time.Duration(float64(prefilled) / m.parameters.PrefillTokensPerSecond * float64(time.Second))
	if further := len(m.decoding) - 1; further >= 0 {
		duration += milliseconds(m.parameters.DecodeStepMS + float64(further)*m.parameters.DecodeSequenceMS)
	}
	return duration
}

// admit assigns free slots to waiting jobs in order of arrival, until the cache has no
// space for the next job.
func (m *modelReplica) admit() {
	for len(m.waiting) > 0 && m.freeSlots() > 0 {
		job := m.waiting[0]
		private := jobTokens(job)
		path, fits := m.cache.pin(job.Prefixes, private)
		if !fits {
			return
		}
		m.waiting = m.waiting[1:]
		m.running = append(m.running, &sequence{job: job, path: path, privateTokens: private})
	}
}

// prefill spends the step's chunk of prefill tokens on the oldest unfinished prompts
// and returns the number of tokens spent.
func (m *modelReplica) prefill() int {
	budget := m.parameters.PrefillChunkTokens
	for _, candidate := range m.running {
		if budget == 0 {
			break
		}
		if candidate.prefillStarted && candidate.prefillTokens == 0 {
			continue
		}
		if !candidate.prefillStarted {
			candidate.startPrefill()
		}
		spent := min(budget, candidate.prefillTokens)
		candidate.prefillTokens -= spent
		candidate.prefillEnds = candidate.prefillTokens == 0
		budget -= spent
	}
	return m.parameters.PrefillChunkTokens - budget
}

// startPrefill looks up the prompt in the cache. At least one token is prefilled even
// if all are cached, because decoding needs the output of a prefill.
func (s *sequence) startPrefill() {
	s.prefillStarted = true
	s.prefillTokens = s.job.PromptTokens
	for _, node := range s.path {
		if node.ready {
			s.cachedTokens += node.tokens
		} else {
			s.prefillTokens += node.tokens
		}
	}
	s.prefillTokens = max(s.prefillTokens, 1)
}

// finishStep emits a token for each decoding sequence and for each whose prefill is
// complete, and releases the sequences whose answer is complete.
func (m *modelReplica) finishStep(now time.Duration) {
	for _, candidate := range m.decoding {
		m.emitToken(now, candidate)
	}
	for _, candidate := range m.running {
		if !candidate.prefillEnds {
			continue
		}
		candidate.prefillEnds = false
		for _, node := range candidate.path {
			node.ready = true
		}
		m.emitToken(now, candidate)
	}
	m.running = slices.DeleteFunc(m.running, func(s *sequence) bool {
		done := s.generatedTokens >= s.job.AnswerTokens && s.generatedTokens > 0
		if done {
			m.cache.unpin(s.path, s.privateTokens)
			m.cache.touch(s.path)
			m.answersSinceCold++
		}
		return done
	})
}

// emitToken emits the next token of a sequence and, after the last one, its end.
func (m *modelReplica) emitToken(now time.Duration, s *sequence) {
	s.generatedTokens++
	event := Event{Job: s.job.ID, Kind: EventToken, At: now, Index: s.generatedTokens, CachedTokens: s.cachedTokens}
	m.events = append(m.events, event)
	if s.generatedTokens >= s.job.AnswerTokens {
		event.Kind = EventEnd
		m.events = append(m.events, event)
	}
}

// State implements Replica.
func (m *modelReplica) State(now time.Duration) State {
	m.advanceTo(now)
	m.warmUp(now)
	speed := m.parameters.PrefillTokensPerSecond
	if m.cold {
		speed /= m.parameters.ColdFactor
	}
	return State{
		Running:                len(m.running),
		Queued:                 len(m.waiting),
		Slots:                  m.parameters.Slots,
		PendingPrefillTokens:   m.pendingPrefillTokens(),
		PrefillTokensPerSecond: speed,
		CacheUsed:              min(1, float64(m.cache.usedTokens)/float64(m.cache.capacityTokens)),
		CacheEvictions:         m.cache.evictions,
		WeightVersion:          m.parameters.WeightVersion,
		Cold:                   m.cold,
		Draining:               m.draining,
	}
}

// pendingPrefillTokens returns the number of prompt tokens of running and waiting jobs
// that are left to prefill.
func (m *modelReplica) pendingPrefillTokens() int {
	pending := 0
	for _, candidate := range m.running {
		if candidate.prefillStarted {
			pending += candidate.prefillTokens
			continue
		}
		pending += m.cache.missingTokens(candidate.job.Prefixes) + candidate.job.PromptTokens
	}
	for _, job := range m.waiting {
		pending += m.cache.missingTokens(job.Prefixes) + job.PromptTokens
	}
	return pending
}

// MakeCold implements Replica.
func (m *modelReplica) MakeCold(now time.Duration) {
	m.advanceTo(now)
	m.cache.evictFor(m.cache.capacityTokens)
	m.becomeCold(now)
}

// jobTokens returns the number of cache tokens that a job needs in addition to its
// prefixes.
func jobTokens(job Job) int {
	return job.PromptTokens + job.AnswerTokens
}

func prefixTokens(prefixes []api.Prefix) int {
	total := 0
	for _, prefix := range prefixes {
		total += prefix.Tokens
	}
	return total
}
