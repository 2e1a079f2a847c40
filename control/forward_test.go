package control

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

// scriptedNetwork answers calls one after the other.
type scriptedNetwork struct {
	transport.Network
	calls []func(reply *peer.OperationReply) error
}

func (s *scriptedNetwork) Call(_ context.Context, _ string, _ transport.Kind, _, reply any) error {
	call := s.calls[0]
	s.calls = s.calls[1:]
	return call(reply.(*peer.OperationReply))
}

// TestForwardedOrderIsNotRefusedOnceItsFateIsOpen loses the answer of a primary
// that may have carried an order out. The next one's refusal for want of a
// primary, which comes as the time runs out, says nothing about the first.
func TestForwardedOrderIsNotRefusedOnceItsFateIsOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := &scriptedNetwork{calls: []func(*peer.OperationReply) error{
			func(*peer.OperationReply) error { return errors.New("the answer was lost") },
			func(reply *peer.OperationReply) error {
				cancel()
				reply.Error = noPrimary("no primary was reached in time; the order was not carried out", api.OutcomeRefused)
				return nil
			},
		}}
		n := &Node{log: slog.New(slog.DiscardHandler), network: network, done: make(chan struct{})}
		n.options.PeerAddress = "here"
		n.observed.Store(&observation{
			status: consensus.Status{Leader: "a", Membership: consensus.Membership{
				Members: []consensus.Member{{ID: "a", Address: "there"}},
			}},
			superseded: make(chan struct{}),
		})
		order := peer.OperationRequest{Evacuation: &api.EvacuationOperation{OperationID: "o1", Zone: "z"}}
		reply := n.order(ctx, order)
		if reply.Error == nil || reply.Error.Outcome != api.OutcomeUnknown || len(network.calls) != 0 {
			t.Fatalf("answered %+v, %d calls left", reply.Error, len(network.calls))
		}
	})
}
