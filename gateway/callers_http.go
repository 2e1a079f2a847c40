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

// CallersServer returns the HTTP server for callers. It has no listener yet: whoever
// calls this method serves and closes it.
func (g *Gateway) CallersServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(api.PathWhere, requireMethod(http.MethodPost, g.serveWhere))
	mux.HandleFunc(api.PathRequests, requireMethod(http.MethodPost, g.serveRequest))
	g.addHealth(mux)
	return g.newServer(mux, g.options.MaxConnections)
}

// serveWhere handles api.PathWhere: it answers which gateway the caller should send
// its request to.
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

// serveRequest handles api.PathRequests: it runs a request, or joins its execution,
// and responds with the output.
func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	var request api.GenerateRequest
	failure := g.readRequest(w, r, &request)
	if failure == nil {
		failure = checkGenerate(&request)
	} else if failure.Retry {
		failure.Outcome = api.OutcomeUnknown // it may be a resend of a request that ran
	}
	var follower *execution.Follower
	if failure == nil {
		follower, failure = g.submit(&request)
	}
	if failure != nil {
		copied := *failure
		copied.RequestID = request.RequestID
		g.recordRequest(&request, &copied, started)
		writeError(w, &copied)
		return
	}
	defer follower.Close()
	g.answer(w, r, &request, follower, started)
}

// maxFailureLogsPerSecond limits the log messages about failed requests.
const maxFailureLogsPerSecond = 5

// recordRequest updates the metrics for a finished request and, within the rate limit,
// logs its failure.
func (g *Gateway) recordRequest(request *api.GenerateRequest, failure *api.Error, started time.Time) {
	g.metrics.observeRequest(request, failure, started)
	if failure == nil || !g.failureLogs.Allow() {
		return
	}
	g.log.Info("request failed", "request", request.RequestID, "model", request.Model,
		"outcome", failure.Outcome, "code", failure.Code, "reason", failure.Message, "elapsed", time.Since(started))
}

// answer copies the output of an execution to the caller. To keep an incomplete
// response from looking complete, it panics with http.ErrAbortHandler, which makes
// net/http close the connection.
func (g *Gateway) answer(w http.ResponseWriter, r *http.Request, request *api.GenerateRequest, follower *execution.Follower, started time.Time) {
	ctx, cancel := context.WithDeadline(r.Context(), started.Add(api.Wait(request.WaitMS)+joinGracePeriod))
	defer cancel()
	var writer *stream.Writer
	for {
		frames, ended, err := follower.Next(ctx)
		if errors.Is(err, context.DeadlineExceeded) {
			ended, err = &execution.Result{Failure: callerDeadlineFailure(request)}, nil
		}
		if err != nil {
			g.recordRequest(request, newError(api.CodeCanceled, api.OutcomeUnknown, "the caller disconnected"), started)
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
			g.recordRequest(request, newError(api.CodeCanceled, api.OutcomeUnknown, "the caller disconnected"), started)
			panic(http.ErrAbortHandler)
		}
	}
}

// callerDeadlineFailure returns the error for a caller whose deadline is earlier than
// that of the execution that it joined.
func callerDeadlineFailure(request *api.GenerateRequest) *api.Error {
	failure := newRetryableError(api.CodeDeadline, "the request has no result yet at this caller's deadline")
	failure.Outcome = api.OutcomeUnknown
	failure.RequestID = request.RequestID
	return failure
}

// writeResult writes the result of an execution, which ends the response. The writer is
// nil if no event of a stream was written yet.
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
