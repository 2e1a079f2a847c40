// Package takeover lets one of two voters go on alone after the other one was lost: it asks
// the witnesses of the membership for their votes. See Node.TakeOver of package consensus.
package takeover

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

const (
	// interval is the time between two requests for votes.
	interval = 250 * time.Millisecond
	// after is the time without a leader after which the votes are requested.
	after = 2 * time.Second
	// callTimeout bounds the call to one witness.
	callTimeout = 300 * time.Millisecond
)

// Candidate requests the votes for a takeover by one node.
type Candidate struct {
	engine  *engine.Engine
	network transport.Network
	log     *slog.Logger
}

// New returns the candidate of a node.
func New(engine *engine.Engine, network transport.Network, log *slog.Logger) *Candidate {
	return &Candidate{engine: engine, network: network, log: log}
}

// Run takes over whenever this node has known no leader for a while and the witnesses agree,
// until ctx ends.
func (c *Candidate) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	lastLeader := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		observed := c.engine.Observe()
		if observed.Status.Leader != consensus.None || !observed.Status.TakeOver {
			lastLeader = time.Now()
			continue
		}
		if time.Since(lastLeader) >= after && c.elected(ctx, observed) {
			c.takeOver(ctx, observed.Status.Membership.Epoch)
		}
	}
}

func (c *Candidate) takeOver(ctx context.Context, epoch uint64) {
	if err := c.engine.TakeOver(ctx, epoch); err != nil {
		c.log.Warn("takeover not possible", "epoch", epoch, "error", err)
		return
	}
	c.log.Warn("took over as the only voter: the other one is lost, and most witnesses agree", "epoch", epoch)
}

// elected asks all witnesses and reports whether a majority of them votes for this node.
func (c *Candidate) elected(ctx context.Context, observed *engine.Observation) bool {
	witnesses := observed.Status.Membership.Witnesses
	granted := 0
	for _, vote := range c.requestVotes(ctx, observed) {
		if vote {
			granted++
		}
	}
	return 2*granted > len(witnesses)
}

func (c *Candidate) requestVotes(ctx context.Context, observed *engine.Observation) []bool {
	witnesses := observed.Status.Membership.Witnesses
	votes := make([]bool, len(witnesses))
	if observed.Catalog == nil {
		return votes
	}
	gateways := observed.Catalog.Gateways()
	var calls sync.WaitGroup
	for i, witness := range witnesses {
		address := gateways[witness.Name].PeerAddress
		if address == "" {
			continue
		}
		calls.Go(func() { votes[i] = c.requestVote(ctx, address, observed, witness) })
	}
	calls.Wait()
	return votes
}

func (c *Candidate) requestVote(ctx context.Context, address string, observed *engine.Observation, witness consensus.Witness) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := peer.WitnessVote{
		Cluster:     observed.Cluster,
		Epoch:       observed.Status.Membership.Epoch,
		Candidate:   observed.Identity,
		Incarnation: witness.Incarnation,
	}
	var reply peer.WitnessVoteReply
	err := c.network.Call(ctx, address, peer.KindWitnessVote, &request, &reply)
	return err == nil && reply.Granted
}
