package standin

import (
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/internal/emulator"
)

// engine runs an emulated replica in real time.
type engine struct {
	mutex   sync.Mutex
	replica emulator.Replica
	started time.Time
	runs    map[string]chan emulator.Event
	// wake tells the loop that the next event may have moved.
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

func (e *engine) close() {
	close(e.stop)
	<-e.done
}

// submit starts a job; accepted is called before any event can be seen.
func (e *engine) submit(job emulator.Job, accepted func(emulator.State)) (<-chan emulator.Event, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.deliver()
	if err := e.replica.Submit(now, job); err != nil {
		return nil, err
	}
	accepted(e.replica.State(now))
	// The buffer holds every event of the job, so that deliver never waits.
	events := make(chan emulator.Event, job.AnswerTokens+2)
	e.runs[job.ID] = events
	e.poke()
	return events, nil
}

func (e *engine) cancel(job string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.replica.Cancel(e.deliver(), job)
	delete(e.runs, job)
	e.poke()
}

// with calls work under the engine's lock with the present time.
func (e *engine) with(work func(now time.Duration, replica emulator.Replica)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	work(e.deliver(), e.replica)
	e.poke()
}

func (e *engine) state() emulator.State {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.replica.State(e.deliver())
}

// deliver hands out the events up to now. The caller holds the lock.
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

func (e *engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *engine) loop() {
	defer close(e.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		e.mutex.Lock()
		now := e.deliver()
		next, pending := e.replica.NextEvent()
		e.mutex.Unlock()
		wait := time.Hour
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
