// Package api defines the JSON documents that deckpulley exchanges over
// HTTP/1.1 with callers, replicas, operators and the platform. It contains only
// types and constants, no handlers and no client.
//
// The JSON field names and values are the stable interface. Go names may be renamed, so
// some of them differ from their JSON names.
package api

import (
	"fmt"
	"net/http"
)

// Outcome reports what is known about the execution of a request.
type Outcome string

const (
	// OutcomeSuccess means that the answer is complete and belongs to the request.
	OutcomeSuccess Outcome = "success"
	// OutcomeRefused means that the request has not run and never will.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed means that the request ran, at least in part, and failed.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that it is not known whether the request ran.
	OutcomeUnknown Outcome = "unknown"
)

// Code identifies the cause of an error. Codes are stable: programs may compare them.
type Code string

const (
	CodeInvalid           Code = "invalid"             // malformed or outside the limits
	CodeTooLarge          Code = "too_large"           // a size limit was exceeded
	CodeUnauthorized      Code = "unauthorized"        // missing or wrong operator token
	CodeNotFound          Code = "not_found"           // unknown path, model, route or object
	CodeTicketRequired    Code = "ticket_required"     // not idempotent and without a ticket
	CodeTicketInvalid     Code = "ticket_invalid"      // not authentic, or for another request
	CodeTicketExpired     Code = "ticket_expired"      // used after its deadline
	CodeTicketOrphaned    Code = "ticket_orphaned"     // the owner was removed or restarted
	CodeDuplicate         Code = "duplicate"           // a stream for this request is already running elsewhere
	CodeOverloaded        Code = "overloaded"          // the queue is full or the quota share is exhausted
	CodeDeadline          Code = "deadline"            // not completed, or not possible, by the caller's deadline
	CodeNoCapacity        Code = "no_capacity"         // no replica that may serve the request is available
	CodeHomeUnavailable   Code = "home_unavailable"    // the home regions cannot serve now
	CodeNoLease           Code = "no_lease"            // the gateway has no valid lease
	CodeNotReady          Code = "not_ready"           // the node is starting or draining
	CodeStale             Code = "stale_configuration" // the replica has seen a newer configuration
	CodeRestarted         Code = "replica_restarted"   // the request is for another incarnation of the replica
	CodeReplicaDraining   Code = "replica_draining"    // the replica accepts no new requests
	CodeReplicaError      Code = "replica_error"       // the replica responded with an error
	CodeReplicaBroken     Code = "replica_broken"      // the connection or stream broke
	CodeReplicaMismatch   Code = "replica_mismatch"    // the answer belongs to another request
	CodeReplicaIncomplete Code = "replica_incomplete"  // the answer is truncated
	CodeReplicaStalled    Code = "replica_stalled"     // no event within the idle timeout
	CodeVersionConflict   Code = "version_conflict"    // the base version is not the current one
	CodeOperationConflict Code = "order_conflict"      // the operation ID was used for another operation
	CodeNoPrimary         Code = "no_primary"          // no primary can be reached
	CodePending           Code = "pending"             // committed, not yet known to be in force everywhere
	CodeCanceled          Code = "canceled"            // the caller canceled the request
	CodeInternal          Code = "internal"            // a defect in deckpulley
)

// Error describes a failed request. It is in the body of every response that is not a
// success, and it is the data of a stream's error event.
type Error struct {
	// Code identifies the cause.
	Code Code `json:"code"`
	// Outcome reports whether the request ran.
	Outcome Outcome `json:"outcome"`
	// Message describes the error in one sentence.
	Message string `json:"message"`
	// Field is the dotted path of the invalid field, for CodeInvalid.
	Field string `json:"field,omitempty"`
	// Retry reports whether sending the same request again may succeed.
	Retry bool `json:"retry"`
	// RetryAfterMS is the time to wait before a retry, in milliseconds. Zero leaves the
	// time to the client.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// RequestID is the ID of the request that failed, if any.
	RequestID string `json:"request_id,omitempty"`
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%s (%s): %s: %s", e.Code, e.Outcome, e.Field, e.Message)
	}
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Outcome, e.Message)
}

// ErrorBody is the JSON body of a response that reports an Error.
type ErrorBody struct {
	Error *Error `json:"error"`
}

// Status returns the HTTP status of a response that reports the error.
func (e *Error) Status() int {
	switch e.Code {
	case CodeInvalid, CodeTicketRequired, CodeTicketInvalid:
		return http.StatusBadRequest
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeUnauthorized:
		return http.StatusUnauthorized
	case CodeNotFound:
		return http.StatusNotFound
	case CodeDuplicate, CodeVersionConflict, CodeOperationConflict, CodeStale, CodeRestarted:
		return http.StatusConflict
	case CodeTicketExpired, CodeTicketOrphaned:
		return http.StatusGone
	case CodeOverloaded:
		return http.StatusTooManyRequests
	case CodeNoCapacity, CodeHomeUnavailable, CodeNoLease, CodeNotReady, CodeReplicaDraining, CodeNoPrimary:
		return http.StatusServiceUnavailable
	case CodeDeadline:
		return http.StatusGatewayTimeout
	case CodePending:
		return http.StatusAccepted
	case CodeReplicaError, CodeReplicaBroken, CodeReplicaMismatch, CodeReplicaIncomplete, CodeReplicaStalled:
		return http.StatusBadGateway
	default:
		return http.StatusInternalServerError
	}
}
