package stream

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"github.com/deckpulley/deckpulley/api"
)

// FuzzReader reads arbitrary bytes with a Reader. It checks that the chunks returned are
// in sequence and belong to one run, that no event follows an end marker or an error
// event, and that any other result is a *ReadError with a code.
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
					t.Fatalf("got error %v, want a *ReadError with a code", err)
				}
				return
			}
			if ended {
				t.Fatal("an event was returned after the end of the stream")
			}
			ended = event.Chunk == nil
			if end := event.End; end != nil && (end.Sequence != sequence || end.RunID != runID || end.Tokens != tokens || tokens <= 0) {
				t.Fatalf("accepted the end marker %+v after %d chunks of run %q with %d tokens", end, sequence-1, runID, tokens)
			}
			if ended {
				continue
			}
			var chunk api.StreamChunk
			if err := json.Unmarshal(event.Chunk, &chunk); err != nil {
				t.Fatalf("returned a chunk that is not valid JSON: %v", err)
			}
			tokens += chunk.Tokens
			if runID == "" {
				runID = chunk.RunID
			}
			if chunk.Sequence != sequence || chunk.RequestID != "r" || chunk.RunID != runID {
				t.Fatalf("accepted %+v as chunk %d of run %q", chunk, sequence, runID)
			}
		}
	})
}
