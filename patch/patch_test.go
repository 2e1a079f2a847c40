package patch

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

func TestChangeValidate(t *testing.T) {
	item := func(name string) Item { return Item{Name: name, Value: "{}"} }
	tests := map[string]struct {
		change Change
		field  string // of the FieldError, "" if the change is valid
	}{
		"empty":              {Change{}, ""},
		"different names":    {Change{Sections: []Section{{Name: "a", Upsert: []Item{item("x")}, Remove: []string{"y"}}}}, ""},
		"two sections":       {Change{Sections: []Section{{Name: "a", Upsert: []Item{item("x")}}, {Name: "b", Remove: []string{"x"}}}}, ""},
		"upserted, removed":  {Change{Sections: []Section{{Name: "a", Upsert: []Item{item("x")}, Remove: []string{"x"}}}}, "remove.a[0]"},
		"upserted twice":     {Change{Sections: []Section{{Name: "a", Upsert: []Item{item("x"), item("x")}}}}, "upsert.a[1]"},
		"removed twice":      {Change{Sections: []Section{{Name: "a", Remove: []string{"x", "x"}}}}, "remove.a[1]"},
		"upserts empty name": {Change{Sections: []Section{{Name: "a", Upsert: []Item{item("")}}}}, "upsert.a[0]"},
		"removes empty name": {Change{Sections: []Section{{Name: "a", Remove: []string{""}}}}, "remove.a[0]"},
		"section twice":      {Change{Sections: []Section{{Name: "a"}, {Name: "a"}}}, "a"},
		"too many items":     {Change{Sections: []Section{{Name: "a", Upsert: manyItems(MaxItems + 1)}}}, "change"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := test.change.Validate()
			var invalid *FieldError
			switch {
			case test.field == "" && err != nil:
				t.Errorf("Validate rejected a valid change: %v", err)
			case test.field != "" && (!errors.As(err, &invalid) || invalid.Field != test.field):
				t.Errorf("Validate returned %v, want a FieldError at %q", err, test.field)
			}
		})
	}
}

func manyItems(count int) []Item {
	items := make([]Item, count)
	for i := range items {
		items[i] = Item{Name: strings.Repeat("x", 1+i%7) + string(rune('a'+i%26)) + json.Number(strings.Repeat("1", 1+i%3)).String(), Value: "{}"}
		items[i].Name += string(rune(0x4e00 + i%20000))
		items[i].Name += string(rune(0x4e00 + i/20000))
	}
	return items
}

const listDocument = `{"version":7,"kept" : [1, 2],"routes":[{"name":"r1","x": 1.50},{"x":2,"name":"r2"},{"name":"r3"}],"limits":{"a":1e3}}`

func TestApplyJSON(t *testing.T) {
	set := map[string]json.RawMessage{"version": json.RawMessage("9")}
	tests := map[string]struct {
		document string
		change   Change
		want     string
	}{
		"empty change": {listDocument, Change{}, strings.Replace(compactMembers(listDocument), `:7,`, `:9,`, 1)},
		"replaced at its position": {
			listDocument,
			Change{Sections: []Section{{Name: "routes", Upsert: []Item{{Name: "r2", Value: `{"name":"r2","y":3}`}}}}},
			`{"version":9,"kept":[1, 2],"routes":[{"name":"r1","x": 1.50},{"name":"r2","y":3},{"name":"r3"}],"limits":{"a":1e3}}`,
		},
		"added, removed, unknown name removed": {
			listDocument,
			Change{Sections: []Section{{Name: "routes", Upsert: []Item{{Name: "r4", Value: `{"name":"r4"}`}}, Remove: []string{"r1", "r9"}}}},
			`{"version":9,"kept":[1, 2],"routes":[{"x":2,"name":"r2"},{"name":"r3"},{"name":"r4"}],"limits":{"a":1e3}}`,
		},
		"missing list": {
			`{"a":1}`,
			Change{Sections: []Section{{Name: "routes", Upsert: []Item{{Name: "r", Value: `{"name":"r"}`}}}}},
			`{"a":1,"routes":[{"name":"r"}],"version":9}`,
		},
		"empty document": {"", Change{}, `{"version":9}`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := ApplyJSON(test.document, &test.change, set)
			if err != nil || got != test.want {
				t.Errorf("got  %s, %v\nwant %s", got, err, test.want)
			}
		})
	}
}

// compactMembers removes the spaces around the colon of the member "kept".
func compactMembers(text string) string { return strings.Replace(text, `"kept" : `, `"kept":`, 1) }

func TestApplyJSONRejects(t *testing.T) {
	change := Change{Sections: []Section{{Name: "routes", Upsert: []Item{{Name: "r", Value: `{`}}}}}
	documents := map[string]string{
		"not an object":          `[]`,
		"section is not a list":  `{"routes":{}}`,
		"item is not an object":  `{"routes":[1]}`,
		"truncated document":     `{"a":`,
		"two documents":          `{} {}`,
		"upserted value invalid": `{"routes":[]}`,
	}
	for name, document := range documents {
		t.Run(name, func(t *testing.T) {
			var invalid *FieldError
			if got, err := ApplyJSON(document, &change, nil); !errors.As(err, &invalid) {
				t.Errorf("ApplyJSON(%s) = %s, %v, want a FieldError", document, got, err)
			}
		})
	}
}

const mappingDocument = `# who may come
tenants:
    # the first one
    acme: {home: north, weight: 2}
    old: {}
http:
    routes:
        chat: {host: a}
`

func TestApplyYAML(t *testing.T) {
	change := Change{Sections: []Section{
		{Name: "tenants", Upsert: []Item{{Name: "new", Value: "{weight: 3}"}}, Remove: []string{"old", "unknown"}},
		{Name: "http.routes", Upsert: []Item{{Name: "chat", Value: `{"host": "b"}`}}},
		{Name: "http.services", Upsert: []Item{{Name: "s", Value: "{}"}}},
	}}
	want := `# who may come
tenants:
    # the first one
    acme: {home: north, weight: 2}
    new: {weight: 3}
http:
    routes:
        chat: {"host": "b"}
    services:
        s: {}
`
	if got, err := ApplyYAML(mappingDocument, &change); err != nil || got != want {
		t.Errorf("ApplyYAML returned %s, %v", got, err)
	}
}

func TestApplyYAMLRejects(t *testing.T) {
	change := Change{Sections: []Section{{Name: "http.routes", Upsert: []Item{{Name: "r", Value: `{`}}}}}
	documents := map[string]string{
		"empty document":         "",
		"path is not a mapping":  "http: 1",
		"section not a mapping":  "http: {routes: []}",
		"truncated document":     "a: [",
		"upserted value invalid": "http: {}",
	}
	for name, document := range documents {
		t.Run(name, func(t *testing.T) {
			var invalid *FieldError
			if got, err := ApplyYAML(document, &change); !errors.As(err, &invalid) {
				t.Errorf("ApplyYAML(%q) = %s, %v, want a FieldError", document, got, err)
			}
		})
	}
}

// FuzzApplyJSON checks that the result of a change is valid JSON, and that applying the
// same change again has no effect.
func FuzzApplyJSON(f *testing.F) {
	f.Add(listDocument, "r1", "r9", "r2")
	f.Add(`{"routes":[]}`, "", "a", "b")
	f.Add(`{"routes":[{"name":"a"},{"name":"a"}]}`, "a", "a", "x")
	f.Fuzz(func(t *testing.T, document, upserted, added, removed string) {
		name, err := json.Marshal(upserted)
		if err != nil {
			return
		}
		change := Change{Sections: []Section{{
			Name:   "routes",
			Upsert: []Item{{Name: upserted, Value: `{"name":` + string(name) + `}`}},
			Remove: []string{removed, added},
		}}}
		if change.Validate() != nil {
			return
		}
		once, err := ApplyJSON(document, &change, nil)
		if err != nil {
			return
		}
		if !json.Valid([]byte(once)) {
			t.Fatalf("applying the change to %q returned invalid JSON: %q", document, once)
		}
		twice, err := ApplyJSON(once, &change, nil)
		if err != nil || twice != once {
			t.Fatalf("applying the change to %q returned %q, applying it again returned %q, %v", document, once, twice, err)
		}
	})
}
