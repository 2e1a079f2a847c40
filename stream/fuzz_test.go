package stream

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"github.com/deckpulley/deckpulley/api"
)

// FuzzReader passes bytes to a Reader. The chunks it returns are in sequence and of
// one run, the end marker comes once and last, and everything else is a *ReadError
// with a code.
func FuzzReader(f *testing.F) {
	complete := "event: piece\ndata: {\"request_id\":\"r\",\"run_id\":\"a\",\"sequence\":1,\"text\":\"x\",\"tokens\":1}\n\n" +
		"event: end\ndata: {\"request_id\":\"r\",\"run_id\":\"a\",\"sequence\":2,\"tokens\":1,\"cached_tokens\":0}\n\n"
	f.Add([]byte(complete))
	f.Add([]byte(complete[:40]))
	f.Add([]byte(complete + complete))
	f.Add([]byte("event: error\ndata: {\"code\":\"internal\"}\n\n"))
	f.Add([]byte("data: {}\r\n\r\n: comment\nevent:end\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := NewReader(bytes.NewReader(data), Options{RequestID: "r"})
		defer reader.Close()
		runID := ""
		tokens := 0
		ended := false
		for sequence := 1; ; sequence++ {
			event, err := reader.Next()
			if err != nil {
				var failure *ReadError
				if !errors.As(err, &failure) || failure.Code == "" {
					t.Fatalf("not a *ReadError with a code: %v", err)
				}
				return
			}
			if ended {
				t.Fatal("an event after the last one")
			}
			ended = event.Chunk == nil
			if end := event.End; end != nil && (end.Sequence != sequence || end.RunID != runID || end.Tokens != tokens || tokens <= 0) {
				t.Fatalf("ended with %+v after %d chunks of run %q with %d tokens", end, sequence-1, runID, tokens)
			}
			if ended {
				continue
			}
			var chunk api.StreamChunk
			if err := json.Unmarshal(event.Chunk, &chunk); err != nil {
				t.Fatalf("passed on a chunk that is not JSON: %v", err)
			}
			tokens += chunk.Tokens
			if runID == "" {
				runID = chunk.RunID
			}
			if chunk.Sequence != sequence || chunk.RequestID != "r" || chunk.RunID != runID {
				t.Fatalf("chunk %d passed on as %+v of run %q", sequence, chunk, runID)
			}
		}
	})
}
