package standin

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/emulator"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// serveGenerate runs a request, or refuses it before any part of it has run.
func (s *Server) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var request api.ReplicaRequest
	if err := decodeJSON(w, r, &request); err != nil {
		writeInvalid(w, err)
		return
	}
	s.logReceived(&request)
	run, refused := s.accept(&request)
	if refused != nil {
		s.logRefused(&request, refused)
		writeError(w, refused)
		return
	}
	run.respond(r.Context(), w)
}

func (s *Server) logReceived(request *api.ReplicaRequest) {
	state := s.engine.state()
	s.mutex.Lock()
	s.logWarmedUp(state)
	s.mutex.Unlock()
	event := s.requestEvent(eventlog.ReplicaReceived, request)
	event.InFlight = state.Running + state.Queued + 1
	event.Cold = state.Cold
	s.logEvent(event)
}

// requestEvent returns an event with the fields that all events of a request have.
func (s *Server) requestEvent(kind eventlog.Kind, request *api.ReplicaRequest) eventlog.Event {
	return eventlog.Event{
		Kind:        kind,
		Request:     request.RequestID,
		Attempt:     request.Stamp.Attempt,
		Gateway:     request.Stamp.Gateway,
		Incarnation: request.Stamp.Incarnation,
		Version:     request.Stamp.ConfigurationVersion,
		Serial:      request.Stamp.Serial,
		Class:       string(request.Class),
		Stream:      request.Stream,
	}
}

func (s *Server) logRefused(request *api.ReplicaRequest, refused *api.Error) {
	event := s.requestEvent(eventlog.ReplicaRefused, request)
	event.Code = string(refused.Code)
	s.logEvent(event)
}

// accept starts the run of a request, or returns why it is refused. The execution is
// logged before its first event can be received, so that the log contains every run that
// a caller can observe.
func (s *Server) accept(request *api.ReplicaRequest) (*run, *api.Error) {
	s.admission.Lock()
	defer s.admission.Unlock()
	if stale := s.checkStamp(request); stale != nil {
		return nil, stale
	}
	if invalid := checkRequest(request); invalid != nil {
		return nil, invalid
	}
	if fault := s.faults.take(request.Stream, true); fault.Kind == FaultRefuse {
		return nil, refusal(request, api.CodeOverloaded, "refused by an injected fault")
	}
	job := emulator.Job{
		ID:           s.nextRunID(),
		Prefixes:     request.Prefixes,
		PromptTokens: request.PromptTokens,
		AnswerTokens: request.MaxTokens,
	}
	events, err := s.engine.submit(job, func(state emulator.State) {
		event := s.requestEvent(eventlog.ReplicaExecuted, request)
		event.Run = job.ID
		event.InFlight = state.Running + state.Queued
		event.Cold = state.Cold
		s.logEvent(event)
	})
	if err != nil {
		return nil, refusal(request, refusalCode(err), err.Error())
	}
	return &run{
		server:   s,
		request:  request,
		events:   events,
		identity: identity{request: request.RequestID, run: job.ID},
		job:      job.ID,
		fault:    s.faults.take(request.Stream, false),
	}, nil
}

// refusalCode returns the API error code for an error of the emulator.
func refusalCode(err error) api.Code {
	switch {
	case errors.Is(err, emulator.ErrDraining):
		return api.CodeReplicaDraining
	case errors.Is(err, emulator.ErrTooLarge):
		return api.CodeTooLarge
	default:
		return api.CodeOverloaded
	}
}

// nextRunID returns an id that is unique among the runs of all replicas.
func (s *Server) nextRunID() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runs++
	return fmt.Sprintf("%s/%s/%d", s.config.ID, s.config.Incarnation, s.runs)
}

// checkStamp refuses a request that was placed by an older configuration version than
// the newest one seen, or on another incarnation of this replica. It returns nil for an
// accepted request.
func (s *Server) checkStamp(request *api.ReplicaRequest) *api.Error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	version := request.Stamp.ConfigurationVersion
	if version < s.version {
		message := fmt.Sprintf("placed by configuration version %d, but this replica has seen version %d", version, s.version)
		return refusal(request, api.CodeStale, message)
	}
	s.version = version
	placedOn := request.Stamp.ReplicaIncarnation
	if placedOn != "" && placedOn != s.config.Incarnation {
		message := fmt.Sprintf("placed on incarnation %s, but this replica is incarnation %s", placedOn, s.config.Incarnation)
		return refusal(request, api.CodeRestarted, message)
	}
	return nil
}

// checkRequest refuses a request with an invalid field or without time left. It returns
// nil for a valid request.
func checkRequest(request *api.ReplicaRequest) *api.Error {
	switch {
	case request.RequestID == "":
		return refusal(request, api.CodeInvalid, "request_id is missing")
	case request.MaxTokens < 1 || request.MaxTokens > api.MaxOutputTokens:
		return refusal(request, api.CodeInvalid, "max_tokens is out of range")
	case request.PromptTokens < 0 || request.PromptTokens > api.MaxPromptTokens:
		return refusal(request, api.CodeInvalid, "prompt_tokens is out of range")
	case request.TimeLeftMS <= 0:
		return refusal(request, api.CodeDeadline, "no time is left")
	}
	for _, prefix := range request.Prefixes {
		if prefix.ID == "" || prefix.Tokens < 0 || prefix.Tokens > api.MaxPromptTokens {
			return refusal(request, api.CodeInvalid, "a prefix has no id or its tokens are out of range")
		}
	}
	return nil
}

// refusal returns the error for a request that is refused and will not run. Retry is set
// unless every other replica would refuse the request, too.
func refusal(request *api.ReplicaRequest, code api.Code, message string) *api.Error {
	retry := code != api.CodeInvalid && code != api.CodeTooLarge && code != api.CodeDeadline
	return &api.Error{Code: code, Outcome: api.OutcomeRefused, Message: message, Retry: retry, RequestID: request.RequestID}
}
