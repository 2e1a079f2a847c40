package loadexchange

import (
	"context"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// Config configures a Node. All fields are required.
type Config struct {
	// Name and Region are those of the own gateway.
	Name   string
	Region string
	// LoadSource provides the load of the own gateway. It is called with a lock of the Node
	// held and must not call the Node.
	LoadSource LoadSource
	// SendReport and SendDigest send one message to the address of another gateway.
	// They must not block. The message may be lost.
	SendReport func(address string, report *peer.ReplicaLoads)
	SendDigest func(address string, digest *peer.LoadDigest)
	// Observe is called with loads and updates of other gateways.
	Observe func(loads *peer.RegionLoads)
}

// Node runs an Exchange in real time. It is safe for concurrent use.
type Node struct {
	config Config
	// wake makes Run perform a step immediately.
	wake chan struct{}

	// inbox holds what was recorded since the last step. Its lock is last in the lock order:
	// callers of the Record methods may hold locks of their own, and no other lock is
	// acquired while it is held.
	inbox struct {
		sync.Mutex
		placed  []peer.PlacedPrompt
		samples []peer.PrefillSample
	}

	mutex    sync.Mutex
	exchange *Exchange
}

// NewNode returns a Node that knows no gateways until SetGateways is called.
func NewNode(config Config) *Node {
	return &Node{
		config:   config,
		wake:     make(chan struct{}, 1),
		exchange: New(config.Name, config.Region, config.LoadSource),
	}
}

// minStepInterval is the shortest time that Run waits between two steps unless it is woken.
const minStepInterval = time.Millisecond

// Run takes part in the exchange until ctx is done.
func (n *Node) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		case <-timer.C:
		}
		timer.Reset(max(time.Until(n.step()), minStepInterval))
	}
}

// step performs one step of the exchange and returns the time by which the next one is due.
func (n *Node) step() time.Time {
	n.mutex.Lock()
	n.drainInbox()
	effects, next := n.exchange.Step(time.Now())
	n.mutex.Unlock()
	n.carryOut(effects)
	return next
}

// drainInbox moves the inbox to the exchange. The caller holds the mutex.
func (n *Node) drainInbox() {
	n.inbox.Lock()
	placed, samples := n.inbox.placed, n.inbox.samples
	n.inbox.placed, n.inbox.samples = nil, nil
	n.inbox.Unlock()
	for _, prompt := range placed {
		n.exchange.RecordPlacement(prompt)
	}
	for _, sample := range samples {
		n.exchange.RecordPrefill(sample)
	}
}

// carryOut sends the messages and passes the observed loads to Config.Observe. It must be
// called without the mutex, because it calls functions outside this package.
func (n *Node) carryOut(effects Effects) {
	for _, message := range effects.Outgoing {
		if message.Report != nil {
			n.config.SendReport(message.Address, message.Report)
			continue
		}
		n.config.SendDigest(message.Address, message.Digest)
	}
	for i := range effects.Observed {
		n.config.Observe(&effects.Observed[i])
	}
}

// signal makes Run perform a step immediately. It does not block.
func (n *Node) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// RecordPlacement records a prompt that the own gateway placed at a replica, and wakes Run.
// It does not wait for a step that is in progress.
func (n *Node) RecordPlacement(prompt peer.PlacedPrompt) {
	n.inbox.Lock()
	n.inbox.placed = append(n.inbox.placed, prompt)
	n.inbox.Unlock()
	n.signal()
}

// RecordPrefill records a measurement of a replica's prefill speed. It does not wait for a
// step that is in progress.
func (n *Node) RecordPrefill(sample peer.PrefillSample) {
	n.inbox.Lock()
	defer n.inbox.Unlock()
	n.inbox.samples = append(n.inbox.samples, sample)
}

// Status returns the gateway's current status in the exchange.
func (n *Node) Status() Status {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.exchange.Status(time.Now())
}

// SetGateways replaces the set of gateways that are up.
func (n *Node) SetGateways(gateways map[string]Gateway) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.exchange.SetGateways(gateways)
}

// HandleReport processes a report received from another gateway.
func (n *Node) HandleReport(report *peer.ReplicaLoads) {
	n.mutex.Lock()
	n.exchange.HandleReport(time.Now(), report)
	n.mutex.Unlock()
	n.signal()
}

// HandleDigest processes a digest received from an aggregator.
func (n *Node) HandleDigest(digest *peer.LoadDigest) {
	n.mutex.Lock()
	effects := n.exchange.HandleDigest(time.Now(), digest)
	n.mutex.Unlock()
	n.carryOut(effects)
	if effects.Reschedule {
		n.signal()
	}
}
