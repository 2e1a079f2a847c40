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

// TestSpill runs a request in another region, then loses the connection to it.
func TestSpill(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "south")
	north := f.gateway("g1", "north", "a", nil)
	south := f.gateway("g2", "south", "b", nil)
	f.ready(north, south)
	spilled := func(id string) api.GenerateRequest {
		request := question(id)
		answer, failure := north.mint(&api.WhereRequest{RequestID: id, Model: "m", WaitMS: request.WaitMS})
		if failure != nil {
			t.Fatal(failure)
		}
		request.Ticket = answer.Ticket
		return request
	}
	if got := north.send(t, spilled("whole")); got.outcome() != "success" || got.answer.Region != "south" {
		t.Fatalf("got %s in %q", got.outcome(), got.answer.Region)
	}
	streamed := spilled("streamed")
	streamed.Stream = true
	if got := north.send(t, streamed); got.outcome() != "success" || got.pieces != 5 || got.ended.Replica != "r1" {
		t.Fatalf("got %s with %d pieces", got.outcome(), got.pieces)
	}
	if _, where := north.where(t, question("asked")); where.Region != "south" || "http://"+where.Gateway != south.url {
		t.Fatalf("sent to %s in %s", where.Gateway, where.Region)
	}
	started := make(chan struct{})
	replica.behave(func(_ http.ResponseWriter, r *http.Request, _ *api.ReplicaRequest) {
		close(started)
		<-r.Context().Done()
	})
	done := make(chan *reply, 1)
	lost := spilled("lost")
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

// TestRefusedHopCountsAsAttempt has a replica of another region refuse what was
// sent to it. Trying the own region next is a retry: it needs budget for one,
// and its stamp is the second attempt's.
func TestRefusedHopCountsAsAttempt(t *testing.T) {
	f := newFleet(t)
	f.primary.set(func(p *primary) {
		p.apply(registry.Add(catalog.ClientRecord("southerner", catalog.Client{Region: "south"})))
	})
	far, near := f.replica("far", "south"), f.replica("near", "north")
	north := f.gateway("g1", "north", "a", nil)
	south := f.gateway("g2", "south", "b", nil)
	f.ready(north, south)
	far.behave(func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
		writeError(w, &api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused, RequestID: request.RequestID})
	})
	ask := func(id, client string) *reply {
		request := question(id)
		request.Repeatable, request.Client = true, client
		return north.send(t, request)
	}
	if got := ask("without budget", "southerner"); got.outcome() != "overloaded/refused" {
		t.Errorf("without budget: %s", got.outcome())
	}
	if attempts := len(near.requests()); attempts != 0 {
		t.Errorf("retried %d times without budget", attempts)
	}
	for range 60 { // earns budget
		if got := ask("warm", ""); got.outcome() != "success" {
			t.Fatal(got.outcome())
		}
	}
	if got := ask("with budget", "southerner"); got.outcome() != "success" {
		t.Fatalf("with budget: %s", got.outcome())
	}
	reached := near.requests()
	last := reached[len(reached)-1]
	if last.RequestID != "with budget" || last.Stamp.Attempt != 2 {
		t.Fatalf("%s is attempt %d", last.RequestID, last.Stamp.Attempt)
	}
}

// TestDisplacedRequestsWaitForRoom sends a request to a gateway whose region
// takes nothing while the other region's one replica is full.
func TestDisplacedRequestsWaitForRoom(t *testing.T) {
	f := newFleet(t)
	f.primary.set(func(p *primary) {
		p.apply(registry.Add(catalog.ServiceRecord("explain", catalog.Service{Kind: "model", MaxConcurrency: 1})))
	})
	replica := f.replica("r1", "south")
	north := f.gateway("g1", "north", "a", nil)
	south := f.gateway("g2", "south", "b", nil)
	f.ready(north, south)
	room := make(chan struct{})
	replica.behave(func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
		select {
		case <-room:
		case <-r.Context().Done():
		}
		answerWhole(w, r, request)
	})
	first, _ := south.where(t, question("first"))
	done := make(chan *reply, 2)
	go func() { done <- south.send(t, first) }()
	waitFor(t, "the full replica", func() bool { return len(replica.requests()) == 1 })
	displaced := question("displaced")
	answer, failure := north.mint(&api.WhereRequest{RequestID: displaced.RequestID, Model: "m", WaitMS: displaced.WaitMS})
	if failure != nil {
		t.Fatal(failure)
	}
	displaced.Ticket = answer.Ticket
	go func() { done <- north.send(t, displaced) }()
	waitFor(t, "an offer in the queue", func() bool { return south.router.Status().Services[0].Queued == 1 })
	close(room)
	for range 2 {
		if got := <-done; got.outcome() != "success" {
			t.Errorf("got %s", got.outcome())
		}
	}
	if reached := len(replica.requests()); reached != 2 {
		t.Errorf("reached the replica %d times", reached)
	}
	if declined := counted(t, north.metrics.spills.WithLabelValues("declined")); declined != 1 {
		t.Errorf("%v offers were declined, want the one that did not wait", declined)
	}
}

// fill keeps the one slot of a replica taken until the returned function is called.
func (n *node) fill(t *testing.T, replica *fakeReplica) func() {
	t.Helper()
	room := make(chan struct{})
	replica.behave(func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
		<-room
		answerWhole(w, r, request)
	})
	first, _ := n.where(t, question("first"))
	done := make(chan *reply, 1)
	go func() { done <- n.send(t, first) }()
	waitFor(t, "the full replica", func() bool { return len(replica.requests()) == 1 })
	return func() {
		close(room)
		if got := <-done; got.outcome() != "success" {
			t.Errorf("first: got %s", got.outcome())
		}
	}
}

// TestWaitingOffers fills a region and lets offers wait for it: one whose time
// runs out, one that is withdrawn, and one more than may wait.
func TestWaitingOffers(t *testing.T) {
	f := newFleet(t)
	f.primary.set(func(p *primary) {
		p.apply(registry.Add(catalog.ServiceRecord("explain", catalog.Service{Kind: "model", MaxConcurrency: 1})))
	})
	replica := f.replica("r1", "south")
	north := f.gateway("g1", "north", "a", nil)
	south := f.gateway("g2", "south", "b", nil)
	f.ready(north, south)
	defer south.fill(t, replica)()
	offer := func(id string, wait time.Duration) peer.OfferReply {
		request := question(id)
		request.Repeatable = true
		asked := peer.Offer{OfferID: id, From: "g1", Request: request, RemainingMS: 10_000, ConfigurationVersion: 1, Attempt: 1, WaitMS: wait.Milliseconds()}
		var reply peer.OfferReply
		if err := north.network.Call(t.Context(), "g2", peer.KindOffer, &asked, &reply); err != nil {
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
		t.Error("no time to come back")
	}
	replies := make(chan peer.OfferReply, 1)
	go func() { replies <- offer("withdrawn", patience) }()
	queued := func() int { return south.router.Status().Services[0].Queued }
	waitFor(t, "the offer in the queue", func() bool { return queued() == 1 })
	if !north.withdraw(t.Context(), "g2", "withdrawn", "b") {
		t.Error("the withdrawal is not confirmed")
	}
	wantDeclined(<-replies, api.CodeOverloaded)
	if queued() != 0 {
		t.Errorf("%d still queued", queued())
	}
	for range maxWaitingOffers {
		south.offers.wait(fmt.Sprint("other ", len(south.offers.waiting)), func() {})
	}
	wantDeclined(offer("one more", patience), api.CodeOverloaded)
	if queued() != 0 {
		t.Errorf("%d queued beyond the bound", queued())
	}
}

// TestDisplacedRequestIsGivenUpAtOnce sends displaced requests while as many as
// may wait do: the answer does not wait for the caller's deadline.
func TestDisplacedRequestIsGivenUpAtOnce(t *testing.T) {
	f := newFleet(t)
	f.primary.set(func(p *primary) {
		p.apply(registry.Add(catalog.ServiceRecord("explain", catalog.Service{Kind: "model", MaxConcurrency: 1})))
	})
	replica := f.replica("r1", "south")
	north := f.gateway("g1", "north", "a", nil)
	south := f.gateway("g2", "south", "b", nil)
	f.ready(north, south)
	defer south.fill(t, replica)()
	for north.displaced.enter() {
	}
	request := question("given up")
	request.Repeatable = true
	request.WaitMS = (2 * patience).Milliseconds()
	done := make(chan *reply, 1)
	go func() { done <- north.send(t, request) }()
	select {
	case got := <-done:
		if got.outcome() != "overloaded/refused" || got.failure.RetryAfterMS == 0 || got.header.Get("Retry-After") == "" {
			t.Errorf("got %s, %+v", got.outcome(), got.failure)
		}
	case <-time.After(patience):
		t.Fatal("no answer")
	}
	if reached := len(replica.requests()); reached != 1 {
		t.Errorf("reached the replica %d times", reached)
	}
}

// TestWithdraw shows which offers are confirmed never to run.
func TestWithdraw(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "south")
	north := f.gateway("g1", "north", "a", nil)
	south := f.gateway("g2", "south", "b", nil)
	f.ready(north, south)
	request := question("offered")
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
		if got := north.withdraw(t.Context(), "g2", want.id, "b"); got != want.yes {
			t.Errorf("withdraw %s: %v", want.id, got)
		}
	}
	if got := run("o1"); got != api.OutcomeRefused {
		t.Errorf("run of a withdrawn offer: %s", got)
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
	if north.withdraw(t.Context(), "g2", "o2", "b") || north.withdraw(t.Context(), "g2", "o2", "another") {
		t.Error("withdrew an offer that ran")
	}
}
