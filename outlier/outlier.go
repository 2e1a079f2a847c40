// Package outlier ejects replicas that perform clearly worse than the others of
// their group, for a bounded time, and never more than a given fraction of the
// group. It is pure: time is an input.
package outlier

import (
	"math"
	"slices"
	"time"
)

// Config holds the constants of ejection.
type Config struct {
	// ConsecutiveFailures is the number of failures in a row that eject a replica.
	ConsecutiveFailures int
	// ErrorRate is the smoothed fraction of failed requests, 0 to 1, that ejects a
	// replica once it has MinimumRequests.
	ErrorRate float64
	// MinimumRequests is the number of requests from which ErrorRate applies, and
	// the number of latency samples from which SlowLatencyRatio applies.
	MinimumRequests float64
	// SlowLatencyRatio ejects a replica whose smoothed latency is more than this
	// many times the median of the group.
	SlowLatencyRatio float64
	// MinSlowLatency is the latency below which no replica counts as slow.
	MinSlowLatency time.Duration
	// MaxEjectionFraction is the fraction of the group that may be ejected at a
	// time; the number of replicas is rounded down.
	MaxEjectionFraction float64
	// BaseEjectionTime is the duration of a first ejection. It doubles with each
	// ejection that follows within MaxEjectionTime of the end of the one before.
	BaseEjectionTime time.Duration
	// MaxEjectionTime bounds the duration of an ejection.
	MaxEjectionTime time.Duration
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

// smoothing is the weight of one request in the exponential moving averages.
const smoothing = 0.1

// FailureHalfLife is the time in which a replica's failure ratio halves while it
// gets no attempts.
const FailureHalfLife = 5 * time.Second

const (
	// minFailureRatio is the failure ratio below which a replica counts as not
	// failing.
	minFailureRatio = 0.01
	// failureMemory is the time after which any failure ratio has decayed below
	// minFailureRatio.
	failureMemory = 7 * FailureHalfLife
	// medianLifetime is how long a computed median is used.
	medianLifetime = 200 * time.Millisecond
	// minMedianMembers is the number of members from which there is a median: of
	// two one cannot tell which is the outlier.
	minMedianMembers = 3
	// maxDoublings bounds the doublings of the ejection time, so that the shift
	// does not overflow.
	maxDoublings = 16
)

// member is what is known of one replica.
type member struct {
	consecutiveFailures int
	errorRate           float64 // fraction of the requests that failed, smoothed
	requests            float64 // since the last ejection
	failureRatio        float64 // fraction of the attempts that failed or were rejected, smoothed
	lastAttempt         time.Time
	latency             float64 // seconds, smoothed
	latencySamples      float64
	ejectedUntil        time.Time
	ejections           int // in close succession
}

// Group detects outliers among the replicas of one service in one region. It is
// not safe for concurrent use.
type Group struct {
	config      Config
	members     map[string]*member
	lastFailure time.Time // of any member, including rejections
	median      float64   // of the members' latency, seconds; 0 is unknown
	medianAt    time.Time
}

// NewGroup returns an empty group.
func NewGroup(config Config) *Group {
	return &Group{config: config, members: make(map[string]*member)}
}

// SetMembers makes the named replicas the members of the group. What is known of
// other replicas is dropped.
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

// Forget drops what is known of a replica, for instance when it was restarted.
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

// RecordLatency records the time to the first token of a request. It reports
// whether that ejected the replica.
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

// RecordFailure records a failed request. It reports whether that ejected the
// replica.
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

// RecordRejection records an attempt that the replica itself rejected. It never
// ejects the replica.
func (g *Group) RecordRejection(now time.Time, name string) {
	if m := g.members[name]; m != nil {
		g.lastFailure = now
		m.recordAttempt(now, 1)
	}
}

// FailureRatio returns the fraction of the recent attempts on a replica that
// failed or were rejected, 0 to 1. It halves with every FailureHalfLife without
// an attempt, so that a replica that is avoided because of it is tried again.
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

// EjectedUntil returns the end of the replica's last ejection. The zero time or
// one in the past means that the replica is not ejected.
func (g *Group) EjectedUntil(name string) time.Time {
	if m := g.members[name]; m != nil {
		return m.ejectedUntil
	}
	return time.Time{}
}

// Ejected returns the number of replicas that are ejected at now.
func (g *Group) Ejected(now time.Time) int {
	count := 0
	for _, m := range g.members {
		if m.ejectedUntil.After(now) {
			count++
		}
	}
	return count
}

// MaxEjected returns the largest number of replicas that may be ejected at a time.
func (g *Group) MaxEjected() int {
	return int(g.config.MaxEjectionFraction * float64(len(g.members)))
}

// eject ejects a member unless it is ejected already or the group allows no more
// ejections, and reports whether it did. The member's averages start over, so
// that a returning replica is judged by what it does from then on.
func (g *Group) eject(now time.Time, m *member) bool {
	if m.ejectedUntil.After(now) || g.Ejected(now) >= g.MaxEjected() {
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

// isSlow reports whether a member is slow compared with the median of the group.
func (g *Group) isSlow(now time.Time, m *member) bool {
	if m.latencySamples < g.config.MinimumRequests || m.latency < g.config.MinSlowLatency.Seconds() {
		return false
	}
	if now.Sub(g.medianAt) >= medianLifetime {
		g.median, g.medianAt = g.medianLatency(), now
	}
	return g.median > 0 && m.latency > g.config.SlowLatencyRatio*g.median
}

// medianLatency returns the median latency of the members with enough samples, in
// seconds; 0 if there are fewer than minMedianMembers of them.
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
