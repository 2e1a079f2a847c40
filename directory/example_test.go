package directory_test

import (
	"fmt"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/directory"
)

func Example() {
	gateways := map[string]catalog.Gateway{
		"a": {Region: "north", HTTPAddress: "10.0.0.1:80", Up: true},
		"b": {Region: "north", HTTPAddress: "10.0.0.2:80"}, // down
		"c": {Region: "south", HTTPAddress: "10.1.0.1:80", Up: true},
	}
	query := directory.Query{Region: "north", Limit: 8}
	fmt.Println(query.Answer(gateways))
	// The answering node has lost contact with the primary; clients may not have, and may
	// still reach the other regions.
	query.Partitioned = true
	fmt.Println(len(query.Answer(gateways)), "addresses")
	// Output:
	// [10.0.0.1:80]
	// 2 addresses
}
