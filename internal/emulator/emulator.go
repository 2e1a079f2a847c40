// Package emulator models a replica in virtual time: a language model that prefills
// prompts, caches shared prefixes in a KV cache and decodes in batches, or a small web
// service. It performs no I/O, starts no goroutine and reads no clock: callers pass
// the time since the replica's start, which must never decrease. Equal parameters,
// seeds and calls give equal events.
package emulator

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// Errors that Submit returns. A refused job has not started.
var (
	ErrDraining  = errors.New("emulator: the replica is draining")
	ErrQueueFull = errors.New("emulator: the queue is full")
	ErrTooLarge  = errors.New("emulator: the request does not fit into the KV cache")
)

// Job is one execution of a request on a replica.
type Job struct {
	// ID is unique among the jobs of one replica.
	ID       string
	Prefixes []api.Prefix
	// PromptTokens is the length of the prompt after the prefixes.
	PromptTokens int
	// AnswerTokens is the exact length of the answer.
	AnswerTokens int
}

// EventKind is the kind of an Event.
type EventKind uint8

const (
	// EventToken reports one generated token.
	EventToken EventKind = iota
	// EventEnd reports that a job is complete. It follows the last token.
	EventEnd
)

// Event reports the progress of a job. The events of a job are ordered by time.
type Event struct {
	Job  string // ID of the job
	Kind EventKind
	// At is the time of the event since the replica's start.
	At time.Duration
	// Index is the number of the token, from 1. For EventEnd it is the length of the
	// answer in tokens.
	Index int
	// CachedTokens is the number of prompt tokens found in the KV cache.
	CachedTokens int
}

// State is the state that a replica reports to gateways.
type State struct {
	Running              int
	Queued               int
	Slots                int
	PendingPrefillTokens int
	// PrefillTokensPerSecond is the current prefill rate, which is lower while cold.
	PrefillTokensPerSecond float64
	// CacheUsed is the used fraction of the KV cache, 0 to 1.
	CacheUsed float64
	// CacheEvictions counts the evicted prefixes since the start.
	CacheEvictions uint64
	WeightVersion  string
	Cold           bool
	Draining       bool
}

// Replica is one emulated replica. It is not safe for concurrent use.
type Replica interface {
	// Submit accepts a job at now, or refuses it with ErrDraining, ErrQueueFull or
	// ErrTooLarge.
	Submit(now time.Duration, job Job) error
	// Cancel removes a job at now. It does nothing if the id is unknown.
	Cancel(now time.Duration, id string)
	// NextEvent returns the next time at which Advance has work to do, and false if
	// the replica is idle.
	NextEvent() (time.Duration, bool)
	// Advance runs the replica until now and returns the events since the last call.
	Advance(now time.Duration) []Event
	// State returns the replica's state at now.
	State(now time.Duration) State
	// SetDraining makes the replica refuse new jobs, or accept them again.
	SetDraining(draining bool)
	// MakeCold evicts the unused part of the KV cache and makes the replica slow until
	// it has warmed up. Running jobs continue.
	MakeCold(now time.Duration)
}

// New returns a replica that starts cold or warm. It panics if Validate rejects the
// parameters.
func New(parameters Parameters, seed uint64, cold bool) Replica {
	if err := parameters.Validate(); err != nil {
		panic("emulator: " + err.Error())
	}
	base := replicaBase{
		parameters: parameters,
		random:     rand.New(rand.NewPCG(seed, uint64(len(parameters.Kind)))),
		cold:       cold,
	}
	if parameters.Kind == KindWeb {
		return &webReplica{replicaBase: base}
	}
	return &modelReplica{replicaBase: base, cache: newPrefixCache(parameters.CacheTokens)}
}

// replicaBase is the state that both kinds of replica share.
type replicaBase struct {
	parameters       Parameters
	random           *rand.Rand
	events           []Event
	draining         bool
	cold             bool
	coldSince        time.Duration
	answersSinceCold int
}

// SetDraining implements Replica.
func (b *replicaBase) SetDraining(draining bool) {
	b.draining = draining
}

// warmUp makes a cold replica warm after WarmRequests answers or after WarmSeconds.
func (b *replicaBase) warmUp(now time.Duration) {
	if !b.cold {
		return
	}
	coldFor := now - b.coldSince
	if b.answersSinceCold >= b.parameters.WarmRequests || coldFor.Seconds() >= b.parameters.WarmSeconds {
		b.cold = false
	}
}

// becomeCold restarts the warm-up.
func (b *replicaBase) becomeCold(now time.Duration) {
	b.cold = true
	b.coldSince = now
	b.answersSinceCold = 0
}

// scaleDuration multiplies a duration by the jitter and, if the replica is cold at now,
// by the cold factor.
func (b *replicaBase) scaleDuration(now, duration time.Duration) time.Duration {
	b.warmUp(now)
	factor := 1 + b.parameters.Jitter*(2*b.random.Float64()-1)
	if b.cold {
		factor *= b.parameters.ColdFactor
	}
	return time.Duration(float64(duration) * factor)
}

// takeEvents returns the events since the last call.
func (b *replicaBase) takeEvents() []Event {
	events := b.events
	b.events = nil
	return events
}
