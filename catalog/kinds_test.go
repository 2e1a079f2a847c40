package catalog

import (
	"testing"

	"github.com/deckpulley/deckpulley/registry"
)

func TestSchemaRejectsUndecodableData(t *testing.T) {
	table := newTable(t)
	update := registry.NewUpdate(Apex, nil, []registry.Record{
		{Name: RouteName("x"), Type: TypeRoute, Class: registry.ClassTable, Data: []byte("not CBOR")},
	})
	if result := table.Apply(&update, nil); result.Code != registry.FormErr {
		t.Errorf("response code %s, want FORMERR", result.Code)
	}
}
