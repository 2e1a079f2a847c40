package gateway

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/deckpulley/deckpulley/api"
)

// FuzzCallerRequest decodes and validates request bodies of callers. A refusal must be a
// complete API error. An accepted request must be within the limits, and must be accepted
// again after it is encoded and decoded.
func FuzzCallerRequest(f *testing.F) {
	f.Add(`{"request_id":"r-1","model":"m","prefixes":[{"id":"p","tokens":3}],"prompt_tokens":1,"max_tokens":2,"stream":true,"wait_ms":10,"repeatable":true}`)
	f.Add(`{"request_id":"r-1","model":"m","prompt_tokens":-1,"max_tokens":99999999999}`)
	f.Add(`{"request_id":"r-1"} {}`)
	f.Add(`[[[[[[[[[[`)
	f.Fuzz(func(t *testing.T, body string) {
		var request api.GenerateRequest
		failure := decodeStrict(strings.NewReader(body), &request)
		if failure == nil {
			failure = checkGenerate(&request)
		}
		if failure != nil {
			if failure.Outcome != api.OutcomeRefused || failure.Code == "" || failure.Message == "" {
				t.Fatalf("refused with an incomplete error: %+v", failure)
			}
			return
		}
		tokens := request.PromptTokens
		for _, prefix := range request.Prefixes {
			tokens += prefix.Tokens
		}
		if tokens > api.MaxPromptTokens || request.MaxTokens > api.MaxOutputTokens || len(request.RequestID) > api.MaxNameBytes {
			t.Fatalf("accepted beyond the limits: %+v", request)
		}
		encoded, err := json.Marshal(&request)
		if err != nil {
			t.Fatal(err)
		}
		var again api.GenerateRequest
		if failure := decodeStrict(strings.NewReader(string(encoded)), &again); failure != nil {
			t.Fatalf("decoding the encoded request: %v", failure)
		}
		if failure := checkGenerate(&again); failure != nil {
			t.Fatalf("validating the decoded request: %v", failure)
		}
	})
}
