package loadexchange

import (
	"context"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// Config sets up a Node. All fields are required.
type Config struct {
	// Name and Region are the own gateway's.
	Name       string
	Region     string
	LoadSource LoadSource
	// SendReport and SendDigest send one message to a peers' address. They must not
	// block, and may lose it.
	SendReport func(address string, report *peer.ReplicaLoads)
	SendDigest func(address string, digest *peer.LoadDigest)
	// Observe is told what the own gateway has learnt of others.
	Observe func(loads *peer.RegionLoads)
}

// Node runs an Exchange. It is safe for concurrent use.
type Node struct {
	config Config
	// wake asks for a step now.
	wake chan struct{}

	// inbox has what was placed and measured since the last step. Its lock is taken
	// by callers that hold locks of their own, and never while another one is.
	inbox struct {
		sync.Mutex
		placed []peer.PlacedPrompt
		read   []peer.PrefillSample
	}

	mutex    sync.Mutex
	exchange *Exchange
}

// NewNode returns a node that knows no other gateways yet.
func NewNode(config Config) *Node {
	return &Node{
		config:   config,
		wake:     make(chan struct{}, 1),
		exchange: New(config.Name, config.Region, config.LoadSource),
	}
}

// leastPause keeps the loop from turning without pause.
const leastPause = time.Millisecond

// Run takes part in the exchange until ctx ends.
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
		timer.Reset(max(time.Until(n.step()), leastPause))
	}
}

// step does what is due and returns when to step again.
func (n *Node) step() time.Time {
	n.mutex.Lock()
	n.empty()
	effects, next := n.exchange.Step(time.Now())
	n.mutex.Unlock()
	n.carryOut(effects)
	return next
}

// empty hands the inbox over to the exchange.
func (n *Node) empty() {
	n.inbox.Lock()
	placed, read := n.inbox.placed, n.inbox.read
	n.inbox.placed, n.inbox.read = nil, nil
	n.inbox.Unlock()
	for _, prompt := range placed {
		n.exchange.RecordPlacement(prompt)
	}
	for _, prompt := range read {
		n.exchange.RecordPrefill(prompt)
	}
}

// carryOut sends what is to be sent and tells what was learnt.
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

func (n *Node) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// RecordPlacement notes a prompt that the own gateway gave to a replica. It does not block.
func (n *Node) RecordPlacement(prompt peer.PlacedPrompt) {
	n.inbox.Lock()
	n.inbox.placed = append(n.inbox.placed, prompt)
	n.inbox.Unlock()
	n.signal()
}

// RecordPrefill notes what a prompt told of a replica's speed. It does not block.
func (n *Node) RecordPrefill(prompt peer.PrefillSample) {
	n.inbox.Lock()
	defer n.inbox.Unlock()
	n.inbox.read = append(n.inbox.read, prompt)
}

// Status returns the gateway's part in the exchange.
func (n *Node) Status() Status {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.exchange.Status(time.Now())
}

// SetGateways takes over which gateways are up.
func (n *Node) SetGateways(gateways map[string]Gateway) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.exchange.SetGateways(gateways)
}

// HandleReport takes another gateway's report in.
func (n *Node) HandleReport(report *peer.ReplicaLoads) {
	n.mutex.Lock()
	n.exchange.HandleReport(time.Now(), report)
	n.mutex.Unlock()
	n.signal()
}

// HandleDigest takes an aggregator's digest in.
func (n *Node) HandleDigest(digest *peer.LoadDigest) {
	n.mutex.Lock()
	effects := n.exchange.HandleDigest(time.Now(), digest)
	n.mutex.Unlock()
	n.carryOut(effects)
	if effects.Reschedule {
		n.signal()
	}
}
