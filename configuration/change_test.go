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
		t.Fatalf("got %+v", change)
	}
	tenants := change.Sections[1]
	if tenants.Name != "tenants" || len(tenants.Upsert) != 2 || tenants.Upsert[0].Name != "a" || strings.TrimSpace(tenants.Upsert[1].Value) != "{weight: 2}" {
		t.Errorf("got %+v", tenants)
	}
	if _, err := ParseChange("{\"remove\":\t{\"tenants\": [\"a\"]}}"); err != nil {
		t.Errorf("as JSON: %v", err)
	}
}

func TestParseChangeNamesTheField(t *testing.T) {
	tests := map[string]string{ // text: field
		"":                                    "",
		"[]":                                  "",
		"upsert: {tenants: {a: {}}}\nmore: 1": "more",
		"upsert: {limits: {a: 1}}":            "upsert.limits",
		"remove: {tenants: a}":                "",
		"remove: {tenants: [a, a]}":           "remove.tenants[1]",
		"upsert: {tenants: {a: {}}}\nremove: {tenants: [a]}": "remove.tenants[0]",
		"upsert: {}\nupsert: {}":                             "",
		strings.Repeat("x", MaxDocumentBytes+1):              "",
	}
	for text, field := range tests {
		var problem *patch.FieldError
		if _, err := ParseChange(text); !errors.As(err, &problem) || problem.Field != field {
			t.Errorf("%.60q: got %v, want a problem at %q", text, err, field)
		}
	}
}
