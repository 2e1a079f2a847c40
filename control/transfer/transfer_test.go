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
		{name: "nothing at the start", at: 0, octets: 1},
		{name: "no more than a burst has gathered", at: time.Hour, octets: burst, want: true},
		{name: "the burst is used up", at: time.Hour, octets: 1},
		{name: "a transfer that is begun may exceed what is available", at: time.Hour + time.Millisecond, octets: 100, want: true},
		{name: "and is made up for", at: time.Hour + 99*time.Millisecond, octets: 1},
		{name: "by waiting", at: time.Hour + 102*time.Millisecond, octets: 1, want: true},
	}
	for _, step := range steps {
		if got := limiter.allow(step.at, step.octets); got != step.want {
			t.Errorf("%s: got %t, want %t", step.name, got, step.want)
		}
	}
}

func TestGatewaysGetNoDocumentsAndNoAnswers(t *testing.T) {
	table, err := registry.New(catalog.Apex, catalog.Schema(), registry.SOA{Primary: "control-1", Serial: 1}, []string{"control-1"})
	if err != nil {
		t.Fatal(err)
	}
	update := registry.NewUpdate(catalog.Apex, nil, []registry.Record{
		registry.Add(catalog.OperationResultRecord("operation-1", catalog.OperationResult{Accepted: true})),
		registry.Add(catalog.EvacuationRecord("zone-1", catalog.Evacuation{})),
	})
	if result := table.Apply(&update, func(*registry.Update) error { return nil }); result.Code != registry.NoError {
		t.Fatalf("the update answered %+v", result)
	}
	sender := NewSender(slog.New(slog.DiscardHandler), 100)

	var current peer.Grant
	sender.Add(0, &current, table, table.Serial())
	if current.Transfer != nil || current.Packed != nil {
		t.Errorf("a gateway that is up to date gets %+v", current)
	}

	var fresh peer.Grant
	sender.Add(0, &fresh, table, 0)
	if fresh.Transfer == nil || fresh.Transfer.To != table.Serial() {
		t.Fatalf("a gateway without a table gets %+v", fresh.Transfer)
	}
	evacuations := 0
	for _, record := range fresh.Transfer.Added {
		switch record.Type {
		case catalog.TypeOperation, catalog.TypeDocumentChunk:
			t.Errorf("record of type %d at %s is sent to gateways", record.Type, record.Name)
		case catalog.TypeEvacuation:
			evacuations++
		}
	}
	if evacuations != 1 {
		t.Errorf("%d evacuations are sent to gateways, want 1", evacuations)
	}
}
