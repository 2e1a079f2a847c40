package httpapi

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/control/apierror"
	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/control/statemachine"
)

// defaultOperationLimit bounds the list of operations if the request has no limit.
const defaultOperationLimit = 100

// configurationAnswer returns the configuration of an observation.
func configurationAnswer(observed *engine.Observation) api.ConfigurationAnswer {
	answer := api.ConfigurationAnswer{Serial: observed.Serial}
	if observed.Catalog == nil {
		return answer
	}
	if current, known := observed.Catalog.Configuration(); known {
		answer.Version = current.Version
		answer.Author = current.Author
		answer.Document = current.Document
	}
	return answer
}

// zonesAnswer returns the zones of the configuration, sorted by name.
func zonesAnswer(observed *engine.Observation) api.ZonesAnswer {
	answer := api.ZonesAnswer{Zones: []api.ZoneStatus{}}
	if observed.Catalog == nil {
		return answer
	}
	for zone, record := range observed.Catalog.Zones() {
		answer.Zones = append(answer.Zones, api.ZoneStatus{
			Zone:      zone,
			Region:    record.Region,
			Evacuated: observed.Catalog.IsEvacuated(zone),
		})
	}
	slices.SortFunc(answer.Zones, func(a, b api.ZoneStatus) int { return strings.Compare(a.Zone, b.Zone) })
	return answer
}

// replicasAnswer returns the list of replicas, sorted by id.
func replicasAnswer(observed *engine.Observation) api.ReplicasAnswer {
	answer := api.ReplicasAnswer{Serial: observed.Serial, Replicas: []api.ReplicaStatus{}}
	if observed.Catalog == nil {
		return answer
	}
	for id, replica := range observed.Catalog.Replicas() {
		answer.Replicas = append(answer.Replicas, replicaStatus(observed.Catalog, id, replica))
	}
	slices.SortFunc(answer.Replicas, func(a, b api.ReplicaStatus) int { return strings.Compare(a.ID, b.ID) })
	return answer
}

func replicaStatus(current *catalog.State, id string, replica catalog.Replica) api.ReplicaStatus {
	status := api.ReplicaStatus{
		ReplicaEntry: api.ReplicaEntry{
			ID:       id,
			Service:  replica.Service,
			Zone:     replica.Zone,
			Address:  replica.Address,
			Draining: current.IsDraining(id),
		},
		Region:    current.Zones()[replica.Zone].Region,
		Condition: string(catalog.ConditionDown),
	}
	if condition, known := current.Condition(id); known {
		status.Condition = string(condition.State)
		status.WarmupGateway = condition.WarmupGateway
	}
	return status
}

// operationsAnswer returns at most limit stored operation results, newest first.
func operationsAnswer(observed *engine.Observation, limit int) (api.OperationsAnswer, *api.Error) {
	answer := api.OperationsAnswer{Serial: observed.Serial, Orders: []api.OperationStatus{}}
	if observed.Catalog == nil {
		return answer, nil
	}
	err := observed.Catalog.WalkOperationResults(func(id string, order catalog.OperationResult) bool {
		answer.Orders = append(answer.Orders, api.OperationStatus{
			Number:      order.Sequence,
			OperationID: id,
			Accepted:    order.Accepted,
			Version:     order.Version,
			Code:        api.Code(order.Code),
			Field:       order.Field,
			Reason:      order.Reason,
		})
		return true
	})
	if err != nil {
		return api.OperationsAnswer{}, apierror.Internal(err)
	}
	slices.SortFunc(answer.Orders, func(a, b api.OperationStatus) int { return cmp.Compare(b.Number, a.Number) })
	answer.Orders = answer.Orders[:min(limit, len(answer.Orders))]
	return answer, nil
}

func parseLimit(r *http.Request) (int, *api.Error) {
	text := r.URL.Query().Get(parameterLimit)
	if text == "" {
		return defaultOperationLimit, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > statemachine.OperationLimit {
		return 0, apierror.Invalid(parameterLimit, fmt.Sprintf("must be a number from 1 to %d", statemachine.OperationLimit))
	}
	return limit, nil
}
