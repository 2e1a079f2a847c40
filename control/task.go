package control

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/patch"
	"github.com/deckpulley/deckpulley/peer"
)

// task is one order on its way through this node.
type task struct {
	request  peer.OperationRequest
	document *configuration.Document
	// change is that of an order which changes the document.
	change *patch.Change
	digest uint64
	// routeMapID is the identity of an order for a map of routes.
	routeMapID string
	// sent is true once the order may have been carried out.
	sent bool
}

// newTask checks the form of an order.
func newTask(request peer.OperationRequest) (*task, *api.Error) {
	t := &task{request: request}
	switch {
	case request.Configuration != nil:
		return t, t.checkConfiguration(request.Configuration)
	case request.Evacuation != nil:
		return t, t.checkEvacuation(request.Evacuation)
	case request.Replicas != nil:
		return t, checkReplicas(request.Replicas)
	case request.RouteMap != nil:
		return t, t.checkRouteMap(request.RouteMap)
	case request.ConfigurationChange != nil:
		return t, t.checkConfigurationChange(request.ConfigurationChange)
	default:
		return nil, invalid("", "the request carries no order")
	}
}

func (t *task) id() string {
	switch {
	case t.request.Configuration != nil:
		return t.request.Configuration.OperationID
	case t.request.Evacuation != nil:
		return t.request.Evacuation.OperationID
	case t.request.RouteMap != nil:
		return t.routeMapID
	case t.request.ConfigurationChange != nil:
		return t.request.ConfigurationChange.OperationID
	default:
		return ""
	}
}

// unfinished answers an order whose time ran out.
func (t *task) unfinished() *api.Error {
	if !t.sent {
		return noPrimary("no primary was reached in time; the order was not carried out", api.OutcomeRefused)
	}
	return &api.Error{
		Code:         api.CodePending,
		Outcome:      api.OutcomeUnknown,
		Message:      "the order is not yet known to be in force everywhere; send it again with the same order id",
		Retry:        true,
		RetryAfterMS: noPrimaryRetryAfter.Milliseconds(),
	}
}

func (t *task) checkConfiguration(order *api.ConfigurationOperation) *api.Error {
	if problem := checkOrderID(order.OperationID, order.Author); problem != nil {
		return problem
	}
	document, err := configuration.Load(order.Document)
	if err != nil {
		return invalidDocument(err)
	}
	t.document = document
	t.digest = digestOf("configuration", order.BaseVersion, order.Document)
	return nil
}

func (t *task) checkConfigurationChange(order *api.ConfigurationPatchOperation) *api.Error {
	if problem := checkOrderID(order.OperationID, order.Author); problem != nil {
		return problem
	}
	change, err := configuration.ParseChange(order.Change)
	if err != nil {
		return invalidChange(err)
	}
	t.change = change
	t.digest = digestOf("configuration change", order.BaseVersion, order.Change)
	return nil
}

// invalidChange names the field of a change that cannot be made.
func invalidChange(err error) *api.Error {
	var problem *patch.FieldError
	if errors.As(err, &problem) {
		return invalid("change."+problem.Field, problem.Reason)
	}
	return invalid("change", err.Error())
}

// invalidDocument names the first problem's field; the message has all of them.
func invalidDocument(err error) *api.Error {
	answer := invalid("document", err.Error())
	var problems *configuration.DocumentError
	if errors.As(err, &problems) && len(problems.Problems) > 0 && problems.Problems[0].Field != "" {
		answer.Field = "document." + problems.Problems[0].Field
	}
	return answer
}

func (t *task) checkEvacuation(order *api.EvacuationOperation) *api.Error {
	if problem := checkOrderID(order.OperationID, order.Author); problem != nil {
		return problem
	}
	if catalog.CheckObjectName(order.Zone) != nil {
		return invalid("zone", fmt.Sprintf("must have 1 to %d bytes", catalog.MaxObjectNameBytes))
	}
	t.digest = digestOf("evacuation", order.Zone, order.Withdraw)
	return nil
}

func checkOrderID(id, author string) *api.Error {
	if catalog.CheckObjectName(id) != nil {
		return invalid("order_id", fmt.Sprintf("must have 1 to %d bytes", catalog.MaxObjectNameBytes))
	}
	if len(author) > api.MaxNameBytes {
		return invalid("author", fmt.Sprintf("must have at most %d bytes", api.MaxNameBytes))
	}
	return nil
}

// digestOf hashes what an order asks for, its author apart.
func digestOf(parts ...any) uint64 {
	encoded, err := cbor.Marshal(parts)
	if err != nil {
		panic(fmt.Sprintf("control: encoding an order: %v", err))
	}
	return xxhash.Sum64(encoded)
}
