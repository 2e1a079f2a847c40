package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/gateway/execution"
	"github.com/deckpulley/deckpulley/stream"
)

// nullWriter is a response writer that counts the bytes and discards them.
type nullWriter struct {
	header http.Header
	bytes  int
}

func (w *nullWriter) Header() http.Header              { return w.header }
func (w *nullWriter) WriteHeader(int)                  {}
func (w *nullWriter) Flush()                           {}
func (w *nullWriter) SetWriteDeadline(time.Time) error { return nil }
func (w *nullWriter) Write(data []byte) (int, error) {
	w.bytes += len(data)
	return len(data), nil
}

// BenchmarkRelay measures the copying of a stream of 1,000 chunks from the response of a
// replica through an execution to the response for a caller, without a network.
func BenchmarkRelay(b *testing.B) {
	const chunks = 1000
	request := &api.ReplicaRequest{RequestID: "request-1"}
	var source bytes.Buffer
	for i := range chunks {
		source.Write(chunkFrame(request, i+1))
	}
	data, _ := json.Marshal(api.StreamEnd{RequestID: "request-1", RunID: "run-1", Sequence: chunks + 1, Tokens: chunks})
	source.Write(stream.AppendFrame(nil, api.EventEnd, data))
	ctx := context.Background() //nolint:usetesting // a context that can end would add to the measured time
	b.ReportAllocs()
	b.SetBytes(int64(source.Len()))
	for b.Loop() {
		run := execution.New("request-1", true, chunks, func(error) {})
		reader, _ := run.Follow(true)
		go produce(ctx, run, source.Bytes())
		response := &nullWriter{header: http.Header{}}
		writer := stream.NewWriter(response, time.Second)
		for {
			frames, ended, err := reader.Next(ctx)
			if err != nil || (ended != nil && ended.End == nil) {
				b.Fatal(err, ended)
			}
			if ended != nil {
				break
			}
			if err := writer.Frames(frames); err != nil {
				b.Fatal(err)
			}
		}
		reader.Close()
	}
	b.ReportMetric(float64(b.N)*chunks/b.Elapsed().Seconds(), "events/s")
}

// produce copies the events of a replica's stream to an execution, like
// runner.receiveStream.
func produce(ctx context.Context, run *execution.Execution, source []byte) {
	events := stream.NewReader(bytes.NewReader(source), stream.Options{RequestID: "request-1", IdleTimeout: time.Minute, Interrupt: func() {}})
	defer events.Close()
	for {
		event, err := events.Next()
		if err != nil {
			run.Finish(&execution.Result{Failure: classifyStreamError(err, 0)})
			return
		}
		if event.End != nil {
			run.Finish(&execution.Result{End: event.End})
			return
		}
		if err := run.AppendChunk(ctx, event.Chunk); err != nil {
			return
		}
	}
}

// BenchmarkRequests measures short requests that are sent through a gateway and, for
// comparison, directly to the replica.
func BenchmarkRequests(b *testing.B) {
	f := newFleet(b)
	replica := f.replica("r1", "north")
	g := f.gateway("g1", "north", "a", nil)
	f.awaitReady(g)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	send := func(url string, body any) error {
		encoded, _ := json.Marshal(body)
		response, err := client.Post(url, "application/json", bytes.NewReader(encoded))
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if answer, _ := io.ReadAll(response.Body); response.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d: %s", response.StatusCode, answer)
		}
		return nil
	}
	request := newRequest("bench")
	request.Repeatable = true
	b.Run("direct", func(b *testing.B) {
		url := replica.server.URL + api.PathReplicaGenerate
		for b.Loop() {
			if err := send(url, api.ReplicaRequest{RequestID: "bench", Model: "m", MaxTokens: 1, TimeLeftMS: 1000}); err != nil {
				b.Error(err)
			}
		}
	})
	b.Run("gateway", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if err := send(g.url+api.PathRequests, request); err != nil {
				b.Error(err)
			}
		}
	})
	b.Run("gateway-parallel", func(b *testing.B) {
		b.SetParallelism(2)
		b.RunParallel(func(loop *testing.PB) {
			for loop.Next() {
				if err := send(g.url+api.PathRequests, request); err != nil {
					b.Error(err)
				}
			}
		})
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	})
	b.Run("ticketed", func(b *testing.B) {
		count := 0
		for b.Loop() {
			count++
			ticketed, _ := g.where(b, newRequest(fmt.Sprintf("bench-%d", count)))
			if err := send(g.url+api.PathRequests, ticketed); err != nil {
				b.Error(err)
			}
		}
	})
}
