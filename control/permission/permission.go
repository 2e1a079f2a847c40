// Package permission checks which types of records a requestor may change.
package permission

import (
	"fmt"
	"strings"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
)

// Prefixes of an update's requestor. They are stored in the log.
const (
	controlPrefix  = "control:"
	gatewayPrefix  = "gateway:"
	operatorPrefix = "operator:"
)

// Platform is the requestor of updates that apply the platform's list of replicas.
const Platform = "platform:"

// Control returns the requestor of a control node's updates: of SOA, NS and gateway
// records.
func Control(name string) string { return controlPrefix + name }

// Gateway returns the requestor of the updates in which a gateway reports the condition
// of replicas.
func Gateway(address string) string { return gatewayPrefix + address }

// Operator returns the requestor of an operator's operation. The author may be empty.
func Operator(author string) string { return operatorPrefix + author }

// Check is the permission check of an update (RFC 2136, section 3.3). Its result
// depends on the update alone, so that all replicas of the table agree on it.
func Check(update *registry.Update) error {
	allowed := allowedTypes(update.Requestor)
	if allowed == nil {
		return fmt.Errorf("requestor %q has no permissions", update.Requestor)
	}
	for _, change := range update.Changes {
		if !allowed(change) {
			return fmt.Errorf("requestor %q has no permission to change records of type %d at %s", update.Requestor, change.Type, change.Name)
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

// gatewayMayChange allows only the condition of replicas.
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

// platformMayChange allows the condition too, since the platform's list may state which
// replicas are warming up, and the deletion of all records of a replica.
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
