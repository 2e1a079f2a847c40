package statemachine

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
)

// TestOldestOperationsAreDeleted checks that the log retains the newest operations up to
// the limit, ignores a refused update, and is restored from its entries.
func TestOldestOperationsAreDeleted(t *testing.T) {
	const limit = 3
	var log OperationLog
	apply := func(serial uint32, changes ...registry.Record) {
		update := registry.NewUpdate(catalog.Apex, nil, changes)
		log.record(&update, registry.Result{Changed: true, Serial: serial})
	}
	for i := range 5 {
		order := fmt.Sprintf("order-%d", i)
		changes := []registry.Record{registry.Add(catalog.OperationResultRecord(order, catalog.OperationResult{}))}
		for _, name := range log.ExcessOperations(limit) {
			changes = append(changes, registry.DeleteRRset(name, catalog.TypeOperation))
		}
		apply(uint32(10+i), changes...)
		if len(log.serials) > limit {
			t.Fatalf("%d operations are retained, want at most %d", len(log.serials), limit)
		}
	}
	refused := registry.NewUpdate(catalog.Apex, nil, []registry.Record{registry.Add(catalog.OperationResultRecord("order-9", catalog.OperationResult{}))})
	log.record(&refused, registry.Result{Code: registry.YXRRSet})
	want := []OperationEntry{{catalog.OperationName("order-2"), 12}, {catalog.OperationName("order-3"), 13}, {catalog.OperationName("order-4"), 14}}
	if difference := cmp.Diff(want, log.entries()); difference != "" {
		t.Errorf("retained operations (-want +got):\n%s", difference)
	}
	var copied OperationLog
	copied.restore(log.entries())
	if difference := cmp.Diff(log.entries(), copied.entries()); difference != "" {
		t.Errorf("restored operations (-want +got):\n%s", difference)
	}
}
