package catalog

import "flag"

// The property tests use a fixed seed, so that every run draws the same cases. The flag
// -rapid.seed selects another seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
