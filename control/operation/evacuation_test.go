package operation

import (
	"testing"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

// TestRefuseEvacuation checks that an evacuation is refused if it would change a zone whose
// last change its operator did not know.
func TestRefuseEvacuation(t *testing.T) {
	table, err := registry.New(catalog.Apex, catalog.Schema(), registry.SOA{Primary: "c", Serial: 5}, []string{"c"})
	if err != nil {
		t.Fatal(err)
	}
	first, err := catalog.Read(table.View())
	if err != nil {
		t.Fatal(err)
	}
	update := registry.NewUpdate(catalog.Apex, nil, []registry.Record{
		catalog.ZoneRecord("z", catalog.Zone{Region: "r"}), catalog.EvacuationRecord("z", catalog.Evacuation{OperationID: "o"}),
	})
	if result := table.Apply(&update, nil); result.Code != registry.NoError {
		t.Fatal(result)
	}
	evacuated, err := first.Next(table.View(), table.TransferSince(first.Serial()))
	if err != nil {
		t.Fatal(err)
	}
	before, after := first.Serial(), evacuated.Serial()
	tests := []struct {
		name     string
		serial   *uint32
		withdraw bool
		refused  bool
	}{
		{"without a serial", nil, true, false},
		{"from before the change", &before, true, true},
		{"from after the change", &after, true, false},
		{"the zone is as wanted", &before, false, false},
	}
	for _, test := range tests {
		request := peer.OperationRequest{Evacuation: &api.EvacuationOperation{OperationID: "new", Zone: "z", Withdraw: test.withdraw}, KnownSerial: test.serial}
		checked, problem := New(request)
		if problem != nil {
			t.Fatal(problem)
		}
		reason := checked.RefuseEvacuation(evacuated)
		if refused := reason != nil; refused != test.refused || refused && reason.Code != api.CodeVersionConflict {
			t.Errorf("%s: got %v, want refused: %v", test.name, reason, test.refused)
		}
		decision, err := checked.Decide(Facts{Catalog: evacuated, Sequence: 1})
		if err != nil {
			t.Fatal(err)
		}
		pinned := len(decision.Update.Prerequisites) == 3
		if pinned != (test.serial != nil) {
			t.Errorf("%s: the prerequisites are %v", test.name, decision.Update.Prerequisites)
		}
	}
}
