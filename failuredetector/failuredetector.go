// Package failuredetector decides whether a monitored process is alive from the time
// since its last heartbeat, as described in "The phi Accrual Failure Detector"
// (Hayashibara et al., 2004). It also provides hysteresis for observed values that
// change from time to time. It reads no clock: time is an input.
//
// The model assumes that the intervals between heartbeats are normally distributed.
// The suspicion level phi after an elapsed time t is -log10 of the probability that
// the next heartbeat of a process that is alive takes longer than t. So a threshold of
// 3 causes a false suspicion once in a thousand intervals, and a threshold of 8 once in
// a hundred million.
package failuredetector

import (
	"math"
	"time"
)

// maxIntervals is the maximum length of one sample, in expected intervals, so that a
// single long gap does not delay the detection of failures until it has left the window.
const maxIntervals = 4

// Config holds the parameters of the model.
type Config struct {
	// ExpectedInterval is the expected time between heartbeats. It is also the lower
	// bound on the mean, so that frequent heartbeats do not cause an early suspicion.
	ExpectedInterval time.Duration
	// MinStdDeviation is the lower bound on the standard deviation.
	MinStdDeviation time.Duration
	// Window is the number of most recent intervals that the model is computed from.
	Window int
	// SuspectThreshold is the phi from which the process is Suspected.
	SuspectThreshold float64
	// DeadThreshold is the phi from which the process is Dead.
	DeadThreshold float64
}

// DefaultConfig returns parameters for heartbeats every 500 ms. After regular
// heartbeats, a process is suspected about 1.3 s after the last one, and dead after
// about 1.9 s.
func DefaultConfig() Config {
	return Config{
		ExpectedInterval: 500 * time.Millisecond,
		MinStdDeviation:  250 * time.Millisecond,
		Window:           32,
		SuspectThreshold: 3,
		DeadThreshold:    8,
	}
}

// State is the state in which the detector considers a process to be.
type State uint8

const (
	// Alive means that the time since the last heartbeat is not unusual.
	Alive State = iota
	// Suspected means that no new work should be placed on the process.
	Suspected
	// Dead means that the process is considered failed until its next heartbeat.
	Dead
)

// Detector monitors one process. It is not safe for concurrent use.
type Detector struct {
	config        Config
	intervals     []float64 // in seconds; a ring buffer once it has config.Window elements
	oldest        int       // index of the oldest interval in the ring buffer
	lastHeartbeat time.Time
}

// New returns a detector with now as the time of the first heartbeat.
func New(config Config, now time.Time) *Detector {
	return &Detector{config: config, lastHeartbeat: now}
}

// Heartbeat records a heartbeat. If it follows the previous one within half of the
// expected interval, it becomes the last heartbeat, but its interval is not used as a
// sample. A heartbeat with an earlier time than the previous one is ignored.
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

// Phi returns the suspicion level at the time now.
func (d *Detector) Phi(now time.Time) float64 {
	mean, deviation := d.model()
	elapsed := now.Sub(d.lastHeartbeat).Seconds()
	tail := 0.5 * math.Erfc((elapsed-mean)/(deviation*math.Sqrt2))
	return -math.Log10(max(tail, math.SmallestNonzeroFloat64))
}

// State returns the state of the process at the time now.
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

// model returns the mean and the standard deviation of the intervals, in seconds. Both
// are raised to their lower bounds.
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
