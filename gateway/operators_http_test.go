package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/deckpulley/deckpulley/api"
)

// authorizationHeader is an Authenticator that accepts exactly this header.
type authorizationHeader string

func (h authorizationHeader) Authenticate(header string) (string, bool) {
	return "platform", header == string(h)
}

// TestOperatorsPort checks the responses of the operators' port, and that only a list of
// replicas with the right token is submitted to the primary.
func TestOperatorsPort(t *testing.T) {
	f := newFleet(t)
	f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", func(options *Options) {
		options.Tokens = func() Authenticator { return authorizationHeader("Bearer secret") }
	})
	f.awaitReady(g)
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
			t.Errorf("%s %s: unexpected response: status %d: %.300s", test.method, test.path, status, body)
		}
	}
	f.primary.mutex.Lock()
	defer f.primary.mutex.Unlock()
	if len(f.primary.operations) != 1 || f.primary.operations[0].Replicas.Replicas[0].ID != "r9" {
		t.Errorf("the primary got other operations than the list of replicas: %+v", f.primary.operations)
	}
}
