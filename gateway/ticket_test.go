package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/deckpulley/deckpulley/api"
)

// TestResentRequestRunsOnce sends the same request several times, to its owner and through
// another gateway, while it runs and after it has finished. It must run only once, and all
// callers must get its result.
func TestResentRequestRunsOnce(t *testing.T) {
	for _, streamed := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream=%v", streamed), func(t *testing.T) {
			f := newFleet(t)
			replica := f.replica("r1", "north")
			first := f.gateway("g1", "north", "a", nil)
			second := f.gateway("g2", "north", "b", nil)
			f.awaitReady(first, second)
			release := make(chan struct{})
			replica.setAnswer(func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
				select {
				case <-release:
					writeAnswer(w, r, request)
				case <-r.Context().Done():
				}
			})
			request := newRequest("once")
			request.Stream = streamed
			request = first.requestOwnedBy(t, request)
			replies := make([]*reply, 6)
			var callers sync.WaitGroup
			for i := range replies {
				callers.Go(func() { replies[i] = []*node{first, second}[i%2].send(t, request) })
			}
			waitFor(t, "all callers to join the execution", func() bool {
				first.tickets.mutex.Lock()
				run, known := first.tickets.table.Run(request.RequestID)
				first.tickets.mutex.Unlock()
				if !known {
					return false
				}
				return run.Followers() == len(replies)
			})
			close(release)
			callers.Wait()
			replies = append(replies, first.send(t, request), second.send(t, request))
			for i, got := range replies {
				if got.outcome() != "success" || (streamed && got.chunks != 5) {
					t.Errorf("caller %d: outcome %s with %d chunks", i, got.outcome(), got.chunks)
				}
			}
			if ran := len(replica.requests()); ran != 1 {
				t.Fatalf("the replica received %d requests, want 1", ran)
			}
			if streamed && (replies[0].ended.Region != "north" || replies[0].ended.ConfigurationVersion != 1) {
				t.Fatalf("unexpected end of the stream: %+v", replies[0].ended)
			}
			changed := request
			changed.MaxTokens++
			if got := second.send(t, changed); got.outcome() != "duplicate/unknown" {
				t.Fatalf("request with different contents: outcome %s, want duplicate/unknown", got.outcome())
			}
		})
	}
}

// TestJoiningCallerHasItsOwnDeadline lets a caller join an execution whose deadline is
// later than its own. The caller must get a response at its own deadline.
func TestJoiningCallerHasItsOwnDeadline(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.awaitReady(g)
	started, release := make(chan struct{}), make(chan struct{})
	replica.setAnswer(func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
		close(started)
		<-release
		writeAnswer(w, r, request)
	})
	longWait, _ := g.where(t, newRequest("joined"))
	done := make(chan *reply, 1)
	go func() { done <- g.send(t, longWait) }()
	<-started
	shortWait := longWait
	shortWait.WaitMS = 1
	if got := g.send(t, shortWait); got.outcome() != "deadline/unknown" {
		t.Errorf("caller with the short wait: outcome %s, want deadline/unknown", got.outcome())
	}
	close(release)
	if got := <-done; got.outcome() != "success" {
		t.Errorf("caller with the long wait: outcome %s, want success", got.outcome())
	}
}

// TestOneOwnerPerRequestID asks two gateways where to send the same request. Both must
// name the same owner and return the same ticket, and both gateways must own some requests.
func TestOneOwnerPerRequestID(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	first := f.gateway("g1", "north", "a", nil)
	second := f.gateway("g2", "north", "b", nil)
	f.awaitReady(first, second)
	owners := make(map[string]bool)
	for i := range 16 {
		id := fmt.Sprintf("request-%d", i)
		_, one := first.where(t, newRequest(id))
		_, other := second.where(t, newRequest(id))
		if one.Ticket != other.Ticket || one.Gateway != other.Gateway {
			t.Fatalf("%s: different tickets, from %s and %s", id, one.Gateway, other.Gateway)
		}
		owners[one.Gateway] = true
	}
	if len(owners) != 2 {
		t.Fatalf("%d gateways own requests, want 2", len(owners))
	}
}

// TestRestartedOwner restarts the gateway that issued tickets. A request that is not
// repeatable must fail with an unknown outcome. A repeatable one must run elsewhere, and if
// it is refused there, its outcome is still unknown.
func TestRestartedOwner(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	owner := f.gateway("g1", "north", "a", nil)
	other := f.gateway("g2", "north", "b", nil)
	f.awaitReady(owner, other)
	request := owner.requestOwnedBy(t, newRequest("orphaned"))
	owner.stop()
	restarted := f.gateway("g1", "north", "a2", nil)
	f.awaitReady(restarted, other)
	for _, n := range []*node{restarted, other, restarted} {
		if got := n.send(t, request); got.outcome() != "ticket_orphaned/unknown" || got.status != http.StatusGone {
			t.Fatalf("gateway %s: outcome %s, want ticket_orphaned/unknown", n.options.Info.Name, got.outcome())
		}
	}
	if ran := len(replica.requests()); ran != 0 {
		t.Fatalf("the replica received %d requests, want none", ran)
	}
	repeatable, refused := newRequest("again"), newRequest("refused")
	repeatable.Repeatable, refused.Repeatable = true, true
	repeatable, _ = restarted.where(t, repeatable)
	refused, _ = restarted.where(t, refused)
	restarted.stop()
	if got := other.send(t, repeatable); got.outcome() != "success" {
		t.Fatalf("repeatable request of a stopped owner: outcome %s, want success", got.outcome())
	}
	replica.setAnswer(func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
		writeError(w, &api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused, RequestID: request.RequestID})
	})
	if got := other.send(t, refused); got.failure == nil || got.failure.Outcome != api.OutcomeUnknown {
		t.Fatalf("refused request that the stopped owner may have run: outcome %s, want unknown", got.outcome())
	}
}

// TestRefusalIsFinal resends a refused request after the cause of the refusal has ended.
// Every resend must get the same refusal, and no new ticket may be issued for the request.
func TestRefusalIsFinal(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.awaitReady(g)
	replica.setAnswer(func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
		writeError(w, &api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused, RequestID: request.RequestID, Retry: true, RetryAfterMS: 1200})
	})
	request, _ := g.where(t, newRequest("refused"))
	got := g.send(t, request)
	if got.failure == nil || got.failure.Outcome != api.OutcomeRefused {
		t.Fatalf("outcome %s, want refused", got.outcome())
	}
	if got.header.Get("Retry-After") == "" {
		t.Error("the response has no Retry-After header")
	}
	reached := len(replica.requests())
	replica.setAnswer(writeAnswer)
	for range 3 {
		if again := g.send(t, request); again.outcome() != got.outcome() {
			t.Fatalf("resent request: outcome %s, want %s", again.outcome(), got.outcome())
		}
	}
	if now := len(replica.requests()); now != reached {
		t.Fatalf("the replica received %d requests after the refusal, want none", now-reached)
	}
	response, err := post(t.Context(), g.url+api.PathWhere, api.WhereRequest{RequestID: "refused", Model: "m"})
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusConflict {
		t.Fatalf("lookup for a refused request: status %d, want 409", response.StatusCode)
	}
}
