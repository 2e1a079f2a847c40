// Package engine runs the event loop of a control node.
//
// One goroutine, the event loop, owns the replicated log, the replicated state,
// the leases and the disk. Other goroutines queue events for it, and read the
// immutable Observation that it publishes after each batch of events.
package engine

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/deckpulley/deckpulley/control/eventqueue"
	"github.com/deckpulley/deckpulley/control/metrics"
	"github.com/deckpulley/deckpulley/peer"
)

// maxQueuedBytes bounds the size of the consensus messages that wait for the event loop, in
// bytes. A larger one is queued if none waits.
const maxQueuedBytes = 16 << 20

// maxBatch bounds the number of events handled before their writes are synced.
const maxBatch = 1024

// Engine runs the event loop of one node, and is the interface of other goroutines to it.
// Its methods are safe for concurrent use.
type Engine struct {
	config         Config
	queue          *eventqueue.Queue
	metrics        *metrics.Metrics
	observed       atomic.Pointer[Observation]
	machine        *machine // owned by the event loop
	initialControl map[string]string
	// queuedBytes is the size of the consensus messages in the queue.
	queuedBytes atomic.Int64
}

// New loads the state from the disk and prepares an event loop that takes its events from
// the queue. Run runs it.
func New(config Config, queue *eventqueue.Queue, metrics *metrics.Metrics) (*Engine, error) {
	config = config.withDefaults()
	machine, err := newMachine(config, metrics, queue.Now())
	if err != nil {
		return nil, err
	}
	e := &Engine{config: config, queue: queue, metrics: metrics, machine: machine, initialControl: machine.driver.InitialControl()}
	e.observed.Store(machine.observe(queue.Now()))
	return e, nil
}

// Run runs the event loop. It returns nil once stop is closed, and otherwise the error
// that ended the loop: a *storage.FinalError for a failed write. Before it returns, all
// pending proposals fail with eventqueue.ErrStopped.
func (e *Engine) Run(stop <-chan struct{}) error {
	err := e.loop(stop)
	e.machine.driver.FailWaiters(eventqueue.ErrStopped)
	return err
}

func (e *Engine) loop(stop <-chan struct{}) error {
	ticker := time.NewTicker(e.config.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return nil
		case <-ticker.C:
			e.machine.tick(e.queue.Now())
		case event := <-e.queue.Events():
			e.handle(event)
			e.handleQueued()
		}
		if err := e.process(e.queue.Now()); err != nil {
			return err
		}
		e.publish()
	}
}

// process does the work that the inputs caused. A full disk suspends this node; other
// failures are returned.
func (e *Engine) process(now time.Duration) error {
	err := e.machine.resume(now)
	if err == nil {
		err = e.machine.process(now)
	}
	if err == nil {
		return nil
	}
	return e.machine.suspend(now, err)
}

// handle reads the clock after the event was taken from the queue. So no event is
// handled with a time before it was sent, and a process that was frozen accounts for the
// elapsed time before it handles the events that were queued meanwhile.
func (e *Engine) handle(event eventqueue.Event) {
	now := e.queue.Now()
	e.machine.tick(now)
	event(now)
}

// handleQueued handles up to maxBatch queued events, so that one sync covers all of them.
func (e *Engine) handleQueued() {
	for range maxBatch {
		select {
		case event := <-e.queue.Events():
			e.handle(event)
		default:
			return
		}
	}
}

// publish publishes a new observation and wakes the goroutines that wait for one.
func (e *Engine) publish() {
	previous := e.observed.Load()
	current := e.machine.observe(e.queue.Now())
	e.observed.Store(current)
	close(previous.superseded)
	e.updateGauges(current)
}

func (e *Engine) updateGauges(o *Observation) {
	e.metrics.Term.Set(float64(o.Status.Term))
	e.metrics.CommitIndex.Set(float64(o.Status.Commit))
	e.metrics.AppliedIndex.Set(float64(o.Applied))
	e.metrics.Serial.Set(float64(o.Serial))
	e.metrics.InForceSerial.Set(float64(o.InForce))
	primary := 0.0
	if o.Primary {
		primary = 1
	}
	e.metrics.Primary.Set(primary)
	if o.Catalog != nil {
		e.metrics.Version.Set(float64(o.Catalog.Version()))
	}
}

// InitialControl returns the control nodes that bootstrap a new group, as peer addresses by
// name, as configured or as recorded at an earlier start.
func (e *Engine) InitialControl() map[string]string { return e.initialControl }

// Observe returns the newest observation.
func (e *Engine) Observe() *Observation { return e.observed.Load() }

// WaitUntil waits for an observation that satisfies the condition. It returns
// false if ctx is done or the node has stopped before.
func (e *Engine) WaitUntil(ctx context.Context, condition func(*Observation) bool) bool {
	for {
		current := e.Observe()
		if condition(current) {
			return true
		}
		select {
		case <-current.superseded:
		case <-ctx.Done():
			return false
		case <-e.queue.Done():
			return false
		}
	}
}

// ServeConsensus handles peer.KindConsensus. The message is dropped if the queue is full, by
// the number of events or by the bytes of such messages: the replicated log retransmits.
func (e *Engine) ServeConsensus(_ context.Context, _ string, decode func(any) error) (any, error) {
	var wrapped peer.ConsensusMessage
	if err := decode(&wrapped); err != nil {
		return nil, err
	}
	if !e.offerConsensus(wrapped) {
		e.metrics.DroppedMessages.Inc()
	}
	return nil, nil
}

// offerConsensus queues a consensus message. It returns false if there is no room.
func (e *Engine) offerConsensus(wrapped peer.ConsensusMessage) bool {
	size := int64(wrapped.Message.Size())
	if queued := e.queuedBytes.Add(size); size > 0 && queued > size && queued > maxQueuedBytes {
		e.queuedBytes.Add(-size)
		return false
	}
	offered := e.queue.Offer(func(now time.Duration) {
		e.queuedBytes.Add(-size)
		e.machine.step(now, wrapped)
	})
	if !offered {
		e.queuedBytes.Add(-size)
	}
	return offered
}
