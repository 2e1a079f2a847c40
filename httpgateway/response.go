package httpgateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/deckpulley/deckpulley/dispatch"
)

// responseWriter implements dispatch.ResponseWriter.
type responseWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
}

// WriteHead implements dispatch.ResponseWriter. It forwards the replica's Content-Length,
// although endToEndHeaders removes it, because the body is forwarded unchanged.
func (w *responseWriter) WriteHead(status int, header http.Header) {
	target := w.writer.Header()
	for name, values := range endToEndHeaders(header) {
		target[name] = values
	}
	if length := header.Get("Content-Length"); length != "" {
		target.Set("Content-Length", length)
	}
	if _, set := target["Content-Type"]; !set {
		target["Content-Type"] = nil // stops net/http from guessing it from the body
	}
	w.writer.WriteHeader(status)
}

// Write implements dispatch.ResponseWriter.
func (w *responseWriter) Write(part []byte) (int, error) { return w.writer.Write(part) }

// Flush implements dispatch.ResponseWriter. It ignores errors, because the request's
// context ends when the client closes its connection.
func (w *responseWriter) Flush() { _ = w.controller.Flush() }

// writeError responds to a request that was not served. If a part of a response was
// already sent or the client has gone, it aborts the connection instead, so that a client
// can detect that the response is truncated.
func (p *Proxy) writeError(w http.ResponseWriter, id string, requestErr *dispatch.RequestError) {
	if requestErr.ResponseStarted || requestErr.Code == dispatch.CodeClientClosed {
		panic(http.ErrAbortHandler)
	}
	if id != "" {
		w.Header().Set(p.options.Headers.RequestID, id)
	}
	if requestErr.RetryAfter > 0 {
		setRetryAfter(w.Header(), requestErr.RetryAfter)
	}
	WriteProblem(w, statusOf(requestErr.Code), requestProblem(string(requestErr.Code)))
}

// setRetryAfter sets the Retry-After header. Unlike in standard HTTP, the number of seconds
// may have a fraction.
func setRetryAfter(header http.Header, after time.Duration) {
	header.Set(headerRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// statusOf returns the HTTP status for a code. The status 503 is reserved for requests
// that have not run and may be retried.
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

// Problem is the JSON body of a response that the gateway itself generates, rather than a
// replica.
type Problem struct {
	// Field names the part of the request that has the problem.
	Field string `json:"field"`
	// Reason is a code or an error text.
	Reason string `json:"reason"`
}

// requestProblem returns a Problem with the request as a whole.
func requestProblem(reason string) Problem { return Problem{Field: "request", Reason: reason} }

// WriteProblem responds with an HTTP status and a Problem as JSON.
func WriteProblem(w http.ResponseWriter, status int, problem Problem) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem) // fails only if the client is gone
}
