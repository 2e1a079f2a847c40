// Package operation validates operators' operations and decides what each of them
// changes.
//
// The result of an operation is stored as a record, by the same update that makes its
// change. A prerequisite of this update is that no result of the operation is stored
// yet. So an operation takes effect at most once, and every later primary answers it
// with the same result. A refusal is stored by an update of its own. A malformed
// operation is rejected without a record.
//
// Everything here is a pure function of the operation and of the registry's state at
// the primary. Package executor submits the decisions to the replicated log. On the
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

// Operation is a well-formed operation.
type Operation struct {
	request  peer.OperationRequest
	document *configuration.Document
	// change is the parsed change of a configuration change, nil for other operations.
	change *patch.Change
	digest uint64
	// routeMapID identifies an operation on the route map.
	routeMapID string
}

// New returns the operation of a request, or the error of a malformed one.
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
		return apierror.Invalid("", "the request contains no order")
	}
}

// Request returns the request as it was received.
func (o *Operation) Request() peer.OperationRequest { return o.request }

// Replicas returns the platform's list of replicas, nil for any other operation. Such
// an operation has no id and no stored result, and is decided by ReplicaUpdate.
func (o *Operation) Replicas() *api.ReplicaList { return o.request.Replicas }

// IsRouteMap reports whether the operation changes the route map.
func (o *Operation) IsRouteMap() bool { return o.request.RouteMap != nil }

// IsEvacuation reports whether the operation evacuates a zone or ends an evacuation.
func (o *Operation) IsEvacuation() bool { return o.request.Evacuation != nil }

// ID returns the id of the operation, empty for a list of replicas.
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

// Digest returns a hash of the operation's content without its author. The same id
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
		return apierror.Invalid("zone", objectNameReason())
	}
	o.digest = digestOf("evacuation", request.Zone, request.Withdraw)
	return nil
}

// invalidChange returns the API error for a change that cannot be applied, with the
// field at fault.
func invalidChange(err error) *api.Error {
	var problem *patch.FieldError
	if errors.As(err, &problem) {
		return apierror.Invalid("change."+problem.Field, problem.Reason)
	}
	return apierror.Invalid("change", err.Error())
}

// invalidDocument returns the API error for an invalid document. Its field is that of
// the first problem; its message lists all of them.
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
		return apierror.Invalid("order_id", objectNameReason())
	}
	if len(author) > api.MaxNameBytes {
		return apierror.Invalid("author", fmt.Sprintf("must have at most %d bytes", api.MaxNameBytes))
	}
	return nil
}

func objectNameReason() string {
	return fmt.Sprintf("must have 1 to %d bytes", catalog.MaxObjectNameBytes)
}

// digestOf hashes the content of an operation. The hash is stored with its result.
func digestOf(parts ...any) uint64 {
	encoded, err := cbor.Marshal(parts)
	if err != nil {
		panic(fmt.Sprintf("control: encoding the content of an order: %v", err))
	}
	return xxhash.Sum64(encoded)
}
