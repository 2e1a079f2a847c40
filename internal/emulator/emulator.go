// Package emulator models a replica in virtual time: a language model that
// prefills prompts, keeps shared prefixes in a KV cache and decodes in batches,
// or a small web service. It performs no I/O, starts no goroutine and reads no
// clock: callers pass the time since the replica's start, which must never fall.
// Equal parameters, seeds and calls give equal events.
package emulator

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// Errors of Submit. A job refused with one of them has not begun.
var (
	ErrDraining  = errors.New("emulator: the replica is draining")
	ErrQueueFull = errors.New("emulator: the queue is full")
	ErrTooLarge  = errors.New("emulator: the request does not fit into the KV cache")
)

// Job is one run on a replica.
type Job struct {
	// ID is unique among the jobs of one replica.
	ID       string
	Prefixes []api.Prefix
	// PromptTokens is the length of the prompt after the prefixes.
	PromptTokens int
	// AnswerTokens is the exact length of the answer.
	AnswerTokens int
}

// EventKind says what happened to a job.
type EventKind uint8

const (
	// EventToken is one generated token.
	EventToken EventKind = iota
	// EventEnd follows the last token.
	EventEnd
)

// Event is one step of a job. Events of one job come in order.
type Event struct {
	Job  string
	Kind EventKind
	// At is when it happened, since the replica's start.
	At time.Duration
	// Index counts the tokens of the job from 1; at the end it is their number.
	Index int
	// CachedTokens is the part of the prompt found in the KV cache.
	CachedTokens int
}

// State is what a replica can say of itself.
type State struct {
	Running              int
	Queued               int
	Slots                int
	PendingPrefillTokens int
	// PrefillTokensPerSecond is the present speed, lower while cold.
	PrefillTokensPerSecond float64
	// CacheUsed is the used part of the KV cache, 0 to 1.
	CacheUsed      float64
	CacheEvictions uint64
	WeightVersion  string
	Cold           bool
	Draining       bool
}

// Replica is one emulated replica. It is not safe for concurrent use.
type Replica interface {
	// Submit accepts a job at now or refuses it with one of the package's errors.
	Submit(now time.Duration, job Job) error
	// Cancel forgets a job at now; an unknown one is ignored.
	Cancel(now time.Duration, id string)
	// NextEvent is the time at which Advance has work, if any is left.
	NextEvent() (time.Duration, bool)
	// Advance works up to now and returns the events since the last call.
	Advance(now time.Duration) []Event
	// State describes the replica at now.
	State(now time.Duration) State
	// SetDraining makes the replica refuse new jobs, or take them again.
	SetDraining(draining bool)
	// MakeCold empties the KV cache of what is unused and makes the replica slow
	// until it has warmed up.
	MakeCold(now time.Duration)
}

// New makes a replica. It panics on parameters that Validate refuses.
func New(parameters Parameters, seed uint64, cold bool) Replica {
	if err := parameters.Validate(); err != nil {
		panic("emulator: " + err.Error())
	}
	shared := common{
		parameters: parameters,
		random:     rand.New(rand.NewPCG(seed, uint64(len(parameters.Kind)))),
		cold:       cold,
	}
	if parameters.Kind == KindWeb {
		return &webReplica{common: shared}
	}
	return &modelReplica{common: shared, cache: newPrefixCache(parameters.CacheTokens)}
}

// common is what both kinds of replica share.
type common struct {
	parameters Parameters
	random     *rand.Rand
	events     []Event
	draining   bool
	cold       bool
	coldSince  time.Duration
	answers    int // since coldSince
}

// SetDraining implements Replica.
func (c *common) SetDraining(draining bool) {
	c.draining = draining
}

// warmUp ends coldness once the replica has worked or waited enough.
func (c *common) warmUp(now time.Duration) {
	if !c.cold {
		return
	}
	waited := now - c.coldSince
	if c.answers >= c.parameters.WarmRequests || waited.Seconds() >= c.parameters.WarmSeconds {
		c.cold = false
	}
}

func (c *common) chill(now time.Duration) {
	c.cold = true
	c.coldSince = now
	c.answers = 0
}

// stretch applies coldness and jitter to a duration.
func (c *common) stretch(now, duration time.Duration) time.Duration {
	c.warmUp(now)
	factor := 1 + c.parameters.Jitter*(2*c.random.Float64()-1)
	if c.cold {
		factor *= c.parameters.ColdFactor
	}
	return time.Duration(float64(duration) * factor)
}

// takeEvents returns and forgets the events gathered so far.
func (c *common) takeEvents() []Event {
	events := c.events
	c.events = nil
	return events
}
