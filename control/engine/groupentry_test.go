package engine

import (
	"log/slog"
	"testing"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/metrics"
	"github.com/deckpulley/deckpulley/control/statemachine"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/storage"
	"github.com/deckpulley/deckpulley/transport"
)

// groupOf returns the first snapshot of a group with one node for each disk.
func groupOf(t *testing.T, cluster string, disks ...consensus.ID) consensus.Snapshot {
	t.Helper()
	members := make([]consensus.Member, 0, len(disks))
	for _, disk := range disks {
		members = append(members, consensus.Member{ID: disk, Name: "node-of-" + string(disk), Address: string(disk) + ":1"})
	}
	snapshot, err := statemachine.InitialSnapshot(cluster, members[0].Name, members)
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// TestInterruptedGroupEntryIsCompleted checks that a node that crashed while entering a
// group, after it wrote the first snapshot but before it recorded the group's id, belongs
// to the group of the snapshot after its restart.
func TestInterruptedGroupEntryIsCompleted(t *testing.T) {
	store := storage.NewMemory("disk-1")
	if err := store.SaveSnapshot(groupOf(t, "cut short", "disk-1"), 2); err != nil {
		t.Fatal(err)
	}
	m := newSingleNodeOn(t, store)
	loaded, err := store.Load()
	if err != nil {
		t.Fatal(err)
	}
	if m.driver.Cluster() != "cut short" || loaded.Cluster != m.driver.Cluster() {
		t.Errorf("the node belongs to group %q and its disk to %q, want the group of the snapshot", m.driver.Cluster(), loaded.Cluster)
	}
}

// TestBootstrapFromReplacedCoordinatorIsRejected checks that a node that waits for a
// coordinator to bootstrap the group rejects a group that does not contain it: that group
// was bootstrapped by an earlier disk of the coordinator's node.
func TestBootstrapFromReplacedCoordinatorIsRejected(t *testing.T) {
	cases := []struct {
		name        string
		coordinator consensus.ID
		want        bool
	}{
		{name: "coordinator is a member", coordinator: "disk-0", want: true},
		{name: "coordinator is not a member", coordinator: "disk-0-replaced"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config := Config{
				Name:        "control-1",
				PeerAddress: "control-1:1",
				Network:     transport.NewMemory().Node("control-1", "control-1:1"),
				Store:       storage.NewMemory("disk-1"),
				Logger:      slog.New(slog.DiscardHandler),
			}.withDefaults()
			m, err := newMachine(config, metrics.New(), 0)
			if err != nil {
				t.Fatal(err)
			}
			request := peer.Bootstrap{Cluster: "new", Snapshot: groupOf(t, "new", "disk-0", "disk-1")}
			if got := m.driver.AcceptBootstrap(0, request, c.coordinator); got != c.want {
				t.Errorf("accepted is %t, want %t", got, c.want)
			}
		})
	}
}

// TestSnapshotOfAnotherGroupIsNotRestored checks that a node refuses to start from a
// snapshot of a group other than that recorded on its disk.
func TestSnapshotOfAnotherGroupIsNotRestored(t *testing.T) {
	store := storage.NewMemory("disk-1")
	if err := store.SetCluster("own"); err != nil {
		t.Fatal(err)
	}
	if err := store.SaveSnapshot(groupOf(t, "another", "disk-1"), 2); err != nil {
		t.Fatal(err)
	}
	config := Config{
		Name:        "control-1",
		PeerAddress: "control-1:1",
		Network:     transport.NewMemory().Node("control-1", "control-1:1"),
		Store:       store,
		Logger:      slog.New(slog.DiscardHandler),
	}.withDefaults()
	if _, err := newMachine(config, metrics.New(), 0); err == nil {
		t.Error("a node started from a snapshot of another group")
	}
}
