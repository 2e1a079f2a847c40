package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// Operation is an operation that can be sent any number of times with the same id.
type Operation struct {
	ID     string
	method string
	path   string
	body   any
	// event carries the fields of its events that are the same for each send.
	event eventlog.Event
}

// Configuration returns an operation that replaces the whole configuration, based
// on the version base.
func (o *Operator) Configuration(base uint64, document string) Operation {
	id := o.nextID()
	return Operation{
		ID: id, method: http.MethodPut, path: api.PathConfiguration,
		body:  api.ConfigurationOperation{OperationID: id, BaseVersion: base, Author: o.name, Document: document},
		event: eventlog.Event{Operation: id, Detail: checker.DetailConfiguration, Base: base, Target: digest(document)},
	}
}

// Evacuation returns an operation that evacuates a zone, or withdraws that.
func (o *Operator) Evacuation(zone string, withdraw bool) Operation {
	id := o.nextID()
	detail := checker.DetailEvacuate
	if withdraw {
		detail = checker.DetailWithdraw
	}
	return Operation{
		ID: id, method: http.MethodPost, path: api.PathEvacuations,
		body:  api.EvacuationOperation{OperationID: id, Zone: zone, Withdraw: withdraw, Author: o.name},
		event: eventlog.Event{Operation: id, Detail: detail, Zone: zone},
	}
}

// nextID returns the id of a new operation.
func (o *Operator) nextID() string {
	return fmt.Sprintf("%s-%d", o.name, o.operations.Add(1))
}

// digest identifies a document in the event log.
func digest(document string) string {
	return strconv.FormatUint(xxhash.Sum64String(document), 16)
}

// Answer is a definite answer to an operation.
type Answer struct {
	Accepted bool
	// Version and Serial are those at which the operation was written.
	Version uint64
	Serial  uint32
	// Code and Message say why the operation was refused.
	Code    api.Code
	Message string
	// Took is the time from the first send to the answer.
	Took time.Duration
}

// parseAnswer reads an answer. It is definite unless the same operation must be sent
// again to learn its result.
func parseAnswer(status int, text []byte) (answer Answer, definite bool) {
	var body api.OperationResult
	if json.Unmarshal(text, &body) != nil {
		return Answer{Message: "an answer that does not decode"}, false
	}
	answer = Answer{Accepted: body.Accepted, Version: body.Version, Serial: body.Serial}
	if status == http.StatusOK && body.Accepted && body.Error == nil {
		return answer, true
	}
	answer.Accepted = false
	if body.Error == nil {
		return answer, false
	}
	answer.Code, answer.Message = body.Error.Code, body.Error.Message
	return answer, body.Error.Outcome == api.OutcomeRefused && !body.Error.Retry
}

// outcomeOf returns the outcome of an answer in the event log.
func outcomeOf(answer Answer, definite bool) string {
	switch {
	case !definite:
		return checker.OperationUnknown
	case answer.Accepted:
		return checker.OperationAccepted
	default:
		return checker.OperationRefused
	}
}
