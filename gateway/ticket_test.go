package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/deckpulley/deckpulley/api"
)

// TestResentRequestRunsOnce sends one request to its owner and through another
// gateway at the same time, and again after it is finished.
func TestResentRequestRunsOnce(t *testing.T) {
	for _, streamed := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream=%v", streamed), func(t *testing.T) {
			f := newFleet(t)
			replica := f.replica("r1", "north")
			first := f.gateway("g1", "north", "a", nil)
			second := f.gateway("g2", "north", "b", nil)
			f.ready(first, second)
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
			var senders sync.WaitGroup
			for i := range replies {
				senders.Go(func() { replies[i] = []*node{first, second}[i%2].send(t, request) })
			}
			waitFor(t, "all senders to join", func() bool {
				first.tickets.mutex.Lock()
				run, known := first.tickets.table.Run(request.RequestID)
				first.tickets.mutex.Unlock()
				if !known {
					return false
				}
				return run.Followers() == len(replies)
			})
			close(release)
			senders.Wait()
			replies = append(replies, first.send(t, request), second.send(t, request))
			for i, got := range replies {
				if got.outcome() != "success" || (streamed && got.chunks != 5) {
					t.Errorf("sender %d: %s with %d chunks", i, got.outcome(), got.chunks)
				}
			}
			if ran := len(replica.requests()); ran != 1 {
				t.Fatalf("ran %d times", ran)
			}
			if streamed && (replies[0].ended.Region != "north" || replies[0].ended.ConfigurationVersion != 1) {
				t.Fatalf("end %+v", replies[0].ended)
			}
			changed := request
			changed.MaxTokens++
			if got := second.send(t, changed); got.outcome() != "duplicate/unknown" {
				t.Fatalf("other contents: %s", got.outcome())
			}
		})
	}
}

// TestJoiningCallerKeepsItsDeadline lets a caller join an execution with a later
// deadline.
func TestJoiningCallerKeepsItsDeadline(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.ready(g)
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
		t.Errorf("short wait: %s", got.outcome())
	}
	close(release)
	if got := <-done; got.outcome() != "success" {
		t.Errorf("long wait: %s", got.outcome())
	}
}

// TestOneOwnerPerRequestID asks two gateways where to send the same request. Both
// name the same owner and return the same ticket.
func TestOneOwnerPerRequestID(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	first := f.gateway("g1", "north", "a", nil)
	second := f.gateway("g2", "north", "b", nil)
	f.ready(first, second)
	owners := make(map[string]bool)
	for i := range 16 {
		id := fmt.Sprintf("asked-%d", i)
		_, one := first.where(t, newRequest(id))
		_, other := second.where(t, newRequest(id))
		if one.Ticket != other.Ticket || one.Gateway != other.Gateway {
			t.Fatalf("%s: two tickets, of %s and %s", id, one.Gateway, other.Gateway)
		}
		owners[one.Gateway] = true
	}
	if len(owners) != 2 {
		t.Fatalf("%d gateways own all requests", len(owners))
	}
}

// TestRestartedOwner verifies that a ticket is lost with the process that issued it.
func TestRestartedOwner(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	owner := f.gateway("g1", "north", "a", nil)
	other := f.gateway("g2", "north", "b", nil)
	f.ready(owner, other)
	request := owner.requestOwnedBy(t, newRequest("orphan"))
	owner.stop()
	restarted := f.gateway("g1", "north", "a2", nil)
	f.ready(restarted, other)
	for _, n := range []*node{restarted, other, restarted} {
		if got := n.send(t, request); got.outcome() != "ticket_orphaned/unknown" || got.status != http.StatusGone {
			t.Fatalf("%s: %s", n.options.Info.Name, got.outcome())
		}
	}
	if ran := len(replica.requests()); ran != 0 {
		t.Fatalf("ran %d times", ran)
	}
	repeatable, refused := newRequest("again"), newRequest("refused")
	repeatable.Repeatable, refused.Repeatable = true, true
	repeatable, _ = restarted.where(t, repeatable)
	refused, _ = restarted.where(t, refused)
	restarted.stop()
	if got := other.send(t, repeatable); got.outcome() != "success" {
		t.Fatalf("repeatable with a dead owner: %s", got.outcome())
	}
	replica.setAnswer(func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
		writeError(w, &api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused, RequestID: request.RequestID})
	})
	if got := other.send(t, refused); got.failure == nil || got.failure.Outcome != api.OutcomeUnknown {
		t.Fatalf("what the dead owner may have run: %s", got.outcome())
	}
}

// TestRefusalIsFinal resends a refused request after the cause of the refusal is
// gone.
func TestRefusalIsFinal(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.ready(g)
	replica.setAnswer(func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
		writeError(w, &api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused, RequestID: request.RequestID, Retry: true, RetryAfterMS: 1200})
	})
	request, _ := g.where(t, newRequest("refused"))
	got := g.send(t, request)
	if got.failure == nil || got.failure.Outcome != api.OutcomeRefused {
		t.Fatalf("got %s", got.outcome())
	}
	if got.header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
	reached := len(replica.requests())
	replica.setAnswer(writeAnswer)
	for range 3 {
		if again := g.send(t, request); again.outcome() != got.outcome() {
			t.Fatalf("resent: %s, before: %s", again.outcome(), got.outcome())
		}
	}
	if now := len(replica.requests()); now != reached {
		t.Fatalf("reached the replica %d times after the refusal", now-reached)
	}
	response, err := post(t.Context(), g.url+api.PathWhere, api.WhereRequest{RequestID: "refused", Model: "m"})
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusConflict {
		t.Fatalf("a new ticket for a refused request: status %d", response.StatusCode)
	}
}
