// Package standin implements test doubles, over HTTP, for the parts of a fleet that are
// not part of the product: replicas, which run the emulator in real time, serve the
// interface of package api, support fault injection and log every event; and the
// platform, which lists the replicas. The daemons do not import it.
package standin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/emulator"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// Paths of a replica's control interface, through which tests inject faults.
const (
	PathControlFault = "/control/fault" // POST Fault
	PathControlDrain = "/control/drain" // POST DrainRequest
	PathControlCold  = "/control/cold"  // POST, no body
)

// DrainRequest is the body of POST /control/drain of a replica. A request without a body
// starts draining.
type DrainRequest struct {
	Draining bool `json:"draining"`
}

// Logger receives the events of a stand-in. *eventlog.Writer implements it.
type Logger interface {
	Write(eventlog.Event)
}

// discardLogger is a Logger that discards every event.
type discardLogger struct{}

func (discardLogger) Write(eventlog.Event) {}

// Config configures one replica.
type Config struct {
	ID      string
	Service string
	Zone    string
	Region  string
	// Incarnation identifies this start of the replica; if empty, a random one is used.
	Incarnation string
	Parameters  emulator.Parameters
	Seed        uint64
	Cold        bool
	// Log receives the events; nil discards them.
	Log Logger
	// Exit ends the process on FaultCrash. If it is nil, the server aborts every
	// connection after a crash instead.
	Exit func()
}

// Server is one replica. It implements http.Handler, so that one process can host many
// replicas.
type Server struct {
	config Config
	log    Logger
	engine *engine
	faults faultSet
	swap   identitySwap
	mux    *http.ServeMux
	// stopped is closed by Close and by a crash.
	stopped  chan struct{}
	stopOnce sync.Once

	// admission makes the check of a request's stamp and the start of its run atomic, so
	// that no run placed by an older configuration starts after one placed by a newer.
	admission sync.Mutex

	mutex     sync.Mutex
	version   uint64 // newest configuration version seen
	reports   uint64 // number of reports so far
	runs      uint64 // number of runs started
	warmingUp bool   // as last observed; the end of the warm-up is logged once
	draining  bool
}

// NewServer starts a replica. The caller must stop it with Close.
func NewServer(config Config) *Server {
	if config.Incarnation == "" {
		config.Incarnation = randomIncarnation()
	}
	s := &Server{
		config:    config,
		log:       config.Log,
		engine:    newEngine(emulator.New(config.Parameters, config.Seed, config.Cold)),
		stopped:   make(chan struct{}),
		warmingUp: config.Cold,
	}
	if s.log == nil {
		s.log = discardLogger{}
	}
	s.faults.random = mathrand.New(mathrand.NewPCG(config.Seed, 1))
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("GET "+api.PathReplicaReport, s.serveReport)
	s.mux.HandleFunc("POST "+api.PathReplicaGenerate, s.serveGenerate)
	s.mux.HandleFunc("POST "+PathControlFault, s.serveFault)
	s.mux.HandleFunc("POST "+PathControlDrain, s.serveDrain)
	s.mux.HandleFunc("POST "+PathControlCold, s.serveCold)
	s.logEvent(eventlog.Event{Kind: eventlog.ReplicaStarted, Incarnation: config.Incarnation, Cold: config.Cold})
	return s
}

func randomIncarnation() string {
	var random [8]byte
	_, _ = rand.Read(random[:]) // never fails; see package crypto/rand
	return hex.EncodeToString(random[:])
}

// Close stops the replica and waits for its engine. Requests in progress receive no
// further events.
func (s *Server) Close() {
	s.stop()
	s.engine.close()
}

// Incarnation returns the id of this start of the replica.
func (s *Server) Incarnation() string {
	return s.config.Incarnation
}

func (s *Server) stop() {
	s.stopOnce.Do(func() { close(s.stopped) })
}

// ServeHTTP implements http.Handler. A stopped replica aborts every connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-s.stopped:
		panic(http.ErrAbortHandler)
	default:
		s.mux.ServeHTTP(w, r)
	}
}

// logEvent adds the replica's id, service and location to the event and logs it.
func (s *Server) logEvent(event eventlog.Event) {
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

// Report returns the replica's report of its current state.
func (s *Server) Report() *api.ReplicaReport {
	state := s.engine.state()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.logWarmedUp(state)
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

// logWarmedUp logs the end of a warm-up, once. The caller holds the mutex.
func (s *Server) logWarmedUp(state emulator.State) {
	if s.warmingUp && !state.Cold {
		s.logEvent(eventlog.Event{Kind: eventlog.ReplicaWarm, Incarnation: s.config.Incarnation})
	}
	s.warmingUp = state.Cold
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := decodeJSON(w, r, &fault); err != nil {
		writeInvalid(w, err)
		return
	}
	if err := fault.Validate(); err != nil {
		writeInvalid(w, err)
		return
	}
	s.faults.add(fault)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveDrain(w http.ResponseWriter, r *http.Request) {
	request := DrainRequest{Draining: true}
	if r.ContentLength != 0 {
		if err := decodeJSON(w, r, &request); err != nil {
			writeInvalid(w, err)
			return
		}
	}
	s.SetDraining(request.Draining)
	w.WriteHeader(http.StatusNoContent)
}

// SetDraining makes the replica refuse new requests, or accept them again. It logs a
// change.
func (s *Server) SetDraining(draining bool) {
	s.engine.do(func(_ time.Duration, replica emulator.Replica) { replica.SetDraining(draining) })
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
	s.logEvent(event)
}

func (s *Server) serveCold(w http.ResponseWriter, _ *http.Request) {
	s.MakeCold()
	w.WriteHeader(http.StatusNoContent)
}

// MakeCold makes the replica cold, so that it is slow until it has warmed up again.
func (s *Server) MakeCold() {
	s.engine.do(func(now time.Duration, replica emulator.Replica) { replica.MakeCold(now) })
	s.mutex.Lock()
	s.warmingUp = true
	s.mutex.Unlock()
	s.logEvent(eventlog.Event{Kind: eventlog.ReplicaFault, Incarnation: s.config.Incarnation, Detail: "cold"})
}

// crash stops the replica and, if Config.Exit is set, ends the process. It does not
// return.
func (s *Server) crash() {
	s.stop()
	if s.config.Exit != nil {
		s.config.Exit()
	}
	panic(http.ErrAbortHandler)
}

// sleep waits for the given time. It returns false if ctx ended or the replica stopped
// earlier.
func (s *Server) sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-s.stopped:
		return false
	}
}
