// Package control is the control node: it keeps the registry on a replicated
// log, grants leases to gateways, and answers operators and the platform.
//
// One goroutine, the event loop, owns the replicated log, the registry table,
// the lease grantor and the disk. Everything else hands it events and reads the
// immutable observation that it publishes after each batch of them.
package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

const (
	// eventQueueLength bounds the events waiting for the loop.
	eventQueueLength = 4096
	// eventBatch bounds the events handled before their writes are synced.
	eventBatch = 1024
	// transferWait bounds handing leadership over at the end.
	transferWait = 2 * time.Second
)

// ErrStopped is returned by requests to a node that has ended.
var ErrStopped = errors.New("control: node has stopped")

// event runs on the loop, with the time read after it was taken from the queue.
type event func(now time.Duration)

// Node is one control node. Its methods are safe for concurrent use.
type Node struct {
	options     Options
	log         *slog.Logger
	incarnation string
	started     time.Time
	network     transport.Network
	metrics     *metrics

	events   chan event
	observed atomic.Pointer[observation]
	machine  *machine // owned by the event loop

	formation formation
	outsider  outsider
	describer describer
	platform  sync.Mutex // one platform list is compared and proposed at a time

	context  context.Context
	cancel   context.CancelFunc
	workers  sync.WaitGroup
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
	err      error // set before done is closed
}

// New reads the disk and prepares a node. It registers its message handlers and
// sends nothing; Start does.
func New(options Options) (*Node, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	options = options.withDefaults()
	incarnation := randomID()
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		options:     options,
		log:         options.Logger.With("region", options.Region),
		incarnation: incarnation,
		started:     time.Now(),
		network:     options.Network,
		metrics:     newMetrics(),
		events:      make(chan event, eventQueueLength),
		context:     ctx,
		cancel:      cancel,
		stop:        make(chan struct{}),
		done:        make(chan struct{}),
	}
	machine, err := newMachine(n.options, n.log, n.metrics, n.clock())
	if err != nil {
		cancel()
		return nil, err
	}
	n.machine = machine
	if counting, counts := options.Network.(countingNetwork); counts {
		n.metrics.registry.MustRegister(newTrafficCollector(counting))
	}
	n.formation.contacts = make(map[string]bool)
	n.observed.Store(machine.observe(n.clock(), nil))
	n.handleMessages()
	return n, nil
}

// handleMessages registers what other processes may send.
func (n *Node) handleMessages() {
	n.network.Handle(peer.KindConsensus, n.serveConsensus)
	n.network.Handle(peer.KindHello, n.serveHello)
	n.network.Handle(peer.KindBootstrap, n.serveForm)
	n.network.Handle(peer.KindJoin, n.serveJoin)
	n.network.Handle(peer.KindRenew, n.serveRenew)
	n.network.Handle(peer.KindUpdate, n.serveUpdate)
	n.network.Handle(peer.KindOperation, n.serveOrder)
	n.network.Handle(kindDescribe, n.serveDescribe)
	n.network.Handle(kindReadIndex, n.serveReadIndex)
	n.network.Handle(kindOverview, n.serveOverview)
	n.network.Handle(kindWhere, n.serveWhere)
}

// Start begins to serve peers and to take part in the group.
func (n *Node) Start() error {
	if err := n.network.Start(); err != nil {
		return fmt.Errorf("control: starting the network: %w", err)
	}
	n.log.Info("control node started", "incarnation", n.incarnation, "identity", string(n.machine.identity), "cluster", n.machine.cluster)
	go n.run()
	n.goWorker(n.runDiscovery)
	n.goWorker(n.runDescriber)
	if n.options.Inventory != nil {
		n.goWorker(n.runInventory)
	}
	return nil
}

func (n *Node) goWorker(work func(context.Context)) {
	n.workers.Add(1)
	go func() {
		defer n.workers.Done()
		work(n.context)
	}()
}

// Done is closed when the node has ended; Err then says why.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns the error that ended the node: a *storage error for a failed
// write, nil after Stop. It blocks until the node has ended.
func (n *Node) Err() error {
	<-n.done
	return n.err
}

// Leave hands leadership over if this node has it, and stops.
func (n *Node) Leave(ctx context.Context) error {
	n.HandOver(ctx)
	return n.Stop()
}

// Stop ends the node at once, without handing leadership over.
func (n *Node) Stop() error {
	n.stopOnce.Do(func() { close(n.stop) })
	return n.Err()
}

// HandOver gives leadership to another member if this node has it, and waits for
// that, at the most two seconds.
func (n *Node) HandOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferWait)
	defer cancel()
	asked := false
	n.waitUntil(ctx, func(o *observation) bool {
		if o.status.Role != consensus.Leader || len(o.status.Membership.Members) < 2 {
			return true
		}
		if !asked {
			asked = true
			n.post(ctx, n.machine.transferLeadership)
		}
		return false
	})
}

// clock is the monotonic time since the node was made.
func (n *Node) clock() time.Duration { return time.Since(n.started) }

// run is the event loop. Leaving it ends the node.
func (n *Node) run() {
	err := n.loop()
	if err != nil {
		n.log.Error("control node ends", "error", err)
	}
	n.machine.abandon()
	n.cancel()
	closeErr := n.network.Close()
	n.workers.Wait()
	n.err = errors.Join(err, closeErr, n.options.Store.Close())
	close(n.done)
}

func (n *Node) loop() error {
	ticker := time.NewTicker(n.options.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.stop:
			return nil
		case <-ticker.C:
			n.machine.tick(n.clock())
		case next := <-n.events:
			n.handle(next)
			n.handleWaiting()
		}
		if err := n.machine.settle(n.clock()); err != nil {
			return err
		}
		n.publish()
	}
}

// handle reads the clock after the event was taken: an event is never judged by
// a time before it was sent, and a process that was frozen sees the elapsed time
// before it sees what queued up meanwhile.
func (n *Node) handle(next event) {
	now := n.clock()
	n.machine.tick(now)
	next(now)
}

// handleWaiting takes what is queued, so that one sync covers all of it.
func (n *Node) handleWaiting() {
	for range eventBatch {
		select {
		case next := <-n.events:
			n.handle(next)
		default:
			return
		}
	}
}

// post queues an event, waiting for room. It returns false if ctx or the node
// ended first.
func (n *Node) post(ctx context.Context, next event) bool {
	select {
	case n.events <- next:
		return true
	case <-ctx.Done():
		return false
	case <-n.done:
		return false
	}
}

// offer queues an event if there is room.
func (n *Node) offer(next event) bool {
	select {
	case n.events <- next:
		return true
	default:
		return false
	}
}

// ask runs a question on the loop and waits for its answer.
func ask[Answer any](ctx context.Context, n *Node, question func(now time.Duration) Answer) (Answer, error) {
	reply := make(chan Answer, 1)
	var none Answer
	if !n.post(ctx, func(now time.Duration) { reply <- question(now) }) {
		return none, stoppedOr(ctx)
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-n.done:
		return none, ErrStopped
	}
}

func stoppedOr(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	return ErrStopped
}

// serveConsensus queues a message of the replicated log. A full queue drops it:
// the log sends again.
func (n *Node) serveConsensus(_ context.Context, _ string, decode func(any) error) (any, error) {
	var wrapped peer.ConsensusMessage
	if err := decode(&wrapped); err != nil {
		return nil, err
	}
	queued := n.offer(func(now time.Duration) {
		n.machine.step(now, wrapped)
	})
	if !queued {
		n.metrics.droppedMessages.Inc()
	}
	return nil, nil
}
