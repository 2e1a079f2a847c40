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
	question := directory.Question{Region: "north", Limit: 8}
	fmt.Println(question.Answer(gateways))
	question.CutOff = true // whoever answers hears no leader: clients may reach what it cannot
	fmt.Println(len(question.Answer(gateways)), "addresses")
	// Output:
	// [10.0.0.1:80]
	// 2 addresses
}
