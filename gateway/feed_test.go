package gateway

import (
	"net/http"
	"testing"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/routing"
)

// fedElsewhere is a router that leaves the replicas to another gateway's feeding
// until it is asked to wait for one.
type fedElsewhere struct {
	Router
	feeder string
}

func (f *fedElsewhere) WarmupGateways(string) []string { return []string{f.feeder} }

func (f *fedElsewhere) Reserve(routing.Request) (*routing.Reservation, *api.Error) {
	return nil, refusedLater(api.CodeNoCapacity, "fed elsewhere")
}

// TestRefusedFeedingCountsAsAttempt has the feeder's replica refuse: without
// budget there is no second attempt from here.
func TestRefusedFeedingCountsAsAttempt(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	asked := f.gateway("g1", "north", "a", func(options *Options) {
		router := routing.New(routing.Config{Region: "north", Gateway: "g1", Seed: 1})
		options.Router = &fedElsewhere{Router: router, feeder: "g2"}
	})
	feeder := f.gateway("g2", "north", "b", nil)
	f.ready(asked, feeder)
	replica.behave(func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
		writeError(w, &api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused, RequestID: request.RequestID})
	})
	request := question("fed")
	request.Repeatable = true
	if got := asked.send(t, request); got.outcome() != "overloaded/refused" {
		t.Errorf("got %s", got.outcome())
	}
	received := replica.requests()
	if len(received) != 1 || received[0].Stamp.Gateway != "g2" {
		t.Fatalf("%d attempts: %+v", len(received), received)
	}
}
