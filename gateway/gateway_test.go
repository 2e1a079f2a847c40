package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/places"
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
	repeatable := question("again")
	repeatable.Repeatable = true
	repeatable, _ = restarted.where(t, repeatable)
	restarted.stop()
	if got := other.send(t, repeatable); got.outcome() != "success" {
		t.Fatalf("repeatable with a dead owner: %s", got.outcome())
	}
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
	response, err := post(context.Background(), g.url+api.PathWhere, api.WhereRequest{RequestID: "refused", Model: "m"})
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
	if response, err := http.Get(g.url + api.PathReady); err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("ready without a lease: %v %v", response, err)
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
		p.apply(registry.Add(places.ConfigurationRecord(places.Configuration{Version: 2})))
	})
	waitFor(t, "the new serial to be held", func() bool { return g.agent.Status().Held > g.agent.Status().Active })
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
	f.memory.Cut("g2", "g1")
	f.memory.Cut("g1", "g2")
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

// TestDisplacedRequestsWaitForRoom sends a request to a gateway whose region
// takes nothing while the other region's one replica is full.
func TestDisplacedRequestsWaitForRoom(t *testing.T) {
	f := newFleet(t)
	f.primary.set(func(p *primary) {
		p.apply(registry.Add(places.ServiceRecord("explain", places.Service{Kind: "model", MaxConcurrency: 1})))
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
	waitFor(t, "a declined offer", func() bool {
		var declined dto.Metric
		return north.metrics.spills.WithLabelValues("declined").Write(&declined) == nil && declined.GetCounter().GetValue() > 0
	})
	close(room)
	for range 2 {
		if got := <-done; got.outcome() != "success" {
			t.Errorf("got %s", got.outcome())
		}
	}
	if reached := len(replica.requests()); reached != 2 {
		t.Errorf("reached the replica %d times", reached)
	}
}

// TestLeavingGatewayRefers asks a gateway that is leaving where to go.
func TestLeavingGatewayRefers(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	leaving := f.gateway("g1", "north", "a", nil)
	staying := f.gateway("g2", "north", "b", nil)
	f.ready(leaving, staying)
	leaving.Drain()
	request, where := leaving.where(t, question("asked"))
	if "http://"+where.Gateway != staying.url {
		t.Fatalf("sent to %s, not to %s", where.Gateway, staying.url)
	}
	if got := staying.send(t, request); got.outcome() != "success" {
		t.Errorf("got %s", got.outcome())
	}
	staying.Drain()
	if _, failure := leaving.Gateway.where(t.Context(), &api.WhereRequest{RequestID: "nobody", Model: "m", WaitMS: 1000}); failure == nil || failure.Outcome != api.OutcomeRefused {
		t.Errorf("with nobody left: %v", failure)
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
	offer := peer.Offer{OfferID: "o1", From: "g1", Request: request, TimeLeft: 5000, Version: 1, Attempt: 1}
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

// TestCallerHangUpCancels checks that the replica's work ends with the caller.
func TestCallerHangUpCancels(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.ready(g)
	started, canceled := make(chan struct{}), make(chan struct{})
	replica.behave(func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
		w.Header().Set("Content-Type", stream.ContentType)
		w.Write(pieceFrame(request, 1))
		http.NewResponseController(w).Flush()
		close(started)
		<-r.Context().Done()
		close(canceled)
	})
	f.primary.set(func(p *primary) { p.apply(registry.Add(places.LimitsRecord(places.Limits{StreamGapMS: 60_000}))) })
	waitFor(t, "a long gap", func() bool { return g.streamGap() == time.Minute })
	request := question("hang-up")
	request.Stream, request.WaitMS = true, 60_000
	request, _ = g.where(t, request)
	ctx, hangUp := context.WithCancel(context.Background())
	response, err := post(ctx, g.url+api.PathRequests, request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	<-started
	hangUp()
	select {
	case <-canceled:
	case <-time.After(patience):
		t.Fatal("the replica goes on")
	}
}

// TestCallersLimits checks every door of the callers' port.
func TestCallersLimits(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.ready(g)
	good := `"request_id":"r","model":"m","prompt_tokens":1,"max_tokens":1,"repeatable":true`
	tests := []struct {
		name, path, body string
		status           int
		code             api.Code
		field            string
	}{
		{"good", api.PathRequests, "{" + good + "}", 200, "", ""},
		{"unknown field", api.PathRequests, "{" + good + `,"stop":1}`, 400, api.CodeInvalid, "stop"},
		{"wrong type", api.PathRequests, `{"request_id":"r","model":"m","max_tokens":"1"}`, 400, api.CodeInvalid, "max_tokens"},
		{"two documents", api.PathRequests, "{" + good + "}{}", 400, api.CodeInvalid, ""},
		{"empty", api.PathRequests, "", 400, api.CodeInvalid, ""},
		{"no id", api.PathRequests, `{"model":"m","max_tokens":1}`, 400, api.CodeInvalid, "request_id"},
		{"long id", api.PathRequests, `{"request_id":"` + strings.Repeat("x", 129) + `","model":"m"}`, 400, api.CodeInvalid, "request_id"},
		{"no tokens", api.PathRequests, `{"request_id":"r","model":"m"}`, 400, api.CodeInvalid, "max_tokens"},
		{"many tokens", api.PathRequests, `{"request_id":"r","model":"m","max_tokens":65537}`, 400, api.CodeInvalid, "max_tokens"},
		{"long wait", api.PathRequests, "{" + good + `,"wait_ms":600001}`, 400, api.CodeInvalid, "wait_ms"},
		{"class", api.PathRequests, "{" + good + `,"class":"slow"}`, 400, api.CodeInvalid, "class"},
		{"many prefixes", api.PathWhere, `{"request_id":"r","model":"m","prefixes":[` + strings.Repeat(`{"id":"p","tokens":1},`, 64) + `{"id":"p","tokens":1}]}`, 400, api.CodeInvalid, "prefixes"},
		{"large prompt", api.PathRequests, "{" + good + `,"prefixes":[{"id":"p","tokens":1048576}]}`, 400, api.CodeInvalid, "prompt_tokens"},
		{"large body", api.PathRequests, `{"request_id":"` + strings.Repeat("x", 1<<20) + `"}`, 413, api.CodeTooLarge, ""},
		{"no ticket", api.PathRequests, `{"request_id":"r","model":"m","max_tokens":1}`, 400, api.CodeTicketRequired, ""},
		{"bad ticket", api.PathRequests, `{"request_id":"r","model":"m","max_tokens":1,"ticket":"x"}`, 400, api.CodeTicketInvalid, ""},
		{"unknown model", api.PathWhere, `{"request_id":"r","model":"none"}`, 404, api.CodeNotFound, "model"},
		{"unknown path", "/v1/other", "{}", 404, api.CodeNotFound, ""},
		{"wrong method", api.PathLive, "{}", 405, api.CodeInvalid, "method"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response, err := http.Post(g.url+test.path, "application/json", strings.NewReader(test.body))
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			var wrapped api.ErrorBody
			body, _ := readBounded(response.Body, 1<<20)
			if err := decodeOne(body, &wrapped); err != nil {
				t.Fatalf("%s: %v", body, err)
			}
			if wrapped.Error == nil {
				wrapped.Error = &api.Error{}
			}
			if response.StatusCode != test.status || wrapped.Error.Code != test.code || wrapped.Error.Field != test.field {
				t.Fatalf("status %d, %+v", response.StatusCode, wrapped.Error)
			}
		})
	}
}

// TestConnectionsGiveWay opens more connections than are allowed: silent ones,
// ones that never end their header and ones that never end their body.
func TestConnectionsGiveWay(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", func(options *Options) { options.MaxConnections = 4 })
	f.ready(g)
	var hostile []net.Conn
	for i := range 30 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		beginnings := []string{"", "POST /v1/requests HTTP/1.1\r\nX-Slow: ", "POST /v1/requests HTTP/1.1\r\nHost: g\r\nContent-Length: 1000\r\n\r\n{"}
		fmt.Fprint(conn, beginnings[i%len(beginnings)])
		hostile = append(hostile, conn)
	}
	request := question("served")
	request.Repeatable = true
	if got := g.send(t, request); got.outcome() != "success" {
		t.Fatalf("got %s", got.outcome())
	}
	hostile[0].SetReadDeadline(time.Now().Add(patience))
	if n, err := hostile[0].Read(make([]byte, 1)); err == nil || n != 0 {
		t.Fatalf("the oldest silent connection is still open: %d %v", n, err)
	}
}
