package emulator

import (
	"cmp"
	"slices"
	"time"
)

// webJob is a running job with the time at which its answer is complete.
type webJob struct {
	job Job
	end time.Duration
}

// webReplica is a small web service with a fixed number of slots. It answers a job that
// has a slot after a short random time.
type webReplica struct {
	replicaBase
	waiting []Job
	running []webJob // sorted by end
}

// Submit implements Replica.
func (w *webReplica) Submit(now time.Duration, job Job) error {
	w.advanceTo(now)
	if w.draining {
		return ErrDraining
	}
	if len(w.running) < w.parameters.Slots {
		w.start(now, job)
		return nil
	}
	if len(w.waiting) >= w.parameters.QueueLength {
		return ErrQueueFull
	}
	w.waiting = append(w.waiting, job)
	return nil
}

// start assigns a slot to a job and draws the job's duration.
func (w *webReplica) start(now time.Duration, job Job) {
	spread := w.parameters.WebMaximumMS - w.parameters.WebMinimumMS
	duration := milliseconds(w.parameters.WebMinimumMS + w.random.Float64()*spread)
	started := webJob{job: job, end: now + w.scaleDuration(now, duration)}
	index, _ := slices.BinarySearchFunc(w.running, started, func(a, b webJob) int { return cmp.Compare(a.end, b.end) })
	w.running = slices.Insert(w.running, index, started)
}

// Cancel implements Replica.
func (w *webReplica) Cancel(now time.Duration, id string) {
	w.advanceTo(now)
	w.waiting = slices.DeleteFunc(w.waiting, func(job Job) bool { return job.ID == id })
	w.running = slices.DeleteFunc(w.running, func(running webJob) bool { return running.job.ID == id })
	w.startWaiting(now)
}

// startWaiting assigns free slots to waiting jobs in order of arrival.
func (w *webReplica) startWaiting(now time.Duration) {
	for len(w.waiting) > 0 && len(w.running) < w.parameters.Slots {
		w.start(now, w.waiting[0])
		w.waiting = w.waiting[1:]
	}
}

// NextEvent implements Replica.
func (w *webReplica) NextEvent() (time.Duration, bool) {
	if len(w.running) == 0 {
		return 0, false
	}
	return w.running[0].end, true
}

// Advance implements Replica.
func (w *webReplica) Advance(now time.Duration) []Event {
	w.advanceTo(now)
	return w.takeEvents()
}

// advanceTo completes the jobs that end by now and starts waiting jobs in their slots.
func (w *webReplica) advanceTo(now time.Duration) {
	for len(w.running) > 0 && w.running[0].end <= now {
		done := w.running[0]
		w.running = w.running[1:]
		w.answersSinceCold++
		w.events = append(w.events, Event{Job: done.job.ID, Kind: EventEnd, At: done.end, Index: done.job.AnswerTokens})
		w.startWaiting(done.end)
	}
}

// State implements Replica.
func (w *webReplica) State(now time.Duration) State {
	w.advanceTo(now)
	w.warmUp(now)
	return State{
		Running:  len(w.running),
		Queued:   len(w.waiting),
		Slots:    w.parameters.Slots,
		Cold:     w.cold,
		Draining: w.draining,
	}
}

// MakeCold implements Replica.
func (w *webReplica) MakeCold(now time.Duration) {
	w.advanceTo(now)
	w.becomeCold(now)
}
