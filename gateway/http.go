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
)

// Time bounds of the callers' connections.
const (
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 15 * time.Second
	idleTimeout       = 60 * time.Second
	// joinGracePeriod lets a run that ends with the caller's time tell how it ended.
	joinGracePeriod = 500 * time.Millisecond
	// writeTimeout bounds one write to a caller that reads slowly.
	writeTimeout = 10 * time.Second
)

func (g *Gateway) newServer(handler http.Handler, limit int) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    api.MaxHeaderBytes,
		ErrorLog:          newDebugLog(g.log),
	}
	newConnections(limit).attach(server)
	return server
}

// addHealth adds the paths that every port of a gateway has.
func (g *Gateway) addHealth(mux *http.ServeMux) {
	mux.HandleFunc(api.PathLive, g.requireMethod(http.MethodGet, g.serveLive))
	mux.HandleFunc(api.PathReady, g.requireMethod(http.MethodGet, g.serveReady))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, newError(api.CodeNotFound, api.OutcomeRefused, "no such path"))
	})
}

func (g *Gateway) requireMethod(method string, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			writeJSON(w, http.StatusMethodNotAllowed, api.ErrorBody{Error: newInvalidError("method", "must be %s", method)})
			return
		}
		handle(w, r)
	}
}

func (g *Gateway) serveLive(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct{}{})
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if failure := g.checkAccepting(); failure != nil {
		writeError(w, failure)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// readRequest reads one strict JSON document within the limits.
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
	markHandling(r.Context())
	return nil
}

// decodeStrict reads exactly one JSON document without unknown fields.
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

func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler) // typed documents always encode
	}
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout)) // a recorder has none
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded) // the caller's loss shows in its own reading
}

func writeError(w http.ResponseWriter, failure *api.Error) {
	if failure.RetryAfterMS > 0 {
		seconds := (failure.RetryAfterMS + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, failure.Status(), api.ErrorBody{Error: failure})
}

// newDebugLog sends what net/http complains about to the debug level: most of it
// is callers that went away.
func newDebugLog(logger *slog.Logger) *log.Logger {
	return log.New(debugWriter{logger}, "", 0)
}

type debugWriter struct{ logger *slog.Logger }

// Write implements io.Writer.
func (w debugWriter) Write(line []byte) (int, error) {
	w.logger.Debug("http server", "message", strings.TrimSpace(string(line)))
	return len(line), nil
}
