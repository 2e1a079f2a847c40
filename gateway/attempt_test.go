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

// TestDrainingRefusalTriggersPoll drains a replica between two polls. Its refusal of a
// request must trigger a poll, so that no further requests are sent to it.
func TestDrainingRefusalTriggersPoll(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", func(options *Options) { options.PollInterval = time.Hour })
	f.awaitReady(g)
	replica.draining.Store(true)
	replica.setAnswer(func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
		writeError(w, &api.Error{Code: api.CodeReplicaDraining, Outcome: api.OutcomeRefused, RequestID: request.RequestID})
	})
	request, _ := g.where(t, newRequest("drained"))
	if got := g.send(t, request); got.failure == nil || got.failure.Outcome != api.OutcomeRefused {
		t.Fatalf("outcome %s, want refused", got.outcome())
	}
	waitFor(t, "the draining replica to become unusable", func() bool { return g.router.Status().Services[0].Usable == 0 })
}

// TestInvalidReplicaAnswers sends requests that are not repeatable to a replica whose
// responses are invalid. Each must end with the error for its kind of fault and without
// a second attempt.
func TestInvalidReplicaAnswers(t *testing.T) {
	writeWhole := func(w http.ResponseWriter, answer api.GenerateAnswer) { writeJSON(w, http.StatusOK, answer) }
	tests := []struct {
		name   string
		stream bool
		answer answerFunc
		want   string
		chunks int
	}{
		{"answer with another request id", false, func(w http.ResponseWriter, _ *http.Request, _ *api.ReplicaRequest) {
			writeWhole(w, api.GenerateAnswer{RequestID: "other", RunID: "run", Tokens: 1})
		}, "replica_mismatch/unknown", 0},
		{"answer without tokens", false, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			writeWhole(w, api.GenerateAnswer{RequestID: request.RequestID, RunID: "run"})
		}, "replica_incomplete/failed", 0},
		{"body shorter than its length", false, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			w.Header().Set("Content-Length", "500")
			fmt.Fprintf(w, `{"request_id":%q,"run_id":"run","tokens":1,"text":""}`, request.RequestID)
		}, "replica_incomplete/failed", 0},
		{"truncated JSON", false, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			fmt.Fprintf(w, `{"request_id":%q,"run_id":"run","tokens":1`, request.RequestID)
		}, "replica_incomplete/failed", 0},
		{"two JSON documents", false, func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
			fmt.Fprintf(w, `{"request_id":%q,"run_id":"run","tokens":1,"text":""}{}`, request.RequestID)
		}, "replica_incomplete/failed", 0},
		{"error in a response with a success status", false, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			fmt.Fprintf(w, `{"request_id":%q,"run_id":"run","tokens":1,"error":{"code":"x","outcome":"refused"}}`, request.RequestID)
		}, "replica_error/failed", 0},
		{"server error without an API error", false, func(w http.ResponseWriter, _ *http.Request, _ *api.ReplicaRequest) {
			http.Error(w, "oops", http.StatusInternalServerError)
		}, "replica_error/unknown", 0},
		{"API error with outcome failed", false, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			writeError(w, &api.Error{Code: api.CodeReplicaError, Outcome: api.OutcomeFailed, RequestID: request.RequestID})
		}, "replica_error/failed", 0},
		{"refusal of another request", false, func(w http.ResponseWriter, _ *http.Request, _ *api.ReplicaRequest) {
			writeError(w, &api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused, RequestID: "other"})
		}, "replica_mismatch/unknown", 0},
		{"connection broken before the response", false, func(http.ResponseWriter, *http.Request, *api.ReplicaRequest) {
			panic(http.ErrAbortHandler)
		}, "replica_broken/unknown", 0},
		{"connection broken inside an event", true, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			w.Header().Set("Content-Type", stream.ContentType)
			frame := chunkFrame(request, 2)
			w.Write(append(chunkFrame(request, 1), frame[:len(frame)/2]...))
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, "replica_incomplete/failed", 1},
		{"stream closed without an end event", true, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			w.Header().Set("Content-Type", stream.ContentType)
			w.Write(chunkFrame(request, 1))
		}, "replica_incomplete/failed", 1},
		{"chunk missing in a stream", true, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			w.Header().Set("Content-Type", stream.ContentType)
			w.Write(append(chunkFrame(request, 1), chunkFrame(request, 3)...))
		}, "replica_mismatch/failed", 1},
		{"stalled stream", true, func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
			w.Header().Set("Content-Type", stream.ContentType)
			w.Write(chunkFrame(request, 1))
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}, "replica_stalled/failed", 1},
		{"error event in a stream", true, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			w.Header().Set("Content-Type", stream.ContentType)
			w.Write(chunkFrame(request, 1))
			w.Write(stream.AppendFrame(nil, api.EventError, []byte(`{"code":"replica_error","outcome":"refused"}`)))
		}, "replica_error/failed", 1},
		{"complete answer instead of a stream", true, func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			writeWhole(w, api.GenerateAnswer{RequestID: request.RequestID, RunID: "run", Tokens: 1})
		}, "replica_error/failed", 0},
	}
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.awaitReady(g)
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			waitFor(t, "a usable replica", func() bool { return g.router.Status().Services[0].Usable == 1 })
			replica.setAnswer(test.answer)
			before := len(replica.requests())
			request := newRequest(fmt.Sprintf("invalid-%d", i))
			request.Stream = test.stream
			request, _ = g.where(t, request)
			got := g.send(t, request)
			if got.outcome() != test.want || got.chunks != test.chunks {
				t.Errorf("unexpected outcome %s with %d chunks (%v)", got.outcome(), got.chunks, got.failure)
			}
			if test.chunks > 0 && got.broken == nil {
				t.Error("the response of an incomplete stream ended without an error")
			}
			if reached := len(replica.requests()) - before; reached != 1 {
				t.Errorf("the replica received %d requests, want 1", reached)
			}
		})
	}
}

// TestRetries lets attempts fail on each of three replicas while there is budget for
// retries, and checks the number of attempts and the outcome of the request.
func TestRetries(t *testing.T) {
	f := newFleet(t)
	replicas := []*fakeReplica{f.replica("r1", "north"), f.replica("r2", "north"), f.replica("r3", "north")}
	// Frequent polls would suspect all replicas when the machine is busy, so that none is
	// left to retry at.
	g := f.gateway("g1", "north", "a", func(options *Options) { options.PollInterval = time.Hour })
	f.awaitReady(g)
	for range 60 { // adds to the retry budget
		request := newRequest("warm")
		request.Repeatable = true
		if got := g.send(t, request); got.outcome() != "success" {
			t.Fatal(got.outcome())
		}
	}
	var mutex sync.Mutex
	attempts := map[string]int{}
	failAttempt := func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
		mutex.Lock()
		attempts[request.RequestID]++
		attempt := attempts[request.RequestID]
		mutex.Unlock()
		if request.RequestID == "after a chunk" {
			w.Header().Set("Content-Type", stream.ContentType)
			w.Write(chunkFrame(request, 1))
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if attempt == 1 || request.RequestID == "fails always" {
			panic(http.ErrAbortHandler)
		}
		if request.RequestID == "fails, then refused" {
			writeError(w, &api.Error{Code: api.CodeOverloaded, Outcome: api.OutcomeRefused, RequestID: request.RequestID})
			return
		}
		writeAnswer(w, r, request)
	}
	for _, replica := range replicas {
		replica.setAnswer(failAttempt)
	}
	tests := []struct {
		id         string
		repeatable bool
		stream     bool
		attempts   int
		want       string
	}{
		{"not repeatable", false, false, 1, "replica_broken/unknown"},
		{"after a chunk", true, true, 1, "replica_incomplete/failed"},
		{"first", true, true, 2, "success"},
		{"fails always", true, false, 2, "replica_broken/unknown"},
		{"fails, then refused", true, false, 2, "replica_broken/unknown"},
	}
	for _, test := range tests {
		waitFor(t, "three usable replicas", func() bool { return g.usableReplicas() == len(replicas) })
		request := newRequest(test.id)
		request.Repeatable, request.Stream = test.repeatable, test.stream
		request, _ = g.where(t, request)
		got := g.send(t, request)
		mutex.Lock()
		made := attempts[test.id]
		mutex.Unlock()
		if got.outcome() != test.want || made != test.attempts {
			t.Errorf("%s: unexpected outcome %s after %d attempts", test.id, got.outcome(), made)
		}
	}
}

// TestLeaseLostBeforeSend delays the dial of an attempt until the lease has expired. The
// request must not be sent, and the gateway must not be ready.
func TestLeaseLostBeforeSend(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	dialing, release := make(chan struct{}, 8), make(chan struct{})
	block := false
	var mutex sync.Mutex
	g := f.gateway("g1", "north", "a", func(options *Options) {
		options.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			mutex.Lock()
			blocked := block
			mutex.Unlock()
			if blocked {
				dialing <- struct{}{}
				<-release
			}
			return new(net.Dialer).DialContext(ctx, network, address)
		}
	})
	f.awaitReady(g)
	request, _ := g.where(t, newRequest("late"))
	mutex.Lock()
	block = true
	mutex.Unlock()
	done := make(chan *reply, 1)
	go func() { done <- g.send(t, request) }()
	<-dialing
	f.primary.set(func(p *fakePrimary) { p.rejectRenewals = true })
	f.clockOffset.Add(int64(time.Minute))
	close(release)
	if got := <-done; got.outcome() != "no_lease/refused" {
		t.Fatalf("outcome %s, want no_lease/refused", got.outcome())
	}
	if reached := len(replica.requests()); reached != 0 {
		t.Fatalf("the replica received %d requests, want none", reached)
	}
	response, err := http.Get(g.url + api.PathReady)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("the gateway is ready without a lease: status %d", response.StatusCode)
	}
}

// TestStaleConfigurationIsRetriedWithNewerVersion sends a request to a replica that has
// seen a configuration version that the gateway has received but not activated. The
// gateway must activate that version and send the request again.
func TestStaleConfigurationIsRetriedWithNewerVersion(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.awaitReady(g)
	f.primary.set(func(p *fakePrimary) {
		p.activationLimit = p.table.Serial()
		p.apply(registry.Add(catalog.ConfigurationRecord(catalog.Configuration{Version: 2})))
	})
	waitFor(t, "the receipt of the new serial", func() bool { return g.agent.Status().ReceivedSerial > g.agent.Status().ActiveSerial })
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
		t.Fatalf("outcome %s with version %d, want success with version 2", got.outcome(), got.answer.ConfigurationVersion)
	}
	var versions []uint64
	for _, received := range replica.requests() {
		versions = append(versions, received.Stamp.ConfigurationVersion)
	}
	if fmt.Sprint(versions) != "[1 2]" {
		t.Fatalf("versions in the stamps: %v, want [1 2]", versions)
	}
}
