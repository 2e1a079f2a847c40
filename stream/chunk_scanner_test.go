package stream

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"github.com/deckpulley/deckpulley/api"
)

// TestScanChunkAgreesWithJSON checks, with valid and with corrupted chunks, that
// encoding/json accepts each chunk that the scanner accepts and decodes the same values.
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
			t.Fatalf("the scanner accepted invalid JSON %q: %v", data, err)
		}
		same := string(fields.requestID) == want.RequestID && string(fields.runID) == want.RunID &&
			fields.sequence == want.Sequence && fields.tokens == want.Tokens
		if !same {
			t.Fatalf("the scanner decoded %q as %+v, unlike encoding/json", data, fields)
		}
	})
}
