package control

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/storage"
)

// answerWitnessVote lets every candidate take over: each test has one.
func (g *testGateway) answerWitnessVote(context.Context, string, func(any) error) (any, error) {
	return &peer.WitnessVoteReply{Granted: true}, nil
}

// startWitnessedPair starts a group of three with gateways, submits a configuration, and
// loses one node for good. It returns once the other two have witnesses.
func (f *fleet) startWitnessedPair() {
	f.t.Helper()
	f.start(controlNames...)
	for _, name := range []string{"gateway-1", "gateway-2", "gateway-3"} {
		f.startGateway(name)
	}
	f.mustSend(f.primary(), "order-1", 0)
	lost := f.follower().options.Name
	f.stop(lost)
	f.wipe(lost)
	f.await("two voters with witnesses", func() bool {
		membership := f.primary().engine.Observe().Status.Membership
		return len(membership.Voters()) == 2 && len(membership.Witnesses) == 3
	})
	time.Sleep(time.Second)
}

// TestSurvivorOfTwoLossesTakesOver guards against a group that never acknowledges anything
// again: one control node was lost for good behind a cut, so that nothing could replace it,
// and the primary was lost for good a while after it.
func TestSurvivorOfTwoLossesTakesOver(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.startWitnessedPair()
		primary := f.primary().options.Name
		f.stop(primary)
		survivor := f.primary()
		if version := survivor.engine.Observe().Catalog.Version(); version != 1 {
			t.Errorf("the survivor has version %d, want the acknowledged 1", version)
		}
		if !survivor.engine.Observe().Status.SoleCopy {
			t.Error("the survivor does not know that its disk has the only copy")
		}
		name := controlNames[slices.IndexFunc(controlNames, func(name string) bool { return f.nodes[name] == nil })]
		f.disks[name] = storage.NewMemory(consensus.ID("fresh-disk"))
		f.start(name)
		f.await("a second voter", func() bool { return len(survivor.engine.Observe().Status.Membership.Voters()) == 2 })
		if status, answer := f.send(survivor, "order-2", 1, document(t)); status != http.StatusOK || !answer.Accepted {
			t.Errorf("an order after the takeover returned status %d and %+v, want it accepted", status, answer)
		}
	})
}

// TestSoleCopyIsNotAcknowledged guards against an acknowledgement while one disk alone has
// the change: a loss of that disk would undo it.
func TestSoleCopyIsNotAcknowledged(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.startWitnessedPair()
		f.stop(f.primary().options.Name)
		survivor := f.primary()
		if status, answer := f.send(survivor, "order-2", 1, document(t)); status == http.StatusOK && answer.Accepted {
			t.Errorf("an order at a sole voter returned status %d and %+v, want it pending", status, answer)
		}
	})
}
