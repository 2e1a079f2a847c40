package configuration

import (
	"errors"
	"strings"
	"testing"

	"github.com/deckpulley/deckpulley/patch"
)

func TestParseChange(t *testing.T) {
	change, err := ParseChange("upsert:\n  tenants:\n    b: {weight: 2}\n    a: {weight: 1}\n  http.routes: {}\nremove:\n  homes: [x]\n")
	if err != nil {
		t.Fatal(err)
	}
	if len(change.Sections) != 2 || change.Sections[0].Name != "homes" || change.Sections[0].Remove[0] != "x" {
		t.Fatalf("parsed change is %+v", change)
	}
	tenants := change.Sections[1]
	if tenants.Name != "tenants" || len(tenants.Upsert) != 2 || tenants.Upsert[0].Name != "a" || strings.TrimSpace(tenants.Upsert[1].Value) != "{weight: 2}" {
		t.Errorf("section tenants is %+v", tenants)
	}
	if _, err := ParseChange("{\"remove\":\t{\"tenants\": [\"a\"]}}"); err != nil {
		t.Errorf("parsing a change in JSON: %v", err)
	}
}

func TestParseChangeNamesTheField(t *testing.T) {
	cases := []struct {
		name, text, field string
	}{
		{"empty", "", ""},
		{"a list", "[]", ""},
		{"unknown field", "upsert: {tenants: {a: {}}}\nmore: 1", "more"},
		{"section that a change cannot name", "upsert: {limits: {a: 1}}", "upsert.limits"},
		{"removal that is not a list", "remove: {tenants: a}", ""},
		{"item removed twice", "remove: {tenants: [a, a]}", "remove.tenants[1]"},
		{"item upserted and removed", "upsert: {tenants: {a: {}}}\nremove: {tenants: [a]}", "remove.tenants[0]"},
		{"field twice", "upsert: {}\nupsert: {}", ""},
		{"too large", strings.Repeat("x", MaxDocumentBytes+1), ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var problem *patch.FieldError
			if _, err := ParseChange(c.text); !errors.As(err, &problem) || problem.Field != c.field {
				t.Errorf("ParseChange(%.60q) returned %v, want a FieldError at %q", c.text, err, c.field)
			}
		})
	}
}
