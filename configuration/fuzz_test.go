package configuration

import (
	"errors"
	"testing"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
)

// FuzzLoad checks that Load either returns a *DocumentError with a reason, or a document
// that can be applied to an empty table.
func FuzzLoad(f *testing.F) {
	f.Add("regions: {a: {zones: [a-1], capacity: 1}}\nservices: {s: {kind: model, max_concurrency: 1}}\nroutes: {m: {service: s}}\n")
	f.Add(`{"regions":{"a":{"zones":["a-1"],"capacity":0}}}`)
	f.Add("a: &b {c: *b}")
	kodovka, err := Example("kodovka")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(kodovka)
	f.Fuzz(func(t *testing.T, text string) {
		document, err := Load(text)
		if err != nil {
			var problems *DocumentError
			if !errors.As(err, &problems) || len(problems.Problems) == 0 || problems.Problems[0].Reason == "" {
				t.Fatalf("error without a reason: %v", err)
			}
			return
		}
		head := registry.SOA{Primary: "p", Serial: 1}
		table, err := registry.New(catalog.Apex, catalog.Schema(), head, []string{"p"})
		if err != nil {
			t.Fatal(err)
		}
		changes, err := Changes(table.View(), document, 1, "", text)
		if err != nil {
			t.Fatalf("Changes rejected a valid document: %v", err)
		}
		update := registry.NewUpdate(catalog.Apex, nil, changes)
		if result := table.Apply(&update, nil); result.Code != registry.NoError {
			t.Fatalf("the table rejected a valid document: %s: %v", result.Code, result.Reason)
		}
	})
}
