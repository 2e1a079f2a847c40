package httpapi

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/control/apierror"
	"github.com/deckpulley/deckpulley/control/executor"
	"github.com/deckpulley/deckpulley/peer"
)

// The handler of an operation decodes the body and sets the author; submit executes the
// operation and writes the answer.

func (h *handlers) putConfiguration(w http.ResponseWriter, r *http.Request, operator string) {
	submitBody(h, w, r, maxOperationBody, func(body *api.ConfigurationOperation) (peer.OperationRequest, *api.Error) {
		if len(body.Document) > configuration.MaxDocumentBytes {
			message := fmt.Sprintf("must have at most %d bytes", configuration.MaxDocumentBytes)
			return peer.OperationRequest{}, apierror.TooLarge("document", message)
		}
		body.Author = authorOrDefault(body.Author, operator)
		return peer.OperationRequest{Configuration: body}, nil
	})
}

func (h *handlers) patchConfiguration(w http.ResponseWriter, r *http.Request, operator string) {
	submitBody(h, w, r, maxOperationBody, func(body *api.ConfigurationPatchOperation) (peer.OperationRequest, *api.Error) {
		body.Author = authorOrDefault(body.Author, operator)
		return peer.OperationRequest{ConfigurationChange: body}, nil
	})
}

func (h *handlers) postEvacuation(w http.ResponseWriter, r *http.Request, operator string) {
	submitBody(h, w, r, MaxEvacuationBody, func(body *api.EvacuationOperation) (peer.OperationRequest, *api.Error) {
		body.Author = authorOrDefault(body.Author, operator)
		return peer.OperationRequest{Evacuation: body}, nil
	})
}

func (h *handlers) putReplicas(w http.ResponseWriter, r *http.Request, _ string) {
	submitBody(h, w, r, maxOperationBody, func(body *api.ReplicaList) (peer.OperationRequest, *api.Error) {
		return peer.OperationRequest{Replicas: body}, nil
	})
}

func authorOrDefault(author, operator string) string {
	if author == "" {
		return operator
	}
	return author
}

// submitBody submits the operation that a request's body describes.
func submitBody[Body any](h *handlers, w http.ResponseWriter, r *http.Request, limit int64, request func(*Body) (peer.OperationRequest, *api.Error)) {
	var body Body
	if problem := readJSON(w, r, limit, &body); problem != nil {
		writeError(w, problem)
		return
	}
	operation, problem := request(&body)
	if problem != nil {
		writeError(w, problem)
		return
	}
	h.submit(w, r, operation)
}

// submit executes an operation within the time that the request allows.
func (h *handlers) submit(w http.ResponseWriter, r *http.Request, request peer.OperationRequest) {
	wait, problem := h.parseWait(r)
	if problem != nil {
		writeError(w, problem)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	reply := h.config.Executor.Submit(ctx, request)
	switch {
	case reply.Error != nil:
		writeError(w, reply.Error)
	case reply.Answer.Error != nil:
		writeJSON(w, reply.Answer.Error.Status(), reply.Answer)
	default:
		writeJSON(w, http.StatusOK, reply.Answer)
	}
}

func (h *handlers) parseWait(r *http.Request) (time.Duration, *api.Error) {
	text := r.URL.Query().Get(parameterWait)
	if text == "" {
		return h.config.OperationTimeout, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 0 || millis > executor.MaxWait.Milliseconds() {
		return 0, apierror.Invalid(parameterWait, fmt.Sprintf("must be a number of milliseconds up to %d", executor.MaxWait.Milliseconds()))
	}
	return time.Duration(millis) * time.Millisecond, nil
}
