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

// TestStop lets a gateway leave while a stream runs and a ticket is unused.
func TestStop(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", func(options *Options) {
		options.ShutdownTimeout, options.TicketGracePeriod = patience, patience
	})
	f.ready(g)
	started, release := make(chan struct{}), make(chan struct{})
	replica.behave(func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
		if request.RequestID != "running" {
			answerWhole(w, r, request)
			return
		}
		close(started)
		select {
		case <-release:
			answerStream(w, request, 5)
		case <-r.Context().Done():
		}
	})
	running := question("running")
	running.Stream = true
	running, _ = g.where(t, running)
	issued, _ := g.where(t, question("issued"))
	done := make(chan *reply, 1)
	go func() { done <- g.send(t, running) }()
	<-started
	stopped := make(chan struct{})
	go func() {
		g.Stop(t.Context())
		close(stopped)
	}()
	waitFor(t, "the gateway to leave", g.draining.Load)
	fresh := question("fresh")
	fresh.Repeatable = true
	if got := g.send(t, fresh); got.outcome() != "not_ready/refused" {
		t.Errorf("new request: %s", got.outcome())
	}
	if got := g.send(t, issued); got.outcome() != "success" {
		t.Errorf("request with a ticket from before: %s", got.outcome())
	}
	select {
	case <-stopped:
		t.Error("stopped beside a running stream")
	case <-time.After(10 * honorPause): // a gateway that does not wait is gone by then
	}
	close(release)
	if got := <-done; got.outcome() != "success" || got.pieces != 5 {
		t.Errorf("running stream: %s with %d pieces", got.outcome(), got.pieces)
	}
	select {
	case <-stopped:
	case <-time.After(patience):
		t.Fatal("does not stop")
	}
	f.primary.mutex.Lock()
	defer f.primary.mutex.Unlock()
	contents, err := catalog.Read(f.primary.table.View())
	if err != nil || contents.Gateways()["g1"].Up || g.agent.Valid() {
		t.Errorf("the lease was not given up: %+v %v", contents.Gateways()["g1"], err)
	}
}

// tokenOf accepts one Authorization header.
type tokenOf string

func (token tokenOf) Authenticate(header string) (string, bool) {
	return "platform", header == string(token)
}

// TestOperatorsPort reads a gateway's status, replicas and metrics, and hands
// over a list of replicas.
func TestOperatorsPort(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", func(options *Options) {
		options.Tokens = func() Authenticator { return tokenOf("Bearer secret") }
	})
	f.ready(g)
	server := httptest.NewServer(g.OperatorsServer().Handler)
	defer server.Close()
	ask := func(method, path, token, body string) (int, string) {
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
		status, body := ask(test.method, test.path, test.token, test.body)
		if status != test.status || !strings.Contains(body, test.contains) {
			t.Errorf("%s %s: status %d: %.300s", test.method, test.path, status, body)
		}
	}
	f.primary.mutex.Lock()
	defer f.primary.mutex.Unlock()
	if len(f.primary.orders) != 1 || f.primary.orders[0].Replicas.Replicas[0].ID != "r9" {
		t.Errorf("orders %+v", f.primary.orders)
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
	f.primary.set(func(p *primary) { p.apply(registry.Add(catalog.LimitsRecord(catalog.Limits{StreamGapMS: 60_000}))) })
	waitFor(t, "a long gap", func() bool { return g.streamGap() == time.Minute })
	request := question("hang-up")
	request.Stream, request.WaitMS = true, 60_000
	request, _ = g.where(t, request)
	ctx, hangUp := context.WithCancel(t.Context())
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

// TestCallersLimits checks every limit of the callers' port.
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

// TestUnreadResendIsNotCalledRefused resends a request that has run while the
// gateway has no room for another body: nobody has looked whose request it is.
func TestUnreadResendIsNotCalledRefused(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.ready(g)
	request, _ := g.where(t, question("ran"))
	if got := g.send(t, request); got.outcome() != "success" {
		t.Fatal(got.outcome())
	}
	if !g.bodies.take(maxBodyBytesInFlight) {
		t.Fatal("room is taken already")
	}
	got := g.send(t, request)
	if got.outcome() != "overloaded/unknown" || !got.failure.Retry {
		t.Errorf("without room: %s", got.outcome())
	}
	g.bodies.give(maxBodyBytesInFlight)
	if got := g.send(t, request); got.outcome() != "success" {
		t.Errorf("with room again: %s", got.outcome())
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

// TestMetricsPage compares docs/METRICS.md with what a gateway serves.
func TestMetricsPage(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.ready(g)
	g.metrics.touch()
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

// touch gives every family a member, since empty ones are not served.
func (m *metrics) touch() {
	for _, vector := range []*prometheus.CounterVec{m.requests, m.where, m.failures, m.retries, m.spills, m.tickets, m.polls, m.updates} {
		vector.WithLabelValues(make([]string, labelsOf(vector))...)
	}
	m.latency.WithLabelValues("")
	m.firstEvent.WithLabelValues("")
}

// labelsOf finds the number of labels of a vector.
func labelsOf(vector *prometheus.CounterVec) int {
	for count := range 5 {
		if _, err := vector.GetMetricWithLabelValues(make([]string, count)...); err == nil {
			return count
		}
	}
	return 0
}
