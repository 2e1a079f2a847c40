package configuration

import (
	"fmt"
	"strings"
	"testing"
)

// TestNearestSearchIsBounded checks that names beyond the bounds are not searched for. The
// cost of a search is proportional to the number of names and to the square of their
// length, and the author of a document controls both.
func TestNearestSearchIsBounded(t *testing.T) {
	many := make([]string, maxNearestNames+1)
	for i := range many {
		many[i] = fmt.Sprintf("service-%d", i)
	}
	long := strings.Repeat("n", maxNearestBytes+1)
	cases := []struct {
		name  string
		typed string
		valid []string
		want  string
	}{
		{name: "within the bounds", typed: "servise-7", valid: many[:maxNearestNames], want: "service-7"},
		{name: "too many names", typed: "servise-7", valid: many},
		{name: "name of the maximum length", typed: long[1:], valid: []string{long[2:]}, want: long[2:]},
		{name: "name too long", typed: long, valid: []string{long[1:]}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := nearest(c.typed, c.valid); got != c.want {
				t.Errorf("nearest(%q) = %q, want %q", c.typed, got, c.want)
			}
		})
	}
}
