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

// TestCallerDisconnectCancels checks that the request to the replica is canceled when the
// only caller disconnects.
func TestCallerDisconnectCancels(t *testing.T) {
	f := newFleet(t)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.awaitReady(g)
	started, canceled := make(chan struct{}), make(chan struct{})
	replica.setAnswer(func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest) {
		w.Header().Set("Content-Type", stream.ContentType)
		w.Write(chunkFrame(request, 1))
		http.NewResponseController(w).Flush()
		close(started)
		<-r.Context().Done()
		close(canceled)
	})
	f.primary.set(func(p *fakePrimary) { p.apply(registry.Add(catalog.LimitsRecord(catalog.Limits{StreamGapMS: 60_000}))) })
	waitFor(t, "the longer idle timeout", func() bool { return g.streamIdleTimeout() == time.Minute })
	request := newRequest("disconnect")
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
		t.Fatal("the request to the replica was not canceled")
	}
}

// TestCallersLimits checks the status, error code and field for requests that violate
// each limit of the callers' port.
func TestCallersLimits(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.awaitReady(g)
	validFields := `"request_id":"r","model":"m","prompt_tokens":1,"max_tokens":1,"repeatable":true`
	tests := []struct {
		name, path, body string
		status           int
		code             api.Code
		field            string
	}{
		{"good", api.PathRequests, "{" + validFields + "}", 200, "", ""},
		{"unknown field", api.PathRequests, "{" + validFields + `,"stop":1}`, 400, api.CodeInvalid, "stop"},
		{"wrong type", api.PathRequests, `{"request_id":"r","model":"m","max_tokens":"1"}`, 400, api.CodeInvalid, "max_tokens"},
		{"two JSON documents", api.PathRequests, "{" + validFields + "}{}", 400, api.CodeInvalid, ""},
		{"empty", api.PathRequests, "", 400, api.CodeInvalid, ""},
		{"missing request id", api.PathRequests, `{"model":"m","max_tokens":1}`, 400, api.CodeInvalid, "request_id"},
		{"request id too long", api.PathRequests, `{"request_id":"` + strings.Repeat("x", 129) + `","model":"m"}`, 400, api.CodeInvalid, "request_id"},
		{"missing max_tokens", api.PathRequests, `{"request_id":"r","model":"m"}`, 400, api.CodeInvalid, "max_tokens"},
		{"max_tokens too large", api.PathRequests, `{"request_id":"r","model":"m","max_tokens":65537}`, 400, api.CodeInvalid, "max_tokens"},
		{"wait_ms too large", api.PathRequests, "{" + validFields + `,"wait_ms":600001}`, 400, api.CodeInvalid, "wait_ms"},
		{"class", api.PathRequests, "{" + validFields + `,"class":"slow"}`, 400, api.CodeInvalid, "class"},
		{"too many prefixes", api.PathWhere, `{"request_id":"r","model":"m","prefixes":[` + strings.Repeat(`{"id":"p","tokens":1},`, 64) + `{"id":"p","tokens":1}]}`, 400, api.CodeInvalid, "prefixes"},
		{"prompt too large", api.PathRequests, "{" + validFields + `,"prefixes":[{"id":"p","tokens":1048576}]}`, 400, api.CodeInvalid, "prompt_tokens"},
		{"body too large", api.PathRequests, `{"request_id":"` + strings.Repeat("x", 1<<20) + `"}`, 413, api.CodeTooLarge, ""},
		{"missing ticket", api.PathRequests, `{"request_id":"r","model":"m","max_tokens":1}`, 400, api.CodeTicketRequired, ""},
		{"malformed ticket", api.PathRequests, `{"request_id":"r","model":"m","max_tokens":1,"ticket":"x"}`, 400, api.CodeTicketInvalid, ""},
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
				t.Fatalf("response %q: %v", body, err)
			}
			if wrapped.Error == nil {
				wrapped.Error = &api.Error{}
			}
			if response.StatusCode != test.status || wrapped.Error.Code != test.code || wrapped.Error.Field != test.field {
				t.Fatalf("unexpected response: status %d, %+v", response.StatusCode, wrapped.Error)
			}
		})
	}
}

// TestUnreadResendHasUnknownOutcome resends a request that has run, while the memory
// budget for request bodies is exhausted. The error must have the outcome unknown: the
// body was not read, so the gateway can't know that it is a resend.
func TestUnreadResendHasUnknownOutcome(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.awaitReady(g)
	request, _ := g.where(t, newRequest("ran"))
	if got := g.send(t, request); got.outcome() != "success" {
		t.Fatal(got.outcome())
	}
	if !g.bodyBudget.Acquire(maxBodyBytesInFlight) {
		t.Fatal("part of the budget is already in use")
	}
	got := g.send(t, request)
	if got.outcome() != "overloaded/unknown" || !got.failure.Retry {
		t.Errorf("without budget: outcome %s, want overloaded/unknown with retry", got.outcome())
	}
	g.bodyBudget.Release(maxBodyBytesInFlight)
	if got := g.send(t, request); got.outcome() != "success" {
		t.Errorf("after the budget was released: outcome %s, want success", got.outcome())
	}
}

// TestConnectionEviction opens more connections than the limit: idle ones, ones with an
// incomplete header and ones with an incomplete body. A request on a new connection must
// still be served, and the oldest idle connection be closed.
func TestConnectionEviction(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", func(options *Options) { options.MaxConnections = 4 })
	f.awaitReady(g)
	var incomplete []net.Conn
	for i := range 30 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		beginnings := []string{"", "POST /v1/requests HTTP/1.1\r\nX-Slow: ", "POST /v1/requests HTTP/1.1\r\nHost: g\r\nContent-Length: 1000\r\n\r\n{"}
		fmt.Fprint(conn, beginnings[i%len(beginnings)])
		incomplete = append(incomplete, conn)
	}
	request := newRequest("served")
	request.Repeatable = true
	if got := g.send(t, request); got.outcome() != "success" {
		t.Fatalf("outcome %s, want success", got.outcome())
	}
	incomplete[0].SetReadDeadline(time.Now().Add(testTimeout))
	if n, err := incomplete[0].Read(make([]byte, 1)); err == nil || n != 0 {
		t.Fatalf("the oldest idle connection is still open: %d %v", n, err)
	}
}
