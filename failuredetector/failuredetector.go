// Package failuredetector judges from missing time whether a watched process is alive,
// after "The phi Accrual Failure Detector" (Hayashibara et al., 2004), and
// keeps slow facts steady by hysteresis. It is pure: time is an input.
//
// Model: the intervals between two signs of life are taken as normally
// distributed. Suspicion phi after an elapsed time t is -log10 of the
// probability that a living process is silent for longer than t, so phi 3 is
// wrong once in a thousand intervals and phi 8 once in a hundred million.
package failuredetector

import (
	"math"
	"time"
)

// Config holds the constants of the model.
type Config struct {
	// ExpectedInterval is the expected time between signs of life; the mean is never
	// taken below it, so that a burst of signs does not make the detector hasty.
	ExpectedInterval time.Duration
	// MinStdDeviation is the least standard deviation assumed.
	MinStdDeviation time.Duration
	// Window is the number of intervals remembered.
	Window int
	// SuspectThreshold is the phi from which nothing new is placed.
	SuspectThreshold float64
	// DeadThreshold is the phi from which the process counts as down.
	DeadThreshold float64
}

// DefaultConfig suits polls every 500 ms: with steady polls a process is
// suspected after about 1.3 s of silence and dead after about 1.9 s.
func DefaultConfig() Config {
	return Config{
		ExpectedInterval: 500 * time.Millisecond,
		MinStdDeviation:  250 * time.Millisecond,
		Window:           32,
		SuspectThreshold: 3,
		DeadThreshold:    8,
	}
}

// State is the verdict at one moment.
type State uint8

const (
	// Alive means that the silence is nothing unusual.
	Alive State = iota
	// Suspected means that nothing new should depend on the process.
	Suspected
	// Dead means that the process should be given up until it is heard again.
	Dead
)

// Detector watches one process.
type Detector struct {
	config    Config
	intervals []float64 // seconds, a ring
	next      int
	last      time.Time
}

// New starts watching at now, which counts as a first sign of life.
func New(config Config, now time.Time) *Detector {
	return &Detector{config: config, last: now}
}

// Heartbeat records a sign of life. One that follows within half of the expected
// interval moves the last time but is no sample, since it is an extra one.
func (d *Detector) Heartbeat(now time.Time) {
	elapsed := now.Sub(d.last)
	if elapsed < 0 {
		return
	}
	d.last = now
	if elapsed < d.config.ExpectedInterval/2 {
		return
	}
	sample := min(elapsed, 4*d.config.ExpectedInterval).Seconds()
	if len(d.intervals) < d.config.Window {
		d.intervals = append(d.intervals, sample)
		return
	}
	d.intervals[d.next] = sample
	d.next = (d.next + 1) % len(d.intervals)
}

// LastHeartbeat is the time of the last sign of life.
func (d *Detector) LastHeartbeat() time.Time {
	return d.last
}

// Phi is the suspicion at now.
func (d *Detector) Phi(now time.Time) float64 {
	mean, deviation := d.model()
	silence := now.Sub(d.last).Seconds()
	tail := 0.5 * math.Erfc((silence-mean)/(deviation*math.Sqrt2))
	return -math.Log10(max(tail, math.SmallestNonzeroFloat64))
}

// State is the verdict at now.
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

// SuspectedAt is the moment at which the process becomes suspected if it stays
// silent.
func (d *Detector) SuspectedAt() time.Time {
	mean, deviation := d.model()
	tail := math.Pow(10, -d.config.SuspectThreshold)
	silence := mean + deviation*math.Sqrt2*math.Erfcinv(2*tail)
	return d.last.Add(time.Duration(silence * float64(time.Second)))
}

// model returns the mean and the standard deviation of the intervals, in seconds.
func (d *Detector) model() (mean, deviation float64) {
	floorMean := d.config.ExpectedInterval.Seconds()
	floorDeviation := d.config.MinStdDeviation.Seconds()
	if len(d.intervals) == 0 {
		return floorMean, floorDeviation
	}
	var sum, squares float64
	for _, interval := range d.intervals {
		sum += interval
		squares += interval * interval
	}
	count := float64(len(d.intervals))
	mean = sum / count
	variance := max(0, squares/count-mean*mean)
	return max(mean, floorMean), max(math.Sqrt(variance), floorDeviation)
}
