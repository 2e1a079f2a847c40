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

// usableReplicas counts the replicas that the gateway would place requests on.
func (n *node) usableReplicas() int {
	usable := 0
	for _, service := range n.router.Status().Services {
		usable += service.Usable
	}
	return usable
}

// gatewayWithoutPolling starts a gateway that polls replicas only when they are
// listed or suspected, and waits until it knows the only replica.
func (f *fleet) gatewayWithoutPolling() *node {
	g := f.gateway("g1", "north", "a", func(options *Options) { options.PollInterval = time.Hour })
	waitFor(f.t, "a lease and the replica's record", func() bool {
		return g.checkServing() == nil && len(g.agent.Active().Replicas()) == 1 && len(g.router.Watched()) == 1
	})
	waitFor(f.t, "the first report", func() bool { return g.usableReplicas() == 1 })
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

// TestRestartedReplicaIsPolledAtOnce restarts a replica between two polls. The
// request placed on the former incarnation is refused, and runs after the next
// report.
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
		t.Fatalf("got %s", got.outcome())
	}
	var placed []string
	for _, received := range replica.requests() {
		placed = append(placed, fmt.Sprint(received.Stamp.ReplicaIncarnation, "/", received.Stamp.Attempt))
	}
	if fmt.Sprint(placed) != "[1/1 2/2]" {
		t.Errorf("placed on incarnation/attempt %v", placed)
	}
	for _, label := range []string{"allowed", "denied"} {
		if count := counterValue(t, g.metrics.retries.WithLabelValues(label)); count != 0 {
			t.Errorf("%v retries %s", count, label)
		}
	}
}

// TestBrokenConnectionTriggersPoll breaks connections in several ways. The replica
// gets no new request until its next report, for which it is polled at once.
func TestBrokenConnectionTriggersPoll(t *testing.T) {
	failures := map[string]answerFunc{
		"before the answer": func(http.ResponseWriter, *http.Request, *api.ReplicaRequest) {
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
				t.Errorf("got %s", got.outcome())
			}
			if usable := g.usableReplicas(); usable != 0 {
				t.Errorf("%d replicas are usable before the report", usable)
			}
			replica.setAnswer(writeAnswer)
			replica.update(func() { replica.blockReports = nil })
			close(reports)
			waitFor(t, "the report", func() bool { return g.usableReplicas() == 1 })
			request, _ = g.where(t, newRequest("after"))
			if got := g.send(t, request); got.outcome() != "success" {
				t.Errorf("afterwards: got %s", got.outcome())
			}
		})
	}
}

// TestFailedDialClosesReplica stops a replica between two polls: only the first
// request tries to reach it.
func TestFailedDialClosesReplica(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gatewayWithoutPolling()
	replica.server.Listener.Close()
	replica.server.CloseClientConnections()
	request, _ := g.where(t, newRequest("unreachable"))
	if got := g.send(t, request); got.failure == nil || got.failure.Outcome != api.OutcomeRefused {
		t.Errorf("got %s", got.outcome())
	}
	if usable := g.usableReplicas(); usable != 0 {
		t.Errorf("%d replicas are usable", usable)
	}
	if reached := len(replica.requests()); reached != 0 {
		t.Errorf("reached the replica %d times", reached)
	}
}
