package engine

import (
	"log/slog"
	"testing"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/eventqueue"
	"github.com/deckpulley/deckpulley/control/metrics"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/storage"
	"github.com/deckpulley/deckpulley/transport"
)

// TestQueuedMessagesAreBoundedInBytes guards against snapshots and entries that fill the
// memory while the event loop waits for the disk.
func TestQueuedMessagesAreBoundedInBytes(t *testing.T) {
	config := Config{Name: "n", PeerAddress: "n", Network: transport.NewMemory().Node("n", "n"), Store: storage.NewMemory("disk"), Logger: slog.New(slog.DiscardHandler)}
	queue := eventqueue.New()
	stalled, err := New(config, queue, metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	const snapshotBytes = 3 << 20
	large := peer.ConsensusMessage{Message: consensus.Message{Kind: consensus.MessageSnapshot, Snapshot: &consensus.Snapshot{Data: make([]byte, snapshotBytes)}}}
	accepted := 0
	for range 20 {
		if stalled.offerConsensus(large) {
			accepted++
		}
	}
	if accepted != maxQueuedBytes/snapshotBytes {
		t.Errorf("%d snapshots of %d bytes wait, want %d", accepted, snapshotBytes, maxQueuedBytes/snapshotBytes)
	}
	if !stalled.offerConsensus(peer.ConsensusMessage{Message: consensus.Message{Kind: consensus.MessageHeartbeat}}) {
		t.Error("a message without entries was dropped")
	}
	for range accepted + 1 {
		(<-queue.Events())(0)
	}
	if waiting := stalled.queuedBytes.Load(); waiting != 0 {
		t.Errorf("%d bytes are counted with no message waiting", waiting)
	}
}
