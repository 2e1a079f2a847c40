package standin

import (
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/internal/emulator"
)

// engine runs an emulated replica in real time. Its loop delivers events when they are
// due. Every other method first delivers the events that are due, too.
type engine struct {
	mutex   sync.Mutex
	replica emulator.Replica
	started time.Time
	runs    map[string]chan emulator.Event
	// wake notifies the loop that the time of the next event may have changed.
	wake chan struct{}
	stop chan struct{}
	done chan struct{}
}

func newEngine(replica emulator.Replica) *engine {
	e := &engine{
		replica: replica,
		started: time.Now(),
		runs:    make(map[string]chan emulator.Event),
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	go e.loop()
	return e
}

// close stops the loop and waits for it.
func (e *engine) close() {
	close(e.stop)
	<-e.done
}

// submit starts a job and returns the channel of its events. It calls accepted, with the
// mutex held, before any event can be received.
func (e *engine) submit(job emulator.Job, accepted func(emulator.State)) (<-chan emulator.Event, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.deliver()
	if err := e.replica.Submit(now, job); err != nil {
		return nil, err
	}
	accepted(e.replica.State(now))
	// The buffer holds every event of the job, so that deliver never blocks.
	events := make(chan emulator.Event, job.AnswerTokens+2)
	e.runs[job.ID] = events
	e.wakeLoop()
	return events, nil
}

// cancel cancels a job. It does nothing if the job has ended.
func (e *engine) cancel(job string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.replica.Cancel(e.deliver(), job)
	delete(e.runs, job)
	e.wakeLoop()
}

// do calls work with the mutex held, with the time since the engine's start.
func (e *engine) do(work func(now time.Duration, replica emulator.Replica)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	work(e.deliver(), e.replica)
	e.wakeLoop()
}

func (e *engine) state() emulator.State {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.replica.State(e.deliver())
}

// deliver sends the events that are due to the channels of their jobs and returns the
// time since the engine's start. The caller holds the mutex.
func (e *engine) deliver() time.Duration {
	now := time.Since(e.started)
	for _, event := range e.replica.Advance(now) {
		run, found := e.runs[event.Job]
		if !found {
			continue
		}
		run <- event
		if event.Kind == emulator.EventEnd {
			delete(e.runs, event.Job)
		}
	}
	return now
}

// wakeLoop makes the loop recompute the time of the next event.
func (e *engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// idleWait is how long the loop sleeps while no event is pending.
const idleWait = time.Hour

func (e *engine) loop() {
	defer close(e.done)
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		e.mutex.Lock()
		now := e.deliver()
		next, pending := e.replica.NextEvent()
		e.mutex.Unlock()
		wait := idleWait
		if pending {
			wait = max(0, next-now)
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-e.wake:
		case <-e.stop:
			return
		}
	}
}
