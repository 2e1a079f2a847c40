package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/emulator"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// Details of a replica_ended event. For a run with a fault the detail is the FaultKind.
const (
	endedComplete = "whole"
	endedCanceled = "canceled"
)

// foreignRequestID is the request id in a response with FaultWrongID.
const foreignRequestID = "foreign-request"

// unboundedStall is the length of a FaultStall without a delay: longer than any caller
// waits.
const unboundedStall = 24 * time.Hour

// run is one execution of a request with its response.
type run struct {
	server   *Server
	request  *api.ReplicaRequest
	events   <-chan emulator.Event
	identity identity
	// job is the run's id in the engine and the log, even if a fault puts another one
	// into the response.
	job string
	// fault is the injected fault, the zero Fault if there is none.
	fault Fault
	// detail describes how the run ended, for the log.
	detail string
}

// respond sends the response and logs the end of the run.
func (r *run) respond(ctx context.Context, w http.ResponseWriter) {
	r.detail = endedComplete
	defer r.end()
	if r.request.Stream {
		r.respondStream(ctx, w)
		return
	}
	r.respondJSON(ctx, w)
}

// end cancels the job if it still runs, and logs the end of the run. Callers defer it,
// because abort panics.
func (r *run) end() {
	r.server.engine.cancel(r.job)
	event := r.server.requestEvent(eventlog.ReplicaEnded, r.request)
	event.Run = r.job
	event.Detail = r.detail
	event.Tokens = r.identity.tokens
	event.CachedTokens = r.identity.cached
	r.server.logEvent(event)
}

// logFault logs that the fault takes effect, and sets the detail of the run's end to it.
func (r *run) logFault() {
	r.detail = string(r.fault.Kind)
	event := r.server.requestEvent(eventlog.ReplicaFault, r.request)
	event.Run = r.job
	event.Detail = r.detail
	r.server.logEvent(event)
}

// abort closes the connection without completing the response. It does not return.
func (r *run) abort() {
	panic(http.ErrAbortHandler)
}

// next waits for the run's next event. It returns false if the caller canceled the
// request or the replica stopped.
func (r *run) next(ctx context.Context) (emulator.Event, bool) {
	select {
	case event := <-r.events:
		r.identity.tokens = event.Index
		r.identity.cached = event.CachedTokens
		return event, true
	case <-ctx.Done():
	case <-r.server.stopped:
	}
	r.detail = endedCanceled
	return emulator.Event{}, false
}

// awaitEnd waits for the last event. It returns false if the caller canceled the request
// or the replica stopped.
func (r *run) awaitEnd(ctx context.Context) bool {
	for {
		event, ok := r.next(ctx)
		if !ok {
			return false
		}
		if event.Kind == emulator.EventEnd {
			return true
		}
	}
}

// respondJSON sends a JSON response once the run has ended.
func (r *run) respondJSON(ctx context.Context, w http.ResponseWriter) {
	if r.fault.Kind == FaultCrash {
		r.crash(ctx)
	}
	if !r.awaitEnd(ctx) {
		r.abort()
	}
	switch r.fault.Kind {
	case FaultStall, FaultLate:
		r.delay(ctx)
	case FaultCrossed:
		r.swapIdentity(ctx)
	case FaultWrongID:
		r.logFault()
		r.identity.request = foreignRequestID
	case FaultError:
		r.fail(ctx, w)
		return
	case FaultErrorInSuccess:
		r.logFault()
		writeJSON(w, http.StatusOK, api.ErrorBody{Error: r.failure()})
		return
	}
	r.sendJSON(w)
}

// sendJSON writes the response, incomplete if the fault requires it.
func (r *run) sendJSON(w http.ResponseWriter) {
	body, err := json.Marshal(r.answer())
	if err != nil {
		panic(fmt.Sprintf("standin: encoding an answer: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	if r.fault.Kind != FaultTruncate {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	switch r.fault.Kind {
	case FaultTruncate, FaultShortBody:
		r.logFault()
		r.write(w, body[:len(body)/2])
	case FaultBreakMidEvent:
		r.logFault()
		r.write(w, body[:len(body)/2])
		r.abort()
	default:
		r.write(w, body)
	}
}

// answer returns the body of a JSON response.
func (r *run) answer() *api.GenerateAnswer {
	var text strings.Builder
	for index := 1; index <= r.identity.tokens; index++ {
		text.WriteString(tokenText(r.identity.run, index))
	}
	return &api.GenerateAnswer{
		RequestID:    r.identity.request,
		RunID:        r.identity.run,
		Tokens:       r.identity.tokens,
		Text:         text.String(),
		CachedTokens: r.identity.cached,
		Report:       r.server.Report(),
	}
}

// write sends and flushes content. If the connection is broken, it aborts the run.
func (r *run) write(w http.ResponseWriter, content []byte) {
	if _, err := w.Write(content); err != nil {
		r.detail = endedCanceled
		r.abort()
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		r.detail = endedCanceled
		r.abort()
	}
}

// crash ends the replica after the fault's delay. It does not return.
func (r *run) crash(ctx context.Context) {
	r.logFault()
	r.server.sleep(ctx, r.fault.delay())
	r.server.crash()
}

// delay delays the response by the fault's delay. A stall without a delay lasts until the
// connection is closed.
func (r *run) delay(ctx context.Context) {
	r.logFault()
	wait := r.fault.delay()
	if r.fault.Kind == FaultStall && wait == 0 {
		wait = unboundedStall
	}
	if !r.server.sleep(ctx, wait) {
		r.abort()
	}
}

// swapIdentity exchanges the run's identity with that of a concurrent request. It does
// nothing if no such request arrives in time.
func (r *run) swapIdentity(ctx context.Context) {
	timeout := r.fault.delay()
	if timeout == 0 {
		timeout = swapTimeout
	}
	other, swapped := r.server.swap.exchange(ctx, r.identity, timeout)
	if !swapped {
		return
	}
	r.logFault()
	r.identity = other
}

// fail responds with a server error after the fault's delay, although the request has
// run.
func (r *run) fail(ctx context.Context, w http.ResponseWriter) {
	r.logFault()
	if !r.server.sleep(ctx, r.fault.delay()) {
		r.abort()
	}
	writeJSON(w, http.StatusInternalServerError, api.ErrorBody{Error: r.failure()})
}

// failure returns the error that FaultError and FaultErrorInSuccess send.
func (r *run) failure() *api.Error {
	return &api.Error{
		Code:      api.CodeReplicaError,
		Outcome:   api.OutcomeFailed,
		Message:   "failed by an injected fault after the run began",
		RequestID: r.request.RequestID,
	}
}

// vocabulary contains the words of generated text.
var vocabulary = []string{
	"amber", "birch", "cedar", "delta", "ember", "fjord", "grove", "harbor",
	"inlet", "jasper", "kelp", "ledge", "marsh", "north", "ochre", "pebble",
}

// tokenText returns the text of a token. It depends only on the run and the index.
func tokenText(run string, index int) string {
	hash := fnv.New32a()
	hash.Write([]byte(run))
	return vocabulary[(int(hash.Sum32()>>8)+index*7)%len(vocabulary)] + " "
}
