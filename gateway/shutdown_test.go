package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
)

// TestDrainingGatewayRefersToPeers asks a draining gateway where to send a request. The
// answer must name another gateway, or be a refusal if all of them drain.
func TestDrainingGatewayRefersToPeers(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	draining := f.gateway("g1", "north", "a", nil)
	serving := f.gateway("g2", "north", "b", nil)
	f.awaitReady(draining, serving)
	draining.Drain()
	request, where := draining.where(t, newRequest("directed"))
	if "http://"+where.Gateway != serving.url {
		t.Fatalf("the caller was directed to %s, want %s", where.Gateway, serving.url)
	}
	if got := serving.send(t, request); got.outcome() != "success" {
		t.Errorf("outcome %s, want success", got.outcome())
	}
	serving.Drain()
	if _, failure := draining.Gateway.where(t.Context(), &api.WhereRequest{RequestID: "all-draining", Model: "m", WaitMS: 1000}); failure == nil || failure.Outcome != api.OutcomeRefused {
		t.Errorf("all gateways drain: error %v, want outcome refused", failure)
	}
}

// TestStopWaitsForStreamsAndTickets stops a gateway while a stream runs and a ticket is
// unused. Both requests must succeed, a new one must be refused, and the lease must be
// released at the end.
func TestStopWaitsForStreamsAndTickets(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", func(options *Options) {
		options.ShutdownTimeout, options.TicketGracePeriod = testTimeout, testTimeout
	})
	f.awaitReady(g)
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
		t.Errorf("new request: outcome %s, want not_ready/refused", got.outcome())
	}
	if got := g.send(t, issued); got.outcome() != "success" {
		t.Errorf("request with a ticket issued before Stop: outcome %s, want success", got.outcome())
	}
	select {
	case <-stopped:
		t.Error("Stop returned while a stream was running")
	case <-time.After(10 * ticketCheckInterval): // without the wait, Stop would have returned by then
	}
	close(release)
	if got := <-done; got.outcome() != "success" || got.chunks != 5 {
		t.Errorf("running stream: outcome %s with %d chunks, want success with 5", got.outcome(), got.chunks)
	}
	select {
	case <-stopped:
	case <-time.After(testTimeout):
		t.Fatal("Stop did not return after the stream ended")
	}
	f.primary.mutex.Lock()
	defer f.primary.mutex.Unlock()
	state, err := catalog.Read(f.primary.table.View())
	if err != nil || state.Gateways()["g1"].Up || g.agent.Valid() {
		t.Errorf("the lease was not released: %+v %v", state.Gateways()["g1"], err)
	}
}
