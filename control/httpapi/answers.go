package httpapi

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/control/apierror"
	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/control/statemachine"
	"github.com/deckpulley/deckpulley/places"
)

// defaultOperationList is the number of operations that are listed if none is given.
const defaultOperationList = 100

// configurationAnswer reads the configuration back.
func configurationAnswer(observed *engine.Observation) api.ConfigurationAnswer {
	answer := api.ConfigurationAnswer{Serial: observed.Serial}
	if observed.Catalog == nil {
		return answer
	}
	if current, known := observed.Catalog.ConfigurationRecord(); known {
		answer.Version = current.Version
		answer.Author = current.Author
		answer.Document = current.Document
	}
	return answer
}

// zonesAnswer lists the zones of the configuration, ordered by name.
func zonesAnswer(observed *engine.Observation) api.ZonesAnswer {
	answer := api.ZonesAnswer{Zones: []api.ZoneStatus{}}
	if observed.Catalog == nil {
		return answer
	}
	for zone, record := range observed.Catalog.Zones() {
		answer.Zones = append(answer.Zones, api.ZoneStatus{
			Zone:      zone,
			Region:    record.Region,
			Evacuated: observed.Catalog.Evacuated(zone),
		})
	}
	slices.SortFunc(answer.Zones, func(a, b api.ZoneStatus) int { return strings.Compare(a.Zone, b.Zone) })
	return answer
}

// replicasAnswer reads the list of replicas back, ordered by id.
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

func replicaStatus(current *places.Contents, id string, replica places.Replica) api.ReplicaStatus {
	status := api.ReplicaStatus{
		ReplicaEntry: api.ReplicaEntry{
			ID:       id,
			Service:  replica.Service,
			Zone:     replica.Zone,
			Address:  replica.Address,
			Draining: current.Drained(id),
		},
		Region:    current.Zones()[replica.Zone].Region,
		Condition: string(places.ConditionDown),
	}
	if condition, known := current.Condition(id); known {
		status.Condition = string(condition.State)
		status.Feeder = condition.Feeder
	}
	return status
}

// operationsAnswer lists up to limit kept operations, newest first.
func operationsAnswer(observed *engine.Observation, limit int) (api.OrdersAnswer, *api.Error) {
	answer := api.OrdersAnswer{Serial: observed.Serial, Orders: []api.OrderStatus{}}
	if observed.Catalog == nil {
		return answer, nil
	}
	err := observed.Catalog.WalkOrders(func(id string, order places.Order) bool {
		answer.Orders = append(answer.Orders, api.OrderStatus{
			Number:   order.Number,
			OrderID:  id,
			Accepted: order.Accepted,
			Version:  order.Version,
			Code:     api.Code(order.Code),
			Field:    order.Field,
			Reason:   order.Reason,
		})
		return true
	})
	if err != nil {
		return api.OrdersAnswer{}, apierror.Internal(err)
	}
	slices.SortFunc(answer.Orders, func(a, b api.OrderStatus) int { return cmp.Compare(b.Number, a.Number) })
	answer.Orders = answer.Orders[:min(limit, len(answer.Orders))]
	return answer, nil
}

func limitOf(r *http.Request) (int, *api.Error) {
	text := r.URL.Query().Get(parameterLimit)
	if text == "" {
		return defaultOperationList, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > statemachine.OperationLimit {
		return 0, apierror.Invalid(parameterLimit, fmt.Sprintf("must be a number from 1 to %d", statemachine.OperationLimit))
	}
	return limit, nil
}
