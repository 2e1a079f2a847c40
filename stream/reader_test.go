package stream

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// chunkFrame returns a chunk event in its wire form.
func chunkFrame(request, run string, sequence, tokens int, text string) string {
	data, _ := json.Marshal(&api.StreamChunk{RequestID: request, RunID: run, Sequence: sequence, Text: text, Tokens: tokens})
	return string(AppendFrame(nil, api.EventChunk, data))
}

// endFrame returns an end marker in its wire form.
func endFrame(request, run string, sequence, tokens int) string {
	data, _ := json.Marshal(&api.StreamEnd{RequestID: request, RunID: run, Sequence: sequence, Tokens: tokens})
	return string(AppendFrame(nil, api.EventEnd, data))
}

// TestReaderChecksStreams checks that the Reader accepts complete streams and returns the
// right code for each kind of invalid or incomplete stream.
func TestReaderChecksStreams(t *testing.T) {
	good := chunkFrame("r", "run", 1, 2, "a") + chunkFrame("r", "run", 2, 1, "b\n\"é")
	tests := []struct {
		name   string
		source string
		chunks int      // number of chunks before the end or the error
		code   api.Code // empty if the stream is complete
	}{
		{"complete", good + endFrame("r", "run", 3, 3), 2, ""},
		{"carriage returns and comments", ": hello\r\n\r\n" + strings.ReplaceAll(good, "\n", "\r\n") + endFrame("r", "run", 3, 3), 2, ""},
		{"truncated between events", good, 2, api.CodeReplicaIncomplete},
		{"truncated inside an event", good + endFrame("r", "run", 3, 3)[:40], 2, api.CodeReplicaIncomplete},
		{"truncated before the blank line", good + strings.TrimSuffix(endFrame("r", "run", 3, 3), "\n"), 2, api.CodeReplicaIncomplete},
		{"empty", "", 0, api.CodeReplicaIncomplete},
		{"gap in the sequence", chunkFrame("r", "run", 1, 1, "a") + chunkFrame("r", "run", 3, 1, "b"), 1, api.CodeReplicaMismatch},
		{"repeated sequence number", chunkFrame("r", "run", 1, 1, "a") + chunkFrame("r", "run", 1, 1, "a"), 1, api.CodeReplicaMismatch},
		{"sequence does not start at one", chunkFrame("r", "run", 2, 1, "a"), 0, api.CodeReplicaMismatch},
		{"two runs", good + chunkFrame("r", "other", 3, 1, "c"), 2, api.CodeReplicaMismatch},
		{"empty run", chunkFrame("r", "", 1, 1, "a"), 0, api.CodeReplicaMismatch},
		{"chunk of another request", chunkFrame("s", "run", 1, 1, "a"), 0, api.CodeReplicaMismatch},
		{"end of another request", good + endFrame("s", "run", 3, 3), 2, api.CodeReplicaMismatch},
		{"end of another run", good + endFrame("r", "other", 3, 3), 2, api.CodeReplicaMismatch},
		{"end repeats a sequence number", good + endFrame("r", "run", 2, 3), 2, api.CodeReplicaMismatch},
		{"end with fewer tokens", good + endFrame("r", "run", 3, 2), 2, api.CodeReplicaIncomplete},
		{"end without chunks", endFrame("r", "run", 1, 0), 0, api.CodeReplicaIncomplete},
		{"error of another request", "event: error\ndata: {\"code\":\"internal\",\"request_id\":\"s\"}\n\n", 0, api.CodeReplicaMismatch},
		{"error without code", "event: error\ndata: {}\n\n", 0, api.CodeReplicaBroken},
		{"unknown kind", "event: other\ndata: {}\n\n", 0, api.CodeReplicaBroken},
		{"unknown field", "id: 1\nevent: piece\n", 0, api.CodeReplicaBroken},
		{"two data lines", "event: piece\ndata: {}\ndata: {}\n\n", 0, api.CodeReplicaBroken},
		{"no data", "event: piece\n\n", 0, api.CodeReplicaBroken},
		{"not JSON", "event: piece\ndata: {\"sequence\":1\n\n", 0, api.CodeReplicaBroken},
		{"invalid UTF-8", strings.Replace(chunkFrame("r", "run", 1, 1, "a"), `"a"`, "\"\xff\"", 1), 0, api.CodeReplicaBroken},
		{"line too long", "event: piece\ndata: " + strings.Repeat("x", api.MaxStreamLine), 0, api.CodeReplicaBroken},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reader := NewReader(strings.NewReader(test.source), Options{RequestID: "r"})
			defer reader.Close()
			var err error
			complete := false
			for err == nil && !complete {
				var event Event
				event, err = reader.Next()
				complete = err == nil && event.End != nil
			}
			var failure *ReadError
			if test.code == "" && err != nil {
				t.Fatalf("a complete stream was rejected: %v", err)
			}
			if test.code != "" && (!errors.As(err, &failure) || failure.Code != test.code) {
				t.Fatalf("got error %v, want code %s", err, test.code)
			}
			if reader.Chunks() != test.chunks {
				t.Fatalf("read %d chunks, want %d", reader.Chunks(), test.chunks)
			}
		})
	}
}

// TestReaderIdleTimeoutExcludesTheConsumer checks that the idle timeout does not include
// the time that the consumer takes between two events. The source has three events ready,
// and the consumer waits longer than the timeout after each of them. Next may time out
// only when the source has no further event.
func TestReaderIdleTimeoutExcludesTheConsumer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const idleTimeout = time.Second
		source, events := io.Pipe()
		interrupted := false
		reader := NewReader(source, Options{RequestID: "r", IdleTimeout: idleTimeout, Interrupt: func() {
			interrupted = true
			events.CloseWithError(errors.New("canceled"))
		}})
		defer reader.Close()
		go func() {
			for sequence := 1; sequence <= 3; sequence++ {
				_, _ = io.WriteString(events, chunkFrame("r", "run", sequence, 1, "a"))
			}
		}()
		for range 3 {
			if _, err := reader.Next(); err != nil || interrupted {
				t.Fatalf("the source was not idle, but interrupted is %t and the error is %v", interrupted, err)
			}
			time.Sleep(5 * idleTimeout)
		}
		start := time.Now()
		_, err := reader.Next()
		var failure *ReadError
		if !errors.As(err, &failure) || failure.Code != api.CodeReplicaStalled || time.Since(start) != idleTimeout {
			t.Fatalf("idle source: got error %v after %v, want replica_stalled after the idle timeout", err, time.Since(start))
		}
	})
}

// TestReaderIdleTimeout checks that a source without events is interrupted, with the code
// for a stalled replica.
func TestReaderIdleTimeout(t *testing.T) {
	source, sink := io.Pipe()
	defer sink.Close()
	reader := NewReader(source, Options{RequestID: "r", IdleTimeout: 10 * time.Millisecond, Interrupt: func() {
		source.CloseWithError(errors.New("interrupted"))
	}})
	defer reader.Close()
	_, err := reader.Next()
	var failure *ReadError
	if !errors.As(err, &failure) || failure.Code != api.CodeReplicaStalled {
		t.Fatalf("got error %v, want replica_stalled", err)
	}
}

// BenchmarkReader measures reading a stream of 1000 chunks.
func BenchmarkReader(b *testing.B) {
	const chunks = 1000
	var source bytes.Buffer
	for i := range chunks {
		source.WriteString(chunkFrame("request-1", "run-1", i+1, 1, fmt.Sprintf("word%d ", i)))
	}
	source.WriteString(endFrame("request-1", "run-1", chunks+1, chunks))
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
	b.ReportMetric(float64(b.N)*chunks/b.Elapsed().Seconds(), "events/s")
}
