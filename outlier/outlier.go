// Package outlier ejects replicas that do clearly worse than their peers, for a
// bounded time, and never more than a stated part of a group. It is pure: time
// is an input.
package outlier

import (
	"math"
	"slices"
	"time"
)

// Config holds the constants of ejection.
type Config struct {
	// ConsecutiveFailures in a row eject.
	ConsecutiveFailures int
	// ErrorRate over the recent requests ejects, once there are MinimumRequests.
	ErrorRate       float64
	MinimumRequests float64
	// SlowLatencyRatio ejects a replica whose smoothed latency is this many times the
	// median of the group.
	SlowLatencyRatio float64
	// MinSlowLatency is the latency below which nothing counts as slow.
	MinSlowLatency time.Duration
	// MaxEjectionFraction of the group that may be ejected at a time, rounded down.
	MaxEjectionFraction float64
	// BaseEjectionTime and MaxEjectionTime bound the time of an ejection, which doubles with
	// each ejection that follows within MaxEjectionTime of the one before.
	BaseEjectionTime, MaxEjectionTime time.Duration
}

// DefaultConfig returns the documented constants.
func DefaultConfig() Config {
	return Config{
		ConsecutiveFailures: 5,
		ErrorRate:           0.5,
		MinimumRequests:     6,
		SlowLatencyRatio:    4,
		MinSlowLatency:      500 * time.Millisecond,
		MaxEjectionFraction: 0.4,
		BaseEjectionTime:    2 * time.Second,
		MaxEjectionTime:     30 * time.Second,
	}
}

// smoothing is the weight of one request in the moving figures.
const smoothing = 0.1

// FailureHalfLife is the time in which the memory of failures halves while a
// replica gets no attempts.
const FailureHalfLife = 5 * time.Second

// leastFailing is what counts as none, and forgetting the time after which the
// memory of any failure has come down to it.
const (
	leastFailing = 0.01
	forgetting   = 7 * FailureHalfLife
)

// medianAge is how long a computed median is used.
const medianAge = 200 * time.Millisecond

type member struct {
	failuresInRow int
	errorRate     float64
	requests      float64
	failing       float64 // part of the attempts that failed or were refused, smoothed
	failingAt     time.Time
	latency       float64 // seconds, smoothed
	samples       float64 // of latency
	ejectedUntil  time.Time
	ejections     int
}

// Group judges the replicas of one service in one region.
type Group struct {
	config   Config
	members  map[string]*member
	trouble  time.Time // of the last failure or refusal
	median   float64   // of the members' latency, seconds; 0 is unknown
	medianAt time.Time
}

// NewGroup returns an empty group.
func NewGroup(config Config) *Group {
	return &Group{config: config, members: make(map[string]*member)}
}

// SetMembers makes the group consist of the named replicas. The others are forgotten.
func (g *Group) SetMembers(names []string) {
	kept := make(map[string]*member, len(names))
	for _, name := range names {
		kept[name] = g.members[name]
		if kept[name] == nil {
			kept[name] = &member{}
		}
	}
	g.members = kept
}

// Forget clears what is known of a replica, as when it was started anew.
func (g *Group) Forget(name string) {
	if _, ok := g.members[name]; ok {
		g.members[name] = &member{}
	}
}

// RecordSuccess records a completed request.
func (g *Group) RecordSuccess(now time.Time, name string) {
	m := g.members[name]
	if m == nil {
		return
	}
	m.noteAttempt(now, 0)
	m.failuresInRow = 0
	m.requests++
	m.errorRate -= smoothing * m.errorRate
}

// RecordLatency records how long a request waited for its first token. It reports
// whether the replica was ejected by it.
func (g *Group) RecordLatency(now time.Time, name string, latency time.Duration) bool {
	m := g.members[name]
	if m == nil {
		return false
	}
	m.samples++
	if m.latency == 0 {
		m.latency = latency.Seconds()
	}
	m.latency += smoothing * (latency.Seconds() - m.latency)
	if !g.slow(now, m) {
		return false
	}
	return g.eject(now, m)
}

// RecordFailure records a failed request. It reports whether the replica was ejected
// by it.
func (g *Group) RecordFailure(now time.Time, name string) bool {
	m := g.members[name]
	if m == nil {
		return false
	}
	g.trouble = now
	m.noteAttempt(now, 1)
	m.failuresInRow++
	m.requests++
	m.errorRate += smoothing * (1 - m.errorRate)
	inRow := m.failuresInRow >= g.config.ConsecutiveFailures
	rate := m.requests >= g.config.MinimumRequests && m.errorRate >= g.config.ErrorRate
	if !inRow && !rate {
		return false
	}
	return g.eject(now, m)
}

// RecordRejection records an attempt that the replica itself refused. It never ejects.
func (g *Group) RecordRejection(now time.Time, name string) {
	if m := g.members[name]; m != nil {
		g.trouble = now
		m.noteAttempt(now, 1)
	}
}

// FailureRatio is the part of the recent attempts on a replica that failed or were
// refused, 0 to 1. It halves with every FailingHalf without an attempt, so that
// a replica that is avoided for it is tried again.
func (g *Group) FailureRatio(now time.Time, name string) float64 {
	if now.Sub(g.trouble) > forgetting {
		return 0
	}
	m := g.members[name]
	if m == nil || m.failing < leastFailing {
		return 0
	}
	return m.failing * math.Exp2(-float64(now.Sub(m.failingAt))/float64(FailureHalfLife))
}

func (m *member) noteAttempt(now time.Time, outcome float64) {
	m.failing += smoothing * (outcome - m.failing)
	m.failingAt = now
}

// EjectedUntil is the end of the replica's ejection; the zero time or a past
// one means that it is not ejected.
func (g *Group) EjectedUntil(name string) time.Time {
	if m := g.members[name]; m != nil {
		return m.ejectedUntil
	}
	return time.Time{}
}

// Ejected counts the replicas ejected at now.
func (g *Group) Ejected(now time.Time) int {
	count := 0
	for _, m := range g.members {
		if m.ejectedUntil.After(now) {
			count++
		}
	}
	return count
}

// MaxEjected is the largest number of replicas that may be ejected at a time.
func (g *Group) MaxEjected() int {
	return int(g.config.MaxEjectionFraction * float64(len(g.members)))
}

func (g *Group) eject(now time.Time, m *member) bool {
	if m.ejectedUntil.After(now) || g.Ejected(now) >= g.MaxEjected() {
		return false
	}
	if now.Sub(m.ejectedUntil) > g.config.MaxEjectionTime {
		m.ejections = 0
	}
	length := min(g.config.BaseEjectionTime<<min(m.ejections, 16), g.config.MaxEjectionTime)
	m.ejections++
	m.ejectedUntil = now.Add(length)
	m.failuresInRow, m.errorRate, m.requests = 0, 0, 0
	m.latency, m.samples = 0, 0
	return true
}

// slow compares a replica with the median of the group.
func (g *Group) slow(now time.Time, m *member) bool {
	if m.samples < g.config.MinimumRequests || m.latency < g.config.MinSlowLatency.Seconds() {
		return false
	}
	if now.Sub(g.medianAt) >= medianAge {
		g.median, g.medianAt = g.medianLatency(), now
	}
	return g.median > 0 && m.latency > g.config.SlowLatencyRatio*g.median
}

// medianLatency is the median of the members with enough requests, 0 if there
// are fewer than three: of two nobody can say which is the outlier.
func (g *Group) medianLatency() float64 {
	latencies := make([]float64, 0, len(g.members))
	for _, peer := range g.members {
		if peer.samples >= g.config.MinimumRequests {
			latencies = append(latencies, peer.latency)
		}
	}
	if len(latencies) < 3 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2]
}
