package gateway

import (
	"bytes"
	"testing"

	"github.com/deckpulley/deckpulley/api"
)

// FuzzRequest gives the callers' door arbitrary bodies. What passes it is within
// every stated limit.
func FuzzRequest(f *testing.F) {
	f.Add([]byte(`{"request_id":"r","model":"m","prompt_tokens":1,"max_tokens":1,"repeatable":true}`))
	f.Add([]byte(`{"request_id":"r","model":"m","prefixes":[{"id":"p","tokens":1048576}],"max_tokens":65536,"wait_ms":600000}`))
	f.Add([]byte(`{"REQUEST_ID":"r","request_id":null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var request api.GenerateRequest
		if decodeStrict(bytes.NewReader(body), &request) != nil || checkGenerate(&request) != nil {
			return
		}
		prompt := request.PromptTokens
		for _, prefix := range request.Prefixes {
			prompt += prefix.Tokens
		}
		named := request.RequestID != "" && request.Model != "" && len(request.RequestID) <= api.MaxNameBytes
		bounded := prompt >= 0 && prompt <= api.MaxPromptTokens && request.MaxTokens > 0 && request.MaxTokens <= api.MaxOutputTokens
		waits := request.WaitMS >= 0 && request.WaitMS <= api.MaxWaitMS && len(request.Prefixes) <= api.MaxPrefixes
		if !named || !bounded || !waits {
			t.Fatalf("%q passed as %+v", body, request)
		}
	})
}
