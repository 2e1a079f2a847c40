package httpgateway

import (
	"errors"
	"net/http"
	"testing"

	"github.com/deckpulley/deckpulley/dispatch"
)

// TestPromptChainExcludesLastPart checks that the part of the prompt that belongs to
// the request only is counted, but is not among the shared prefixes.
func TestPromptChainExcludesLastPart(t *testing.T) {
	headers := DefaultHeaders()
	header := http.Header{}
	header.Set(headers.PromptPrefix, "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	header.Set(headers.TokenUsage, "1460,80")
	chain, tokens := headers.prompt(header)
	if tokens != 1460 || len(chain) != 2 || chain[1].Tokens != 1210 {
		t.Errorf("got %v, %v", chain, tokens)
	}
	if chain, tokens := headers.prompt(http.Header{}); chain != nil || tokens != 0 {
		t.Errorf("without a prompt: %v, %v", chain, tokens)
	}
	header.Set(headers.PromptPrefix, "nonsense,:,a:-1,b:x")
	if chain, _ := headers.prompt(header); len(chain) != 0 {
		t.Errorf("from nonsense: %v", chain)
	}
}

// TestHopByHopHeadersAreNotForwarded checks the listed headers and one that the
// Connection header names.
func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	header := http.Header{}
	for _, name := range append([]string{"X-Hop", "X-Kept"}, hopByHopHeaders...) {
		header.Set(name, "v")
	}
	header.Set("Connection", "close, x-hop")
	forwarded := endToEndHeaders(header)
	if len(forwarded) != 1 || forwarded.Get("X-Kept") != "v" {
		t.Errorf("forwarded: %v", forwarded)
	}
	if header.Get("X-Hop") != "v" {
		t.Error("the client's own headers were changed")
	}
}

// TestCheckResponse checks which responses count as rejections or as belonging to
// another request.
func TestCheckResponse(t *testing.T) {
	headers := DefaultHeaders()
	tests := map[string]struct {
		status   int
		echo     string
		rejected bool
		want     dispatch.FailureReason
	}{
		"success":                      {200, "id", false, ""},
		"server error":                 {500, "id", false, ""},
		"server error without an id":   {500, "", false, ""},
		"response of another request":  {200, "other", false, dispatch.FailureIndeterminate},
		"rejection of another request": {503, "other", true, dispatch.FailureIndeterminate},
		"success without an id":        {200, "", false, dispatch.FailureIndeterminate},
		"rejected":                     {503, "id", true, dispatch.FailureRejected},
		"503 that was executed":        {503, "id", false, ""},
		"replaced replica":             {421, "id", false, dispatch.FailureReplaced},
		"replaced replica, response of another request": {421, "other", false, dispatch.FailureIndeterminate},
		"bad request, not executed":                     {400, "", true, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			response := &http.Response{StatusCode: test.status, Header: http.Header{}}
			if test.echo != "" {
				response.Header.Set(headers.RequestID, test.echo)
			}
			if test.rejected {
				response.Header.Set(headers.NotExecuted, "1")
			}
			err := newBackend(headers, nil).checkResponse(response, "id")
			var failure *dispatch.AttemptError
			got := dispatch.FailureReason("")
			if errors.As(err, &failure) {
				got = failure.Reason
			}
			if got != test.want {
				t.Errorf("got %q (%v), want %q", got, err, test.want)
			}
		})
	}
}

// TestStatusOf checks that 503 is reserved for requests that have not run.
func TestStatusOf(t *testing.T) {
	want := map[dispatch.Code]int{
		dispatch.CodeNotReady: 503, dispatch.CodeNoReplica: 503, dispatch.CodeOverloaded: 503, dispatch.CodeExpiredUnsent: 503,
		dispatch.CodeNoRoute: 404, dispatch.CodeOutcomeUnknown: 502, dispatch.CodeTimedOut: 504,
	}
	for code, status := range want {
		if got := statusOf(code); got != status {
			t.Errorf("%s: %d, want %d", code, got, status)
		}
	}
}
