// Package outlier detects replicas that perform clearly worse than the others of
// their group, and ejects them for a bounded time. It never ejects more than a given
// fraction of the group. It reads no clock: time is an input.
package outlier

import (
	"math"
	"slices"
	"time"
)

// Config holds the parameters of ejection.
type Config struct {
	// ConsecutiveFailures is the number of failures in a row that eject a replica.
	ConsecutiveFailures int
	// ErrorRate is the smoothed fraction of failed requests, 0 to 1, that ejects a
	// replica once it has had MinimumRequests requests.
	ErrorRate float64
	// MinimumRequests is the number of requests of a replica from which ErrorRate
	// applies, and the number of its latency samples from which SlowLatencyRatio
	// applies. Both are counted since its last ejection.
	MinimumRequests float64
	// SlowLatencyRatio ejects a replica whose smoothed latency is more than this
	// many times the median of the group.
	SlowLatencyRatio float64
	// MinSlowLatency is the smoothed latency below which no replica counts as slow.
	MinSlowLatency time.Duration
	// MaxEjectionFraction is the fraction of the group that may be ejected at the same
	// time. The resulting number of replicas is rounded down.
	MaxEjectionFraction float64
	// BaseEjectionTime is the duration of the first ejection of a replica. The duration
	// doubles with each ejection that follows within MaxEjectionTime after the end of
	// the previous one.
	BaseEjectionTime time.Duration
	// MaxEjectionTime is the maximum duration of an ejection.
	MaxEjectionTime time.Duration
}

// DefaultConfig returns the default parameters.
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

// smoothing is the weight of one request in the exponential moving averages.
const smoothing = 0.1

// FailureHalfLife is the time in which the failure ratio of a replica without attempts
// falls to one half.
const FailureHalfLife = 5 * time.Second

const (
	// minFailureRatio is the smoothed failure ratio below which FailureRatio returns 0.
	minFailureRatio = 0.01
	// failureMemory is the time after which any failure ratio has decayed below
	// minFailureRatio.
	failureMemory = 7 * FailureHalfLife
	// medianLifetime is the time after which the median is computed again.
	medianLifetime = 200 * time.Millisecond
	// minMedianMembers is the number of members with enough samples that a median
	// requires: with two members it is not clear which one is the outlier.
	minMedianMembers = 3
	// maxDoublings limits the doublings of the ejection time, so that the shift does not
	// overflow.
	maxDoublings = 16
)

// member holds the measurements and the ejection state of one replica.
type member struct {
	consecutiveFailures int
	errorRate           float64 // fraction of the requests that failed, smoothed
	requests            float64 // since the last ejection
	failureRatio        float64 // fraction of the attempts that failed or were rejected, smoothed
	lastAttempt         time.Time
	latency             float64 // seconds, smoothed
	latencySamples      float64
	ejectedUntil        time.Time
	ejections           int // ejections so far, reset after a long time without one
}

// Group detects outliers among the replicas of one service in one region. It is
// not safe for concurrent use.
type Group struct {
	config      Config
	members     map[string]*member
	lastFailure time.Time // of any member, including rejections
	median      float64   // of the members' latencies, in seconds; 0 if there is none
	medianAt    time.Time
}

// NewGroup returns an empty group.
func NewGroup(config Config) *Group {
	return &Group{config: config, members: make(map[string]*member)}
}

// SetMembers replaces the members of the group by the named replicas. Those that were
// members before retain their state; the state of other replicas is dropped.
func (g *Group) SetMembers(names []string) {
	members := make(map[string]*member, len(names))
	for _, name := range names {
		members[name] = g.members[name]
		if members[name] == nil {
			members[name] = &member{}
		}
	}
	g.members = members
}

// Forget resets the state of a replica, for example after a restart.
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
	m.recordAttempt(now, 0)
	m.consecutiveFailures = 0
	m.requests++
	m.errorRate -= smoothing * m.errorRate
}

// RecordLatency records the time to the first token of a request. It reports whether
// the replica was ejected as a result.
func (g *Group) RecordLatency(now time.Time, name string, latency time.Duration) bool {
	m := g.members[name]
	if m == nil {
		return false
	}
	m.latencySamples++
	if m.latency == 0 {
		m.latency = latency.Seconds()
	}
	m.latency += smoothing * (latency.Seconds() - m.latency)
	if !g.isSlow(now, m) {
		return false
	}
	return g.eject(now, m)
}

// RecordFailure records a failed request. It reports whether the replica was ejected
// as a result.
func (g *Group) RecordFailure(now time.Time, name string) bool {
	m := g.members[name]
	if m == nil {
		return false
	}
	g.lastFailure = now
	m.recordAttempt(now, 1)
	m.consecutiveFailures++
	m.requests++
	m.errorRate += smoothing * (1 - m.errorRate)
	tooManyInRow := m.consecutiveFailures >= g.config.ConsecutiveFailures
	rateTooHigh := m.requests >= g.config.MinimumRequests && m.errorRate >= g.config.ErrorRate
	if !tooManyInRow && !rateTooHigh {
		return false
	}
	return g.eject(now, m)
}

// RecordRejection records an attempt that the replica rejected. It raises the failure
// ratio, but never ejects the replica.
func (g *Group) RecordRejection(now time.Time, name string) {
	if m := g.members[name]; m != nil {
		g.lastFailure = now
		m.recordAttempt(now, 1)
	}
}

// FailureRatio returns the smoothed fraction of recent attempts on a replica that failed
// or were rejected, 0 to 1. It halves with every FailureHalfLife without an attempt, so
// that a replica that is avoided because of its failure ratio is tried again.
func (g *Group) FailureRatio(now time.Time, name string) float64 {
	if now.Sub(g.lastFailure) > failureMemory {
		return 0
	}
	m := g.members[name]
	if m == nil || m.failureRatio < minFailureRatio {
		return 0
	}
	return m.failureRatio * math.Exp2(-float64(now.Sub(m.lastAttempt))/float64(FailureHalfLife))
}

// recordAttempt records an attempt that failed (1) or succeeded (0).
func (m *member) recordAttempt(now time.Time, failure float64) {
	m.failureRatio += smoothing * (failure - m.failureRatio)
	m.lastAttempt = now
}

// EjectedUntil returns the end of the replica's last ejection. If that is the zero time
// or in the past, the replica is not ejected.
func (g *Group) EjectedUntil(name string) time.Time {
	if m := g.members[name]; m != nil {
		return m.ejectedUntil
	}
	return time.Time{}
}

// EjectedCount returns the number of replicas that are ejected at the time now.
func (g *Group) EjectedCount(now time.Time) int {
	count := 0
	for _, m := range g.members {
		if m.ejectedUntil.After(now) {
			count++
		}
	}
	return count
}

// MaxEjected returns the maximum number of replicas that may be ejected at the same time.
func (g *Group) MaxEjected() int {
	return int(g.config.MaxEjectionFraction * float64(len(g.members)))
}

// eject ejects a member unless it is already ejected or MaxEjected is reached, and
// reports whether it did. It resets the member's counters and averages, so that only
// requests after the ejection count for the next one.
func (g *Group) eject(now time.Time, m *member) bool {
	if m.ejectedUntil.After(now) || g.EjectedCount(now) >= g.MaxEjected() {
		return false
	}
	if now.Sub(m.ejectedUntil) > g.config.MaxEjectionTime {
		m.ejections = 0
	}
	duration := min(g.config.BaseEjectionTime<<min(m.ejections, maxDoublings), g.config.MaxEjectionTime)
	m.ejections++
	m.ejectedUntil = now.Add(duration)
	m.consecutiveFailures, m.errorRate, m.requests = 0, 0, 0
	m.latency, m.latencySamples = 0, 0
	return true
}

// isSlow reports whether a member has enough latency samples and is slow compared with
// the median of the group.
func (g *Group) isSlow(now time.Time, m *member) bool {
	if m.latencySamples < g.config.MinimumRequests || m.latency < g.config.MinSlowLatency.Seconds() {
		return false
	}
	if now.Sub(g.medianAt) >= medianLifetime {
		g.median, g.medianAt = g.medianLatency(), now
	}
	return g.median > 0 && m.latency > g.config.SlowLatencyRatio*g.median
}

// medianLatency returns the median latency, in seconds, of the members with at least
// MinimumRequests samples, or 0 if there are fewer than minMedianMembers of them.
func (g *Group) medianLatency() float64 {
	latencies := make([]float64, 0, len(g.members))
	for _, m := range g.members {
		if m.latencySamples >= g.config.MinimumRequests {
			latencies = append(latencies, m.latency)
		}
	}
	if len(latencies) < minMedianMembers {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2]
}
