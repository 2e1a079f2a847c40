package configuration

import (
	"fmt"
	"strings"
	"testing"
)

// TestNearestNameIsSoughtWithinBounds: the search takes time with the number of names
// and the square of their length, and the document decides both.
func TestNearestNameIsSoughtWithinBounds(t *testing.T) {
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
		{name: "the longest name", typed: long[1:], valid: []string{long[2:]}, want: long[2:]},
		{name: "a longer name", typed: long, valid: []string{long[1:]}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := nearest(c.typed, c.valid); got != c.want {
				t.Errorf("nearest(%q) is %q, want %q", c.typed, got, c.want)
			}
		})
	}
}
