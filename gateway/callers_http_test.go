package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/stream"
)

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
