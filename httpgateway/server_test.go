package httpgateway

import (
	"errors"
	"net/http"
	"testing"

	"github.com/deckpulley/deckpulley/dispatch"
)

// TestPromptChainExcludesLastPart checks that the last part of a prompt, which is unique
// to the request, counts towards the prompt's size but is not in the chain of prefixes.
func TestPromptChainExcludesLastPart(t *testing.T) {
	headers := DefaultHeaders()
	header := http.Header{}
	header.Set(headers.PromptPrefix, "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	header.Set(headers.TokenUsage, "1460,80")
	chain, tokens := headers.parsePrompt(header)
	if tokens != 1460 || len(chain) != 2 || chain[1].Tokens != 1210 {
		t.Errorf("got chain %v and %v tokens, want 2 links of which the last ends at 1210, and 1460 tokens", chain, tokens)
	}
	if chain, tokens := headers.parsePrompt(http.Header{}); chain != nil || tokens != 0 {
		t.Errorf("without prompt headers: got chain %v and %v tokens, want none", chain, tokens)
	}
	header.Set(headers.PromptPrefix, "nonsense,:,a:-1,b:x")
	if chain, _ := headers.parsePrompt(header); len(chain) != 0 {
		t.Errorf("malformed header: got chain %v, want none", chain)
	}
}

// TestHopByHopHeadersAreNotForwarded checks that the headers in hopByHopHeaders and one
// that the Connection header lists are removed.
func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	header := http.Header{}
	for _, name := range append([]string{"X-Hop", "X-Kept"}, hopByHopHeaders...) {
		header.Set(name, "v")
	}
	header.Set("Connection", "close, x-hop")
	forwarded := endToEndHeaders(header)
	if len(forwarded) != 1 || forwarded.Get("X-Kept") != "v" {
		t.Errorf("forwarded headers %v, want only X-Kept", forwarded)
	}
	if header.Get("X-Hop") != "v" {
		t.Error("endToEndHeaders modified its argument")
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
		"503 after execution":          {503, "id", false, ""},
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
				t.Errorf("got reason %q (error %v), want %q", got, err, test.want)
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
			t.Errorf("status of code %s: got %d, want %d", code, got, status)
		}
	}
}
