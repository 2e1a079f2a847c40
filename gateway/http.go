package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"log"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/gateway/connlimit"
	"github.com/deckpulley/deckpulley/internal/bytebudget"
)

// Timeouts for the connections of callers and operators.
const (
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 15 * time.Second
	idleTimeout       = 60 * time.Second
	// joinGracePeriod extends the wait for an execution beyond the caller's deadline, so
	// that the result of an execution that ends at its deadline still reaches the caller.
	joinGracePeriod = 500 * time.Millisecond
	// writeTimeout bounds a single write of a response.
	writeTimeout = 10 * time.Second
)

// newServer returns an HTTP server that allows at most limit open connections.
func (g *Gateway) newServer(handler http.Handler, limit int) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    api.MaxHeaderBytes,
		ErrorLog:          newDebugLog(g.log),
	}
	connlimit.NewLimiter(limit).Attach(server)
	return server
}

// addHealth adds the handlers that the callers' and the operators' port share: liveness,
// readiness and the error for unknown paths.
func (g *Gateway) addHealth(mux *http.ServeMux) {
	mux.HandleFunc(api.PathLive, requireMethod(http.MethodGet, serveLive))
	mux.HandleFunc(api.PathReady, requireMethod(http.MethodGet, g.serveReady))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, newError(api.CodeNotFound, api.OutcomeRefused, "no such path"))
	})
}

// requireMethod wraps a handler and refuses requests with another method than the given
// one.
func requireMethod(method string, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			writeJSON(w, http.StatusMethodNotAllowed, api.ErrorBody{Error: newInvalidError("method", "must be %s", method)})
			return
		}
		handle(w, r)
	}
}

// serveLive handles api.PathLive. It always succeeds.
func serveLive(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct{}{})
}

// serveReady handles api.PathReady. It succeeds if the gateway accepts new requests.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if failure := g.checkAccepting(); failure != nil {
		writeError(w, failure)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// readRequest decodes the body of a request. It enforces the limits on the size of the
// body, the time to read it, and the memory for the bodies of all requests.
func (g *Gateway) readRequest(w http.ResponseWriter, r *http.Request, into any) *api.Error {
	if r.ContentLength > api.MaxBodyBytes {
		w.Header().Set("Connection", "close")
		return newError(api.CodeTooLarge, api.OutcomeRefused, "the body has %d bytes; at most %d are allowed", r.ContentLength, api.MaxBodyBytes)
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(readBodyTimeout)); err != nil {
		return newError(api.CodeInternal, api.OutcomeRefused, "setting the read deadline: %v", err)
	}
	body := g.bodyBudget.NewReader(http.MaxBytesReader(w, r.Body, api.MaxBodyBytes))
	defer body.Release()
	failure := decodeStrict(body, into)
	if failure != nil {
		w.Header().Set("Connection", "close")
		return failure
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return newError(api.CodeInternal, api.OutcomeRefused, "clearing the read deadline: %v", err)
	}
	connlimit.MarkHandling(r.Context())
	return nil
}

// decodeStrict decodes exactly one JSON document and refuses unknown fields.
func decodeStrict(body io.Reader, into any) *api.Error {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		_, err = decoder.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = errors.New("more than one JSON document")
		}
	}
	if errors.Is(err, bytebudget.ErrExhausted) {
		return newRetryableError(api.CodeOverloaded, "too many request bodies are being received")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newError(api.CodeTooLarge, api.OutcomeRefused, "the body has more than %d bytes", tooLarge.Limit)
	}
	failure := newInvalidError("", "the body is not a valid JSON document: %s", strings.TrimPrefix(err.Error(), "json: "))
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		failure.Field = wrongType.Field
	}
	if name, found := strings.CutPrefix(err.Error(), "json: unknown field "); found {
		failure.Field, _ = strconv.Unquote(name)
	}
	return failure
}

// writeJSON writes a JSON document as the response.
func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler) // can't happen: the types of package api always encode
	}
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only for test recorders, which have no deadline
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded) // a broken connection is noticed by the caller
}

// writeError writes an error as the response, with a Retry-After header if the error
// advises a delay.
func writeError(w http.ResponseWriter, failure *api.Error) {
	if failure.RetryAfterMS > 0 {
		seconds := (failure.RetryAfterMS + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, failure.Status(), api.ErrorBody{Error: failure})
}

// newDebugLog returns a logger for net/http that logs at debug level, because most of
// its messages are about callers that disconnected.
func newDebugLog(logger *slog.Logger) *log.Logger {
	return log.New(debugWriter{logger}, "", 0)
}

// debugWriter logs each line that is written to it at debug level.
type debugWriter struct{ logger *slog.Logger }

// Write implements io.Writer.
func (w debugWriter) Write(line []byte) (int, error) {
	w.logger.Debug("HTTP server error", "message", strings.TrimSpace(string(line)))
	return len(line), nil
}
