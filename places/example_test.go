package places_test

import (
	"fmt"

	"github.com/deckpulley/deckpulley/places"
	"github.com/deckpulley/deckpulley/registry"
)

// The objects of a fleet are records of a table, read back as types.
func Example() {
	table, err := registry.New(places.Apex, places.Schema(), registry.Head{Primary: "control-1", Serial: 1}, []string{"control-1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	update := registry.NewUpdate(places.Apex, nil, []registry.Record{
		registry.Add(places.ZoneRecord("north-1", places.Zone{Region: "north"})),
		registry.Add(places.EvacuationRecord("north-1", places.Evacuation{Order: "order-1"})),
	})
	fmt.Println(table.Apply(&update, nil).Code)
	contents, err := places.Read(table.View())
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(contents.Zones()["north-1"].Region, contents.Evacuated("north-1"))
	// Output:
	// NOERROR
	// north true
}
