package dispatch

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routemap"
)

// configureServices publishes a route and two replicas for each service. The path of a
// service's requests is its name between slashes.
func (f *fixture) configureServices(version uint64, names ...string) {
	f.t.Helper()
	routes := &routemap.Map{Version: version}
	for _, name := range names {
		routes.Services = append(routes.Services, routemap.Service{Name: name, Slots: 8, MaxConnections: 100})
		routes.Routes = append(routes.Routes, routemap.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: routemap.Idempotent, Timeout: 5 * time.Second, MaxAttempts: 2,
			Targets: []routemap.Target{{Service: name, Weight: 1}},
		})
	}
	changes, err := configuration.RouteMapChanges(f.table.View(), routes, zones, "text")
	if err != nil {
		f.t.Fatal(err)
	}
	f.apply(changes...)
}

func (f *fixture) addReplicasOf(names ...string) {
	f.t.Helper()
	for _, name := range names {
		for _, id := range []string{name + "1", name + "2"} {
			f.apply(registry.Add(catalog.ReplicaRecord(id, catalog.Replica{Service: name, Zone: "east-1", Region: ownRegion, Address: id + ":1"})))
		}
	}
}

// serveAt serves count requests to a service.
func (f *fixture) serveAt(service string, count int) {
	f.t.Helper()
	for range count {
		f.serve(func(r *Request) { r.Path = "/" + service + "/x" })
	}
}

// TestRetryBudgetOfEachService guards against a small service whose requests are retried far
// beyond its ratio because another service is busy (the review's day minor-service).
func TestRetryBudgetOfEachService(t *testing.T) {
	const (
		requests = 50
		pause    = 2 * minRejectedAvoidance // all of them are within retry.Window
	)
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.configureServices(1, "busy", "minor")
		f.addReplicasOf("busy", "minor")
		f.respond = func(context.Context, *Attempt) (*Response, error) { return fullResponse(http.StatusOK, "ok"), nil }
		f.serveAt("busy", 20*requests)
		f.respond = func(context.Context, *Attempt) (*Response, error) {
			return nil, &AttemptError{Reason: FailureRejected}
		}
		before := f.dispatcher.Counts()
		for range requests {
			f.serveAt("minor", 1)
			time.Sleep(pause)
		}
		after := f.dispatcher.Counts()
		if after.Attempts-before.Attempts < requests {
			t.Fatalf("%d attempts for %d requests: not all reached the replicas", after.Attempts-before.Attempts, requests)
		}
		most := uint64(DefaultRetryRatio * requests)
		if got := after.Retries - before.Retries; got > most {
			t.Errorf("%d retries for %d requests of the small service, want at most %d", got, requests, most)
		}
	})
}

// TestRetryBudgetIsForgottenWithItsService checks that a service that left the configuration
// leaves no budget behind, and that the status has the budgets of the others.
func TestRetryBudgetIsForgottenWithItsService(t *testing.T) {
	f := newFixture(t)
	f.configureServices(1, "kept", "gone")
	f.addReplicasOf("kept", "gone")
	f.respond = func(context.Context, *Attempt) (*Response, error) { return fullResponse(http.StatusOK, "ok"), nil }
	f.serveAt("kept", 10)
	f.serveAt("gone", 10)
	if got := f.dispatcher.RetryBudgets(); len(got) != 2 {
		t.Errorf("got the budgets %v, want two", got)
	}
	f.configureServices(2, "kept")
	got := f.dispatcher.RetryBudgets()
	if want := (RetryBudget{Ratio: DefaultRetryRatio * retryShare}); len(got) != 1 || got["kept"] != want {
		t.Errorf("got the budgets %v, want %v of kept alone", got, want)
	}
	f.configureServices(3, "kept", "gone")
	f.respond = func(context.Context, *Attempt) (*Response, error) {
		return nil, &AttemptError{Reason: FailureRejected}
	}
	f.serveAt("gone", 1)
	if counts := f.dispatcher.Counts(); counts.Retries != 0 {
		t.Errorf("%d retries on the former budget of a service that was removed, want none", counts.Retries)
	}
}
