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

// usableReplicas counts the replicas that the gateway would place on.
func (n *node) usableReplicas() int {
	usable := 0
	for _, service := range n.router.Status().Services {
		usable += service.Usable
	}
	return usable
}

// unpolled starts a gateway that polls replicas only when they are listed and on
// suspicion, and lets it know the one replica.
func (f *fleet) unpolled() *node {
	g := f.gateway("g1", "north", "a", func(options *Options) { options.PollInterval = time.Hour })
	waitFor(f.t, "a lease and the replica's record", func() bool {
		return g.mayPlace() == nil && len(g.agent.Active().Replicas()) == 1 && len(g.router.Watched()) == 1
	})
	waitFor(f.t, "the first report", func() bool { return g.usableReplicas() == 1 })
	return g
}

func counted(t *testing.T, counter prometheus.Counter) float64 {
	t.Helper()
	var metric dto.Metric
	if err := counter.Write(&metric); err != nil {
		t.Fatal(err)
	}
	return metric.GetCounter().GetValue()
}

func (f *fakeReplica) change(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

// TestRestartedReplicaIsAskedAtOnce restarts a replica between two polls. The
// request placed on its predecessor is refused by it, and runs once it reported.
func TestRestartedReplicaIsAskedAtOnce(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.unpolled()
	replica.change(func() { replica.incarnation = "2" })
	replica.behave(func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
		if request.Stamp.ReplicaIncarnation != "2" {
			writeError(w, &api.Error{Code: api.CodeRestarted, Outcome: api.OutcomeRefused, RequestID: request.RequestID})
			return
		}
		answerWhole(w, r, request)
	})
	request, _ := g.where(t, question("restarted"))
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
		if asked := counted(t, g.metrics.retries.WithLabelValues(label)); asked != 0 {
			t.Errorf("%v retries %s", asked, label)
		}
	}
}

// TestBrokenConnectionAsksForReport breaks connections in several ways. Nothing
// new may go to the replica until its report, which is asked for at once, is in.
func TestBrokenConnectionAsksForReport(t *testing.T) {
	breaks := map[string]answerFunc{
		"before the answer": func(http.ResponseWriter, *http.Request, *api.ReplicaRequest) {
			panic(http.ErrAbortHandler)
		},
		"within a stream": func(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Write(pieceFrame(request, 1))
			if err := http.NewResponseController(w).Flush(); err != nil {
				panic(err)
			}
			panic(http.ErrAbortHandler)
		},
	}
	for name, broke := range breaks {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			replica := f.replica("r1", "north")
			g := f.unpolled()
			reports := make(chan struct{})
			replica.change(func() { replica.reports = reports })
			replica.behave(broke)
			request, _ := g.where(t, question("broken"))
			request.Stream = true
			if got := g.send(t, request); got.failure == nil || got.failure.Outcome == api.OutcomeRefused {
				t.Errorf("got %s", got.outcome())
			}
			if usable := g.usableReplicas(); usable != 0 {
				t.Errorf("%d replicas are usable before the report", usable)
			}
			replica.behave(answerWhole)
			replica.change(func() { replica.reports = nil })
			close(reports)
			waitFor(t, "the report", func() bool { return g.usableReplicas() == 1 })
			request, _ = g.where(t, question("after"))
			if got := g.send(t, request); got.outcome() != "success" {
				t.Errorf("afterwards: got %s", got.outcome())
			}
		})
	}
}

// TestFailedDialClosesReplica loses a replica between two polls: the first
// request that cannot reach it is the last one that tries.
func TestFailedDialClosesReplica(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.unpolled()
	replica.server.Listener.Close()
	replica.server.CloseClientConnections()
	request, _ := g.where(t, question("unreachable"))
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
