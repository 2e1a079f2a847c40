package executor

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/control/apierror"
	"github.com/deckpulley/deckpulley/control/discovery"
	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/control/eventqueue"
	"github.com/deckpulley/deckpulley/control/metrics"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/storage"
	"github.com/deckpulley/deckpulley/transport"
)

// scriptedNetwork answers each call with the next of its scripted replies.
type scriptedNetwork struct {
	transport.Network
	calls []func(reply *peer.OperationReply) error
}

func (s *scriptedNetwork) Call(_ context.Context, _ string, _ transport.Kind, _, reply any) error {
	into, known := reply.(*peer.OperationReply)
	if !known {
		return fmt.Errorf("unexpected reply type %T", reply)
	}
	call := s.calls[0]
	s.calls = s.calls[1:]
	return call(into)
}

// newForwardingExecutor returns the executor of a node that belongs to no group and
// forwards every operation to the primary that a member has named.
func newForwardingExecutor(t *testing.T, network transport.Network) *Executor {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	queue := eventqueue.New()
	started, err := engine.New(engine.Config{Name: "node", PeerAddress: "here", Network: network, Store: storage.NewMemory("disk"), Logger: log}, queue, metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	contacts := discovery.NewContacts(started, "here", "north", nil, nil)
	contacts.SetPrimary("there")
	return New(Config{PeerAddress: "here", Queue: queue, Engine: started, Network: network, Contacts: contacts, Metrics: metrics.New(), Logger: log})
}

// TestForwardedOperationIsNotRefusedOnceItsOutcomeIsUnknown loses the answer of a
// primary that may have executed the operation. A second attempt is refused because no
// primary is known, just before the deadline. That refusal must not be returned, since
// it does not cover the first attempt.
func TestForwardedOperationIsNotRefusedOnceItsOutcomeIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := &scriptedNetwork{calls: []func(*peer.OperationReply) error{
			func(*peer.OperationReply) error { return errors.New("the answer was lost") },
			func(reply *peer.OperationReply) error {
				cancel()
				reply.Error = apierror.NoPrimary("no primary was reached in time; the order was not executed", api.OutcomeRefused)
				return nil
			},
		}}
		executor := newForwardingExecutor(t, network)
		request := peer.OperationRequest{Evacuation: &api.EvacuationOperation{OperationID: "o1", Zone: "z"}}
		reply := executor.Execute(ctx, request)
		if reply.Error == nil || reply.Error.Outcome != api.OutcomeUnknown || len(network.calls) != 0 {
			t.Fatalf("error %+v with %d scripted calls left, want an unknown outcome and none left", reply.Error, len(network.calls))
		}
	})
}
