package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

// maxReplicas bounds the platform's list.
const maxReplicas = 20_000

// checkReplicas checks the form of the platform's list.
func checkReplicas(list *api.ReplicaList) *api.Error {
	if len(list.Replicas) > maxReplicas {
		return invalid("replicas", fmt.Sprintf("must have at most %d entries", maxReplicas))
	}
	seen := make(map[string]bool, len(list.Replicas))
	for i, entry := range list.Replicas {
		if field, reason := checkReplica(entry, seen); field != "" {
			return invalid(fmt.Sprintf("replicas[%d].%s", i, field), reason)
		}
		seen[entry.ID] = true
	}
	return nil
}

func checkReplica(entry api.ReplicaEntry, seen map[string]bool) (field, reason string) {
	length := fmt.Sprintf("must have 1 to %d bytes", catalog.MaxObjectNameBytes)
	switch {
	case catalog.CheckObjectName(entry.ID) != nil:
		return "id", length
	case seen[entry.ID]:
		return "id", fmt.Sprintf("%q is listed twice", entry.ID)
	case catalog.CheckObjectName(entry.Service) != nil:
		return "service", length
	case catalog.CheckObjectName(entry.Zone) != nil:
		return "zone", length
	case !strings.Contains(entry.Address, ":") || len(entry.Address) > api.MaxNameBytes:
		return "address", "must be host:port"
	default:
		return "", ""
	}
}

// decideReplicas makes the registry's list of replicas that of the platform. It
// answers after the commit; gateways learn of it as of any other change.
func (n *Node) decideReplicas(ctx context.Context, task *task) (peer.OperationReply, bool) {
	n.platform.Lock()
	defer n.platform.Unlock()
	observed, problem := n.linearizable(ctx)
	if problem != nil || !observed.primary {
		return peer.OperationReply{}, false
	}
	changes, problem := replicaChanges(observed.contents, task.request.Replicas)
	if problem != nil {
		return peer.OperationReply{Error: problem}, true
	}
	answer := &api.OperationResult{Accepted: true, Version: observed.contents.Version(), Serial: observed.serial}
	if len(changes) == 0 {
		return peer.OperationReply{Answer: answer}, true
	}
	update := registry.NewUpdate(catalog.Apex, nil, changes)
	update.Requestor = requestorPlatform
	result, err := n.propose(ctx, update)
	task.sent = task.sent || !errors.Is(err, ErrNotPrimary)
	if err != nil {
		return peer.OperationReply{}, false
	}
	if result.Code != registry.NoError {
		return n.outraced(task, result)
	}
	n.log.Info("replicas listed", "replicas", len(task.request.Replicas.Replicas), "changes", len(changes), "serial", result.Serial, "term", observed.status.Term)
	answer.Serial = result.Serial
	return peer.OperationReply{Answer: answer}, true
}

// replicaChanges lists what differs between the registry and the platform's list.
func replicaChanges(contents *catalog.State, list *api.ReplicaList) ([]registry.Record, *api.Error) {
	var changes []registry.Record
	listed := make(map[string]bool, len(list.Replicas))
	known := contents.Replicas()
	for i, entry := range list.Replicas {
		zone, found := contents.Zones()[entry.Zone]
		if !found {
			return nil, invalid(fmt.Sprintf("replicas[%d].zone", i), fmt.Sprintf("the configuration has no zone %q", entry.Zone))
		}
		listed[entry.ID] = true
		replica := catalog.Replica{Service: entry.Service, Zone: entry.Zone, Region: zone.Region, Address: entry.Address, Slots: entry.Slots}
		if old, present := known[entry.ID]; !present || old != replica {
			changes = append(changes, registry.Add(catalog.ReplicaRecord(entry.ID, replica)))
		}
		changes = append(changes, drainChange(contents, entry)...)
		changes = append(changes, coldChange(contents, entry)...)
	}
	for id := range known {
		if !listed[id] {
			changes = append(changes, registry.DeleteName(catalog.ReplicaName(id)))
		}
	}
	return changes, nil
}

func drainChange(contents *catalog.State, entry api.ReplicaEntry) []registry.Record {
	if contents.IsDraining(entry.ID) == entry.Draining {
		return nil
	}
	if entry.Draining {
		return []registry.Record{registry.Add(catalog.DrainRecord(entry.ID, catalog.Drain{Reason: "listed as draining"}))}
	}
	return []registry.Record{registry.DeleteSet(catalog.ReplicaName(entry.ID), catalog.TypeDrain)}
}

// coldChange follows a list that tells which replicas are cold.
func coldChange(contents *catalog.State, entry api.ReplicaEntry) []registry.Record {
	if entry.ColdMS == nil {
		return nil
	}
	wanted := catalog.Condition{State: catalog.ConditionUp}
	if *entry.ColdMS > 0 {
		wanted.State = catalog.ConditionWarmingUp
	}
	if held, known := contents.Condition(entry.ID); known && held == wanted {
		return nil
	}
	return []registry.Record{registry.Add(catalog.ConditionRecord(entry.ID, wanted))}
}

// replicasAnswer reads the list back.
func replicasAnswer(observed *observation) api.ReplicasAnswer {
	answer := api.ReplicasAnswer{Serial: observed.serial, Replicas: []api.ReplicaStatus{}}
	if observed.contents == nil {
		return answer
	}
	for id, replica := range observed.contents.Replicas() {
		status := api.ReplicaStatus{
			ReplicaEntry: api.ReplicaEntry{
				ID:       id,
				Service:  replica.Service,
				Zone:     replica.Zone,
				Address:  replica.Address,
				Draining: observed.contents.IsDraining(id),
			},
			Region:    observed.contents.Zones()[replica.Zone].Region,
			Condition: string(catalog.ConditionDown),
		}
		if condition, known := observed.contents.Condition(id); known {
			status.Condition = string(condition.State)
			status.Feeder = condition.WarmupGateway
		}
		answer.Replicas = append(answer.Replicas, status)
	}
	slices.SortFunc(answer.Replicas, func(a, b api.ReplicaStatus) int { return strings.Compare(a.ID, b.ID) })
	return answer
}
