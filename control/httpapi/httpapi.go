// Package httpapi serves the operators' HTTP API of a control node.
package httpapi

import (
	"context"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/control/executor"
	"github.com/deckpulley/deckpulley/control/readindex"
	"github.com/deckpulley/deckpulley/control/status"
	"github.com/deckpulley/deckpulley/settings"
)

// Limits of the HTTP server.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 60 * time.Second
	// writeTimeout covers the longest wait for an operation to be in force.
	writeTimeout = executor.MaxWait + 10*time.Second
	// maxOperationBody bounds an operation's body in bytes: a document escaped as a JSON
	// string, and the other fields.
	maxOperationBody = 2*configuration.MaxDocumentBytes + 64<<10
	// MaxEvacuationBody bounds the body of an evacuation in bytes.
	MaxEvacuationBody = 64 << 10
	// liveTimeout bounds the time that the event loop has to respond to a liveness check.
	liveTimeout = 2 * time.Second
)

// Query parameters.
const (
	parameterWait         = "wait_ms"      // maximum wait for an operation to be in force, in ms
	parameterLinearizable = "linearizable" // "true" requests a linearizable read
	parameterLimit        = "limit"        // maximum number of operations in the list
)

// Config configures a handler. All fields but Tokens are required.
type Config struct {
	// Tokens returns the operators' current tokens; nil permits operations without a
	// token.
	Tokens func() settings.Tokens
	// CallTimeout bounds a linearizable read.
	CallTimeout time.Duration
	// OperationTimeout bounds the wait for an operation to be in force if the request
	// has no wait_ms parameter.
	OperationTimeout time.Duration

	Engine   *engine.Engine
	Executor *executor.Executor
	Reader   *readindex.Reader
	Reporter *status.Reporter
	Metrics  prometheus.Gatherer
}

// handlers are the HTTP handlers of one node.
type handlers struct {
	config Config
	engine *engine.Engine
}

// NewServer returns an HTTP server for the operators' API with all timeouts and limits
// set. The caller sets its address, starts it and closes it.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    api.MaxHeaderBytes,
	}
}

// NewHandler returns the handler of the operators' API.
func NewHandler(config Config) http.Handler {
	h := &handlers{config: config, engine: config.Engine}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathConfiguration, h.getConfiguration)
	mux.HandleFunc("PUT "+api.PathConfiguration, h.authorized(h.putConfiguration))
	mux.HandleFunc("PATCH "+api.PathConfiguration, h.authorized(h.patchConfiguration))
	mux.HandleFunc("GET "+api.PathZones, h.getZones)
	mux.HandleFunc("POST "+api.PathEvacuations, h.authorized(h.postEvacuation))
	mux.HandleFunc("GET "+api.PathStatus, h.getStatus)
	mux.HandleFunc("GET "+api.PathMembers, h.getMembers)
	mux.HandleFunc("GET "+api.PathReplicas, h.getReplicas)
	mux.HandleFunc("PUT "+api.PathReplicas, h.authorized(h.putReplicas))
	mux.HandleFunc("GET "+api.PathOperations, h.getOperations)
	mux.HandleFunc("GET "+api.PathLive, h.getLive)
	mux.HandleFunc("GET "+api.PathReady, h.getReady)
	mux.Handle("GET "+api.PathMetrics, promhttp.HandlerFor(config.Metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, &api.Error{Code: api.CodeNotFound, Outcome: api.OutcomeRefused, Message: "no such path or method: " + r.Method + " " + r.URL.Path})
	})
	return mux
}

// authorized calls next if the request has an operator's token, or if none is required.
// It passes the operator's name, which is the author of operations that state none.
func (h *handlers) authorized(next func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator := ""
		if h.config.Tokens != nil {
			name, permitted := h.config.Tokens().Authenticate(r.Header.Get("Authorization"))
			if !permitted {
				w.Header().Set("WWW-Authenticate", "Bearer")
				writeError(w, &api.Error{Code: api.CodeUnauthorized, Outcome: api.OutcomeRefused, Message: "missing or wrong operator token"})
				return
			}
			operator = name
		}
		next(w, r, operator)
	}
}

func (h *handlers) getConfiguration(w http.ResponseWriter, r *http.Request) {
	observed := h.engine.Observe()
	if r.URL.Query().Get(parameterLinearizable) == "true" {
		ctx, cancel := context.WithTimeout(r.Context(), h.config.CallTimeout)
		defer cancel()
		current, problem := h.config.Reader.Linearizable(ctx)
		if problem != nil {
			writeError(w, problem)
			return
		}
		observed = current
	}
	writeJSON(w, http.StatusOK, configurationAnswer(observed))
}

func (h *handlers) getZones(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, zonesAnswer(h.engine.Observe()))
}

func (h *handlers) getReplicas(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, replicasAnswer(h.engine.Observe()))
}

// getOperations lists the newest stored operation results in this node's own state.
func (h *handlers) getOperations(w http.ResponseWriter, r *http.Request) {
	limit, problem := parseLimit(r)
	if problem != nil {
		writeError(w, problem)
		return
	}
	answer, problem := operationsAnswer(h.engine.Observe(), limit)
	if problem != nil {
		writeError(w, problem)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

func (h *handlers) getStatus(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, h.config.Reporter.Overview(r.Context()).Status)
}

func (h *handlers) getMembers(w http.ResponseWriter, r *http.Request) {
	view := h.config.Reporter.Overview(r.Context())
	writeJSON(w, http.StatusOK, api.MembersAnswer{Members: view.Status.Members, RepairDone: view.RepairDone})
}

// getLive reports success if the event loop responds.
func (h *handlers) getLive(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), liveTimeout)
	defer cancel()
	if err := h.engine.Ping(ctx); err != nil {
		writeError(w, &api.Error{Code: api.CodeNotReady, Outcome: api.OutcomeRefused, Message: "the event loop does not respond", Retry: true})
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (h *handlers) getReady(w http.ResponseWriter, _ *http.Request) {
	if problem := h.engine.Observe().Ready(); problem != nil {
		writeError(w, problem)
		return
	}
	w.WriteHeader(http.StatusOK)
}
