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

// Operation is an idempotent operation: it can be sent any number of times with the same
// ID.
type Operation struct {
	ID     string
	method string
	path   string
	body   any
	// event holds the event fields that are the same each time the operation is sent.
	event eventlog.Event
}

// Configuration returns an operation that replaces the whole configuration. It takes effect
// only if base is the current version.
func (o *Operator) Configuration(base uint64, document string) Operation {
	id := o.nextID()
	return Operation{
		ID: id, method: http.MethodPut, path: api.PathConfiguration,
		body:  api.ConfigurationOperation{OperationID: id, BaseVersion: base, Author: o.name, Document: document},
		event: eventlog.Event{Operation: id, Detail: checker.DetailConfiguration, Base: base, Target: digest(document)},
	}
}

// Evacuation returns an operation that evacuates a zone, or that withdraws its evacuation.
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

// nextID returns a new operation ID.
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
	// Version and Serial are the configuration version and the serial at which the operation
	// was committed.
	Version uint64
	Serial  uint32
	// Code and Message describe why the operation was refused.
	Code    api.Code
	Message string
	// Took is the time from the first send to the answer.
	Took time.Duration
}

// parseAnswer parses an answer. The answer is definite unless the operation must be sent
// again to determine its result.
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

// outcomeOf returns the outcome that the event log records for an answer.
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
