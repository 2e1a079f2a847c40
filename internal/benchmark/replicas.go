package benchmark

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/emulator"
	"github.com/deckpulley/deckpulley/internal/standin"
)

// Services and the models that route to them.
const (
	modelService = "explain"
	modelName    = "explain-long"
	webService   = "snippets"
	webName      = "snippet"
)

// replicaSlots is the number of requests that one replica processes in parallel. It is far
// above the measured load, so that replicas do not limit a measurement.
const replicaSlots = 256

// replica is a stand-in replica with its own port. It reports the times of its requests to
// its observer, if it has one.
type replica struct {
	id       string
	service  string
	address  string
	server   *http.Server
	serving  sync.WaitGroup
	standin  *standin.Server
	observer *observer // nil for none
}

// startReplica starts a stand-in replica. The duration of its decode steps does not depend
// on its load, and an answer of a web service takes one to two milliseconds.
func startReplica(id, service string, kind emulator.Kind, observer *observer) (*replica, error) {
	parameters := emulator.DefaultParameters(kind)
	parameters.Slots = replicaSlots
	parameters.QueueLength = replicaSlots
	parameters.DecodeSequenceMS = 0
	parameters.WebMinimumMS = 1
	parameters.WebMaximumMS = 2
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, fmt.Errorf("replica %s: %w", id, err)
	}
	r := &replica{
		id:      id,
		service: service,
		address: listener.Addr().String(),
		standin: standin.NewServer(standin.Config{
			ID: id, Service: service, Zone: "north-1", Region: "north", Parameters: parameters, Seed: 1,
		}),
		observer: observer,
	}
	r.server = &http.Server{Handler: r}
	r.serving.Go(func() { _ = r.server.Serve(listener) })
	return r, nil
}

func (r *replica) stop() {
	_ = r.server.Close()
	r.serving.Wait()
	r.standin.Close()
}

// ServeHTTP passes requests to the stand-in. If there is an observer, it records the times
// of generation requests.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if r.observer == nil || request.URL.Path != api.PathReplicaGenerate {
		r.standin.ServeHTTP(w, request)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, api.MaxBodyBytes))
	var named struct {
		RequestID string `json:"request_id"`
	}
	if err != nil || json.Unmarshal(body, &named) != nil {
		http.Error(w, "unreadable", http.StatusBadRequest)
		return
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	timed := &timingWriter{ResponseWriter: w, times: replicaTimes{started: time.Now()}}
	r.standin.ServeHTTP(timed, request)
	r.observer.record(named.RequestID, timed.times)
}

// replicaTimes holds the times at which a replica processed a request.
type replicaTimes struct {
	started time.Time   // after the request was read
	written []time.Time // before each write, which is an event of a stream or a complete response
}

// timingWriter is a response writer that records the time of each write.
type timingWriter struct {
	http.ResponseWriter
	times replicaTimes
}

func (w *timingWriter) Write(content []byte) (int, error) {
	w.times.written = append(w.times.written, time.Now())
	return w.ResponseWriter.Write(content)
}

// Unwrap returns the underlying writer, so that http.ResponseController can flush it.
func (w *timingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// observer collects the times of requests at replicas. It is safe for concurrent use.
type observer struct {
	mutex sync.Mutex
	times map[string]replicaTimes
}

func newObserver() *observer { return &observer{times: make(map[string]replicaTimes)} }

func (o *observer) record(requestID string, times replicaTimes) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.times[requestID] = times
}

// timesByRequest returns the recorded times by request id. It must not be called while requests are
// in progress.
func (o *observer) timesByRequest() map[string]replicaTimes {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.times
}
