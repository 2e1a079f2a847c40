package gateway

import (
	"net/http"
	"testing"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/routing"
)

// warmupElsewhere is a router for which all replicas are in their warm-up and served by
// another gateway, until the gateway calls Acquire.
type warmupElsewhere struct {
	Router
	gateway string
}

func (w *warmupElsewhere) WarmupGateways(string) []string { return []string{w.gateway} }

func (w *warmupElsewhere) Reserve(routing.Request) (*routing.Reservation, *api.Error) {
	return nil, newRetryableError(api.CodeNoCapacity, "all replicas are served by another gateway during their warm-up")
}

// TestRefusedWarmupForwardCountsAsAttempt forwards a request to the gateway that serves
// a replica in its warm-up, and has the replica refuse it. A further attempt would be a
// retry, for which there is no budget.
func TestRefusedWarmupForwardCountsAsAttempt(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	gateway := f.gateway("g1", "north", "a", func(options *Options) {
		router := routing.New(routing.Config{Region: "north", Gateway: "g1", Seed: 1})
		options.Router = &warmupElsewhere{Router: router, gateway: "g2"}
	})
	warmupGateway := f.gateway("g2", "north", "b", nil)
	f.awaitReady(gateway, warmupGateway)
	replica.setAnswer(func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
		writeError(w, &api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused, RequestID: request.RequestID})
	})
	request := newRequest("forwarded")
	request.Repeatable = true
	if got := gateway.send(t, request); got.outcome() != "overloaded/refused" {
		t.Errorf("outcome %s, want overloaded/refused", got.outcome())
	}
	received := replica.requests()
	if len(received) != 1 || received[0].Stamp.Gateway != "g2" {
		t.Fatalf("%d attempts, want one by g2: %+v", len(received), received)
	}
}
