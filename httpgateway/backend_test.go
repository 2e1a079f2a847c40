package httpgateway

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/dispatch"
)

// TestPromptHeadersStayTheClients: what a client says of model, usage and prompt
// reaches the replica as it was sent, and is not added where the client said nothing.
func TestPromptHeadersStayTheClients(t *testing.T) {
	headers := DefaultHeaders()
	const model = "Deckpulley-Model" // of which the gateway knows nothing
	own := []string{headers.Deadline, headers.Replica, headers.Priority, "User-Agent"}
	tests := map[string]http.Header{
		"said":     {model: {"m"}, headers.TokenUsage: {"1460,80"}, headers.PromptPrefix: {"5c1e07a2:800,91bd3f06:410"}, headers.RequestID: {"q"}},
		"in parts": {headers.PromptPrefix: {"5c1e07a2:800", "91bd3f06:410"}, headers.RequestID: {"q"}},
		"not said": {headers.RequestID: {"q"}},
	}
	for name, sent := range tests {
		t.Run(name, func(t *testing.T) {
			attempt := &dispatch.Attempt{
				Request:  &dispatch.Request{ID: "q", Method: http.MethodPost, Host: "h", Target: "/x", Header: sent.Clone()},
				Replica:  dispatch.Endpoint{ID: "r1"},
				Deadline: time.Now().Add(time.Second),
			}
			got := newBackend(headers, nil).outgoing(attempt).Header
			for field, values := range sent {
				if !slices.Equal(got[field], values) {
					t.Errorf("%s: got %q, want %q", field, got[field], values)
				}
			}
			for field := range got {
				if _, known := sent[field]; !known && !slices.Contains(own, field) {
					t.Errorf("%s was added", field)
				}
			}
		})
	}
}
