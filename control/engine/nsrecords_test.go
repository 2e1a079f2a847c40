package engine

import (
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/registry"
)

// TestNSRecordsAreReplacedByOneUpdate checks that one update can replace all NS records.
// The registry never deletes the last NS record, so an update must add the new ones first.
func TestNSRecordsAreReplacedByOneUpdate(t *testing.T) {
	m := newSingleNode(t)
	now := time.Duration(0)
	m.advance(t, &now, 5*time.Second)
	applyUpdate := func(records ...registry.Record) {
		t.Helper()
		m.propose(now, m.ownUpdate(nil, records), func(registry.Result, error) {})
		if err := m.process(now); err != nil {
			t.Fatal(err)
		}
	}
	applyUpdate(registry.Add(registry.NSRecord(catalog.Apex, "former")),
		registry.DeleteRecord(registry.NSRecord(catalog.Apex, m.config.Name)))
	m.updateNSRecords(now, m.leadership)
	if err := m.process(now); err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, record := range m.table().View().Lookup(catalog.Apex, registry.TypeNS) {
		names = append(names, string(record.Data))
	}
	if len(names) != 1 || names[0] != m.config.Name {
		t.Errorf("the NS records are %q after one update, want only %q", names, m.config.Name)
	}
}

// TestJoinRequestReplacesThatOfAnEarlierDisk checks that only the newest request to join
// from an address is retained: the disk of an earlier one no longer exists, so it must not
// be admitted.
func TestJoinRequestReplacesThatOfAnEarlierDisk(t *testing.T) {
	m := newSingleNode(t)
	now := time.Duration(0)
	m.advance(t, &now, 5*time.Second)
	for _, disk := range []consensus.ID{"disk-2", "disk-2-replaced"} {
		m.join(now, consensus.Member{ID: disk, Name: "control-2", Address: "control-2:1"})
	}
	joins := m.leadership.members.Joins()
	if len(joins) != 1 || joins[0].Member.ID != "disk-2-replaced" {
		t.Errorf("the requests to join are %+v, want only that of the newest disk", joins)
	}
}
