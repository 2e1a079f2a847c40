package fielddiff

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

type inner struct {
	List []string `yaml:"list,omitempty"`
	Bare int
}

type outer struct {
	Name   string `yaml:"name"`
	Inner  inner  `yaml:"inner"`
	hidden int
}

func TestNames(t *testing.T) {
	before := outer{Name: "a", Inner: inner{List: []string{"x"}}, hidden: 1}
	after := outer{Name: "b", Inner: inner{List: []string{"y"}}, hidden: 2}
	if difference := cmp.Diff([]string{"name", "inner.list"}, Names(before, after, "yaml")); difference != "" {
		t.Errorf("changed fields (-want +got):\n%s", difference)
	}
	if changed := Names(before, before, "yaml"); changed != nil {
		t.Errorf("equal values differ in %v", changed)
	}
	if difference := cmp.Diff([]string{"name", "inner.list", "inner.Bare"}, All(before, "yaml")); difference != "" {
		t.Errorf("all fields (-want +got):\n%s", difference)
	}
}
