package rotation

import (
	"slices"
	"testing"
)

func TestWindow(t *testing.T) {
	items := []string{"a", "b", "c"}
	for _, c := range []struct {
		items    []string
		position uint64
		limit    int
		want     []string
	}{
		{items, 0, 2, []string{"a", "b"}},
		{items, 2, 2, []string{"c", "a"}},
		{items, 7, 2, []string{"b", "c"}},
		{items, 1, 8, []string{"b", "c", "a"}},
		{nil, 5, 2, []string{}},
		{items, 0, 0, []string{}},
	} {
		if got := Window(c.items, c.position, c.limit); !slices.Equal(got, c.want) {
			t.Errorf("the window of %v at %d with limit %d is %v, want %v", c.items, c.position, c.limit, got, c.want)
		}
	}
}
