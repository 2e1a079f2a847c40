package standin

import (
	"bytes"
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

// Details of a replica_ended event beside the kinds of faults.
const (
	endedWhole    = "whole"
	endedCanceled = "canceled"
)

// foreignRequest is the request id of FaultWrongID.
const foreignRequest = "foreign-request"

// foreverWait stands for a stall without an end.
const foreverWait = 24 * time.Hour

// run is one execution and its answer.
type run struct {
	server   *Server
	request  *api.ReplicaRequest
	events   <-chan emulator.Event
	identity identity
	// job is the run's id in the engine and the log, whatever the answer says.
	job   string
	fault Fault
	// detail says how the run ended.
	detail string
}

// respond answers the request and logs the end of its run.
func (r *run) respond(ctx context.Context, w http.ResponseWriter) {
	r.detail = endedWhole
	defer r.end()
	if r.request.Stream {
		r.respondStream(ctx, w)
		return
	}
	r.respondWhole(ctx, w)
}

// end logs the end; it runs also when the connection is aborted.
func (r *run) end() {
	r.server.engine.cancel(r.job)
	event := r.server.requestEvent(eventlog.ReplicaEnded, r.request)
	event.Run = r.job
	event.Detail = r.detail
	event.Tokens = r.identity.tokens
	event.CachedTokens = r.identity.cached
	r.server.write(event)
}

// misbehave logs that the fault takes effect.
func (r *run) misbehave() {
	r.detail = string(r.fault.Kind)
	event := r.server.requestEvent(eventlog.ReplicaFault, r.request)
	event.Run = r.job
	event.Detail = r.detail
	r.server.write(event)
}

// abort breaks the connection.
func (r *run) abort() {
	panic(http.ErrAbortHandler)
}

// next waits for the run's next event.
func (r *run) next(ctx context.Context) (emulator.Event, bool) {
	select {
	case event := <-r.events:
		r.identity.tokens = event.Index
		r.identity.cached = event.CachedTokens
		return event, true
	case <-ctx.Done():
	case <-r.server.dead:
	}
	r.detail = endedCanceled
	return emulator.Event{}, false
}

// await runs until the last event.
func (r *run) await(ctx context.Context) bool {
	for {
		event, alive := r.next(ctx)
		if !alive {
			return false
		}
		if event.Kind == emulator.EventEnd {
			return true
		}
	}
}

func (r *run) respondWhole(ctx context.Context, w http.ResponseWriter) {
	if r.fault.Kind == FaultCrash {
		r.crash(ctx)
	}
	if !r.await(ctx) {
		r.abort()
	}
	switch r.fault.Kind {
	case FaultStall, FaultLate:
		r.pause(ctx)
	case FaultCrossed:
		r.swap(ctx)
	case FaultWrongID:
		r.misbehave()
		r.identity.request = foreignRequest
	case FaultError:
		r.fail(ctx, w)
		return
	case FaultErrorInSuccess:
		r.misbehave()
		writeJSON(w, http.StatusOK, api.ErrorBody{Error: r.failure()})
		return
	}
	r.sendWhole(w)
}

// sendWhole writes the answer, cut short if the fault says so.
func (r *run) sendWhole(w http.ResponseWriter) {
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
		r.misbehave()
		r.write(w, body[:len(body)/2])
	case FaultBreakMidEvent:
		r.misbehave()
		r.write(w, body[:len(body)/2])
		r.abort()
	default:
		r.write(w, body)
	}
}

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

// write sends bytes at once and aborts if the connection is gone.
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

func (r *run) crash(ctx context.Context) {
	r.misbehave()
	r.server.sleep(ctx, r.fault.delay())
	r.server.crash()
}

// pause holds the answer back for the fault's delay; a stall without a delay
// lasts until the connection closes.
func (r *run) pause(ctx context.Context) {
	r.misbehave()
	wait := r.fault.delay()
	if r.fault.Kind == FaultStall && wait == 0 {
		wait = foreverWait
	}
	if !r.server.sleep(ctx, wait) {
		r.abort()
	}
}

// swap takes the identity of another request in exchange for the own one.
func (r *run) swap(ctx context.Context) {
	wait := r.fault.delay()
	if wait == 0 {
		wait = crossWait
	}
	other, met := r.server.cross.meet(ctx, r.identity, wait)
	if !met {
		return
	}
	r.misbehave()
	r.identity = other
}

// fail answers a server error after the delay, though the request has run.
func (r *run) fail(ctx context.Context, w http.ResponseWriter) {
	r.misbehave()
	if !r.server.sleep(ctx, r.fault.delay()) {
		r.abort()
	}
	failure := r.failure()
	writeJSON(w, http.StatusInternalServerError, api.ErrorBody{Error: failure})
}

func (r *run) failure() *api.Error {
	return &api.Error{
		Code:      api.CodeReplicaError,
		Outcome:   api.OutcomeFailed,
		Message:   "told to fail after the run began",
		RequestID: r.request.RequestID,
	}
}

func (r *run) respondStream(ctx context.Context, w http.ResponseWriter) {
	if r.fault.Kind == FaultError {
		r.fail(ctx, w)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	swapped := false
	for {
		event, alive := r.next(ctx)
		if !alive {
			r.abort()
		}
		if r.fault.Kind == FaultCrossed && !swapped {
			swapped = true
			r.swap(ctx)
		}
		due := event.Index > r.fault.AfterEvents || event.Kind == emulator.EventEnd
		if event.Kind == emulator.EventEnd && r.fault.Kind == FaultBreakBeforeEnd {
			r.misbehave()
			r.abort()
		}
		action := send
		if due {
			action = r.disturb(ctx, w, event)
		}
		if action == send {
			r.write(w, r.encode(event))
		}
		if action == finish || event.Kind == emulator.EventEnd {
			return
		}
	}
}

// action says what becomes of an event of a stream.
type action uint8

const (
	send   action = iota // as usual
	omit                 // leave it out and go on
	finish               // leave it out and end the answer
)

// disturb lets the fault take effect, once, before an event is sent.
func (r *run) disturb(ctx context.Context, w http.ResponseWriter, event emulator.Event) action {
	switch r.fault.Kind {
	case FaultCrash:
		r.crash(ctx)
	case FaultStall, FaultLate:
		r.pause(ctx)
	case FaultBreakMidEvent:
		r.misbehave()
		encoded := r.encode(event)
		r.write(w, encoded[:len(encoded)/2])
		r.abort()
	case FaultBreakBetweenEvents:
		r.misbehave()
		r.abort()
	case FaultTruncate:
		r.misbehave()
		return finish
	case FaultWrongID:
		r.misbehave()
		r.identity.request = foreignRequest
	case FaultErrorInSuccess:
		r.misbehave()
		r.write(w, encodeEvent(api.EventError, r.failure()))
		return finish
	case FaultRepeatPiece:
		r.misbehave()
		r.write(w, r.encode(event))
	case FaultSkipPiece:
		r.misbehave()
		r.fault = Fault{}
		return omit
	}
	if r.fault.Kind != FaultBreakBeforeEnd {
		r.fault = Fault{}
	}
	return send
}

// encode is the server-sent event of a token or of the end.
func (r *run) encode(event emulator.Event) []byte {
	if event.Kind == emulator.EventEnd {
		return r.encodeEnd(event)
	}
	return encodeEvent(api.EventPiece, api.StreamChunk{
		RequestID: r.identity.request,
		RunID:     r.identity.run,
		Sequence:  event.Index,
		Text:      tokenText(r.identity.run, event.Index),
		Tokens:    1,
	})
}

func (r *run) encodeEnd(event emulator.Event) []byte {
	return encodeEvent(api.EventEnd, api.StreamEnd{
		RequestID:    r.identity.request,
		RunID:        r.identity.run,
		Sequence:     event.Index + 1,
		Tokens:       event.Index,
		CachedTokens: event.CachedTokens,
		Report:       r.server.Report(),
	})
}

// encodeEvent is one server-sent event.
func encodeEvent(name string, data any) []byte {
	encoded, err := json.Marshal(data)
	if err != nil {
		panic(fmt.Sprintf("standin: encoding an event: %v", err))
	}
	var buffer bytes.Buffer
	buffer.WriteString("event: ")
	buffer.WriteString(name)
	buffer.WriteString("\ndata: ")
	buffer.Write(encoded)
	buffer.WriteString("\n\n")
	return buffer.Bytes()
}

// vocabulary are the words that answers are made of.
var vocabulary = []string{
	"amber", "birch", "cedar", "delta", "ember", "fjord", "grove", "harbor",
	"inlet", "jasper", "kelp", "ledge", "marsh", "north", "ochre", "pebble",
}

// tokenText is the text of one token of a run.
func tokenText(run string, index int) string {
	hash := fnv.New32a()
	hash.Write([]byte(run))
	return vocabulary[(int(hash.Sum32()>>8)+index*7)%len(vocabulary)] + " "
}
