package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/stream"
)

// Time bounds of the callers' connections.
const (
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 15 * time.Second
	idleTimeout       = 60 * time.Second
	// joinGrace lets a run that ends with the caller's time tell how it ended.
	joinGrace = 500 * time.Millisecond
	// writeTimeout bounds one write to a caller that reads slowly.
	writeTimeout = 10 * time.Second
)

// CallersServer returns the server of the callers' port.
func (g *Gateway) CallersServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(api.PathWhere, g.only(http.MethodPost, g.serveWhere))
	mux.HandleFunc(api.PathRequests, g.only(http.MethodPost, g.serveRequest))
	g.addHealth(mux)
	return g.newServer(mux, g.options.MaxConnections)
}

func (g *Gateway) newServer(handler http.Handler, limit int) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    api.MaxHeaderBytes,
		ErrorLog:          quietLog(g.log),
	}
	newConnections(limit).attach(server)
	return server
}

// addHealth adds the paths that every port of a gateway has.
func (g *Gateway) addHealth(mux *http.ServeMux) {
	mux.HandleFunc(api.PathLive, g.only(http.MethodGet, g.serveLive))
	mux.HandleFunc(api.PathReady, g.only(http.MethodGet, g.serveReady))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, failed(api.CodeNotFound, api.OutcomeRefused, "no such path"))
	})
}

func (g *Gateway) only(method string, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			writeJSON(w, http.StatusMethodNotAllowed, api.ErrorBody{Error: invalid("method", "must be %s", method)})
			return
		}
		handle(w, r)
	}
}

func (g *Gateway) serveLive(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct{}{})
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if failure := g.mayAccept(); failure != nil {
		writeError(w, failure)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (g *Gateway) serveWhere(w http.ResponseWriter, r *http.Request) {
	var request api.WhereRequest
	if failure := g.readRequest(w, r, &request); failure != nil {
		writeError(w, failure)
		return
	}
	failure := checkWhere(&request)
	var answer *api.WhereAnswer
	if failure == nil {
		answer, failure = g.where(r.Context(), &request)
	}
	if failure != nil {
		failure.RequestID = request.RequestID
		g.metrics.noteWhere(failure)
		writeError(w, failure)
		return
	}
	g.metrics.noteWhere(nil)
	writeJSON(w, http.StatusOK, answer)
}

func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	var request api.GenerateRequest
	failure := g.readRequest(w, r, &request)
	if failure == nil {
		failure = checkGenerate(&request)
	} else if failure.Retry {
		failure.Outcome = api.OutcomeUnknown // it may be the resend of one that ran
	}
	var reader *follower
	if failure == nil {
		reader, failure = g.submit(&request)
	}
	if failure != nil {
		copied := *failure
		copied.RequestID = request.RequestID
		g.noteRequest(&request, &copied, started)
		writeError(w, &copied)
		return
	}
	defer reader.leave()
	g.answer(w, r, &request, reader, started)
}

// noteRequest counts a request that is over, and logs some of those that went
// wrong.
func (g *Gateway) noteRequest(request *api.GenerateRequest, failure *api.Error, started time.Time) {
	g.metrics.noteRequest(request, failure, started)
	if failure == nil || !g.failures.Allow() {
		return
	}
	g.log.Info("request without an answer", "request", request.RequestID, "model", request.Model,
		"outcome", failure.Outcome, "code", failure.Code, "reason", failure.Message, "elapsed", time.Since(started))
}

// answer copies an execution's output to the caller. It panics with
// http.ErrAbortHandler where the connection must not end cleanly.
func (g *Gateway) answer(w http.ResponseWriter, r *http.Request, request *api.GenerateRequest, reader *follower, started time.Time) {
	ctx, cancel := context.WithDeadline(r.Context(), started.Add(api.Wait(request.WaitMS)+joinGrace))
	defer cancel()
	var writer *stream.Writer
	for {
		frames, ended, err := reader.next(ctx)
		if errors.Is(err, context.DeadlineExceeded) {
			ended, err = &result{failure: outwaited(request)}, nil
		}
		if err != nil {
			g.noteRequest(request, failed(api.CodeCanceled, api.OutcomeUnknown, "the caller went away"), started)
			panic(http.ErrAbortHandler)
		}
		if ended != nil {
			g.noteRequest(request, ended.failure, started)
			finishAnswer(w, writer, ended)
			return
		}
		if writer == nil {
			g.metrics.noteFirstEvent(request, started)
			writer = stream.NewWriter(w, writeTimeout)
		}
		if err := writer.Frames(frames); err != nil {
			g.noteRequest(request, failed(api.CodeCanceled, api.OutcomeUnknown, "the caller went away"), started)
			panic(http.ErrAbortHandler)
		}
	}
}

// outwaited answers a caller whose time is over before the run that it joined,
// which may have been given more.
func outwaited(request *api.GenerateRequest) *api.Error {
	failure := refusedLater(api.CodeDeadline, "the request has no result yet in the caller's time")
	failure.Outcome = api.OutcomeUnknown
	failure.RequestID = request.RequestID
	return failure
}

func finishAnswer(w http.ResponseWriter, writer *stream.Writer, ended *result) {
	switch {
	case ended.failure != nil && writer != nil && planted.Active(planted.CleanEnd):
		return
	case ended.failure != nil && writer != nil:
		writer.Abort(ended.failure)
	case ended.failure != nil:
		writeError(w, ended.failure)
	case ended.end != nil:
		if writer == nil {
			writer = stream.NewWriter(w, writeTimeout)
		}
		if err := writer.Event(api.EventEnd, ended.end); err != nil {
			panic(http.ErrAbortHandler)
		}
	default:
		writeJSON(w, http.StatusOK, ended.answer)
	}
}

// readRequest reads one strict JSON document within the limits.
func (g *Gateway) readRequest(w http.ResponseWriter, r *http.Request, into any) *api.Error {
	if r.ContentLength > api.MaxBodyBytes {
		w.Header().Set("Connection", "close")
		return failed(api.CodeTooLarge, api.OutcomeRefused, "the body has %d bytes, %d at the most", r.ContentLength, api.MaxBodyBytes)
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(readBodyTimeout)); err != nil {
		return failed(api.CodeInternal, api.OutcomeRefused, "setting the read deadline: %v", err)
	}
	body := &budgetReader{source: http.MaxBytesReader(w, r.Body, api.MaxBodyBytes), budget: g.bodies}
	defer body.release()
	failure := decodeStrict(body, into)
	if failure != nil {
		w.Header().Set("Connection", "close")
		return failure
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return failed(api.CodeInternal, api.OutcomeRefused, "clearing the read deadline: %v", err)
	}
	markServed(r.Context())
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
	if errors.Is(err, errBudget) {
		return refusedLater(api.CodeOverloaded, "too many request bodies at once")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return failed(api.CodeTooLarge, api.OutcomeRefused, "the body has more than %d bytes", tooLarge.Limit)
	}
	failure := invalid("", "the body is not valid: %s", strings.TrimPrefix(err.Error(), "json: "))
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
