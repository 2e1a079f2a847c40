package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
)

// TestDrainingGatewayRefersToPeers asks a draining gateway where to send a request.
func TestDrainingGatewayRefersToPeers(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	draining := f.gateway("g1", "north", "a", nil)
	serving := f.gateway("g2", "north", "b", nil)
	f.ready(draining, serving)
	draining.Drain()
	request, where := draining.where(t, newRequest("asked"))
	if "http://"+where.Gateway != serving.url {
		t.Fatalf("sent to %s, not to %s", where.Gateway, serving.url)
	}
	if got := serving.send(t, request); got.outcome() != "success" {
		t.Errorf("got %s", got.outcome())
	}
	serving.Drain()
	if _, failure := draining.Gateway.where(t.Context(), &api.WhereRequest{RequestID: "nobody", Model: "m", WaitMS: 1000}); failure == nil || failure.Outcome != api.OutcomeRefused {
		t.Errorf("with no gateway left: %v", failure)
	}
}

// TestStop stops a gateway while a stream runs and a ticket is unused.
func TestStop(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", func(options *Options) {
		options.ShutdownTimeout, options.TicketGracePeriod = testTimeout, testTimeout
	})
	f.ready(g)
	started, release := make(chan struct{}), make(chan struct{})
	replica.setAnswer(func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
		if request.RequestID != "running" {
			writeAnswer(w, r, request)
			return
		}
		close(started)
		select {
		case <-release:
			writeStream(w, request, 5)
		case <-r.Context().Done():
		}
	})
	running := newRequest("running")
	running.Stream = true
	running, _ = g.where(t, running)
	issued, _ := g.where(t, newRequest("issued"))
	done := make(chan *reply, 1)
	go func() { done <- g.send(t, running) }()
	<-started
	stopped := make(chan struct{})
	go func() {
		g.Stop(t.Context())
		close(stopped)
	}()
	waitFor(t, "the gateway to drain", g.draining.Load)
	withoutTicket := newRequest("fresh")
	withoutTicket.Repeatable = true
	if got := g.send(t, withoutTicket); got.outcome() != "not_ready/refused" {
		t.Errorf("new request: %s", got.outcome())
	}
	if got := g.send(t, issued); got.outcome() != "success" {
		t.Errorf("request with a ticket from before: %s", got.outcome())
	}
	select {
	case <-stopped:
		t.Error("stopped beside a running stream")
	case <-time.After(10 * ticketCheckInterval): // a gateway that does not wait is gone by then
	}
	close(release)
	if got := <-done; got.outcome() != "success" || got.chunks != 5 {
		t.Errorf("running stream: %s with %d chunks", got.outcome(), got.chunks)
	}
	select {
	case <-stopped:
	case <-time.After(testTimeout):
		t.Fatal("does not stop")
	}
	f.primary.mutex.Lock()
	defer f.primary.mutex.Unlock()
	state, err := catalog.Read(f.primary.table.View())
	if err != nil || state.Gateways()["g1"].Up || g.agent.Valid() {
		t.Errorf("the lease was not released: %+v %v", state.Gateways()["g1"], err)
	}
}
