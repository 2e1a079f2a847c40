package standin

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/emulator"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// The request path of a replica: checks, acceptance and refusals.

func (s *Server) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var request api.ReplicaRequest
	if err := decodeBody(w, r, &request); err != nil {
		writeError(w, &api.Error{Code: api.CodeInvalid, Outcome: api.OutcomeRefused, Message: err.Error()})
		return
	}
	s.logReceived(&request)
	run, refusal := s.accept(&request)
	if refusal != nil {
		s.writeRefused(&request, refusal)
		writeError(w, refusal)
		return
	}
	run.respond(r.Context(), w)
}

func (s *Server) logReceived(request *api.ReplicaRequest) {
	state := s.engine.state()
	s.mutex.Lock()
	s.noteWarm(state)
	s.mutex.Unlock()
	event := s.requestEvent(eventlog.ReplicaReceived, request)
	event.InFlight = state.Running + state.Queued + 1
	event.Cold = state.Cold
	s.write(event)
}

// requestEvent fills in what every event of a request carries.
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

func (s *Server) writeRefused(request *api.ReplicaRequest, refusal *api.Error) {
	event := s.requestEvent(eventlog.ReplicaRefused, request)
	event.Code = string(refusal.Code)
	s.write(event)
}

// accept begins the run of a request or says why it never runs. The execution
// is on record before anything of it can be answered.
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
		return nil, refusal(request, api.CodeOverloaded, "told to refuse")
	}
	job := emulator.Job{
		ID:           s.nextRun(),
		Prefixes:     request.Prefixes,
		PromptTokens: request.PromptTokens,
		AnswerTokens: request.MaxTokens,
	}
	events, err := s.engine.submit(job, func(state emulator.State) {
		event := s.requestEvent(eventlog.ReplicaExecuted, request)
		event.Run = job.ID
		event.InFlight = state.Running + state.Queued
		event.Cold = state.Cold
		s.write(event)
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

func (s *Server) nextRun() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runs++
	return fmt.Sprintf("%s/%s/%d", s.config.ID, s.config.Incarnation, s.runs)
}

// checkStamp refuses a request that an older configuration, or one for another
// incarnation, has placed here.
func (s *Server) checkStamp(request *api.ReplicaRequest) *api.Error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	version := request.Stamp.ConfigurationVersion
	if version < s.version {
		message := fmt.Sprintf("placed by configuration version %d, but version %d has been seen", version, s.version)
		return refusal(request, api.CodeStale, message)
	}
	s.version = version
	placedOn := request.Stamp.ReplicaIncarnation
	if placedOn != "" && placedOn != s.config.Incarnation {
		message := fmt.Sprintf("placed on incarnation %s, but this is %s", placedOn, s.config.Incarnation)
		return refusal(request, api.CodeRestarted, message)
	}
	return nil
}

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
			return refusal(request, api.CodeInvalid, "a prefix is out of range")
		}
	}
	return nil
}

// refusal is the error that says that the request has not run and never will.
func refusal(request *api.ReplicaRequest, code api.Code, message string) *api.Error {
	retry := code != api.CodeInvalid && code != api.CodeTooLarge && code != api.CodeDeadline
	return &api.Error{Code: code, Outcome: api.OutcomeRefused, Message: message, Retry: retry, RequestID: request.RequestID}
}
