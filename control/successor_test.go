package control

import (
	"net/http"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/storage"
)

const (
	// catchUpTime is the time that the platform's pages give a successor: a lost control
	// node stops counting as lost this long after its successor has started.
	catchUpTime = 4 * time.Second
	// successorDelay is the time between the loss of a node and the start of its successor.
	successorDelay = 100 * time.Millisecond
)

// lose ends a node for good. Its address answers nothing, not even with a refusal.
func (f *fleet) lose(name string) {
	f.t.Helper()
	f.partition(f.options[name].PeerAddress, "control-1:1", "control-2:1", "control-3:1", "control-4:1", "control-5:1", "control-6:1")
	f.stop(name)
}

// startSuccessor starts a node with an empty disk in the zone of a lost one, at another
// address. Its seeds are the nodes that run and the lost one, as the operators' list lags.
func (f *fleet) startSuccessor(lost, name string) {
	f.t.Helper()
	options := f.options[lost]
	options.Name, options.PeerAddress, options.OperatorAddress = name, name+":1", name+":2"
	options.InitialControl, options.Seeds = nil, []string{f.options[lost].PeerAddress}
	for running := range f.nodes {
		options.Seeds = append(options.Seeds, f.options[running].PeerAddress)
	}
	f.options[name] = options
	f.disks[name] = storage.NewMemory(consensus.ID("disk-" + name))
	f.start(name)
}

// expectVoterInTime checks that the group is complete again, with a node as a voter,
// catchUpTime after the node's start.
func (f *fleet) expectVoterInTime(name string, lost string) {
	f.t.Helper()
	time.Sleep(catchUpTime)
	if !f.nodes[name].engine.Observe().Voter() || !f.members(f.primary()).RepairDone {
		f.t.Errorf("%v after its start, the successor of %s is no voter of a complete group", catchUpTime, lost)
	}
}

// TestSuccessorOfLostPrimaryIsVoterInTime guards against a group that counts a lost primary
// as its voter until the next loss, and then has no majority any more: a new leader waited
// three seconds anew before it let a successor replace a lost voter, and the successor's
// rounds of discovery waited for lost nodes, which don't answer.
func TestSuccessorOfLostPrimaryIsVoterInTime(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.start(controlNames...)
		f.mustSend(f.primary(), "order-1", 0)
		lost := f.primary().options.Name
		f.lose(lost)
		time.Sleep(successorDelay)
		f.startSuccessor(lost, "control-4")
		f.expectVoterInTime("control-4", lost)
	})
}

// TestGroupOutlivesReplacementOfEveryNode guards against the same when each loss strikes the
// primary of that moment, as soon as the successor before it has had its time.
func TestGroupOutlivesReplacementOfEveryNode(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.start(controlNames...)
		f.mustSend(f.primary(), "order-1", 0)
		for _, successor := range []string{"control-4", "control-5", "control-6"} {
			lost := f.primary().options.Name
			f.lose(lost)
			time.Sleep(successorDelay)
			f.startSuccessor(lost, successor)
			f.expectVoterInTime(successor, lost)
		}
		if status, answer := f.send(f.primary(), "order-2", 1, document(t)); status != http.StatusOK || !answer.Accepted {
			t.Errorf("an order after the replacements returned status %d and %+v, want it accepted", status, answer)
		}
	})
}
