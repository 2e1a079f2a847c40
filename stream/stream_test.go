package stream

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/deckpulley/deckpulley/api"
)

func pieceFrame(request, run string, sequence, tokens int, text string) string {
	data, _ := json.Marshal(&api.StreamPiece{RequestID: request, RunID: run, Sequence: sequence, Text: text, Tokens: tokens})
	return string(AppendFrame(nil, api.EventPiece, data))
}

func endFrame(request, run string, sequence, tokens int) string {
	data, _ := json.Marshal(&api.StreamEnd{RequestID: request, RunID: run, Sequence: sequence, Tokens: tokens})
	return string(AppendFrame(nil, api.EventEnd, data))
}

func TestReaderFaults(t *testing.T) {
	good := pieceFrame("r", "run", 1, 2, "a") + pieceFrame("r", "run", 2, 1, "b\n\"é")
	tests := []struct {
		name   string
		source string
		pieces int
		code   api.Code // empty: whole
	}{
		{"whole", good + endFrame("r", "run", 3, 3), 2, ""},
		{"carriage returns and comments", ": hello\r\n\r\n" + strings.ReplaceAll(good, "\n", "\r\n") + endFrame("r", "run", 3, 3), 2, ""},
		{"cut between events", good, 2, api.CodeReplicaIncomplete},
		{"cut inside an event", good + endFrame("r", "run", 3, 3)[:40], 2, api.CodeReplicaIncomplete},
		{"cut before the blank line", good + strings.TrimSuffix(endFrame("r", "run", 3, 3), "\n"), 2, api.CodeReplicaIncomplete},
		{"empty", "", 0, api.CodeReplicaIncomplete},
		{"skip", pieceFrame("r", "run", 1, 1, "a") + pieceFrame("r", "run", 3, 1, "b"), 1, api.CodeReplicaMismatch},
		{"repeat", pieceFrame("r", "run", 1, 1, "a") + pieceFrame("r", "run", 1, 1, "a"), 1, api.CodeReplicaMismatch},
		{"does not start at one", pieceFrame("r", "run", 2, 1, "a"), 0, api.CodeReplicaMismatch},
		{"two runs", good + pieceFrame("r", "other", 3, 1, "c"), 2, api.CodeReplicaMismatch},
		{"no run", pieceFrame("r", "", 1, 1, "a"), 0, api.CodeReplicaMismatch},
		{"piece of another request", pieceFrame("s", "run", 1, 1, "a"), 0, api.CodeReplicaMismatch},
		{"end of another request", good + endFrame("s", "run", 3, 3), 2, api.CodeReplicaMismatch},
		{"end of another run", good + endFrame("r", "other", 3, 3), 2, api.CodeReplicaMismatch},
		{"early end", good + endFrame("r", "run", 2, 3), 2, api.CodeReplicaMismatch},
		{"end with fewer tokens", good + endFrame("r", "run", 3, 2), 2, api.CodeReplicaIncomplete},
		{"end without pieces", endFrame("r", "run", 1, 0), 0, api.CodeReplicaIncomplete},
		{"error of another request", "event: error\ndata: {\"code\":\"internal\",\"request_id\":\"s\"}\n\n", 0, api.CodeReplicaMismatch},
		{"error without code", "event: error\ndata: {}\n\n", 0, api.CodeReplicaBroken},
		{"unknown kind", "event: other\ndata: {}\n\n", 0, api.CodeReplicaBroken},
		{"unknown field", "id: 1\nevent: piece\n", 0, api.CodeReplicaBroken},
		{"two data lines", "event: piece\ndata: {}\ndata: {}\n\n", 0, api.CodeReplicaBroken},
		{"no data", "event: piece\n\n", 0, api.CodeReplicaBroken},
		{"not JSON", "event: piece\ndata: {\"sequence\":1\n\n", 0, api.CodeReplicaBroken},
		{"invalid UTF-8", strings.Replace(pieceFrame("r", "run", 1, 1, "a"), `"a"`, "\"\xff\"", 1), 0, api.CodeReplicaBroken},
		{"endless line", "event: piece\ndata: " + strings.Repeat("x", api.MaxStreamLine), 0, api.CodeReplicaBroken},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reader := NewReader(strings.NewReader(test.source), Options{RequestID: "r"})
			defer reader.Close()
			var err error
			ended := false
			for err == nil && !ended {
				var event Event
				event, err = reader.Next()
				ended = err == nil && event.End != nil
			}
			var found *ReadError
			if test.code == "" && err != nil {
				t.Fatalf("got %v", err)
			}
			if test.code != "" && (!errors.As(err, &found) || found.Code != test.code) {
				t.Fatalf("got %v, want %s", err, test.code)
			}
			if reader.Pieces() != test.pieces {
				t.Fatalf("%d pieces, want %d", reader.Pieces(), test.pieces)
			}
		})
	}
}

// TestReaderGapIsTheSourcesAlone takes far longer than the gap over each event
// of a source that has them all ready, and then waits for one that has none.
func TestReaderGapIsTheSourcesAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gap = time.Second
		source, events := io.Pipe()
		interrupted := false
		reader := NewReader(source, Options{RequestID: "r", Gap: gap, Interrupt: func() {
			interrupted = true
			events.CloseWithError(errors.New("canceled"))
		}})
		defer reader.Close()
		go func() {
			for sequence := 1; sequence <= 3; sequence++ {
				_, _ = io.WriteString(events, pieceFrame("r", "run", sequence, 1, "a"))
			}
		}()
		for range 3 {
			if _, err := reader.Next(); err != nil || interrupted {
				t.Fatalf("interrupted %t, %v", interrupted, err)
			}
			time.Sleep(5 * gap)
		}
		start := time.Now()
		_, err := reader.Next()
		var broken *ReadError
		if !errors.As(err, &broken) || broken.Code != api.CodeReplicaStalled || time.Since(start) != gap {
			t.Fatalf("a silent source: %v after %v", err, time.Since(start))
		}
	})
}

func TestReaderGap(t *testing.T) {
	source, sink := io.Pipe()
	defer sink.Close()
	reader := NewReader(source, Options{RequestID: "r", Gap: 10 * time.Millisecond, Interrupt: func() {
		source.CloseWithError(errors.New("interrupted"))
	}})
	defer reader.Close()
	_, err := reader.Next()
	var found *ReadError
	if !errors.As(err, &found) || found.Code != api.CodeReplicaStalled {
		t.Fatalf("got %v", err)
	}
}

// TestScanPieceAgrees checks the fast scanner against encoding/json on valid
// pieces and on damaged ones: what it accepts means the same to both.
func TestScanPieceAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := api.StreamPiece{
			RequestID: rapid.String().Draw(t, "request"), RunID: rapid.String().Draw(t, "run"),
			Sequence: rapid.IntRange(0, 1000).Draw(t, "sequence"), Tokens: rapid.IntRange(-3, 5).Draw(t, "tokens"),
			Text: rapid.String().Draw(t, "text"),
		}
		data, _ := json.Marshal(&piece)
		if rapid.Bool().Draw(t, "damage") {
			data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		fields, ok := scanPiece(data)
		if !ok {
			return
		}
		var slow api.StreamPiece
		if err := json.Unmarshal(data, &slow); err != nil {
			t.Fatalf("scanned invalid JSON %q: %v", data, err)
		}
		same := string(fields.requestID) == slow.RequestID && string(fields.runID) == slow.RunID &&
			fields.sequence == slow.Sequence && fields.tokens == slow.Tokens
		if !same {
			t.Fatalf("scanned %q as %+v", data, fields)
		}
	})
}

func TestWriterAbort(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writer := NewWriter(w, time.Second)
		if err := writer.Frames([]byte(pieceFrame("r", "run", 1, 1, "a"))); err != nil {
			t.Error(err)
		}
		writer.Abort(&api.Error{Code: api.CodeReplicaBroken, Outcome: api.OutcomeFailed})
	}))
	server.Config.ErrorLog = nil
	defer server.Close()
	response, err := http.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("the connection ended with %v", err)
	}
	if !bytes.Contains(body, []byte("event: error\ndata: {\"code\":\"replica_broken\"")) {
		t.Fatalf("body %q", body)
	}
}

func BenchmarkReader(b *testing.B) {
	const pieces = 1000
	var source bytes.Buffer
	for i := range pieces {
		source.WriteString(pieceFrame("request-1", "run-1", i+1, 1, fmt.Sprintf("word%d ", i)))
	}
	source.WriteString(endFrame("request-1", "run-1", pieces+1, pieces))
	b.ReportAllocs()
	b.SetBytes(int64(source.Len()))
	for b.Loop() {
		reader := NewReader(bytes.NewReader(source.Bytes()), Options{RequestID: "request-1"})
		for {
			event, err := reader.Next()
			if err != nil {
				b.Fatal(err)
			}
			if event.End != nil {
				break
			}
		}
		reader.Close()
	}
	b.ReportMetric(float64(b.N)*pieces/b.Elapsed().Seconds(), "events/s")
}
