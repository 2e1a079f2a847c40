package stream

import (
	"bytes"
	"testing"
)

// FuzzReader gives the reader arbitrary bytes. Whatever they are, a stream that
// ends well has numbered pieces of one run whose tokens add up.
func FuzzReader(f *testing.F) {
	f.Add([]byte(pieceFrame("r", "run", 1, 2, "a") + endFrame("r", "run", 2, 2)))
	f.Add([]byte("event: error\ndata: {\"code\":\"internal\"}\n\n"))
	f.Add([]byte(": comment\r\n\r\nevent:piece\r\ndata:{}\r\n\r\n"))
	f.Fuzz(func(t *testing.T, source []byte) {
		reader := NewReader(bytes.NewReader(source), Options{RequestID: "r"})
		defer reader.Close()
		tokens := 0
		for {
			event, err := reader.Next()
			if err != nil || event.Error != nil {
				return
			}
			if event.End != nil {
				if event.End.Sequence != reader.Pieces()+1 || event.End.RunID != reader.RunID() || event.End.Tokens != tokens || tokens <= 0 {
					t.Fatalf("%q ended with %+v after %d pieces", source, event.End, reader.Pieces())
				}
				return
			}
			piece, _, ok := parsePiece(event.Piece)
			if !ok || piece.RequestID != "r" || piece.RunID != reader.RunID() || piece.Sequence != reader.Pieces() {
				t.Fatalf("%q gave the piece %q", source, event.Piece)
			}
			tokens += piece.Tokens
		}
	})
}
