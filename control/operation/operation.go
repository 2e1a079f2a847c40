// Package operation checks operators' operations and decides what each changes.
//
// An operation's first answer is a record, written by the same update as its effect
// and under the prerequisite that no answer to it exists. So it takes effect once and
// is answered alike for ever, whoever leads. A refusal is written by an update of its
// own. What is malformed is answered without a record.
//
// Everything here is a pure function of the operation and of the registry's state at
// the primary. Package executor puts the decisions through the replicated log. On the
// wire and in the registry an operation is called an order.
package operation

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/control/apierror"
	"github.com/deckpulley/deckpulley/patch"
	"github.com/deckpulley/deckpulley/peer"
)

// Operation is one operation whose form is valid.
type Operation struct {
	request  peer.OperationRequest
	document *configuration.Document
	// change is that of an operation which changes the document.
	change *patch.Change
	digest uint64
	// routeMapID identifies an operation on the route map.
	routeMapID string
}

// New checks the form of an operation.
func New(request peer.OperationRequest) (*Operation, *api.Error) {
	o := &Operation{request: request}
	if problem := o.check(); problem != nil {
		return nil, problem
	}
	return o, nil
}

func (o *Operation) check() *api.Error {
	switch {
	case o.request.Configuration != nil:
		return o.checkConfiguration(o.request.Configuration)
	case o.request.Evacuation != nil:
		return o.checkEvacuation(o.request.Evacuation)
	case o.request.Replicas != nil:
		return checkReplicas(o.request.Replicas)
	case o.request.RouteMap != nil:
		return o.checkRouteMap(o.request.RouteMap)
	case o.request.ConfigurationChange != nil:
		return o.checkConfigurationChange(o.request.ConfigurationChange)
	default:
		return apierror.Invalid("", "the request carries no order")
	}
}

// Request is the request as it was received.
func (o *Operation) Request() peer.OperationRequest { return o.request }

// Replicas is the platform's list of replicas; nil for any other operation. It has
// no id and no record of its answer, and is decided by ReplicaUpdate.
func (o *Operation) Replicas() *api.ReplicaList { return o.request.Replicas }

// IsRouteMap is true for an operation on the route map.
func (o *Operation) IsRouteMap() bool { return o.request.RouteMap != nil }

// ID identifies the operation; empty for a list of replicas.
func (o *Operation) ID() string {
	switch {
	case o.request.Configuration != nil:
		return o.request.Configuration.OperationID
	case o.request.Evacuation != nil:
		return o.request.Evacuation.OperationID
	case o.request.RouteMap != nil:
		return o.routeMapID
	case o.request.ConfigurationChange != nil:
		return o.request.ConfigurationChange.OperationID
	default:
		return ""
	}
}

// Digest is a hash of what the operation asks for, its author apart: the same id
// with another digest is a conflict.
func (o *Operation) Digest() uint64 { return o.digest }

func (o *Operation) checkConfiguration(request *api.ConfigurationOperation) *api.Error {
	if problem := checkID(request.OperationID, request.Author); problem != nil {
		return problem
	}
	document, err := configuration.Load(request.Document)
	if err != nil {
		return invalidDocument(err)
	}
	o.document = document
	o.digest = digestOf("configuration", request.BaseVersion, request.Document)
	return nil
}

func (o *Operation) checkConfigurationChange(request *api.ConfigurationPatchOperation) *api.Error {
	if problem := checkID(request.OperationID, request.Author); problem != nil {
		return problem
	}
	change, err := configuration.ParseChange(request.Change)
	if err != nil {
		return invalidChange(err)
	}
	o.change = change
	o.digest = digestOf("configuration change", request.BaseVersion, request.Change)
	return nil
}

func (o *Operation) checkEvacuation(request *api.EvacuationOperation) *api.Error {
	if problem := checkID(request.OperationID, request.Author); problem != nil {
		return problem
	}
	if catalog.CheckObjectName(request.Zone) != nil {
		return apierror.Invalid("zone", objectNameLength())
	}
	o.digest = digestOf("evacuation", request.Zone, request.Withdraw)
	return nil
}

// invalidChange names the field of a change that cannot be made.
func invalidChange(err error) *api.Error {
	var problem *patch.FieldError
	if errors.As(err, &problem) {
		return apierror.Invalid("change."+problem.Field, problem.Reason)
	}
	return apierror.Invalid("change", err.Error())
}

// invalidDocument names the first problem's field; the message has all of them.
func invalidDocument(err error) *api.Error {
	answer := apierror.Invalid("document", err.Error())
	var problems *configuration.DocumentError
	if errors.As(err, &problems) && len(problems.Problems) > 0 && problems.Problems[0].Field != "" {
		answer.Field = "document." + problems.Problems[0].Field
	}
	return answer
}

func checkID(id, author string) *api.Error {
	if catalog.CheckObjectName(id) != nil {
		return apierror.Invalid("order_id", objectNameLength())
	}
	if len(author) > api.MaxNameBytes {
		return apierror.Invalid("author", fmt.Sprintf("must have at most %d bytes", api.MaxNameBytes))
	}
	return nil
}

func objectNameLength() string {
	return fmt.Sprintf("must have 1 to %d bytes", catalog.MaxObjectNameBytes)
}

// digestOf hashes what an operation asks for. The hash is stored with its answer.
func digestOf(parts ...any) uint64 {
	encoded, err := cbor.Marshal(parts)
	if err != nil {
		panic(fmt.Sprintf("control: encoding an order: %v", err))
	}
	return xxhash.Sum64(encoded)
}
