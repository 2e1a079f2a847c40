package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/stream"
)

// TestDrainingGatewayRefersToPeers asks a draining gateway where to send a request.
func TestDrainingGatewayRefersToPeers(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	draining := f.gateway("g1", "north", "a", nil)
	serving := f.gateway("g2", "north", "b", nil)
	f.ready(draining, serving)
	draining.Drain()
	request, where := draining.where(t, newRequest("asked"))
	if "http://"+where.Gateway != serving.url {
		t.Fatalf("sent to %s, not to %s", where.Gateway, serving.url)
	}
	if got := serving.send(t, request); got.outcome() != "success" {
		t.Errorf("got %s", got.outcome())
	}
	serving.Drain()
	if _, failure := draining.Gateway.where(t.Context(), &api.WhereRequest{RequestID: "nobody", Model: "m", WaitMS: 1000}); failure == nil || failure.Outcome != api.OutcomeRefused {
		t.Errorf("with no gateway left: %v", failure)
	}
}

// TestStop stops a gateway while a stream runs and a ticket is unused.
func TestStop(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", func(options *Options) {
		options.ShutdownTimeout, options.TicketGracePeriod = testTimeout, testTimeout
	})
	f.ready(g)
	started, release := make(chan struct{}), make(chan struct{})
	replica.setAnswer(func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
		if request.RequestID != "running" {
			writeAnswer(w, r, request)
			return
		}
		close(started)
		select {
		case <-release:
			writeStream(w, request, 5)
		case <-r.Context().Done():
		}
	})
	running := newRequest("running")
	running.Stream = true
	running, _ = g.where(t, running)
	issued, _ := g.where(t, newRequest("issued"))
	done := make(chan *reply, 1)
	go func() { done <- g.send(t, running) }()
	<-started
	stopped := make(chan struct{})
	go func() {
		g.Stop(t.Context())
		close(stopped)
	}()
	waitFor(t, "the gateway to drain", g.draining.Load)
	withoutTicket := newRequest("fresh")
	withoutTicket.Repeatable = true
	if got := g.send(t, withoutTicket); got.outcome() != "not_ready/refused" {
		t.Errorf("new request: %s", got.outcome())
	}
	if got := g.send(t, issued); got.outcome() != "success" {
		t.Errorf("request with a ticket from before: %s", got.outcome())
	}
	select {
	case <-stopped:
		t.Error("stopped beside a running stream")
	case <-time.After(10 * ticketCheckInterval): // a gateway that does not wait is gone by then
	}
	close(release)
	if got := <-done; got.outcome() != "success" || got.chunks != 5 {
		t.Errorf("running stream: %s with %d chunks", got.outcome(), got.chunks)
	}
	select {
	case <-stopped:
	case <-time.After(testTimeout):
		t.Fatal("does not stop")
	}
	f.primary.mutex.Lock()
	defer f.primary.mutex.Unlock()
	state, err := catalog.Read(f.primary.table.View())
	if err != nil || state.Gateways()["g1"].Up || g.agent.Valid() {
		t.Errorf("the lease was not released: %+v %v", state.Gateways()["g1"], err)
	}
}

// authorizationHeader accepts one Authorization header.
type authorizationHeader string

func (token authorizationHeader) Authenticate(header string) (string, bool) {
	return "platform", header == string(token)
}

// TestOperatorsPort reads a gateway's status, replicas and metrics, and submits a
// list of replicas.
func TestOperatorsPort(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", func(options *Options) {
		options.Tokens = func() Authenticator { return authorizationHeader("Bearer secret") }
	})
	f.ready(g)
	server := httptest.NewServer(g.OperatorsServer().Handler)
	defer server.Close()
	send := func(method, path, token, body string) (int, string) {
		t.Helper()
		request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", token)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		answer, err := readBounded(response.Body, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		return response.StatusCode, string(answer)
	}
	list := `{"replicas":[{"id":"r9","service":"explain","zone":"north-1","address":"127.0.0.1:1"}]}`
	tests := []struct {
		method, path, token, body string
		status                    int
		contains                  string
	}{
		{"GET", api.PathStatus, "", "", 200, `"active_version":1`},
		{"GET", api.PathReplicas, "", "", 200, `"id":"r1"`},
		{"GET", api.PathMetrics, "", "", 200, "deckpulley_gateway_active_version 1"},
		{"GET", api.PathMetrics, "", "", 200, `deckpulley_gateway_controller_set_point{controller="retry_ratio"`},
		{"GET", api.PathReady, "", "", 200, "{}"},
		{"GET", "/debug/pprof/cmdline", "", "", 200, ""},
		{"PUT", api.PathReplicas, "Bearer wrong", list, 401, `"code":"unauthorized"`},
		{"PUT", api.PathReplicas, "Bearer secret", `{"replicas":[{"name":"r9"}]}`, 400, `"field":"name"`},
		{"PUT", api.PathReplicas, "Bearer secret", list, 200, `"accepted":true`},
		{"DELETE", api.PathReplicas, "Bearer secret", "", 405, ""},
	}
	for _, test := range tests {
		status, body := send(test.method, test.path, test.token, test.body)
		if status != test.status || !strings.Contains(body, test.contains) {
			t.Errorf("%s %s: status %d: %.300s", test.method, test.path, status, body)
		}
	}
	f.primary.mutex.Lock()
	defer f.primary.mutex.Unlock()
	if len(f.primary.operations) != 1 || f.primary.operations[0].Replicas.Replicas[0].ID != "r9" {
		t.Errorf("operations %+v", f.primary.operations)
	}
}

// TestCallerDisconnectCancels verifies that the request to the replica is canceled
// when its caller disconnects.
func TestCallerDisconnectCancels(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.ready(g)
	started, canceled := make(chan struct{}), make(chan struct{})
	replica.setAnswer(func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
		w.Header().Set("Content-Type", stream.ContentType)
		w.Write(chunkFrame(request, 1))
		http.NewResponseController(w).Flush()
		close(started)
		<-r.Context().Done()
		close(canceled)
	})
	f.primary.set(func(p *primary) { p.apply(registry.Add(catalog.LimitsRecord(catalog.Limits{StreamGapMS: 60_000}))) })
	waitFor(t, "a long gap", func() bool { return g.streamIdleTimeout() == time.Minute })
	request := newRequest("hang-up")
	request.Stream, request.WaitMS = true, 60_000
	request, _ = g.where(t, request)
	ctx, disconnect := context.WithCancel(t.Context())
	response, err := post(ctx, g.url+api.PathRequests, request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	<-started
	disconnect()
	select {
	case <-canceled:
	case <-time.After(testTimeout):
		t.Fatal("the replica goes on")
	}
}

// TestCallersLimits verifies every limit of the callers' port.
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
			if err := decodeSingle(body, &wrapped); err != nil {
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

// TestUnreadResendHasUnknownOutcome resends a request that has run while the budget
// for bodies is used up: the refusal can't say that the request never ran, since its
// body was not read.
func TestUnreadResendHasUnknownOutcome(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.ready(g)
	request, _ := g.where(t, newRequest("ran"))
	if got := g.send(t, request); got.outcome() != "success" {
		t.Fatal(got.outcome())
	}
	if !g.bodyBudget.acquire(maxBodyBytesInFlight) {
		t.Fatal("the budget is used already")
	}
	got := g.send(t, request)
	if got.outcome() != "overloaded/unknown" || !got.failure.Retry {
		t.Errorf("without budget: %s", got.outcome())
	}
	g.bodyBudget.release(maxBodyBytesInFlight)
	if got := g.send(t, request); got.outcome() != "success" {
		t.Errorf("with budget again: %s", got.outcome())
	}
}

// TestConnectionEviction opens more connections than the limit: idle ones, ones that
// never end their header and ones that never end their body.
func TestConnectionEviction(t *testing.T) {
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
	request := newRequest("served")
	request.Repeatable = true
	if got := g.send(t, request); got.outcome() != "success" {
		t.Fatalf("got %s", got.outcome())
	}
	hostile[0].SetReadDeadline(time.Now().Add(testTimeout))
	if n, err := hostile[0].Read(make([]byte, 1)); err == nil || n != 0 {
		t.Fatalf("the oldest idle connection is still open: %d %v", n, err)
	}
}

// TestMetricsPage compares docs/METRICS.md with the metrics that a gateway serves.
func TestMetricsPage(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.ready(g)
	g.metrics.createAllSeries()
	families, err := g.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	served := 0
	for _, family := range families {
		name := family.GetName()
		if !strings.HasPrefix(name, metricsNamespace) {
			continue
		}
		served++
		if !strings.Contains(string(page), "| `"+name+"` |") {
			t.Errorf("%s is not on the page", name)
		}
	}
	if listed := strings.Count(string(page), "| `"+metricsNamespace); listed != served {
		t.Errorf("the page lists %d metrics, %d are served", listed, served)
	}
}

// createAllSeries creates a series of every family, since empty families are not
// served.
func (m *metrics) createAllSeries() {
	for _, vector := range []*prometheus.CounterVec{m.requests, m.where, m.failures, m.retries, m.spills, m.tickets, m.polls, m.updates} {
		vector.WithLabelValues(make([]string, labelCount(vector))...)
	}
	m.latency.WithLabelValues("")
	m.firstEvent.WithLabelValues("")
}

// labelCount returns the number of labels of a vector.
func labelCount(vector *prometheus.CounterVec) int {
	for count := range 5 {
		if _, err := vector.GetMetricWithLabelValues(make([]string, count)...); err == nil {
			return count
		}
	}
	return 0
}
