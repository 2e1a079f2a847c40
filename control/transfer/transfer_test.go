package transfer

import (
	"log/slog"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

func TestLimiterAllowsTheRateAfterABurst(t *testing.T) {
	const octetsPerSecond = 1000
	limiter := limiter{octetsPerSecond: octetsPerSecond}
	burst := int(octetsPerSecond * Burst.Seconds())
	steps := []struct {
		name   string
		at     time.Duration
		octets int
		want   bool
	}{
		{name: "empty bucket at the start", at: 0, octets: 1},
		{name: "full burst after a long time", at: time.Hour, octets: burst, want: true},
		{name: "empty bucket after the burst", at: time.Hour, octets: 1},
		{name: "transfer larger than the available octets", at: time.Hour + time.Millisecond, octets: 100, want: true},
		{name: "deficit of the large transfer not yet refilled", at: time.Hour + 99*time.Millisecond, octets: 1},
		{name: "deficit refilled", at: time.Hour + 102*time.Millisecond, octets: 1, want: true},
	}
	for _, step := range steps {
		if got := limiter.allow(step.at, step.octets); got != step.want {
			t.Errorf("%s: allowed is %t, want %t", step.name, got, step.want)
		}
	}
}

// TestTransfersOmitDocumentsAndAnswers checks that a gateway that is up to date gets no
// transfer, and that one without a table gets one without the records that gateways do not
// use.
func TestTransfersOmitDocumentsAndAnswers(t *testing.T) {
	table, err := registry.New(catalog.Apex, catalog.Schema(), registry.SOA{Primary: "control-1", Serial: 1}, []string{"control-1"})
	if err != nil {
		t.Fatal(err)
	}
	update := registry.NewUpdate(catalog.Apex, nil, []registry.Record{
		registry.Add(catalog.OperationResultRecord("operation-1", catalog.OperationResult{Accepted: true})),
		registry.Add(catalog.EvacuationRecord("zone-1", catalog.Evacuation{})),
	})
	if result := table.Apply(&update, func(*registry.Update) error { return nil }); result.Code != registry.NoError {
		t.Fatalf("applying the update returned %+v", result)
	}
	sender := NewSender(slog.New(slog.DiscardHandler), 100)

	var current peer.Grant
	sender.Add(0, &current, table, table.Serial())
	if current.Transfer != nil || current.Packed != nil {
		t.Errorf("a gateway that is up to date got %+v, want no transfer", current)
	}

	var fresh peer.Grant
	sender.Add(0, &fresh, table, 0)
	if fresh.Transfer == nil || fresh.Transfer.To != table.Serial() {
		t.Fatalf("a gateway without a table got %+v, want a transfer to the table's serial", fresh.Transfer)
	}
	evacuations := 0
	for _, record := range fresh.Transfer.Added {
		switch record.Type {
		case catalog.TypeOperation, catalog.TypeDocumentChunk:
			t.Errorf("a record of type %d at %s was sent to a gateway", record.Type, record.Name)
		case catalog.TypeEvacuation:
			evacuations++
		}
	}
	if evacuations != 1 {
		t.Errorf("%d evacuations were sent to a gateway, want 1", evacuations)
	}
}
