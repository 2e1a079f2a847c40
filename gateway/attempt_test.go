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

// TestDrainingRefusalTriggersPoll starts to drain a replica between two polls.
func TestDrainingRefusalTriggersPoll(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", func(options *Options) { options.PollInterval = time.Hour })
	f.ready(g)
	replica.draining.Store(true)
	replica.setAnswer(func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
		writeError(w, &api.Error{Code: api.CodeReplicaDraining, Outcome: api.OutcomeRefused, RequestID: request.RequestID})
	})
	request, _ := g.where(t, newRequest("drained"))
	if got := g.send(t, request); got.failure == nil || got.failure.Outcome != api.OutcomeRefused {
		t.Fatalf("got %s", got.outcome())
	}
	waitFor(t, "the draining replica to be unusable", func() bool { return g.router.Status().Services[0].Usable == 0 })
}

// TestInvalidReplicaAnswers sends a request that must not be repeated to a replica
// that answers wrongly in one way or another.
func TestInvalidReplicaAnswers(t *testing.T) {
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
			frame := chunkFrame(request, 2)
			w.Write(append(chunkFrame(request, 1), frame[:len(frame)/2]...))
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, "replica_incomplete/failed", 1},
		{"clean end without the marker", true, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			w.Header().Set("Content-Type", stream.ContentType)
			w.Write(chunkFrame(request, 1))
		}, "replica_incomplete/failed", 1},
		{"skipped piece", true, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			w.Header().Set("Content-Type", stream.ContentType)
			w.Write(append(chunkFrame(request, 1), chunkFrame(request, 3)...))
		}, "replica_mismatch/failed", 1},
		{"stalled", true, func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
			w.Header().Set("Content-Type", stream.ContentType)
			w.Write(chunkFrame(request, 1))
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}, "replica_stalled/failed", 1},
		{"error event", true, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			w.Header().Set("Content-Type", stream.ContentType)
			w.Write(chunkFrame(request, 1))
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
			replica.setAnswer(test.answer)
			before := len(replica.requests())
			request := newRequest(fmt.Sprintf("wrong-%d", i))
			request.Stream = test.stream
			request, _ = g.where(t, request)
			got := g.send(t, request)
			if got.outcome() != test.want || got.chunks != test.pieces {
				t.Errorf("got %s with %d chunks (%v)", got.outcome(), got.chunks, got.failure)
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
		request := newRequest("warm")
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
			w.Write(chunkFrame(request, 1))
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
		writeAnswer(w, r, request)
	}
	for _, replica := range replicas {
		replica.setAnswer(misbehave)
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
		request := newRequest(test.id)
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
	request, _ := g.where(t, newRequest("late"))
	mutex.Lock()
	hold = true
	mutex.Unlock()
	done := make(chan *reply, 1)
	go func() { done <- g.send(t, request) }()
	<-dialing
	f.primary.set(func(p *primary) { p.rejectRenewals = true })
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

// TestStaleConfigurationIsUpdated has a replica that has seen a version that
// is held here and not active yet.
func TestStaleConfigurationIsUpdated(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.ready(g)
	f.primary.set(func(p *primary) {
		p.activationLimit = p.table.Serial()
		p.apply(registry.Add(catalog.ConfigurationRecord(catalog.Configuration{Version: 2})))
	})
	waitFor(t, "the new serial to be held", func() bool { return g.agent.Status().ReceivedSerial > g.agent.Status().ActiveSerial })
	replica.setAnswer(func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
		if request.Stamp.ConfigurationVersion < 2 {
			replica.version.Store(2)
			writeError(w, &api.Error{Code: api.CodeStale, Outcome: api.OutcomeRefused, RequestID: request.RequestID})
			return
		}
		writeAnswer(w, r, request)
	})
	request, _ := g.where(t, newRequest("stale"))
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
