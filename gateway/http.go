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
)

// Timeouts of the connections of callers and operators.
const (
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 15 * time.Second
	idleTimeout       = 60 * time.Second
	// joinGracePeriod is added to the caller's time, so that a run that ends at its
	// deadline can still be answered.
	joinGracePeriod = 500 * time.Millisecond
	// writeTimeout bounds one write to a caller that reads slowly.
	writeTimeout = 10 * time.Second
)

// newServer returns a server with at most limit open connections.
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

// addHealth adds the paths that all ports of a gateway share.
func (g *Gateway) addHealth(mux *http.ServeMux) {
	mux.HandleFunc(api.PathLive, requireMethod(http.MethodGet, serveLive))
	mux.HandleFunc(api.PathReady, requireMethod(http.MethodGet, g.serveReady))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, newError(api.CodeNotFound, api.OutcomeRefused, "no such path"))
	})
}

// requireMethod refuses requests with another method.
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

func serveLive(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct{}{})
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if failure := g.checkAccepting(); failure != nil {
		writeError(w, failure)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// readRequest decodes the body of a request, within the limits of size, time and
// memory.
func (g *Gateway) readRequest(w http.ResponseWriter, r *http.Request, into any) *api.Error {
	if r.ContentLength > api.MaxBodyBytes {
		w.Header().Set("Connection", "close")
		return newError(api.CodeTooLarge, api.OutcomeRefused, "the body has %d bytes, %d at the most", r.ContentLength, api.MaxBodyBytes)
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(readBodyTimeout)); err != nil {
		return newError(api.CodeInternal, api.OutcomeRefused, "setting the read deadline: %v", err)
	}
	body := &budgetReader{source: http.MaxBytesReader(w, r.Body, api.MaxBodyBytes), budget: g.bodyBudget}
	defer body.release()
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

// decodeStrict decodes exactly one JSON document without unknown fields.
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
	if errors.Is(err, errBodyBudgetExceeded) {
		return newRetryableError(api.CodeOverloaded, "too many request bodies at once")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newError(api.CodeTooLarge, api.OutcomeRefused, "the body has more than %d bytes", tooLarge.Limit)
	}
	failure := newInvalidError("", "the body is not valid: %s", strings.TrimPrefix(err.Error(), "json: "))
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		failure.Field = wrongType.Field
	}
	if name, found := strings.CutPrefix(err.Error(), "json: unknown field "); found {
		failure.Field, _ = strconv.Unquote(name)
	}
	return failure
}

// writeJSON writes a document as the response.
func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler) // the documents of package api always encode
	}
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout)) // the recorders of tests have no deadline
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded) // the caller notices a broken connection itself
}

// writeError writes an error as the response, with a Retry-After header if a delay is
// advised.
func writeError(w http.ResponseWriter, failure *api.Error) {
	if failure.RetryAfterMS > 0 {
		seconds := (failure.RetryAfterMS + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, failure.Status(), api.ErrorBody{Error: failure})
}

// newDebugLog returns a logger for net/http whose messages go to the debug level:
// most of them are about callers that went away.
func newDebugLog(logger *slog.Logger) *log.Logger {
	return log.New(debugWriter{logger}, "", 0)
}

type debugWriter struct{ logger *slog.Logger }

// Write implements io.Writer.
func (w debugWriter) Write(line []byte) (int, error) {
	w.logger.Debug("http server", "message", strings.TrimSpace(string(line)))
	return len(line), nil
}
