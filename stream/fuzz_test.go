package stream

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"github.com/deckpulley/deckpulley/api"
)

// FuzzReader feeds bytes to a Reader. Pieces come in sequence from one run, the
// end comes once and last, and everything else is a *Fault with a code.
func FuzzReader(f *testing.F) {
	whole := "event: piece\ndata: {\"request_id\":\"r\",\"run_id\":\"a\",\"sequence\":1,\"text\":\"x\",\"tokens\":1}\n\n" +
		"event: end\ndata: {\"request_id\":\"r\",\"run_id\":\"a\",\"sequence\":2,\"tokens\":1,\"cached_tokens\":0}\n\n"
	f.Add([]byte(whole))
	f.Add([]byte(whole[:40]))
	f.Add([]byte(whole + whole))
	f.Add([]byte("event: error\ndata: {\"code\":\"internal\"}\n\n"))
	f.Add([]byte("data: {}\r\n\r\n: comment\nevent:end\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := NewReader(bytes.NewReader(data), Options{RequestID: "r"})
		defer reader.Close()
		run := ""
		tokens := 0
		ended := false
		for pieces := 1; ; pieces++ {
			event, err := reader.Next()
			if err != nil {
				var known *ReadError
				if !errors.As(err, &known) || known.Code == "" {
					t.Fatalf("not a fault: %v", err)
				}
				return
			}
			if ended {
				t.Fatal("an event after the last one")
			}
			ended = event.Piece == nil
			if end := event.End; end != nil && (end.Sequence != pieces || end.RunID != run || end.Tokens != tokens || tokens <= 0) {
				t.Fatalf("ended with %+v after %d pieces of run %q with %d tokens", end, pieces-1, run, tokens)
			}
			if ended {
				continue
			}
			var piece api.StreamPiece
			if err := json.Unmarshal(event.Piece, &piece); err != nil {
				t.Fatalf("passed on a piece that is not JSON: %v", err)
			}
			tokens += piece.Tokens
			if run == "" {
				run = piece.RunID
			}
			if piece.Sequence != pieces || piece.RequestID != "r" || piece.RunID != run {
				t.Fatalf("piece %d passed on as %+v of run %q", pieces, piece, run)
			}
		}
	})
}
