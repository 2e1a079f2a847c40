package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/gateway/execution"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/stream"
)

// CallersServer returns the server of the callers' port. Its owner runs and closes
// it.
func (g *Gateway) CallersServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(api.PathWhere, requireMethod(http.MethodPost, g.serveWhere))
	mux.HandleFunc(api.PathRequests, requireMethod(http.MethodPost, g.serveRequest))
	g.addHealth(mux)
	return g.newServer(mux, g.options.MaxConnections)
}

// serveWhere answers which gateway a request should be sent to.
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
		g.metrics.observeWhere(failure)
		writeError(w, failure)
		return
	}
	g.metrics.observeWhere(nil)
	writeJSON(w, http.StatusOK, answer)
}

// serveRequest serves a request and its output.
func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	var request api.GenerateRequest
	failure := g.readRequest(w, r, &request)
	if failure == nil {
		failure = checkGenerate(&request)
	} else if failure.Retry {
		failure.Outcome = api.OutcomeUnknown // it may be the resend of one that ran
	}
	var reader *execution.Follower
	if failure == nil {
		reader, failure = g.submit(&request)
	}
	if failure != nil {
		copied := *failure
		copied.RequestID = request.RequestID
		g.recordRequest(&request, &copied, started)
		writeError(w, &copied)
		return
	}
	defer reader.Close()
	g.answer(w, r, &request, reader, started)
}

// maxFailureLogsPerSecond bounds the log lines about failed requests.
const maxFailureLogsPerSecond = 5

// recordRequest counts a finished request, and logs a failed one within the rate
// limit.
func (g *Gateway) recordRequest(request *api.GenerateRequest, failure *api.Error, started time.Time) {
	g.metrics.observeRequest(request, failure, started)
	if failure == nil || !g.failureLogs.Allow() {
		return
	}
	g.log.Info("request failed", "request", request.RequestID, "model", request.Model,
		"outcome", failure.Outcome, "code", failure.Code, "reason", failure.Message, "elapsed", time.Since(started))
}

// answer copies the output of an execution to the caller. It panics with
// http.ErrAbortHandler to break the connection where an incomplete answer must not
// look complete.
func (g *Gateway) answer(w http.ResponseWriter, r *http.Request, request *api.GenerateRequest, reader *execution.Follower, started time.Time) {
	ctx, cancel := context.WithDeadline(r.Context(), started.Add(api.Wait(request.WaitMS)+joinGracePeriod))
	defer cancel()
	var writer *stream.Writer
	for {
		frames, ended, err := reader.Next(ctx)
		if errors.Is(err, context.DeadlineExceeded) {
			ended, err = &execution.Result{Failure: callerDeadlineFailure(request)}, nil
		}
		if err != nil {
			g.recordRequest(request, newError(api.CodeCanceled, api.OutcomeUnknown, "the caller went away"), started)
			panic(http.ErrAbortHandler)
		}
		if ended != nil {
			g.recordRequest(request, ended.Failure, started)
			writeResult(w, writer, ended)
			return
		}
		if writer == nil {
			g.metrics.observeFirstEvent(request, started)
			writer = stream.NewWriter(w, writeTimeout)
		}
		if err := writer.Frames(frames); err != nil {
			g.recordRequest(request, newError(api.CodeCanceled, api.OutcomeUnknown, "the caller went away"), started)
			panic(http.ErrAbortHandler)
		}
	}
}

// callerDeadlineFailure is the error for a caller whose deadline comes before that of
// the execution that it joined.
func callerDeadlineFailure(request *api.GenerateRequest) *api.Error {
	failure := newRetryableError(api.CodeDeadline, "the request has no result yet in the caller's time")
	failure.Outcome = api.OutcomeUnknown
	failure.RequestID = request.RequestID
	return failure
}

// writeResult writes the end of a response.
func writeResult(w http.ResponseWriter, writer *stream.Writer, ended *execution.Result) {
	switch {
	case ended.Failure != nil && writer != nil && planted.Active(planted.CleanEnd):
		return
	case ended.Failure != nil && writer != nil:
		writer.Abort(ended.Failure)
	case ended.Failure != nil:
		writeError(w, ended.Failure)
	case ended.End != nil:
		if writer == nil {
			writer = stream.NewWriter(w, writeTimeout)
		}
		if err := writer.Event(api.EventEnd, ended.End); err != nil {
			panic(http.ErrAbortHandler)
		}
	default:
		writeJSON(w, http.StatusOK, ended.Answer)
	}
}
