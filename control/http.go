package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/pprof"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/peer"
)

// Limits of the operators' port.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 60 * time.Second
	// writeTimeout covers the longest wait for an order to be in force.
	writeTimeout = maxOrderWait + 10*time.Second
	// maxOrderBody bounds an order's body in bytes: a document, escaped, and the rest.
	maxOrderBody = 2*configuration.MaxDocumentBytes + 64<<10
	// maxSmallBody bounds the body of an evacuation order.
	maxSmallBody = 64 << 10
	// liveTimeout is how soon a live event loop answers.
	liveTimeout = 2 * time.Second
)

// Query parameters.
const (
	parameterWait         = "wait_ms"      // longest wait for an order to be in force
	parameterLinearizable = "linearizable" // read what was acknowledged before, or nothing
)

// Server returns an HTTP server for the operators' port with every limit set.
// The caller gives it an address, starts it and closes it.
func (n *Node) Server() *http.Server {
	return &http.Server{
		Handler:           n.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    api.MaxHeaderBytes,
	}
}

// Handler serves the operators' port.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathConfiguration, n.getConfiguration)
	mux.HandleFunc("PUT "+api.PathConfiguration, n.authorized(n.putConfiguration))
	mux.HandleFunc("PATCH "+api.PathConfiguration, n.authorized(n.patchConfiguration))
	mux.HandleFunc("GET "+api.PathZones, n.getZones)
	mux.HandleFunc("POST "+api.PathEvacuations, n.authorized(n.postEvacuation))
	mux.HandleFunc("GET "+api.PathStatus, n.getStatus)
	mux.HandleFunc("GET "+api.PathMembers, n.getMembers)
	mux.HandleFunc("GET "+api.PathReplicas, n.getReplicas)
	mux.HandleFunc("PUT "+api.PathReplicas, n.authorized(n.putReplicas))
	mux.HandleFunc("GET "+api.PathOperations, n.getOrders)
	mux.HandleFunc("GET "+api.PathLive, n.getLive)
	mux.HandleFunc("GET "+api.PathReady, n.getReady)
	mux.Handle("GET "+api.PathMetrics, promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{}))
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

// authorized lets a request pass if it carries an operator's token, or if none
// is asked for. The operator's name becomes the author of orders that name none.
func (n *Node) authorized(next func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator := ""
		if n.options.Tokens != nil {
			name, permitted := n.options.Tokens().Authenticate(r.Header.Get("Authorization"))
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

func (n *Node) getConfiguration(w http.ResponseWriter, r *http.Request) {
	observed := n.observe()
	if r.URL.Query().Get(parameterLinearizable) == "true" {
		ctx, cancel := context.WithTimeout(r.Context(), n.options.CallTimeout)
		defer cancel()
		current, problem := n.linearizable(ctx)
		if problem != nil {
			writeError(w, problem)
			return
		}
		observed = current
	}
	writeJSON(w, http.StatusOK, configurationAnswer(observed))
}

func (n *Node) putConfiguration(w http.ResponseWriter, r *http.Request, operator string) {
	var order api.ConfigurationOperation
	if problem := readJSON(w, r, maxOrderBody, &order); problem != nil {
		writeError(w, problem)
		return
	}
	if len(order.Document) > configuration.MaxDocumentBytes {
		writeError(w, &api.Error{Code: api.CodeTooLarge, Outcome: api.OutcomeRefused, Field: "document", Message: fmt.Sprintf("must have at most %d bytes", configuration.MaxDocumentBytes)})
		return
	}
	order.Author = authorOf(order.Author, operator)
	n.serveHTTPOrder(w, r, peer.OperationRequest{Configuration: &order})
}

func (n *Node) patchConfiguration(w http.ResponseWriter, r *http.Request, operator string) {
	var order api.ConfigurationPatchOperation
	if problem := readJSON(w, r, maxOrderBody, &order); problem != nil {
		writeError(w, problem)
		return
	}
	order.Author = authorOf(order.Author, operator)
	n.serveHTTPOrder(w, r, peer.OperationRequest{ConfigurationChange: &order})
}

func (n *Node) postEvacuation(w http.ResponseWriter, r *http.Request, operator string) {
	var order api.EvacuationOperation
	if problem := readJSON(w, r, maxSmallBody, &order); problem != nil {
		writeError(w, problem)
		return
	}
	order.Author = authorOf(order.Author, operator)
	n.serveHTTPOrder(w, r, peer.OperationRequest{Evacuation: &order})
}

func (n *Node) putReplicas(w http.ResponseWriter, r *http.Request, _ string) {
	var list api.ReplicaList
	if problem := readJSON(w, r, maxOrderBody, &list); problem != nil {
		writeError(w, problem)
		return
	}
	n.serveHTTPOrder(w, r, peer.OperationRequest{Replicas: &list})
}

func authorOf(author, operator string) string {
	if author == "" {
		return operator
	}
	return author
}

// serveHTTPOrder carries an order out within the time that its sender gives.
func (n *Node) serveHTTPOrder(w http.ResponseWriter, r *http.Request, request peer.OperationRequest) {
	wait, problem := n.waitOf(r)
	if problem != nil {
		writeError(w, problem)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	reply := n.order(ctx, request)
	n.metrics.orders.WithLabelValues(answerLabel(reply)).Inc()
	switch {
	case reply.Error != nil:
		writeError(w, reply.Error)
	case reply.Answer.Error != nil:
		writeJSON(w, reply.Answer.Error.Status(), reply.Answer)
	default:
		writeJSON(w, http.StatusOK, reply.Answer)
	}
}

func answerLabel(reply peer.OperationReply) string {
	switch {
	case reply.Error != nil:
		return string(reply.Error.Code)
	case reply.Answer.Error != nil:
		return string(reply.Answer.Error.Code)
	default:
		return "accepted"
	}
}

func (n *Node) waitOf(r *http.Request) (time.Duration, *api.Error) {
	text := r.URL.Query().Get(parameterWait)
	if text == "" {
		return n.options.OrderWait, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 0 || millis > maxOrderWait.Milliseconds() {
		return 0, invalid(parameterWait, fmt.Sprintf("must be a number of milliseconds up to %d", maxOrderWait.Milliseconds()))
	}
	return time.Duration(millis) * time.Millisecond, nil
}

func (n *Node) getZones(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, zonesAnswer(n.observe()))
}

func (n *Node) getReplicas(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, replicasAnswer(n.observe()))
}

func (n *Node) getStatus(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, n.overview(r.Context()).Status)
}

func (n *Node) getMembers(w http.ResponseWriter, r *http.Request) {
	view := n.overview(r.Context())
	writeJSON(w, http.StatusOK, api.MembersAnswer{Members: view.Status.Members, RepairDone: view.RepairDone})
}

// getLive answers if the event loop does.
func (n *Node) getLive(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), liveTimeout)
	defer cancel()
	if _, err := ask(ctx, n, func(time.Duration) struct{} { return struct{}{} }); err != nil {
		writeError(w, &api.Error{Code: api.CodeNotReady, Outcome: api.OutcomeRefused, Message: "the event loop does not answer", Retry: true})
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) getReady(w http.ResponseWriter, _ *http.Request) {
	if problem := n.observe().ready(); problem != nil {
		writeError(w, problem)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// readJSON decodes exactly one document of known fields.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, into any) *api.Error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil && !errors.Is(decoder.Decode(&struct{}{}), io.EOF) {
		err = errors.New("more than one JSON document")
	}
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return &api.Error{Code: api.CodeTooLarge, Outcome: api.OutcomeRefused, Message: fmt.Sprintf("body has more than %d bytes", limit)}
	case errors.As(err, &wrongType):
		return invalid(wrongType.Field, "must not be a JSON "+wrongType.Value)
	default:
		return invalid(unknownField(err), err.Error())
	}
}

// unknownField takes the field's name out of the decoder's message, the one place
// where it is.
func unknownField(err error) string {
	name, found := strings.CutPrefix(err.Error(), "json: unknown field ")
	if !found {
		return ""
	}
	field, unquoteErr := strconv.Unquote(name)
	if unquoteErr != nil {
		return ""
	}
	return field
}

func writeError(w http.ResponseWriter, problem *api.Error) {
	if problem.RetryAfterMS > 0 {
		seconds := (problem.RetryAfterMS + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, problem.Status(), api.ErrorBody{Error: problem})
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n')) // a caller that went away gets no answer
}
