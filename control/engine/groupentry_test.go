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

// groupOf is the first snapshot of a group of nodes on these disks.
func groupOf(t *testing.T, cluster string, disks ...consensus.ID) consensus.Snapshot {
	t.Helper()
	members := make([]consensus.Member, 0, len(disks))
	for _, disk := range disks {
		members = append(members, consensus.Member{ID: disk, Name: "node-of-" + string(disk), Address: string(disk) + ":1"})
	}
	snapshot, err := statemachine.First(cluster, members[0].Name, members)
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// TestFormationCutBetweenItsWritesIsCompleted: the snapshot names the group, and is
// written first. A node that starts with it alone belongs to that group.
func TestFormationCutBetweenItsWritesIsCompleted(t *testing.T) {
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
		t.Errorf("the node belongs to %q and its disk to %q, want the group of the snapshot", m.driver.Cluster(), loaded.Cluster)
	}
}

// TestGroupOfAnEarlierDiskIsNotAdopted: a node that has promised to wait for one disk
// adopts no group that was formed without it, by an earlier disk of that node.
func TestGroupOfAnEarlierDiskIsNotAdopted(t *testing.T) {
	cases := []struct {
		name     string
		promised consensus.ID
		want     bool
	}{
		{name: "of the disk that was promised", promised: "disk-0", want: true},
		{name: "of an earlier disk", promised: "disk-0-replaced"},
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
			form := peer.Bootstrap{Cluster: "new", Snapshot: groupOf(t, "new", "disk-0", "disk-1")}
			if got := m.driver.AcceptBootstrap(0, form, c.promised); got != c.want {
				t.Errorf("adopted: %t, want %t", got, c.want)
			}
		})
	}
}

// TestSnapshotOfAnotherGroupIsNotRestored: a node keeps to the group on its disk.
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
