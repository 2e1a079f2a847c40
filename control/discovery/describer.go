package discovery

import (
	"context"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/control/message"
	"github.com/deckpulley/deckpulley/transport"
)

const (
	// describeInterval is the time between two requests for the members' descriptions.
	describeInterval = 2 * time.Second
	// describeTimeoutDivisor divides the call timeout into the time that a member has to
	// answer, so that an unreachable member leaves enough of it to answer the caller.
	describeTimeoutDivisor = 3
)

// Describer stores the newest descriptions of control nodes. Its methods are safe for
// concurrent use.
type Describer struct {
	own         message.Description // without the identity
	engine      *engine.Engine
	network     transport.Network
	callTimeout time.Duration

	mutex sync.Mutex
	known map[consensus.ID]message.Description
}

// NewDescriber returns the describer of a node. Its own description is given without the
// identity, which is taken from the engine.
func NewDescriber(own message.Description, engine *engine.Engine, network transport.Network, callTimeout time.Duration) *Describer {
	return &Describer{
		own:         own,
		engine:      engine,
		network:     network,
		callTimeout: callTimeout,
		known:       make(map[consensus.ID]message.Description),
	}
}

// Run refreshes the descriptions of the members periodically while this node is the
// primary, until ctx ends.
func (d *Describer) Run(ctx context.Context) {
	d.UpdateOwn()
	ticker := time.NewTicker(describeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if observed := d.engine.Observe(); observed.Primary {
			d.DescribeMembers(ctx, observed.Status.Membership)
		}
	}
}

// Serve handles message.KindDescribe.
func (d *Describer) Serve(context.Context, string, func(any) error) (any, error) {
	described := d.ownDescription()
	return &described, nil
}

// Get returns the newest description of a node, the zero value if there is none.
func (d *Describer) Get(id consensus.ID) message.Description {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.known[id]
}

// UpdateOwn stores this node's own description.
func (d *Describer) UpdateOwn() { d.put(d.ownDescription()) }

// Describe asks one node for its description and stores it.
func (d *Describer) Describe(ctx context.Context, address string) (message.Description, error) {
	ctx, cancel := context.WithTimeout(ctx, d.callTimeout/describeTimeoutDivisor)
	defer cancel()
	var described message.Description
	if err := d.network.Call(ctx, address, message.KindDescribe, &message.DescribeRequest{}, &described); err != nil {
		return message.Description{}, err
	}
	d.put(described)
	return described, nil
}

// DescribeMembers asks all other members concurrently. It returns the members that
// answered with the identity recorded in the membership, and this node.
func (d *Describer) DescribeMembers(ctx context.Context, current consensus.Membership) map[consensus.ID]bool {
	own := d.engine.Observe().Identity
	alive := map[consensus.ID]bool{own: true}
	var mutex sync.Mutex
	var calls sync.WaitGroup
	for _, member := range current.Members {
		if member.ID == own {
			continue
		}
		calls.Go(func() {
			described, err := d.Describe(ctx, member.Address)
			mutex.Lock()
			defer mutex.Unlock()
			alive[member.ID] = err == nil && described.Identity == member.ID
		})
	}
	calls.Wait()
	return alive
}

func (d *Describer) ownDescription() message.Description {
	described := d.own
	described.Identity = d.engine.Observe().Identity
	return described
}

func (d *Describer) put(described message.Description) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.known[described.Identity] = described
}
