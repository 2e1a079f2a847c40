// Package failuredetector decides from the time since the last heartbeat whether a
// monitored process is alive, after "The phi Accrual Failure Detector"
// (Hayashibara et al., 2004), and damps values that change slowly by hysteresis.
// It is pure: time is an input.
//
// The model takes the intervals between heartbeats as normally distributed. The
// suspicion level phi after an elapsed time t is -log10 of the probability that
// the next heartbeat of a living process takes longer than t, so phi 3 is wrong
// once in a thousand intervals and phi 8 once in a hundred million.
package failuredetector

import (
	"math"
	"time"
)

// maxIntervals bounds one sample, in expected intervals, so that a single long
// gap does not delay the detection of the next failure for a whole window.
const maxIntervals = 4

// Config holds the constants of the model.
type Config struct {
	// ExpectedInterval is the expected time between heartbeats. The mean is never
	// taken below it, so that a burst of heartbeats does not shorten the detection.
	ExpectedInterval time.Duration
	// MinStdDeviation is a lower bound on the standard deviation.
	MinStdDeviation time.Duration
	// Window is the number of intervals that the model is computed from.
	Window int
	// SuspectThreshold is the phi from which the process is Suspected.
	SuspectThreshold float64
	// DeadThreshold is the phi from which the process is Dead.
	DeadThreshold float64
}

// DefaultConfig returns constants for heartbeats every 500 ms: after a series of
// regular ones a process is suspected about 1.3 s after the last heartbeat and
// dead after about 1.9 s.
func DefaultConfig() Config {
	return Config{
		ExpectedInterval: 500 * time.Millisecond,
		MinStdDeviation:  250 * time.Millisecond,
		Window:           32,
		SuspectThreshold: 3,
		DeadThreshold:    8,
	}
}

// State is what the detector takes a process for at one moment.
type State uint8

const (
	// Alive means that the time since the last heartbeat is not unusual.
	Alive State = iota
	// Suspected means that no new work should be placed on the process.
	Suspected
	// Dead means that the process is taken as failed until its next heartbeat.
	Dead
)

// Detector monitors one process. It is not safe for concurrent use.
type Detector struct {
	config        Config
	intervals     []float64 // seconds; a ring buffer once it has config.Window
	oldest        int       // index of the oldest interval in the ring buffer
	lastHeartbeat time.Time
}

// New returns a detector that takes now as the first heartbeat.
func New(config Config, now time.Time) *Detector {
	return &Detector{config: config, lastHeartbeat: now}
}

// Heartbeat records a heartbeat. One that follows within half of the expected
// interval is an extra one: it counts as the last heartbeat, but its interval is
// not a sample. One that is earlier than the last is ignored.
func (d *Detector) Heartbeat(now time.Time) {
	elapsed := now.Sub(d.lastHeartbeat)
	if elapsed < 0 {
		return
	}
	d.lastHeartbeat = now
	if elapsed < d.config.ExpectedInterval/2 {
		return
	}
	sample := min(elapsed, maxIntervals*d.config.ExpectedInterval).Seconds()
	if len(d.intervals) < d.config.Window {
		d.intervals = append(d.intervals, sample)
		return
	}
	d.intervals[d.oldest] = sample
	d.oldest = (d.oldest + 1) % len(d.intervals)
}

// LastHeartbeat returns the time of the last heartbeat.
func (d *Detector) LastHeartbeat() time.Time {
	return d.lastHeartbeat
}

// Phi returns the suspicion level at now.
func (d *Detector) Phi(now time.Time) float64 {
	mean, deviation := d.model()
	elapsed := now.Sub(d.lastHeartbeat).Seconds()
	tail := 0.5 * math.Erfc((elapsed-mean)/(deviation*math.Sqrt2))
	return -math.Log10(max(tail, math.SmallestNonzeroFloat64))
}

// State returns the state at now.
func (d *Detector) State(now time.Time) State {
	phi := d.Phi(now)
	switch {
	case phi >= d.config.DeadThreshold:
		return Dead
	case phi >= d.config.SuspectThreshold:
		return Suspected
	default:
		return Alive
	}
}

// SuspectedAt returns the time at which the process becomes suspected if no
// heartbeat follows.
func (d *Detector) SuspectedAt() time.Time {
	mean, deviation := d.model()
	tail := math.Pow(10, -d.config.SuspectThreshold)
	elapsed := mean + deviation*math.Sqrt2*math.Erfcinv(2*tail)
	return d.lastHeartbeat.Add(time.Duration(elapsed * float64(time.Second)))
}

// model returns the mean and the standard deviation of the intervals, in seconds,
// with their lower bounds.
func (d *Detector) model() (mean, deviation float64) {
	minMean := d.config.ExpectedInterval.Seconds()
	minDeviation := d.config.MinStdDeviation.Seconds()
	if len(d.intervals) == 0 {
		return minMean, minDeviation
	}
	var sum, sumOfSquares float64
	for _, interval := range d.intervals {
		sum += interval
		sumOfSquares += interval * interval
	}
	count := float64(len(d.intervals))
	mean = sum / count
	variance := max(0, sumOfSquares/count-mean*mean)
	return max(mean, minMean), max(math.Sqrt(variance), minDeviation)
}
