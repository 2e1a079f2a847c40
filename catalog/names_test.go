package catalog

import (
	"strings"
	"testing"

	"github.com/deckpulley/deckpulley/registry"
	"pgregory.net/rapid"
)

func TestObjectNameInvertsRouteName(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		object := string(rapid.SliceOfN(rapid.Byte(), 1, MaxObjectNameBytes).Draw(t, "object"))
		name := RouteName(object)
		if canonical, err := registry.ParseName(string(name)); err != nil || canonical != name {
			t.Fatalf("ParseName of the name of %q = %q, error %v", object, canonical, err)
		}
		back, err := ObjectName(name)
		if err != nil || back != object {
			t.Fatalf("ObjectName(%q) = %q, error %v", name, back, err)
		}
	})
}

func TestObjectNames(t *testing.T) {
	cases := []struct {
		object string
		want   registry.Name
	}{
		{"explain-long", "explain-long.routes.places."},
		{"Explain", "_45xplain.routes.places."},
		{"v1.2_x", "v1_2e2_5fx.routes.places."},
		{"", ""},
		{strings.Repeat("a", MaxObjectNameBytes+1), ""},
	}
	for _, c := range cases {
		if got := RouteName(c.object); got != c.want {
			t.Errorf("RouteName(%q) = %q, want %q", c.object, got, c.want)
		}
	}
	invalid := []registry.Name{
		"places.", "routes.places.", "a.b.routes.places.", "_.routes.places.",
		"_6.routes.places.", "_61.routes.places.", "__!.routes.places.", "a.routes.elsewhere.",
	}
	for _, name := range invalid {
		if object, err := ObjectName(name); err == nil {
			t.Errorf("ObjectName(%q) = %q, want an error", name, object)
		}
	}
}
