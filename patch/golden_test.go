package patch

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/deckpulley/deckpulley/internal/canonical"
)

// updateGolden rewrites the files in testdata/golden. Nodes of different releases exchange
// their content, so files may be added but not changed.
var updateGolden = flag.Bool("update-golden", false, "rewrite the files in testdata/golden")

// checkGolden compares an encoding with a golden file, which an earlier release wrote, and
// returns the file's bytes.
func checkGolden(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, encoded, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, golden) {
		t.Errorf("%s: the encoding is\n%s\nwant\n%s", path, encoded, golden)
	}
	return golden
}

// goldenChange returns a change with sections that upsert, remove, do both, and are
// empty.
func goldenChange() Change {
	return Change{Sections: []Section{
		{Name: "routes", Upsert: []Item{{Name: "b", Value: `{"name":"b","weight":2}`}, {Name: "d", Value: `{"name":"d"}`}}, Remove: []string{"a", "unknown"}},
		{Name: "http.routes", Upsert: []Item{{Name: "é", Value: `{name: "é"}`}}},
		{Name: "services", Remove: []string{"old"}},
		{Name: "nothing"},
	}}
}

func TestGoldenChanges(t *testing.T) {
	cases := map[string]Change{
		"change":      goldenChange(),
		"change-zero": {},
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			encoded, err := canonical.Encoding().Marshal(want)
			if err != nil {
				t.Fatal(err)
			}
			var got Change
			if err := canonical.Decoding(canonical.Bounds{}).Unmarshal(checkGolden(t, name+".cbor", encoded), &got); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("decoded %+v, want %+v", got, want)
			}
		})
	}
}

// TestGoldenDocuments checks the texts that result from changes. They are stored, and
// every replica computes them from the same change: releases that computed different
// texts would diverge.
func TestGoldenDocuments(t *testing.T) {
	change := goldenChange()
	list := Change{Sections: change.Sections[:1]}
	mapping := Change{Sections: []Section{
		{Name: "tenants", Upsert: []Item{{Name: "new", Value: "{weight: 3}"}}, Remove: []string{"old", "unknown"}},
		change.Sections[1],
	}}
	cases := map[string]func() (string, error){
		"lists.json": func() (string, error) {
			return ApplyJSON(`{ "version":7,"routes":[{"name":"a"}, {"weight":1.50,"name":"b"},{"name":"c"}],"limits" : {"a":1e3} }`, &list, nil)
		},
		"lists-version.json": func() (string, error) {
			return ApplyJSON(`{"version":7,"routes":[]}`, &list, map[string]json.RawMessage{"version": json.RawMessage("8")})
		},
		"lists-empty.json": func() (string, error) { return ApplyJSON("", &list, nil) },
		"mappings.yaml":    func() (string, error) { return ApplyYAML(mappingDocument, &mapping) },
	}
	for name, apply := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := apply()
			if err != nil {
				t.Fatal(err)
			}
			checkGolden(t, name, []byte(got))
		})
	}
}
