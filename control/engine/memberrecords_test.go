package engine

import (
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/registry"
)

// TestMemberRecordsAreReplacedByOneUpdate: the registry keeps its last member record
// whatever an update says. Where all of them change, the new ones come first.
func TestMemberRecordsAreReplacedByOneUpdate(t *testing.T) {
	m := newSingleNode(t)
	now := time.Duration(0)
	m.advance(t, &now, 5*time.Second)
	settled := func(records ...registry.Record) {
		t.Helper()
		m.propose(now, m.ownUpdate(nil, records), func(registry.Result, error) {})
		if err := m.process(now); err != nil {
			t.Fatal(err)
		}
	}
	settled(registry.Add(registry.NSRecord(catalog.Apex, "former")),
		registry.DeleteRecord(registry.NSRecord(catalog.Apex, m.config.Name)))
	m.recordMembers(now, m.leadership)
	if err := m.process(now); err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, record := range m.table().View().Lookup(catalog.Apex, registry.TypeNS) {
		names = append(names, string(record.Data))
	}
	if len(names) != 1 || names[0] != m.config.Name {
		t.Errorf("the member records are %q after one update, want %q alone", names, m.config.Name)
	}
}

// TestNewestDiskOfAnAddressAsksToJoin: a request from an earlier disk of the address
// would bring in a node that is no longer there.
func TestNewestDiskOfAnAddressAsksToJoin(t *testing.T) {
	m := newSingleNode(t)
	now := time.Duration(0)
	m.advance(t, &now, 5*time.Second)
	for _, disk := range []consensus.ID{"disk-2", "disk-2-replaced"} {
		m.join(now, consensus.Member{ID: disk, Name: "control-2", Address: "control-2:1"})
	}
	joins := m.leadership.members.Joins()
	if len(joins) != 1 || joins[0].Member.ID != "disk-2-replaced" {
		t.Errorf("%+v ask to join, want the newest disk alone", joins)
	}
}
