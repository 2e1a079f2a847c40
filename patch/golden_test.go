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

// updateGolden writes the files of testdata/golden anew. What is in them is sent
// between builds, so a file is added, never changed.
var updateGolden = flag.Bool("update-golden", false, "write the files of testdata/golden anew")

// checkGolden compares an encoding with the file that an earlier build left, and
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
		t.Errorf("%s: encoded as\n%s\nwant\n%s", path, encoded, golden)
	}
	return golden
}

// goldenChange changes a list, a mapping below a mapping, and nothing.
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

// TestGoldenDocuments holds the texts that a change leads to. They are stored, and
// every replica makes them by itself from the same change: two builds that wrote
// them differently would disagree.
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
