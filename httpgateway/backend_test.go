package httpgateway

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/dispatch"
)

// TestClientHeadersAreForwardedUnchanged checks that the client's headers reach the
// replica unchanged, and that the gateway adds only the headers of the attempt.
func TestClientHeadersAreForwardedUnchanged(t *testing.T) {
	headers := DefaultHeaders()
	const model = "Deckpulley-Model" // a header that the gateway does not interpret
	added := []string{headers.Deadline, headers.Replica, headers.Priority, "User-Agent"}
	tests := map[string]http.Header{
		"set":               {model: {"m"}, headers.TokenUsage: {"1460,80"}, headers.PromptPrefix: {"5c1e07a2:800,91bd3f06:410"}, headers.RequestID: {"q"}},
		"in several fields": {headers.PromptPrefix: {"5c1e07a2:800", "91bd3f06:410"}, headers.RequestID: {"q"}},
		"not set":           {headers.RequestID: {"q"}},
	}
	for name, sent := range tests {
		t.Run(name, func(t *testing.T) {
			attempt := &dispatch.Attempt{
				Request:  &dispatch.Request{ID: "q", Method: http.MethodPost, Host: "h", Target: "/x", Header: sent.Clone()},
				Replica:  dispatch.Endpoint{ID: "r1"},
				Deadline: time.Now().Add(time.Second),
			}
			got := newBackend(headers, nil).newRequest(attempt).Header
			for field, values := range sent {
				if !slices.Equal(got[field], values) {
					t.Errorf("forwarded header %s: got %q, want %q", field, got[field], values)
				}
			}
			for field := range got {
				if _, known := sent[field]; !known && !slices.Contains(added, field) {
					t.Errorf("unexpected header %s was added", field)
				}
			}
		})
	}
}
