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

// Services and the models that lead to them.
const (
	modelService = "explain"
	modelName    = "explain-long"
	webService   = "snippets"
	webName      = "snippet"
)

// replicaSlots is the number of requests that one replica works on at once; it
// is far above what the measurements bring, so that no replica is the bound.
const replicaSlots = 256

// replica is one stand-in with its port.
type replica struct {
	id       string
	service  string
	address  string
	server   *http.Server
	stand    *standin.Server
	observer *observer
}

// startReplica serves a stand-in. Its steps are regular, and the whole answers
// of a web service take between one and two milliseconds.
func startReplica(id, service string, kind emulator.Kind, watch *observer) (*replica, error) {
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
	stand := standin.NewServer(standin.Config{ID: id, Service: service, Zone: "north-1", Region: "north", Parameters: parameters, Seed: 1})
	r := &replica{id: id, service: service, address: listener.Addr().String(), stand: stand, observer: watch}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	return r, nil
}

func (r *replica) stop() {
	_ = r.server.Close()
	r.stand.Close()
}

// ServeHTTP lets the stand-in answer and notes when, for requests that are
// observed.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if r.observer == nil || request.URL.Path != api.PathReplicaGenerate {
		r.stand.ServeHTTP(w, request)
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
	noted := &notedWriter{ResponseWriter: w, notes: replicaNotes{started: time.Now()}}
	r.stand.ServeHTTP(noted, request)
	r.observer.put(named.RequestID, noted.notes)
}

// replicaNotes say when a replica worked on a request.
type replicaNotes struct {
	started time.Time   // the request was read
	written []time.Time // before each write: an event of a stream, or the answer
}

// notedWriter notes the time of each write.
type notedWriter struct {
	http.ResponseWriter
	notes replicaNotes
}

func (w *notedWriter) Write(content []byte) (int, error) {
	w.notes.written = append(w.notes.written, time.Now())
	return w.ResponseWriter.Write(content)
}

// Unwrap lets http.ResponseController flush.
func (w *notedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// observer keeps the notes of requests until they are taken.
type observer struct {
	mutex sync.Mutex
	notes map[string]replicaNotes
}

func newObserver() *observer { return &observer{notes: make(map[string]replicaNotes)} }

func (o *observer) put(request string, notes replicaNotes) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.notes[request] = notes
}

// all returns the notes by request.
func (o *observer) all() map[string]replicaNotes {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.notes
}
