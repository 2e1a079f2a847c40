package loadexchange_test

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/loadexchange"
	"github.com/deckpulley/deckpulley/peer"
)

// idle is the LoadSource of a gateway that has no requests in flight.
type idle struct{}

func (idle) Loads() map[peer.ReplicaKey]peer.Load    { return nil }
func (idle) RegionOf(replica peer.ReplicaKey) string { return "north" }

// One of two gateways reports a prompt to the other, which is the aggregator because its
// link is wider.
func Example() {
	gateways := map[string]loadexchange.Gateway{
		"gateway-1": {Region: "north", Address: "10.0.0.1:7000", LinkMbps: 10},
		"gateway-2": {Region: "north", Address: "10.0.0.2:7000", LinkMbps: 100},
	}
	reporter := loadexchange.New("gateway-1", "north", idle{})
	aggregator := loadexchange.New("gateway-2", "north", idle{})
	reporter.SetGateways(gateways)
	aggregator.SetGateways(gateways)

	now := time.Now()
	reporter.RecordPlacement(peer.PlacedPrompt{Replica: peer.NewReplicaKey("replica-a"), PrefillMS: 120})
	effects, _ := reporter.Step(now)
	for _, message := range effects.Outgoing {
		fmt.Println("to", message.Address, len(message.Report.PlacedPrompts), "prompt")
		aggregator.HandleReport(now, message.Report)
	}
	effects, _ = aggregator.Step(now)
	for _, part := range effects.Observed {
		for _, placed := range part.PlacedPrompts {
			fmt.Println("observed a prompt of", placed.PrefillMS, "ms at replica-a:", placed.Replica == peer.NewReplicaKey("replica-a"))
		}
	}
	// Output:
	// to 10.0.0.2:7000 1 prompt
	// observed a prompt of 120 ms at replica-a: true
}
