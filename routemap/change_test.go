package routemap

import (
	"reflect"
	"testing"
	"time"
)

// TestMapApply checks that a change adds, replaces and removes routes and services, and that
// it does not modify the original map.
func TestMapApply(t *testing.T) {
	route := func(name string, timeout time.Duration) Route { return Route{Name: name, Timeout: timeout} }
	before := &Map{
		Version:  3,
		Routes:   []Route{route("a", 1), route("b", 2), route("c", 3)},
		Services: []Service{{Name: "s"}, {Name: "t"}},
		Limits:   Limits{MaxBodyBytes: 9},
	}
	got := before.Apply(&Change{
		Version:         5,
		Routes:          []Route{route("b", 7), route("d", 8)},
		RemovedRoutes:   []string{"a", "unknown"},
		Services:        []Service{{Name: "s", Slots: 4}},
		RemovedServices: []string{"t"},
	})
	want := &Map{
		Version:  5,
		Routes:   []Route{route("b", 7), route("c", 3), route("d", 8)},
		Services: []Service{{Name: "s", Slots: 4}},
		Limits:   Limits{MaxBodyBytes: 9},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if len(before.Routes) != 3 || before.Routes[1].Timeout != 2 || before.Services[0].Slots != 0 {
		t.Errorf("Apply modified the original map: %+v", before)
	}
}
