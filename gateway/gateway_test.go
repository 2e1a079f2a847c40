package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/stream"
)

// TestResendRunsOnce sends one request to its owner and through another gateway
// at the same time, and again after it is over.
func TestResendRunsOnce(t *testing.T) {
	for _, streamed := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream=%v", streamed), func(t *testing.T) {
			f := newFleet(t)
			replica := f.replica("r1", "north")
			first := f.gateway("g1", "north", "a", nil)
			second := f.gateway("g2", "north", "b", nil)
			f.ready(first, second)
			release := make(chan struct{})
			replica.behave(func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
				select {
				case <-release:
					answerWhole(w, r, request)
				case <-r.Context().Done():
				}
			})
			request := question("once")
			request.Stream = streamed
			request = first.owned(t, request)
			replies := make([]*reply, 6)
			var senders sync.WaitGroup
			for i := range replies {
				senders.Go(func() { replies[i] = []*node{first, second}[i%2].send(t, request) })
			}
			waitFor(t, "all senders to join", func() bool {
				first.owner.mutex.Lock()
				run, known := first.owner.ledger.Run(request.RequestID)
				first.owner.mutex.Unlock()
				if !known {
					return false
				}
				run.mutex.Lock()
				defer run.mutex.Unlock()
				return len(run.followers) == len(replies)
			})
			close(release)
			senders.Wait()
			replies = append(replies, first.send(t, request), second.send(t, request))
			for i, got := range replies {
				if got.outcome() != "success" || (streamed && got.pieces != 5) {
					t.Errorf("sender %d: %s with %d pieces", i, got.outcome(), got.pieces)
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

// TestJoinerHasItsOwnTime lets a caller join a run that was given more time.
func TestJoinerHasItsOwnTime(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.ready(g)
	started, release := make(chan struct{}), make(chan struct{})
	replica.behave(func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
		close(started)
		<-release
		answerWhole(w, r, request)
	})
	patient, _ := g.where(t, question("joined"))
	done := make(chan *reply, 1)
	go func() { done <- g.send(t, patient) }()
	<-started
	hasty := patient
	hasty.WaitMS = 1
	if got := g.send(t, hasty); got.outcome() != "deadline/unknown" {
		t.Errorf("hasty: %s", got.outcome())
	}
	close(release)
	if got := <-done; got.outcome() != "success" {
		t.Errorf("patient: %s", got.outcome())
	}
}

// TestAskedTwice asks two gateways where the same request should go. Both name
// one owner and its one ticket.
func TestAskedTwice(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	first := f.gateway("g1", "north", "a", nil)
	second := f.gateway("g2", "north", "b", nil)
	f.ready(first, second)
	owners := make(map[string]bool)
	for i := range 16 {
		id := fmt.Sprintf("asked-%d", i)
		_, one := first.where(t, question(id))
		_, other := second.where(t, question(id))
		if one.Ticket != other.Ticket || one.Gateway != other.Gateway {
			t.Fatalf("%s: two tickets, of %s and %s", id, one.Gateway, other.Gateway)
		}
		owners[one.Gateway] = true
	}
	if len(owners) != 2 {
		t.Fatalf("%d gateways own all requests", len(owners))
	}
}

// TestRestartedOwner shows that a ticket dies with the process that issued it.
func TestRestartedOwner(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	owner := f.gateway("g1", "north", "a", nil)
	other := f.gateway("g2", "north", "b", nil)
	f.ready(owner, other)
	request := owner.owned(t, question("orphan"))
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
	repeatable, refused := question("again"), question("refused")
	repeatable.Repeatable, refused.Repeatable = true, true
	repeatable, _ = restarted.where(t, repeatable)
	refused, _ = restarted.where(t, refused)
	restarted.stop()
	if got := other.send(t, repeatable); got.outcome() != "success" {
		t.Fatalf("repeatable with a dead owner: %s", got.outcome())
	}
	replica.behave(func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
		writeError(w, &api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused, RequestID: request.RequestID})
	})
	if got := other.send(t, refused); got.failure == nil || got.failure.Outcome != api.OutcomeUnknown {
		t.Fatalf("what the dead owner may have run: %s", got.outcome())
	}
}

// TestDrainingIsLearntFromARefusal has a replica drain between two polls.
func TestDrainingIsLearntFromARefusal(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", func(options *Options) { options.PollInterval = time.Hour })
	f.ready(g)
	replica.draining.Store(true)
	replica.behave(func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
		writeError(w, &api.Error{Code: api.CodeReplicaDraining, Outcome: api.OutcomeRefused, RequestID: request.RequestID})
	})
	request, _ := g.where(t, question("drained"))
	if got := g.send(t, request); got.failure == nil || got.failure.Outcome != api.OutcomeRefused {
		t.Fatalf("got %s", got.outcome())
	}
	waitFor(t, "the draining replica to be left alone", func() bool { return g.router.Status().Services[0].Usable == 0 })
}

// TestRefusalIsFinal resends a refused request after the cause is gone.
func TestRefusalIsFinal(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.ready(g)
	replica.behave(func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
		writeError(w, &api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused, RequestID: request.RequestID, Retry: true, RetryAfterMS: 1200})
	})
	request, _ := g.where(t, question("refused"))
	got := g.send(t, request)
	if got.failure == nil || got.failure.Outcome != api.OutcomeRefused {
		t.Fatalf("got %s", got.outcome())
	}
	if got.header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
	reached := len(replica.requests())
	replica.behave(answerWhole)
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

// TestReplicaMisbehaves sends a request that must not be repeated to a replica
// that answers wrongly in one way or another.
func TestReplicaMisbehaves(t *testing.T) {
	whole := func(w http.ResponseWriter, answer api.GenerateAnswer) { writeJSON(w, http.StatusOK, answer) }
	tests := []struct {
		name   string
		stream bool
		answer answerFunc
		want   string
		pieces int
	}{
		{"wrong request id", false, func(w http.ResponseWriter, _ *http.Request, _ *api.ReplicaRequest) {
			whole(w, api.GenerateAnswer{RequestID: "other", RunID: "run", Tokens: 1})
		}, "replica_mismatch/unknown", 0},
		{"no tokens", false, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			whole(w, api.GenerateAnswer{RequestID: request.RequestID, RunID: "run"})
		}, "replica_incomplete/failed", 0},
		{"short body", false, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			w.Header().Set("Content-Length", "500")
			fmt.Fprintf(w, `{"request_id":%q,"run_id":"run","tokens":1,"text":""}`, request.RequestID)
		}, "replica_incomplete/failed", 0},
		{"truncated JSON", false, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			fmt.Fprintf(w, `{"request_id":%q,"run_id":"run","tokens":1`, request.RequestID)
		}, "replica_incomplete/failed", 0},
		{"two documents", false, func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
			fmt.Fprintf(w, `{"request_id":%q,"run_id":"run","tokens":1,"text":""}{}`, request.RequestID)
		}, "replica_incomplete/failed", 0},
		{"error in a success", false, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			fmt.Fprintf(w, `{"request_id":%q,"run_id":"run","tokens":1,"error":{"code":"x","outcome":"refused"}}`, request.RequestID)
		}, "replica_error/failed", 0},
		{"untyped server error", false, func(w http.ResponseWriter, _ *http.Request, _ *api.ReplicaRequest) {
			http.Error(w, "oops", http.StatusInternalServerError)
		}, "replica_error/unknown", 0},
		{"typed failure", false, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			writeError(w, &api.Error{Code: api.CodeReplicaError, Outcome: api.OutcomeFailed, RequestID: request.RequestID})
		}, "replica_error/failed", 0},
		{"another request's refusal", false, func(w http.ResponseWriter, _ *http.Request, _ *api.ReplicaRequest) {
			writeError(w, &api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused, RequestID: "other"})
		}, "replica_mismatch/unknown", 0},
		{"broken before the answer", false, func(http.ResponseWriter, *http.Request, *api.ReplicaRequest) {
			panic(http.ErrAbortHandler)
		}, "replica_broken/unknown", 0},
		{"broken inside an event", true, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			w.Header().Set("Content-Type", stream.ContentType)
			frame := pieceFrame(request, 2)
			w.Write(append(pieceFrame(request, 1), frame[:len(frame)/2]...))
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, "replica_incomplete/failed", 1},
		{"clean end without the marker", true, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			w.Header().Set("Content-Type", stream.ContentType)
			w.Write(pieceFrame(request, 1))
		}, "replica_incomplete/failed", 1},
		{"skipped piece", true, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			w.Header().Set("Content-Type", stream.ContentType)
			w.Write(append(pieceFrame(request, 1), pieceFrame(request, 3)...))
		}, "replica_mismatch/failed", 1},
		{"stalled", true, func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
			w.Header().Set("Content-Type", stream.ContentType)
			w.Write(pieceFrame(request, 1))
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}, "replica_stalled/failed", 1},
		{"error event", true, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			w.Header().Set("Content-Type", stream.ContentType)
			w.Write(pieceFrame(request, 1))
			w.Write(stream.AppendFrame(nil, api.EventError, []byte(`{"code":"replica_error","outcome":"refused"}`)))
		}, "replica_error/failed", 1},
		{"whole answer to a stream", true, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			whole(w, api.GenerateAnswer{RequestID: request.RequestID, RunID: "run", Tokens: 1})
		}, "replica_error/failed", 0},
	}
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.ready(g)
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			waitFor(t, "a usable replica", func() bool { return g.router.Status().Services[0].Usable == 1 })
			replica.behave(test.answer)
			before := len(replica.requests())
			request := question(fmt.Sprintf("wrong-%d", i))
			request.Stream = test.stream
			request, _ = g.where(t, request)
			got := g.send(t, request)
			if got.outcome() != test.want || got.pieces != test.pieces {
				t.Errorf("got %s with %d pieces (%v)", got.outcome(), got.pieces, got.failure)
			}
			if test.pieces > 0 && got.broken == nil {
				t.Error("the connection ended cleanly")
			}
			if reached := len(replica.requests()) - before; reached != 1 {
				t.Errorf("reached the replica %d times", reached)
			}
		})
	}
}

// TestRetries breaks attempts on three replicas, with budget for retries left.
func TestRetries(t *testing.T) {
	f := newFleet(t)
	replicas := []*fakeReplica{f.replica("r1", "north"), f.replica("r2", "north"), f.replica("r3", "north")}
	g := f.gateway("g1", "north", "a", nil)
	f.ready(g)
	for range 60 { // earns budget
		request := question("warm")
		request.Repeatable = true
		if got := g.send(t, request); got.outcome() != "success" {
			t.Fatal(got.outcome())
		}
	}
	var mutex sync.Mutex
	attempts := map[string]int{}
	misbehave := func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
		mutex.Lock()
		attempts[request.RequestID]++
		attempt := attempts[request.RequestID]
		mutex.Unlock()
		if request.RequestID == "after a piece" {
			w.Header().Set("Content-Type", stream.ContentType)
			w.Write(pieceFrame(request, 1))
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if attempt == 1 || request.RequestID == "always" {
			panic(http.ErrAbortHandler)
		}
		if request.RequestID == "then refused" {
			writeError(w, &api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused, RequestID: request.RequestID})
			return
		}
		answerWhole(w, r, request)
	}
	for _, replica := range replicas {
		replica.behave(misbehave)
	}
	tests := []struct {
		id         string
		repeatable bool
		stream     bool
		attempts   int
		want       string
	}{
		{"not repeatable", false, false, 1, "replica_broken/unknown"},
		{"after a piece", true, true, 1, "replica_incomplete/failed"},
		{"first", true, true, 2, "success"},
		{"always", true, false, 2, "replica_broken/unknown"},
		{"then refused", true, false, 2, "replica_broken/unknown"},
	}
	for _, test := range tests {
		request := question(test.id)
		request.Repeatable, request.Stream = test.repeatable, test.stream
		request, _ = g.where(t, request)
		got := g.send(t, request)
		mutex.Lock()
		made := attempts[test.id]
		mutex.Unlock()
		if got.outcome() != test.want || made != test.attempts {
			t.Errorf("%s: %s after %d attempts", test.id, got.outcome(), made)
		}
	}
}

// TestLeaseLostBeforeSend holds the dialing back until the lease is over.
func TestLeaseLostBeforeSend(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	dialing, release := make(chan struct{}, 8), make(chan struct{})
	hold := false
	var mutex sync.Mutex
	g := f.gateway("g1", "north", "a", func(options *Options) {
		options.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			mutex.Lock()
			held := hold
			mutex.Unlock()
			if held {
				dialing <- struct{}{}
				<-release
			}
			return new(net.Dialer).DialContext(ctx, network, address)
		}
	})
	f.ready(g)
	request, _ := g.where(t, question("late"))
	mutex.Lock()
	hold = true
	mutex.Unlock()
	done := make(chan *reply, 1)
	go func() { done <- g.send(t, request) }()
	<-dialing
	f.primary.set(func(p *primary) { p.silent = true })
	f.skew.Add(int64(time.Minute))
	close(release)
	if got := <-done; got.outcome() != "no_lease/refused" {
		t.Fatalf("got %s", got.outcome())
	}
	if reached := len(replica.requests()); reached != 0 {
		t.Fatalf("reached the replica %d times", reached)
	}
	response, err := http.Get(g.url + api.PathReady)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("ready without a lease: status %d", response.StatusCode)
	}
}

// TestStaleConfigurationIsCaughtUp has a replica that has seen a version that
// is held here and not active yet.
func TestStaleConfigurationIsCaughtUp(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.ready(g)
	f.primary.set(func(p *primary) {
		p.activate = p.table.Serial()
		p.apply(registry.Add(catalog.ConfigurationRecord(catalog.Configuration{Version: 2})))
	})
	waitFor(t, "the new serial to be held", func() bool { return g.agent.Status().ReceivedSerial > g.agent.Status().ActiveSerial })
	replica.behave(func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
		if request.Stamp.ConfigurationVersion < 2 {
			replica.version.Store(2)
			writeError(w, &api.Error{Code: api.CodeStale, Outcome: api.OutcomeRefused, RequestID: request.RequestID})
			return
		}
		answerWhole(w, r, request)
	})
	request, _ := g.where(t, question("stale"))
	if got := g.send(t, request); got.outcome() != "success" || got.answer.ConfigurationVersion != 2 {
		t.Fatalf("got %s, version %d", got.outcome(), got.answer.ConfigurationVersion)
	}
	var versions []uint64
	for _, received := range replica.requests() {
		versions = append(versions, received.Stamp.ConfigurationVersion)
	}
	if fmt.Sprint(versions) != "[1 2]" {
		t.Fatalf("stamps %v", versions)
	}
}
