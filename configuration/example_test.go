package configuration_test

import (
	"fmt"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/registry"
)

const document = `
regions:
  north: {zones: [north-1], capacity: 5}
services:
  explain: {kind: model, max_concurrency: 8}
routes:
  explain-long: {service: %s, class: long}
`

func Example() {
	_, err := configuration.Load(fmt.Sprintf(document, "explian"))
	fmt.Println(err)

	text := fmt.Sprintf(document, "explain")
	loaded, err := configuration.Load(text)
	if err != nil {
		fmt.Println(err)
		return
	}
	table, err := registry.New(catalog.Apex, catalog.Schema(), registry.SOA{Serial: 1}, []string{"control-1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	changes, err := configuration.Changes(table.View(), loaded, 1, "anna", text)
	if err != nil {
		fmt.Println(err)
		return
	}
	update := registry.NewUpdate(catalog.Apex, []registry.Record{configuration.UnchangedPrerequisite(table.View())}, changes)
	fmt.Println(table.Apply(&update, nil).Code)

	state, err := catalog.Read(table.View())
	if err != nil {
		fmt.Println(err)
		return
	}
	route, _ := state.Route("explain-long")
	fmt.Println(state.Version(), route.Service, route.Class)
	// Output:
	// invalid configuration
	// 	line 7: routes.explain-long.service: no service "explian" (nearest: "explain")
	// NOERROR
	// 1 explain long
}
