package registry

import "flag"

// By default, the property tests draw the same cases in every run. The flag -rapid.seed
// selects others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
