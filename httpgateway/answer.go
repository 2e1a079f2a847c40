package httpgateway

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/deckpulley/deckpulley/dispatch"
)

// clientAnswer implements dispatch.ResponseWriter.
type clientAnswer struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
}

func (a *clientAnswer) WriteHead(status int, header http.Header) {
	target := a.writer.Header()
	for name, values := range passedOn(header) {
		target[name] = values
	}
	if length := header.Get("Content-Length"); length != "" {
		target.Set("Content-Length", length)
	}
	if _, known := target["Content-Type"]; !known {
		target["Content-Type"] = nil // the replica named none, so none is guessed
	}
	a.writer.WriteHeader(status)
}

func (a *clientAnswer) Write(part []byte) (int, error) { return a.writer.Write(part) }

// Flush sends what was written; a client that left is noticed by its context.
func (a *clientAnswer) Flush() { _ = a.controller.Flush() }

// refuse answers a request that was not served.
func (p *Proxy) refuse(w http.ResponseWriter, id string, refusal *dispatch.RequestError) {
	if refusal.ResponseStarted || refusal.Code == dispatch.CodeClientClosed {
		panic(http.ErrAbortHandler) // breaks the connection off, so that the answer looks cut
	}
	if id != "" {
		w.Header().Set(p.options.Headers.RequestID, id)
	}
	if refusal.RetryAfter > 0 {
		w.Header().Set(headerRetryAfter, strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	WriteProblem(w, statusOf(refusal.Code), requestProblem(string(refusal.Code)))
}

// statusOf gives 503 only to what has not run.
func statusOf(code dispatch.Code) int {
	switch code {
	case dispatch.CodeNoRoute:
		return http.StatusNotFound
	case dispatch.CodeOutcomeUnknown:
		return http.StatusBadGateway
	case dispatch.CodeTimedOut:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// Problem is the body of an answer that no replica gave.
type Problem struct {
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

func requestProblem(reason string) Problem { return Problem{Field: "request", Reason: reason} }

// WriteProblem answers with a status and a Problem.
func WriteProblem(w http.ResponseWriter, status int, problem Problem) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem) // a client that went away gets no answer
}
