package hollow

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/stream"
)

// Replica answers report requests and streams placeholder tokens at a fixed rate,
// without computing anything. It does not limit the number of concurrent requests.
type Replica struct {
	// ID and Service are the replica's id and service in the platform's replica list.
	ID      string
	Service string
	// Slots is the reported number of parallel requests; it is not enforced.
	Slots int
	// TokenInterval is the time between two consecutive tokens of a stream.
	TokenInterval time.Duration

	running  atomic.Int64  // streams in progress
	runs     atomic.Uint64 // streams started, for run ids
	sequence atomic.Uint64 // reports sent
}

// prefillRate is the prefill rate that a replica reports, in tokens per second.
const prefillRate = 1e6

// streamTimeout is the timeout of each write to a stream.
const streamTimeout = time.Minute

// Handler returns the HTTP handler of the replica.
func (r *Replica) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathReplicaReport, r.serveReport)
	mux.HandleFunc("POST "+api.PathReplicaGenerate, r.serveGenerate)
	return mux
}

func (r *Replica) report() api.ReplicaReport {
	return api.ReplicaReport{
		Replica:                r.ID,
		Incarnation:            "1",
		Service:                r.Service,
		Running:                int(r.running.Load()),
		Slots:                  r.Slots,
		PrefillTokensPerSecond: prefillRate,
		WeightVersion:          "w1",
		Sequence:               r.sequence.Add(1),
	}
}

func (r *Replica) serveReport(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.report()) // fails only if the poller has disconnected
}

func (r *Replica) serveGenerate(w http.ResponseWriter, request *http.Request) {
	var generation api.ReplicaRequest
	if err := json.NewDecoder(request.Body).Decode(&generation); err != nil || !generation.Stream {
		http.Error(w, "only streams are served", http.StatusBadRequest)
		return
	}
	r.running.Add(1)
	defer r.running.Add(-1)
	run := fmt.Sprintf("%s-%d", r.ID, r.runs.Add(1))
	w.Header().Set("Content-Type", "text/event-stream")
	writer := stream.NewWriter(w, streamTimeout)
	ticker := time.NewTicker(r.TokenInterval)
	defer ticker.Stop()
	for i := 1; i <= generation.MaxTokens; i++ {
		chunk := api.StreamChunk{RequestID: generation.RequestID, RunID: run, Sequence: i, Text: "token", Tokens: 1}
		if writer.Event(api.EventChunk, chunk) != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-request.Context().Done():
			return
		}
	}
	_ = writer.Event(api.EventEnd, api.StreamEnd{ // fails only if the caller has disconnected or does not read
		RequestID: generation.RequestID, RunID: run,
		Sequence: generation.MaxTokens + 1, Tokens: generation.MaxTokens,
	})
}
