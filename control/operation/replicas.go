package operation

import (
	"fmt"
	"strings"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/control/apierror"
	"github.com/deckpulley/deckpulley/control/permission"
	"github.com/deckpulley/deckpulley/registry"
)

// maxReplicas bounds the length of the platform's list.
const maxReplicas = 20_000

// checkReplicas rejects a malformed list of replicas.
func checkReplicas(list *api.ReplicaList) *api.Error {
	if len(list.Replicas) > maxReplicas {
		return apierror.Invalid("replicas", fmt.Sprintf("must have at most %d entries", maxReplicas))
	}
	seen := make(map[string]bool, len(list.Replicas))
	for i, entry := range list.Replicas {
		if field, reason := checkReplica(entry, seen); field != "" {
			return apierror.Invalid(fmt.Sprintf("replicas[%d].%s", i, field), reason)
		}
		seen[entry.ID] = true
	}
	return nil
}

func checkReplica(entry api.ReplicaEntry, seen map[string]bool) (field, reason string) {
	switch {
	case catalog.CheckObjectName(entry.ID) != nil:
		return "id", objectNameReason()
	case seen[entry.ID]:
		return "id", fmt.Sprintf("%q is listed twice", entry.ID)
	case catalog.CheckObjectName(entry.Service) != nil:
		return "service", objectNameReason()
	case catalog.CheckObjectName(entry.Zone) != nil:
		return "zone", objectNameReason()
	case !strings.Contains(entry.Address, ":") || len(entry.Address) > api.MaxNameBytes:
		return "address", "must be host:port"
	default:
		return "", ""
	}
}

// ReplicaUpdate returns the update that replaces the registry's list of replicas by the
// platform's. It has no changes if the lists are equal.
func ReplicaUpdate(current *catalog.State, list *api.ReplicaList) (registry.Update, *api.Error) {
	changes, problem := replicaChanges(current, list)
	if problem != nil {
		return registry.Update{}, problem
	}
	update := registry.NewUpdate(catalog.Apex, nil, changes)
	update.Requestor = permission.Platform
	return update, nil
}

// replicaChanges returns the changes from the registry's list to the platform's.
func replicaChanges(current *catalog.State, list *api.ReplicaList) ([]registry.Record, *api.Error) {
	var changes []registry.Record
	listed := make(map[string]bool, len(list.Replicas))
	known := current.Replicas()
	for i, entry := range list.Replicas {
		zone, found := current.Zones()[entry.Zone]
		if !found {
			return nil, apierror.Invalid(fmt.Sprintf("replicas[%d].zone", i), fmt.Sprintf("the configuration has no zone %q", entry.Zone))
		}
		listed[entry.ID] = true
		replica := catalog.Replica{Service: entry.Service, Zone: entry.Zone, Region: zone.Region, Address: entry.Address, Slots: entry.Slots}
		if old, present := known[entry.ID]; !present || old != replica {
			changes = append(changes, registry.Add(catalog.ReplicaRecord(entry.ID, replica)))
		}
		changes = append(changes, drainChange(current, entry)...)
		changes = append(changes, conditionChange(current, entry)...)
	}
	for id := range known {
		if !listed[id] {
			changes = append(changes, registry.DeleteName(catalog.ReplicaName(id)))
		}
	}
	return changes, nil
}

func drainChange(current *catalog.State, entry api.ReplicaEntry) []registry.Record {
	if current.IsDraining(entry.ID) == entry.Draining {
		return nil
	}
	if entry.Draining {
		return []registry.Record{registry.Add(catalog.DrainRecord(entry.ID, catalog.Drain{Reason: "listed as draining"}))}
	}
	return []registry.Record{registry.DeleteRRset(catalog.ReplicaName(entry.ID), catalog.TypeDrain)}
}

// conditionChange updates a replica's condition if the list states whether the replica
// is warming up. A list without ColdMS leaves the condition to the gateways.
func conditionChange(current *catalog.State, entry api.ReplicaEntry) []registry.Record {
	if entry.ColdMS == nil {
		return nil
	}
	desired := catalog.Condition{State: catalog.ConditionUp}
	if *entry.ColdMS > 0 {
		desired.State = catalog.ConditionWarmingUp
	}
	if recorded, known := current.Condition(entry.ID); known && recorded == desired {
		return nil
	}
	return []registry.Record{registry.Add(catalog.ConditionRecord(entry.ID, desired))}
}
