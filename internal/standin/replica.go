// Package standin serves the stand-ins of a fleet over HTTP: replicas, which run
// the emulator in real time, answer as package api demands, misbehave as they
// are told and log every event; and the platform, which lists the replicas.
// Daemons never import it.
package standin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/emulator"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// Paths by which a test tells a replica how to behave.
const (
	PathControlFault = "/control/fault" // POST Fault
	PathControlDrain = "/control/drain" // POST DrainOrder
	PathControlCold  = "/control/cold"  // POST, no body
)

// DrainOrder is the body of POST /control/drain of a replica. Without a body
// the replica drains.
type DrainOrder struct {
	Draining bool `json:"draining"`
}

// Logger takes the events of a stand-in; *eventlog.Writer is one.
type Logger interface {
	Write(eventlog.Event)
}

// discard is the Logger of a server that has none.
type discard struct{}

func (discard) Write(eventlog.Event) {}

// Config describes one replica server.
type Config struct {
	ID      string
	Service string
	Zone    string
	Region  string
	// Incarnation names this start of the replica; empty is a random one.
	Incarnation string
	Parameters  emulator.Parameters
	Seed        uint64
	Cold        bool
	// Log takes the events; nil discards them.
	Log Logger
	// Exit ends the process on FaultCrash; nil makes the server abort every
	// connection from then on.
	Exit func()
}

// Server is one replica. It is an http.Handler, so that a process can host many.
type Server struct {
	config Config
	log    Logger
	engine *engine
	faults faultSet
	cross  crossing
	mux    *http.ServeMux
	// dead is closed by a crash.
	dead     chan struct{}
	deadOnce sync.Once

	// admission makes the check of a stamp and the start of the run one step, so
	// that no run of an older configuration begins after one of a newer.
	admission sync.Mutex

	mutex    sync.Mutex
	version  uint64 // newest configuration version seen
	reports  uint64
	runs     uint64
	wasCold  bool
	draining bool
}

// NewServer starts a replica. Close frees it.
func NewServer(config Config) *Server {
	if config.Incarnation == "" {
		config.Incarnation = randomIncarnation()
	}
	s := &Server{
		config:  config,
		log:     config.Log,
		engine:  newEngine(emulator.New(config.Parameters, config.Seed, config.Cold)),
		dead:    make(chan struct{}),
		wasCold: config.Cold,
	}
	if s.log == nil {
		s.log = discard{}
	}
	s.faults.random = mathrand.New(mathrand.NewPCG(config.Seed, 1))
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("GET "+api.PathReplicaReport, s.serveReport)
	s.mux.HandleFunc("POST "+api.PathReplicaGenerate, s.serveGenerate)
	s.mux.HandleFunc("POST "+PathControlFault, s.serveFault)
	s.mux.HandleFunc("POST "+PathControlDrain, s.serveDrain)
	s.mux.HandleFunc("POST "+PathControlCold, s.serveCold)
	s.write(eventlog.Event{Kind: eventlog.ReplicaStarted, Incarnation: config.Incarnation, Cold: config.Cold})
	return s
}

func randomIncarnation() string {
	var random [8]byte
	// Read never fails; see package crypto/rand.
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// Close stops the replica's work. Requests in progress get no further events.
func (s *Server) Close() {
	s.die()
	s.engine.close()
}

// Incarnation names this start of the replica.
func (s *Server) Incarnation() string {
	return s.config.Incarnation
}

func (s *Server) die() {
	s.deadOnce.Do(func() { close(s.dead) })
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-s.dead:
		panic(http.ErrAbortHandler)
	default:
		s.mux.ServeHTTP(w, r)
	}
}

// write completes an event with the replica's names and logs it.
func (s *Server) write(event eventlog.Event) {
	event.Source = s.config.ID
	event.Replica = s.config.ID
	event.Service = s.config.Service
	event.Zone = s.config.Zone
	event.Region = s.config.Region
	s.log.Write(event)
}

func (s *Server) serveReport(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Report())
}

// Report is what the replica says of itself now.
func (s *Server) Report() *api.ReplicaReport {
	state := s.engine.state()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.noteWarm(state)
	s.reports++
	return &api.ReplicaReport{
		Replica:                s.config.ID,
		Incarnation:            s.config.Incarnation,
		Service:                s.config.Service,
		Running:                state.Running,
		Queued:                 state.Queued,
		Slots:                  state.Slots,
		PendingPrefillTokens:   state.PendingPrefillTokens,
		PrefillTokensPerSecond: state.PrefillTokensPerSecond,
		CacheUsed:              state.CacheUsed,
		CacheEvictions:         state.CacheEvictions,
		WeightVersion:          state.WeightVersion,
		Cold:                   state.Cold,
		Draining:               state.Draining,
		ConfigurationVersion:   s.version,
		Sequence:               s.reports,
	}
}

// noteWarm logs the end of coldness once. The caller holds the mutex.
func (s *Server) noteWarm(state emulator.State) {
	if s.wasCold && !state.Cold {
		s.write(eventlog.Event{Kind: eventlog.ReplicaWarm, Incarnation: s.config.Incarnation})
	}
	s.wasCold = state.Cold
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := decodeBody(w, r, &fault); err != nil {
		writeError(w, &api.Error{Code: api.CodeInvalid, Outcome: api.OutcomeRefused, Message: err.Error()})
		return
	}
	if err := fault.Validate(); err != nil {
		writeError(w, &api.Error{Code: api.CodeInvalid, Outcome: api.OutcomeRefused, Message: err.Error()})
		return
	}
	s.faults.add(fault)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveDrain(w http.ResponseWriter, r *http.Request) {
	order := DrainOrder{Draining: true}
	if r.ContentLength != 0 {
		if err := decodeBody(w, r, &order); err != nil {
			writeError(w, &api.Error{Code: api.CodeInvalid, Outcome: api.OutcomeRefused, Message: err.Error()})
			return
		}
	}
	s.SetDraining(order.Draining)
	w.WriteHeader(http.StatusNoContent)
}

// SetDraining makes the replica refuse new requests, or take them again.
func (s *Server) SetDraining(draining bool) {
	s.engine.with(func(_ time.Duration, replica emulator.Replica) { replica.SetDraining(draining) })
	s.mutex.Lock()
	changed := s.draining != draining
	s.draining = draining
	s.mutex.Unlock()
	if !changed {
		return
	}
	event := eventlog.Event{Kind: eventlog.ReplicaDraining, Incarnation: s.config.Incarnation}
	if !draining {
		event.Detail = "withdrawn"
	}
	s.write(event)
}

func (s *Server) serveCold(w http.ResponseWriter, _ *http.Request) {
	s.MakeCold()
	w.WriteHeader(http.StatusNoContent)
}

// MakeCold makes the replica slow until it has warmed up again.
func (s *Server) MakeCold() {
	s.engine.with(func(now time.Duration, replica emulator.Replica) { replica.MakeCold(now) })
	s.mutex.Lock()
	s.wasCold = true
	s.mutex.Unlock()
	s.write(eventlog.Event{Kind: eventlog.ReplicaFault, Incarnation: s.config.Incarnation, Detail: "cold"})
}

// crash ends the replica.
func (s *Server) crash() {
	s.die()
	if s.config.Exit != nil {
		s.config.Exit()
	}
	panic(http.ErrAbortHandler)
}

// sleep waits; it reports false if the caller went away or the replica died.
func (s *Server) sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-s.dead:
		return false
	}
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, api.MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("decoding the body: %w", err)
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write shows at the reader, who sees a short body.
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, failure *api.Error) {
	writeJSON(w, failure.Status(), api.ErrorBody{Error: failure})
}
