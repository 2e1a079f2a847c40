package stream

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"github.com/deckpulley/deckpulley/api"
)

// TestScanChunkAgreesWithJSON compares the scanner with encoding/json on valid
// chunks and on damaged ones: what the scanner accepts means the same to both.
func TestScanChunkAgreesWithJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunk := api.StreamChunk{
			RequestID: rapid.String().Draw(t, "request"), RunID: rapid.String().Draw(t, "run"),
			Sequence: rapid.IntRange(0, 1000).Draw(t, "sequence"), Tokens: rapid.IntRange(-3, 5).Draw(t, "tokens"),
			Text: rapid.String().Draw(t, "text"),
		}
		data, _ := json.Marshal(&chunk)
		if rapid.Bool().Draw(t, "damage") {
			data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		fields, ok := scanChunk(data)
		if !ok {
			return
		}
		var want api.StreamChunk
		if err := json.Unmarshal(data, &want); err != nil {
			t.Fatalf("scanned invalid JSON %q: %v", data, err)
		}
		same := string(fields.requestID) == want.RequestID && string(fields.runID) == want.RunID &&
			fields.sequence == want.Sequence && fields.tokens == want.Tokens
		if !same {
			t.Fatalf("scanned %q as %+v", data, fields)
		}
	})
}
