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

// TestForwardToOtherRegion forwards requests to another region, and then breaks the
// connection between the gateways while a forwarded request runs. The outcome of that
// request must be unknown, also when it is resent, and it must run only once.
func TestForwardToOtherRegion(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "south")
	north := f.gateway("g1", "north", "a", nil)
	south := f.gateway("g2", "south", "b", nil)
	f.awaitReady(north, south)
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
		t.Fatalf("outcome %s in region %q, want success in south", got.outcome(), got.answer.Region)
	}
	streamed := northTicket("streamed")
	streamed.Stream = true
	if got := north.send(t, streamed); got.outcome() != "success" || got.chunks != 5 || got.ended.Replica != "r1" {
		t.Fatalf("outcome %s with %d chunks, want success with 5", got.outcome(), got.chunks)
	}
	if _, where := north.where(t, newRequest("directed")); where.Region != "south" || "http://"+where.Gateway != south.url {
		t.Fatalf("the caller was directed to %s in region %s", where.Gateway, where.Region)
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
		t.Fatalf("outcome %s, want replica_broken/unknown", got.outcome())
	}
	if got := north.send(t, lost); got.outcome() != "replica_broken/unknown" {
		t.Fatalf("resent request: outcome %s, want replica_broken/unknown", got.outcome())
	}
	if reached := len(replica.requests()); reached != 3 {
		t.Fatalf("the replica received %d requests, want 3", reached)
	}
}

// TestRefusedForwardCountsAsAttempt lets a replica of another region refuse a forwarded
// request. The next attempt, in the gateway's own region, is a retry: it needs budget, and
// its stamp must have the attempt number 2.
func TestRefusedForwardCountsAsAttempt(t *testing.T) {
	f := newFleet(t)
	f.primary.set(func(p *fakePrimary) {
		p.apply(registry.Add(catalog.ClientRecord("south-client", catalog.Client{Region: "south"})))
	})
	remote, local := f.replica("far", "south"), f.replica("near", "north")
	north := f.gateway("g1", "north", "a", nil)
	south := f.gateway("g2", "south", "b", nil)
	f.awaitReady(north, south)
	remote.setAnswer(func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
		writeError(w, &api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused, RequestID: request.RequestID})
	})
	send := func(id, client string) *reply {
		request := newRequest(id)
		request.Repeatable, request.Client = true, client
		return north.send(t, request)
	}
	if got := send("without budget", "south-client"); got.outcome() != "overloaded/refused" {
		t.Errorf("without budget: outcome %s, want overloaded/refused", got.outcome())
	}
	if attempts := len(local.requests()); attempts != 0 {
		t.Errorf("%d attempts in the local region without budget, want none", attempts)
	}
	for range 60 { // adds to the retry budget
		if got := send("warm", ""); got.outcome() != "success" {
			t.Fatal(got.outcome())
		}
	}
	if got := send("with budget", "south-client"); got.outcome() != "success" {
		t.Fatalf("with budget: outcome %s, want success", got.outcome())
	}
	reached := local.requests()
	last := reached[len(reached)-1]
	if last.RequestID != "with budget" || last.Stamp.Attempt != 2 {
		t.Fatalf("last request %q has attempt number %d in its stamp", last.RequestID, last.Stamp.Attempt)
	}
}

// TestOverflowRequestsWaitForCapacity sends a request to a gateway whose region has no
// replicas, while the only replica of the other region is fully used. The request must
// wait in the queue of the other region and then run there.
func TestOverflowRequestsWaitForCapacity(t *testing.T) {
	f := newFleet(t)
	f.primary.set(func(p *fakePrimary) {
		p.apply(registry.Add(catalog.ServiceRecord("explain", catalog.Service{Kind: "model", MaxConcurrency: 1})))
	})
	replica := f.replica("r1", "south")
	north := f.gateway("g1", "north", "a", nil)
	south := f.gateway("g2", "south", "b", nil)
	f.awaitReady(north, south)
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
	waitFor(t, "the replica to be fully used", func() bool { return len(replica.requests()) == 1 })
	overflow := newRequest("overflow")
	answer, failure := north.issueTicket(&api.WhereRequest{RequestID: overflow.RequestID, Model: "m", WaitMS: overflow.WaitMS})
	if failure != nil {
		t.Fatal(failure)
	}
	overflow.Ticket = answer.Ticket
	go func() { done <- north.send(t, overflow) }()
	waitFor(t, "the offer to be queued", func() bool { return south.router.Status().Services[0].Queued == 1 })
	close(release)
	for range 2 {
		if got := <-done; got.outcome() != "success" {
			t.Errorf("outcome %s, want success", got.outcome())
		}
	}
	if reached := len(replica.requests()); reached != 2 {
		t.Errorf("the replica received %d requests, want 2", reached)
	}
	if declined := counterValue(t, north.metrics.spills.WithLabelValues("declined")); declined != 1 {
		t.Errorf("%v offers were declined, want 1: the first, which was offered without a wait", declined)
	}
}

// occupy uses the only slot of a replica with a request that runs until the returned
// function is called.
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
	waitFor(t, "the replica to be fully used", func() bool { return len(replica.requests()) == 1 })
	return func() {
		close(release)
		if got := <-done; got.outcome() != "success" {
			t.Errorf("request that uses the slot: outcome %s, want success", got.outcome())
		}
	}
}

// TestQueuedOffers offers requests to a region without free capacity: one whose wait
// ends, one that is withdrawn while it waits, and one beyond the limit of waiting offers.
// All must be declined and leave the queue.
func TestQueuedOffers(t *testing.T) {
	f := newFleet(t)
	f.primary.set(func(p *fakePrimary) {
		p.apply(registry.Add(catalog.ServiceRecord("explain", catalog.Service{Kind: "model", MaxConcurrency: 1})))
	})
	replica := f.replica("r1", "south")
	north := f.gateway("g1", "north", "a", nil)
	south := f.gateway("g2", "south", "b", nil)
	f.awaitReady(north, south)
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
			t.Errorf("reply %+v with error %v, want declined with code %s", reply, reply.Error, code)
		}
	}
	late := offer("late", 20*time.Millisecond)
	wantDeclined(late, api.CodeOverloaded)
	if late.Error != nil && late.Error.RetryAfterMS == 0 {
		t.Error("the error has no retry delay")
	}
	replies := make(chan peer.OfferReply, 1)
	go func() { replies <- offer("withdrawn", testTimeout) }()
	queued := func() int { return south.router.Status().Services[0].Queued }
	waitFor(t, "the offer to be queued", func() bool { return queued() == 1 })
	if !north.withdrawOffer(t.Context(), "g2", "withdrawn", "b") {
		t.Error("the withdrawal was not confirmed")
	}
	wantDeclined(<-replies, api.CodeOverloaded)
	if queued() != 0 {
		t.Errorf("%d requests are still queued after the withdrawal", queued())
	}
	for range maxQueuedOffers {
		south.offers.beginWait(fmt.Sprint("other ", len(south.offers.queued)), func() {})
	}
	wantDeclined(offer("beyond the limit", testTimeout), api.CodeOverloaded)
	if queued() != 0 {
		t.Errorf("%d requests are queued beyond the limit", queued())
	}
}

// TestOverflowRequestIsRefusedAtLimit sends an overflow request while the maximum number
// of overflow requests is waiting. It must be refused at once, not at its deadline.
func TestOverflowRequestIsRefusedAtLimit(t *testing.T) {
	f := newFleet(t)
	f.primary.set(func(p *fakePrimary) {
		p.apply(registry.Add(catalog.ServiceRecord("explain", catalog.Service{Kind: "model", MaxConcurrency: 1})))
	})
	replica := f.replica("r1", "south")
	north := f.gateway("g1", "north", "a", nil)
	south := f.gateway("g2", "south", "b", nil)
	f.awaitReady(north, south)
	defer south.occupy(t, replica)()
	for north.overflowWaiters.tryAcquire() {
	}
	request := newRequest("refused")
	request.Repeatable = true
	request.WaitMS = (2 * testTimeout).Milliseconds()
	done := make(chan *reply, 1)
	go func() { done <- north.send(t, request) }()
	select {
	case got := <-done:
		if got.outcome() != "overloaded/refused" || got.failure.RetryAfterMS == 0 || got.header.Get("Retry-After") == "" {
			t.Errorf("outcome %s, want overloaded/refused with a retry delay: %+v", got.outcome(), got.failure)
		}
	case <-time.After(testTimeout):
		t.Fatal("the request was not refused in time")
	}
	if reached := len(replica.requests()); reached != 1 {
		t.Errorf("the replica received %d requests, want 1", reached)
	}
}

// TestWithdrawOffer checks for which offers a gateway confirms that their requests never
// ran and never will: only for those that it knows and that were not run.
func TestWithdrawOffer(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "south")
	north := f.gateway("g1", "north", "a", nil)
	south := f.gateway("g2", "south", "b", nil)
	f.awaitReady(north, south)
	request := newRequest("offered")
	request.Repeatable = true
	offer := peer.Offer{OfferID: "o1", From: "g1", Request: request, RemainingMS: 5000, ConfigurationVersion: 1, Attempt: 1}
	var reply peer.OfferReply
	if err := north.network.Call(t.Context(), "g2", peer.KindOffer, &offer, &reply); err != nil || !reply.Granted {
		t.Fatalf("the offer was not granted: %+v %v", reply, err)
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
	}{{"o1", true}, {"o1", true}, {"unknown offer", false}} {
		if got := north.withdrawOffer(t.Context(), "g2", want.id, "b"); got != want.yes {
			t.Errorf("withdrawal of %s: confirmed is %v", want.id, got)
		}
	}
	if got := run("o1"); got != api.OutcomeRefused {
		t.Errorf("run of a withdrawn offer: outcome %s, want refused", got)
	}
	offer.OfferID = "o2"
	if err := north.network.Call(t.Context(), "g2", peer.KindOffer, &offer, &reply); err != nil || !reply.Granted {
		t.Fatalf("the offer was not granted: %+v %v", reply, err)
	}
	if got := run("o2"); got != api.OutcomeSuccess {
		t.Errorf("run of a granted offer: outcome %s, want success", got)
	}
	if got := run("o2"); got != api.OutcomeUnknown {
		t.Errorf("second run of an offer: outcome %s, want unknown", got)
	}
	if north.withdrawOffer(t.Context(), "g2", "o2", "b") || north.withdrawOffer(t.Context(), "g2", "o2", "another") {
		t.Error("the withdrawal of an offer that ran, or of another incarnation, was confirmed")
	}
}
