package gateway

import (
	"net/http"
	"testing"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/routing"
)

// warmupElsewhere is a router that leaves the replicas to another gateway's warm-up
// until it is asked to wait for one.
type warmupElsewhere struct {
	Router
	gateway string
}

func (f *warmupElsewhere) WarmupGateways(string) []string { return []string{f.gateway} }

func (f *warmupElsewhere) Reserve(routing.Request) (*routing.Reservation, *api.Error) {
	return nil, newRetryableError(api.CodeNoCapacity, "fed elsewhere")
}

// TestRefusedWarmupForwardCountsAsAttempt has a replica that warms up refuse a
// forwarded request: without budget there is no second attempt.
func TestRefusedWarmupForwardCountsAsAttempt(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	gateway := f.gateway("g1", "north", "a", func(options *Options) {
		router := routing.New(routing.Config{Region: "north", Gateway: "g1", Seed: 1})
		options.Router = &warmupElsewhere{Router: router, gateway: "g2"}
	})
	warmupGateway := f.gateway("g2", "north", "b", nil)
	f.ready(gateway, warmupGateway)
	replica.setAnswer(func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
		writeError(w, &api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused, RequestID: request.RequestID})
	})
	request := newRequest("fed")
	request.Repeatable = true
	if got := gateway.send(t, request); got.outcome() != "overloaded/refused" {
		t.Errorf("got %s", got.outcome())
	}
	received := replica.requests()
	if len(received) != 1 || received[0].Stamp.Gateway != "g2" {
		t.Fatalf("%d attempts: %+v", len(received), received)
	}
}
