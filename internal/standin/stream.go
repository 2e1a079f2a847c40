package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/emulator"
)

// respondStream sends the events of the run as server-sent events when they occur.
func (r *run) respondStream(ctx context.Context, w http.ResponseWriter) {
	if r.fault.Kind == FaultError {
		r.fail(ctx, w)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	swapped := false
	for {
		event, ok := r.next(ctx)
		if !ok {
			r.abort()
		}
		if r.fault.Kind == FaultCrossed && !swapped {
			swapped = true
			r.swapIdentity(ctx)
		}
		action := r.beforeEvent(ctx, w, event)
		if action == sendEvent {
			r.write(w, r.encode(event))
		}
		if action == endStream || event.Kind == emulator.EventEnd {
			return
		}
	}
}

// streamAction is how respondStream handles an event.
type streamAction uint8

const (
	sendEvent streamAction = iota // send the event
	omitEvent                     // omit the event and continue
	endStream                     // omit the event and end the response
)

// beforeEvent injects the fault if it is due before this event.
func (r *run) beforeEvent(ctx context.Context, w http.ResponseWriter, event emulator.Event) streamAction {
	last := event.Kind == emulator.EventEnd
	if last && r.fault.Kind == FaultBreakBeforeEnd {
		r.logFault()
		r.abort()
	}
	if !last && event.Index <= r.fault.AfterEvents {
		return sendEvent
	}
	return r.injectFault(ctx, w, event)
}

// injectFault injects the fault, once, before an event is sent. It ignores
// FaultBreakBeforeEnd, which beforeEvent handles.
func (r *run) injectFault(ctx context.Context, w http.ResponseWriter, event emulator.Event) streamAction {
	switch r.fault.Kind {
	case FaultCrash:
		r.crash(ctx)
	case FaultStall, FaultLate:
		r.delay(ctx)
	case FaultBreakMidEvent:
		r.logFault()
		encoded := r.encode(event)
		r.write(w, encoded[:len(encoded)/2])
		r.abort()
	case FaultBreakBetweenEvents:
		r.logFault()
		r.abort()
	case FaultTruncate:
		r.logFault()
		return endStream
	case FaultWrongID:
		r.logFault()
		r.identity.request = foreignRequestID
	case FaultErrorInSuccess:
		r.logFault()
		r.write(w, encodeEvent(api.EventError, r.failure()))
		return endStream
	case FaultRepeatChunk:
		r.logFault()
		r.write(w, r.encode(event))
	case FaultSkipChunk:
		r.logFault()
		r.fault = Fault{}
		return omitEvent
	}
	if r.fault.Kind != FaultBreakBeforeEnd {
		r.fault = Fault{}
	}
	return sendEvent
}

// encode returns the server-sent event for a token or for the end of the run.
func (r *run) encode(event emulator.Event) []byte {
	if event.Kind == emulator.EventEnd {
		return r.encodeEnd(event)
	}
	return encodeEvent(api.EventChunk, api.StreamChunk{
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

// encodeEvent returns one server-sent event.
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
