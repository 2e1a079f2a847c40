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

// Replica answers reports and streams tokens at a steady pace, and computes
// nothing. It serves any number of requests at once.
type Replica struct {
	// ID and Service as the platform lists them.
	ID      string
	Service string
	// Slots is what it reports as its parallelism.
	Slots int
	// Gap is the time between two tokens.
	Gap time.Duration

	running  atomic.Int64
	runs     atomic.Uint64
	sequence atomic.Uint64
}

// Handler serves the replica's paths.
func (r *Replica) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathReplicaReport, r.report)
	mux.HandleFunc("POST "+api.PathReplicaGenerate, r.generate)
	return mux
}

func (r *Replica) current(version uint64) api.ReplicaReport {
	return api.ReplicaReport{
		Replica:                r.ID,
		Incarnation:            "1",
		Service:                r.Service,
		Running:                int(r.running.Load()),
		Slots:                  r.Slots,
		PrefillTokensPerSecond: 1e6,
		WeightVersion:          "w1",
		ConfigurationVersion:   version,
		Sequence:               r.sequence.Add(1),
	}
}

func (r *Replica) report(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.current(0)) // a poller that went away
}

func (r *Replica) generate(w http.ResponseWriter, request *http.Request) {
	var asked api.ReplicaRequest
	if err := json.NewDecoder(request.Body).Decode(&asked); err != nil || !asked.Stream {
		http.Error(w, "only streams are served", http.StatusBadRequest)
		return
	}
	r.running.Add(1)
	defer r.running.Add(-1)
	run := fmt.Sprintf("%s-%d", r.ID, r.runs.Add(1))
	w.Header().Set("Content-Type", "text/event-stream")
	writer := stream.NewWriter(w, time.Minute)
	ticker := time.NewTicker(r.Gap)
	defer ticker.Stop()
	for i := 1; i <= asked.MaxTokens; i++ {
		piece := api.StreamChunk{RequestID: asked.RequestID, RunID: run, Sequence: i, Text: "token", Tokens: 1}
		if writer.Event(api.EventPiece, piece) != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-request.Context().Done():
			return
		}
	}
	_ = writer.Event(api.EventEnd, api.StreamEnd{RequestID: asked.RequestID, RunID: run, Sequence: asked.MaxTokens + 1, Tokens: asked.MaxTokens})
}
