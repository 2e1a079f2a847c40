package catalog_test

import (
	"fmt"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
)

// The objects of a fleet are stored as records of a table and read back as typed values.
func Example() {
	table, err := registry.New(catalog.Apex, catalog.Schema(), registry.SOA{Primary: "control-1", Serial: 1}, []string{"control-1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	update := registry.NewUpdate(catalog.Apex, nil, []registry.Record{
		registry.Add(catalog.ZoneRecord("north-1", catalog.Zone{Region: "north"})),
		registry.Add(catalog.EvacuationRecord("north-1", catalog.Evacuation{OperationID: "operation-1"})),
	})
	fmt.Println(table.Apply(&update, nil).Code)
	state, err := catalog.Read(table.View())
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(state.Zones()["north-1"].Region, state.IsEvacuated("north-1"))
	// Output:
	// NOERROR
	// north true
}
