package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

// TestSpill runs requests in another region, then loses the connection to it.
func TestSpill(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "south")
	north := f.gateway("g1", "north", "a", nil)
	south := f.gateway("g2", "south", "b", nil)
	f.ready(north, south)
	northTicket := func(id string) api.GenerateRequest {
		request := newRequest(id)
		answer, failure := north.issueTicket(&api.WhereRequest{RequestID: id, Model: "m", WaitMS: request.WaitMS})
		if failure != nil {
			t.Fatal(failure)
		}
		request.Ticket = answer.Ticket
		return request
	}
	if got := north.send(t, northTicket("whole")); got.outcome() != "success" || got.answer.Region != "south" {
		t.Fatalf("got %s in %q", got.outcome(), got.answer.Region)
	}
	streamed := northTicket("streamed")
	streamed.Stream = true
	if got := north.send(t, streamed); got.outcome() != "success" || got.chunks != 5 || got.ended.Replica != "r1" {
		t.Fatalf("got %s with %d chunks", got.outcome(), got.chunks)
	}
	if _, where := north.where(t, newRequest("asked")); where.Region != "south" || "http://"+where.Gateway != south.url {
		t.Fatalf("sent to %s in %s", where.Gateway, where.Region)
	}
	started := make(chan struct{})
	replica.setAnswer(func(_ http.ResponseWriter, r *http.Request, _ *api.ReplicaRequest) {
		close(started)
		<-r.Context().Done()
	})
	done := make(chan *reply, 1)
	lost := northTicket("lost")
	go func() { done <- north.send(t, lost) }()
	<-started
	f.memory.Partition("g2", "g1")
	f.memory.Partition("g1", "g2")
	if got := <-done; got.outcome() != "replica_broken/unknown" {
		t.Fatalf("got %s", got.outcome())
	}
	if got := north.send(t, lost); got.outcome() != "replica_broken/unknown" {
		t.Fatalf("resent: got %s", got.outcome())
	}
	if reached := len(replica.requests()); reached != 3 {
		t.Fatalf("reached the replica %d times", reached)
	}
}

// TestRefusedForwardCountsAsAttempt has a replica of another region refuse a
// forwarded request. The next attempt, in the own region, is a retry: it needs
// budget, and its stamp is that of the second attempt.
func TestRefusedForwardCountsAsAttempt(t *testing.T) {
	f := newFleet(t)
	f.primary.set(func(p *primary) {
		p.apply(registry.Add(catalog.ClientRecord("southerner", catalog.Client{Region: "south"})))
	})
	remote, local := f.replica("far", "south"), f.replica("near", "north")
	north := f.gateway("g1", "north", "a", nil)
	south := f.gateway("g2", "south", "b", nil)
	f.ready(north, south)
	remote.setAnswer(func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
		writeError(w, &api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused, RequestID: request.RequestID})
	})
	send := func(id, client string) *reply {
		request := newRequest(id)
		request.Repeatable, request.Client = true, client
		return north.send(t, request)
	}
	if got := send("without budget", "southerner"); got.outcome() != "overloaded/refused" {
		t.Errorf("without budget: %s", got.outcome())
	}
	if attempts := len(local.requests()); attempts != 0 {
		t.Errorf("retried %d times without budget", attempts)
	}
	for range 60 { // earns budget
		if got := send("warm", ""); got.outcome() != "success" {
			t.Fatal(got.outcome())
		}
	}
	if got := send("with budget", "southerner"); got.outcome() != "success" {
		t.Fatalf("with budget: %s", got.outcome())
	}
	reached := local.requests()
	last := reached[len(reached)-1]
	if last.RequestID != "with budget" || last.Stamp.Attempt != 2 {
		t.Fatalf("%s is attempt %d", last.RequestID, last.Stamp.Attempt)
	}
}

// TestOverflowRequestsWaitForCapacity sends a request to a gateway whose region has
// no replicas while the only replica of the other region is full.
func TestOverflowRequestsWaitForCapacity(t *testing.T) {
	f := newFleet(t)
	f.primary.set(func(p *primary) {
		p.apply(registry.Add(catalog.ServiceRecord("explain", catalog.Service{Kind: "model", MaxConcurrency: 1})))
	})
	replica := f.replica("r1", "south")
	north := f.gateway("g1", "north", "a", nil)
	south := f.gateway("g2", "south", "b", nil)
	f.ready(north, south)
	release := make(chan struct{})
	replica.setAnswer(func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
		writeAnswer(w, r, request)
	})
	first, _ := south.where(t, newRequest("first"))
	done := make(chan *reply, 2)
	go func() { done <- south.send(t, first) }()
	waitFor(t, "the full replica", func() bool { return len(replica.requests()) == 1 })
	overflow := newRequest("displaced")
	answer, failure := north.issueTicket(&api.WhereRequest{RequestID: overflow.RequestID, Model: "m", WaitMS: overflow.WaitMS})
	if failure != nil {
		t.Fatal(failure)
	}
	overflow.Ticket = answer.Ticket
	go func() { done <- north.send(t, overflow) }()
	waitFor(t, "an offer in the queue", func() bool { return south.router.Status().Services[0].Queued == 1 })
	close(release)
	for range 2 {
		if got := <-done; got.outcome() != "success" {
			t.Errorf("got %s", got.outcome())
		}
	}
	if reached := len(replica.requests()); reached != 2 {
		t.Errorf("reached the replica %d times", reached)
	}
	if declined := counterValue(t, north.metrics.spills.WithLabelValues("declined")); declined != 1 {
		t.Errorf("%v offers were declined, want the one that did not wait", declined)
	}
}

// occupy keeps the only slot of a replica in use until the returned function is
// called.
func (n *node) occupy(t *testing.T, replica *fakeReplica) func() {
	t.Helper()
	release := make(chan struct{})
	replica.setAnswer(func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
		<-release
		writeAnswer(w, r, request)
	})
	first, _ := n.where(t, newRequest("first"))
	done := make(chan *reply, 1)
	go func() { done <- n.send(t, first) }()
	waitFor(t, "the full replica", func() bool { return len(replica.requests()) == 1 })
	return func() {
		close(release)
		if got := <-done; got.outcome() != "success" {
			t.Errorf("first: got %s", got.outcome())
		}
	}
}

// TestQueuedOffers fills a region and lets offers wait for it: one whose time runs
// out, one that is canceled, and one beyond the limit.
func TestQueuedOffers(t *testing.T) {
	f := newFleet(t)
	f.primary.set(func(p *primary) {
		p.apply(registry.Add(catalog.ServiceRecord("explain", catalog.Service{Kind: "model", MaxConcurrency: 1})))
	})
	replica := f.replica("r1", "south")
	north := f.gateway("g1", "north", "a", nil)
	south := f.gateway("g2", "south", "b", nil)
	f.ready(north, south)
	defer south.occupy(t, replica)()
	offer := func(id string, wait time.Duration) peer.OfferReply {
		request := newRequest(id)
		request.Repeatable = true
		message := peer.Offer{OfferID: id, From: "g1", Request: request, RemainingMS: 10_000, ConfigurationVersion: 1, Attempt: 1, WaitMS: wait.Milliseconds()}
		var reply peer.OfferReply
		if err := north.network.Call(t.Context(), "g2", peer.KindOffer, &message, &reply); err != nil {
			t.Error(err)
		}
		return reply
	}
	wantDeclined := func(reply peer.OfferReply, code api.Code) {
		t.Helper()
		if reply.Granted || reply.Error == nil || reply.Error.Code != code || reply.Error.Outcome != api.OutcomeRefused {
			t.Errorf("got %+v %v, want %s", reply, reply.Error, code)
		}
	}
	late := offer("late", 20*time.Millisecond)
	wantDeclined(late, api.CodeOverloaded)
	if late.Error != nil && late.Error.RetryAfterMS == 0 {
		t.Error("no retry delay")
	}
	replies := make(chan peer.OfferReply, 1)
	go func() { replies <- offer("withdrawn", testTimeout) }()
	queued := func() int { return south.router.Status().Services[0].Queued }
	waitFor(t, "the offer in the queue", func() bool { return queued() == 1 })
	if !north.cancelReservation(t.Context(), "g2", "withdrawn", "b") {
		t.Error("the cancellation is not confirmed")
	}
	wantDeclined(<-replies, api.CodeOverloaded)
	if queued() != 0 {
		t.Errorf("%d still queued", queued())
	}
	for range maxQueuedOffers {
		south.reservations.beginWait(fmt.Sprint("other ", len(south.reservations.queued)), func() {})
	}
	wantDeclined(offer("one more", testTimeout), api.CodeOverloaded)
	if queued() != 0 {
		t.Errorf("%d queued beyond the bound", queued())
	}
}

// TestOverflowRequestIsRefusedAtLimit sends an overflow request while as many as may
// wait do: the refusal does not wait for the deadline of the caller.
func TestOverflowRequestIsRefusedAtLimit(t *testing.T) {
	f := newFleet(t)
	f.primary.set(func(p *primary) {
		p.apply(registry.Add(catalog.ServiceRecord("explain", catalog.Service{Kind: "model", MaxConcurrency: 1})))
	})
	replica := f.replica("r1", "south")
	north := f.gateway("g1", "north", "a", nil)
	south := f.gateway("g2", "south", "b", nil)
	f.ready(north, south)
	defer south.occupy(t, replica)()
	for north.overflowWaiters.tryAcquire() {
	}
	request := newRequest("given up")
	request.Repeatable = true
	request.WaitMS = (2 * testTimeout).Milliseconds()
	done := make(chan *reply, 1)
	go func() { done <- north.send(t, request) }()
	select {
	case got := <-done:
		if got.outcome() != "overloaded/refused" || got.failure.RetryAfterMS == 0 || got.header.Get("Retry-After") == "" {
			t.Errorf("got %s, %+v", got.outcome(), got.failure)
		}
	case <-time.After(testTimeout):
		t.Fatal("no answer")
	}
	if reached := len(replica.requests()); reached != 1 {
		t.Errorf("reached the replica %d times", reached)
	}
}

// TestCancelReservation verifies for which reservations a gateway confirms that they
// never run.
func TestCancelReservation(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "south")
	north := f.gateway("g1", "north", "a", nil)
	south := f.gateway("g2", "south", "b", nil)
	f.ready(north, south)
	request := newRequest("offered")
	request.Repeatable = true
	offer := peer.Offer{OfferID: "o1", From: "g1", Request: request, RemainingMS: 5000, ConfigurationVersion: 1, Attempt: 1}
	var reply peer.OfferReply
	if err := north.network.Call(t.Context(), "g2", peer.KindOffer, &offer, &reply); err != nil || !reply.Granted {
		t.Fatalf("offer: %+v %v", reply, err)
	}
	run := func(id string) api.Outcome {
		events, err := north.network.OpenStream(t.Context(), "g2", peer.KindRun, &peer.Run{OfferID: id, Incarnation: "b"})
		if err != nil {
			t.Fatal(err)
		}
		defer events.Close()
		var event peer.RunEvent
		if err := events.Next(&event); err != nil {
			t.Fatal(err)
		}
		if event.Error != nil {
			return event.Error.Outcome
		}
		return api.OutcomeSuccess
	}
	for _, want := range []struct {
		id  string
		yes bool
	}{{"o1", true}, {"o1", true}, {"never heard of", false}} {
		if got := north.cancelReservation(t.Context(), "g2", want.id, "b"); got != want.yes {
			t.Errorf("cancel %s: %v", want.id, got)
		}
	}
	if got := run("o1"); got != api.OutcomeRefused {
		t.Errorf("run of a canceled reservation: %s", got)
	}
	offer.OfferID = "o2"
	if err := north.network.Call(t.Context(), "g2", peer.KindOffer, &offer, &reply); err != nil || !reply.Granted {
		t.Fatalf("offer: %+v %v", reply, err)
	}
	if got := run("o2"); got != api.OutcomeSuccess {
		t.Errorf("run: %s", got)
	}
	if got := run("o2"); got != api.OutcomeUnknown {
		t.Errorf("second run of an offer: %s", got)
	}
	if north.cancelReservation(t.Context(), "g2", "o2", "b") || north.cancelReservation(t.Context(), "g2", "o2", "another") {
		t.Error("canceled a reservation that ran")
	}
}
