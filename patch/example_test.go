package patch_test

import (
	"fmt"

	"github.com/deckpulley/deckpulley/patch"
)

func Example() {
	change := patch.Change{Sections: []patch.Section{{
		Name:   "routes",
		Upsert: []patch.Item{{Name: "b", Value: `{"name":"b","weight":2}`}},
		Remove: []string{"a", "unknown"},
	}}}
	fmt.Println(change.Validate())
	fmt.Println(patch.ApplyJSON(`{"routes":[{"name":"a"},{"name":"c"}],"kept":true}`, &change, nil))
	// Output:
	// <nil>
	// {"routes":[{"name":"c"},{"name":"b","weight":2}],"kept":true} <nil>
}
