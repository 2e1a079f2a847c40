// Package permission decides which requestor may change which types of records.
package permission

import (
	"fmt"
	"strings"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
)

// Prefixes of the requestor of an update. They are stored in the log.
const (
	controlPrefix  = "control:"
	gatewayPrefix  = "gateway:"
	operatorPrefix = "operator:"
)

// Platform is the requestor of the platform's list of replicas.
const Platform = "platform:"

// Control is the requestor of a control node's updates of the fleet's own records.
func Control(name string) string { return controlPrefix + name }

// Gateway is the requestor of the updates of a gateway that watches replicas.
func Gateway(address string) string { return gatewayPrefix + address }

// Operator is the requestor of an operation by its author, who may be empty.
func Operator(author string) string { return operatorPrefix + author }

// Check is the permission step of an update (RFC 2136, section 3.3). It depends
// on the update alone, so that every replica of the table decides alike.
func Check(update *registry.Update) error {
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
	case strings.HasPrefix(requestor, controlPrefix):
		return controlMayChange
	case strings.HasPrefix(requestor, gatewayPrefix):
		return gatewayMayChange
	case strings.HasPrefix(requestor, operatorPrefix):
		return operatorMayChange
	case strings.HasPrefix(requestor, Platform):
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

// gatewayMayChange restricts gateways to the condition of replicas.
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

// platformMayChange includes the condition, since the platform's list may say
// which replicas are warming up, and deleting a replica's name with all its records.
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
