package documentchange_test

import (
	"fmt"

	"github.com/deckpulley/deckpulley/documentchange"
)

func Example() {
	change := documentchange.Change{Sections: []documentchange.Section{{
		Name:   "routes",
		Upsert: []documentchange.Item{{Name: "b", Value: `{"name":"b","weight":2}`}},
		Remove: []string{"a", "unknown"},
	}}}
	fmt.Println(change.Validate())
	fmt.Println(documentchange.ApplyToLists(`{"routes":[{"name":"a"},{"name":"c"}],"kept":true}`, &change, nil))
	// Output:
	// <nil>
	// {"routes":[{"name":"c"},{"name":"b","weight":2}],"kept":true} <nil>
}
