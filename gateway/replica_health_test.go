package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"github.com/deckpulley/deckpulley/api"
)

// usableReplicas returns the number of replicas on which the gateway may place requests.
func (n *node) usableReplicas() int {
	usable := 0
	for _, service := range n.router.Status().Services {
		usable += service.Usable
	}
	return usable
}

// gatewayWithoutPolling starts a gateway that polls a replica only when it is newly listed
// or when pollNow is called. It waits until the only replica is usable.
func (f *fleet) gatewayWithoutPolling() *node {
	g := f.gateway("g1", "north", "a", func(options *Options) { options.PollInterval = time.Hour })
	waitFor(f.t, "the lease and the record of the replica", func() bool {
		return g.checkServing() == nil && len(g.agent.Active().Replicas()) == 1 && len(g.router.LocalReplicas()) == 1
	})
	waitFor(f.t, "the first report of the replica", func() bool { return g.usableReplicas() == 1 })
	return g
}

func counterValue(t *testing.T, counter prometheus.Counter) float64 {
	t.Helper()
	var metric dto.Metric
	if err := counter.Write(&metric); err != nil {
		t.Fatal(err)
	}
	return metric.GetCounter().GetValue()
}

func (f *fakeReplica) update(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

// TestRestartedReplicaIsPolledAtOnce restarts a replica between two polls. It refuses the
// request that was placed on its former incarnation. The gateway must poll it at once and
// send the request to the new incarnation, which is not a retry.
func TestRestartedReplicaIsPolledAtOnce(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gatewayWithoutPolling()
	replica.update(func() { replica.incarnation = "2" })
	replica.setAnswer(func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
		if request.Stamp.ReplicaIncarnation != "2" {
			writeError(w, &api.Error{Code: api.CodeRestarted, Outcome: api.OutcomeRefused, RequestID: request.RequestID})
			return
		}
		writeAnswer(w, r, request)
	})
	request, _ := g.where(t, newRequest("restarted"))
	if got := g.send(t, request); got.outcome() != "success" {
		t.Fatalf("outcome %s, want success", got.outcome())
	}
	var placed []string
	for _, received := range replica.requests() {
		placed = append(placed, fmt.Sprint(received.Stamp.ReplicaIncarnation, "/", received.Stamp.Attempt))
	}
	if fmt.Sprint(placed) != "[1/1 2/2]" {
		t.Errorf("incarnation/attempt in the stamps: %v, want [1/1 2/2]", placed)
	}
	for _, label := range []string{"allowed", "denied"} {
		if count := counterValue(t, g.metrics.retries.WithLabelValues(label)); count != 0 {
			t.Errorf("%v retries were %s, want none", count, label)
		}
	}
}

// TestBrokenConnectionTriggersPoll breaks the connection to a replica before the response
// and within a stream. The replica must be polled at once, and must not be usable until
// its report arrives.
func TestBrokenConnectionTriggersPoll(t *testing.T) {
	failures := map[string]answerFunc{
		"before the response": func(http.ResponseWriter, *http.Request, *api.ReplicaRequest) {
			panic(http.ErrAbortHandler)
		},
		"within a stream": func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Write(chunkFrame(request, 1))
			if err := http.NewResponseController(w).Flush(); err != nil {
				panic(err)
			}
			panic(http.ErrAbortHandler)
		},
	}
	for name, answer := range failures {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			replica := f.replica("r1", "north")
			g := f.gatewayWithoutPolling()
			reports := make(chan struct{})
			replica.update(func() { replica.blockReports = reports })
			replica.setAnswer(answer)
			request, _ := g.where(t, newRequest("broken"))
			request.Stream = true
			if got := g.send(t, request); got.failure == nil || got.failure.Outcome == api.OutcomeRefused {
				t.Errorf("outcome %s, want failed or unknown", got.outcome())
			}
			if usable := g.usableReplicas(); usable != 0 {
				t.Errorf("%d replicas are usable before the next report, want none", usable)
			}
			replica.setAnswer(writeAnswer)
			replica.update(func() { replica.blockReports = nil })
			close(reports)
			waitFor(t, "the next report of the replica", func() bool { return g.usableReplicas() == 1 })
			request, _ = g.where(t, newRequest("after"))
			if got := g.send(t, request); got.outcome() != "success" {
				t.Errorf("request after the report: outcome %s, want success", got.outcome())
			}
		})
	}
}

// TestFailedDialStopsRequestsToReplica stops a replica between two polls. After the first
// failed dial, the replica must not be usable.
func TestFailedDialStopsRequestsToReplica(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gatewayWithoutPolling()
	replica.server.Listener.Close()
	replica.server.CloseClientConnections()
	request, _ := g.where(t, newRequest("unreachable"))
	if got := g.send(t, request); got.failure == nil || got.failure.Outcome != api.OutcomeRefused {
		t.Errorf("outcome %s, want refused", got.outcome())
	}
	if usable := g.usableReplicas(); usable != 0 {
		t.Errorf("%d replicas are usable after a failed dial, want none", usable)
	}
	if reached := len(replica.requests()); reached != 0 {
		t.Errorf("the replica received %d requests, want none", reached)
	}
}
