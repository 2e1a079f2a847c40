package emulator

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// sequence is a job that holds a slot.
type sequence struct {
	job Job
	// path is its pinned part of the prefix tree, private its own tokens.
	path    []*prefixNode
	private int
	// started is set once prefill began; cached and remaining are known then.
	started   bool
	cached    int
	remaining int
	generated int
	// finishing is set while the running step completes the prefill.
	finishing bool
}

// modelReplica is a language model with continuous batching: each step prefills
// a bounded chunk, in order of admission, and decodes one token for every
// sequence whose prefill is done.
type modelReplica struct {
	common
	cache   *prefixCache
	waiting []Job
	running []*sequence
	// stepping is set while a step runs, which ends at stepEnd.
	stepping bool
	stepEnd  time.Duration
	// decoding are the sequences that get a token from the running step.
	decoding []*sequence
}

// Submit implements Replica.
func (m *modelReplica) Submit(now time.Duration, job Job) error {
	m.work(now)
	if m.draining {
		return ErrDraining
	}
	if prefixTokens(job.Prefixes)+privateTokens(job) > m.parameters.CacheTokens {
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
	m.work(now)
	m.waiting = slices.DeleteFunc(m.waiting, func(job Job) bool { return job.ID == id })
	for index, candidate := range m.running {
		if candidate.job.ID == id {
			m.running = slices.Delete(m.running, index, index+1)
			m.decoding = slices.DeleteFunc(m.decoding, func(s *sequence) bool { return s == candidate })
			m.cache.unpin(candidate.path, candidate.private)
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
	m.work(now)
	return m.takeEvents()
}

// work completes the steps that end by now.
func (m *modelReplica) work(now time.Duration) {
	for m.stepping && m.stepEnd <= now {
		end := m.stepEnd
		m.finishStep(end)
		m.startStep(end)
	}
}

// startStep admits waiting jobs and begins the next step, if there is work.
func (m *modelReplica) startStep(now time.Duration) {
	m.admit()
	m.stepping = len(m.running) > 0
	if !m.stepping {
		return
	}
	prefilled := m.prefill()
	m.decoding = m.decoding[:0]
	for _, candidate := range m.running {
		if candidate.started && candidate.remaining == 0 && !candidate.finishing {
			m.decoding = append(m.decoding, candidate)
		}
	}
	duration := time.Duration(float64(prefilled) / m.parameters.PrefillTokensPerSecond * float64(time.Second))
	if further := len(m.decoding) - 1; further >= 0 {
		duration += milliseconds(m.parameters.DecodeStepMS + float64(further)*m.parameters.DecodeSequenceMS)
	}
	m.stepEnd = now + m.stretch(now, duration)
}

// admit gives slots and cache room to waiting jobs in order.
func (m *modelReplica) admit() {
	for len(m.waiting) > 0 && m.freeSlots() > 0 {
		job := m.waiting[0]
		private := privateTokens(job)
		path, fits := m.cache.pin(job.Prefixes, private)
		if !fits {
			return
		}
		m.waiting = m.waiting[1:]
		m.running = append(m.running, &sequence{job: job, path: path, private: private})
	}
}

// prefill spends the step's chunk on the oldest unfinished prompts and returns
// the tokens spent.
func (m *modelReplica) prefill() int {
	budget := m.parameters.PrefillChunkTokens
	for _, candidate := range m.running {
		if budget == 0 {
			break
		}
		if candidate.started && candidate.remaining == 0 {
			continue
		}
		if !candidate.started {
			candidate.begin()
		}
		spent := min(budget, candidate.remaining)
		candidate.remaining -= spent
		candidate.finishing = candidate.remaining == 0
		budget -= spent
	}
	return m.parameters.PrefillChunkTokens - budget
}

// begin looks the prompt up in the cache. At least one token is prefilled.
func (s *sequence) begin() {
	s.started = true
	s.remaining = s.job.PromptTokens
	for _, node := range s.path {
		if node.ready {
			s.cached += node.tokens
		} else {
			s.remaining += node.tokens
		}
	}
	s.remaining = max(s.remaining, 1)
}

// finishStep gives a token to each decoding sequence and to each whose prefill
// is complete, and releases those that are done.
func (m *modelReplica) finishStep(now time.Duration) {
	for _, candidate := range m.decoding {
		m.generate(now, candidate)
	}
	for _, candidate := range m.running {
		if !candidate.finishing {
			continue
		}
		candidate.finishing = false
		for _, node := range candidate.path {
			node.ready = true
		}
		m.generate(now, candidate)
	}
	m.running = slices.DeleteFunc(m.running, func(s *sequence) bool {
		done := s.generated >= s.job.AnswerTokens && s.generated > 0
		if done {
			m.cache.unpin(s.path, s.private)
			m.cache.touch(s.path)
			m.answers++
		}
		return done
	})
}

// generate emits the next token of a sequence, and its end after the last.
func (m *modelReplica) generate(now time.Duration, s *sequence) {
	s.generated++
	event := Event{Job: s.job.ID, Kind: EventToken, At: now, Index: s.generated, CachedTokens: s.cached}
	m.events = append(m.events, event)
	if s.generated >= s.job.AnswerTokens {
		event.Kind = EventEnd
		m.events = append(m.events, event)
	}
}

// State implements Replica.
func (m *modelReplica) State(now time.Duration) State {
	m.work(now)
	m.warmUp(now)
	speed := m.parameters.PrefillTokensPerSecond
	if m.cold {
		speed /= m.parameters.ColdFactor
	}
	return State{
		Running:                len(m.running),
		Queued:                 len(m.waiting),
		Slots:                  m.parameters.Slots,
		PendingPrefillTokens:   m.pendingPrefill(),
		PrefillTokensPerSecond: speed,
		CacheUsed:              min(1, float64(m.cache.used)/float64(m.cache.capacity)),
		CacheEvictions:         m.cache.evictions,
		WeightVersion:          m.parameters.WeightVersion,
		Cold:                   m.cold,
		Draining:               m.draining,
	}
}

// pendingPrefill counts the prompt tokens still to be worked on.
func (m *modelReplica) pendingPrefill() int {
	pending := 0
	for _, candidate := range m.running {
		if candidate.started {
			pending += candidate.remaining
			continue
		}
		pending += m.cache.missing(candidate.job.Prefixes) + candidate.job.PromptTokens
	}
	for _, job := range m.waiting {
		pending += m.cache.missing(job.Prefixes) + job.PromptTokens
	}
	return pending
}

// MakeCold implements Replica.
func (m *modelReplica) MakeCold(now time.Duration) {
	m.work(now)
	m.cache.makeRoom(m.cache.capacity)
	m.chill(now)
}

func privateTokens(job Job) int {
	return job.PromptTokens + job.AnswerTokens
}

func prefixTokens(prefixes []api.Prefix) int {
	total := 0
	for _, prefix := range prefixes {
		total += prefix.Tokens
	}
	return total
}
