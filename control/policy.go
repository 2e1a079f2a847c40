package control

import (
	"fmt"
	"strings"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
)

// Prefixes of the requestor of an update, judged by the permission step.
const (
	requestorControl  = "control:"  // a control node, for its own records
	requestorGateway  = "gateway:"  // a gateway that watches replicas
	requestorOperator = "operator:" // an order with its author
	requestorPlatform = "platform:" // the list of replicas
)

// permit is the permission step (section 3.3). It judges by the update alone,
// so that every copy of the table decides alike.
func permit(update *registry.Update) error {
	allowed := allowedTypes(update.Requestor)
	if allowed == nil {
		return fmt.Errorf("requestor %q may change nothing", update.Requestor)
	}
	for _, change := range update.Changes {
		if !allowed(change) {
			return fmt.Errorf("requestor %q may not change type %d at %s", update.Requestor, change.Type, change.Name)
		}
	}
	return nil
}

func allowedTypes(requestor string) func(registry.Record) bool {
	switch {
	case strings.HasPrefix(requestor, requestorControl):
		return controlMayChange
	case strings.HasPrefix(requestor, requestorGateway):
		return gatewayMayChange
	case strings.HasPrefix(requestor, requestorOperator):
		return operatorMayChange
	case strings.HasPrefix(requestor, requestorPlatform):
		return platformMayChange
	default:
		return nil
	}
}

func controlMayChange(record registry.Record) bool {
	switch record.Type {
	case registry.TypeSOA, registry.TypeNS, catalog.TypeGateway:
		return true
	default:
		return false
	}
}

// gatewayMayChange leaves watchers the condition of replicas, nothing else.
func gatewayMayChange(record registry.Record) bool {
	return record.Type == catalog.TypeCondition
}

func operatorMayChange(record registry.Record) bool {
	switch record.Type {
	case registry.TypeSOA, registry.TypeNS, catalog.TypeGateway, catalog.TypeCondition:
		return false
	default:
		return true
	}
}

// platformMayChange has the condition too, for a list that tells which replicas
// are cold. It includes deleting a replica's name with everything at it.
func platformMayChange(record registry.Record) bool {
	switch record.Type {
	case catalog.TypeReplica, catalog.TypeDrain, catalog.TypeCondition:
		return true
	case registry.TypeANY:
		return isReplicaName(record.Name)
	default:
		return false
	}
}

func isReplicaName(name registry.Name) bool {
	object, err := catalog.ObjectName(name)
	return err == nil && catalog.ReplicaName(object) == name
}
