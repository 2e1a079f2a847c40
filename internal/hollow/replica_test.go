package hollow

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/stream"
)

// TestReplicaReportsAndStreams checks the report of a hollow replica and that a stream
// has as many chunks as tokens were requested.
func TestReplicaReportsAndStreams(t *testing.T) {
	replica := &Replica{ID: "r", Service: "s", Slots: 4, TokenInterval: time.Millisecond}
	server := httptest.NewServer(replica.Handler())
	defer server.Close()
	response, err := http.Get(server.URL + api.PathReplicaReport)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var report api.ReplicaReport
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil || report.Replica != "r" || report.Slots != 4 || report.Sequence != 1 {
		t.Errorf("report %+v, error %v; want replica r with 4 slots and sequence 1", report, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	body := strings.NewReader(`{"request_id":"q","max_tokens":3,"stream":true}`)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+api.PathReplicaGenerate, body)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	streamed, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer streamed.Body.Close()
	events := stream.NewReader(streamed.Body, stream.Options{RequestID: "q", IdleTimeout: 10 * time.Second, Interrupt: cancel})
	defer events.Close()
	for {
		event, err := events.Next()
		if err != nil {
			t.Fatal(err)
		}
		if event.End != nil {
			break
		}
	}
	if events.Chunks() != 3 {
		t.Errorf("stream has %d chunks, want 3", events.Chunks())
	}
	if _, err := io.Copy(io.Discard, streamed.Body); err != nil {
		t.Error(err)
	}
}
