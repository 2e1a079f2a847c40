package httpgateway

import (
	"errors"
	"net/http"
	"testing"

	"github.com/deckpulley/deckpulley/dispatch"
)

func TestPromptLeavesOutItsOwnPart(t *testing.T) {
	headers := DefaultHeaders()
	header := http.Header{}
	header.Set(headers.PromptPrefix, "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	header.Set(headers.TokenUsage, "1460,80")
	chain, tokens := headers.promptOf(header)
	if tokens != 1460 || len(chain) != 2 || chain[1].Tokens != 1210 {
		t.Errorf("got %v, %v", chain, tokens)
	}
	if chain, tokens := headers.promptOf(http.Header{}); chain != nil || tokens != 0 {
		t.Errorf("without a prompt: %v, %v", chain, tokens)
	}
	header.Set(headers.PromptPrefix, "nonsense,:,a:-1,b:x")
	if chain, _ := headers.promptOf(header); len(chain) != 0 {
		t.Errorf("from nonsense: %v", chain)
	}
}

func TestHeadersOfOneConnectionStay(t *testing.T) {
	header := http.Header{}
	for _, name := range append([]string{"X-Hop", "X-Kept"}, connectionHeaders...) {
		header.Set(name, "v")
	}
	header.Set("Connection", "close, x-hop")
	passed := passedOn(header)
	if len(passed) != 1 || passed.Get("X-Kept") != "v" {
		t.Errorf("passed on: %v", passed)
	}
	if header.Get("X-Hop") != "v" {
		t.Error("the client's own headers were changed")
	}
}

func TestJudge(t *testing.T) {
	headers := DefaultHeaders()
	tests := map[string]struct {
		status  int
		echo    string
		refused bool
		want    dispatch.FailureReason
	}{
		"answer":                    {200, "id", false, ""},
		"own error":                 {500, "id", false, ""},
		"error without an id":       {500, "", false, ""},
		"another request's":         {200, "other", false, dispatch.FailureIndeterminate},
		"another request's refusal": {503, "other", true, dispatch.FailureIndeterminate},
		"a success without an id":   {200, "", false, dispatch.FailureIndeterminate},
		"full":                      {503, "id", true, dispatch.FailureRejected},
		"503 that ran":              {503, "id", false, ""},
		"another replica":           {421, "id", false, dispatch.FailureReplaced},
		"another replica, not ours": {421, "other", false, dispatch.FailureIndeterminate},
		"bad request, not executed": {400, "", true, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			response := &http.Response{StatusCode: test.status, Header: http.Header{}}
			if test.echo != "" {
				response.Header.Set(headers.RequestID, test.echo)
			}
			if test.refused {
				response.Header.Set(headers.NotExecuted, "1")
			}
			err := newBackend(headers, nil).judge(response, "id")
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

func TestRefusalsThatPromiseNotRunHaveTheirStatus(t *testing.T) {
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
