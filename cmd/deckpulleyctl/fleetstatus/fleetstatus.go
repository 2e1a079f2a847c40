// Package fleetstatus merges what the control plane and the gateways say of
// themselves into the status of the whole fleet. It is pure: the caller fetches
// the answers.
package fleetstatus

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
)

// Status is the status of the whole fleet.
type Status struct {
	// StatusAnswer is the control plane's answer. Degraded has been extended by
	// what the gateways and replicas add, each with what to do about it.
	api.StatusAnswer
	RepairDone bool `json:"repair_done"`
	// Regions is the load of each service in each region, by region and service.
	Regions  []api.ServiceLoad   `json:"regions"`
	Replicas []api.ReplicaStatus `json:"replicas"`
	// Unanswered are the addresses of the gateways that did not answer.
	Unanswered []string `json:"unanswered,omitempty"`
}

// ControlAnswers are the control plane's answers.
type ControlAnswers struct {
	Status   *api.StatusAnswer
	Members  *api.MembersAnswer
	Replicas *api.ReplicasAnswer
}

// GatewayAnswer is one gateway's answer.
type GatewayAnswer struct {
	// Address is the operators' address (host:port) that was asked.
	Address string
	// Status is nil if the gateway did not answer.
	Status *api.StatusAnswer
}

// Merge returns the status of the fleet. The answers are not changed.
func Merge(control ControlAnswers, gateways []GatewayAnswer) *Status {
	status := &Status{
		StatusAnswer: *control.Status,
		RepairDone:   control.Members.RepairDone,
		Replicas:     control.Replicas.Replicas,
	}
	status.Degraded = slices.Clip(status.Degraded)
	for _, gateway := range gateways {
		status.addGateway(gateway)
	}
	slices.SortFunc(status.Regions, func(a, b api.ServiceLoad) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Service, b.Service))
	})
	status.checkUsableReplicas()
	status.checkSerials()
	status.checkConditions()
	return status
}

func (s *Status) addDegraded(format string, arguments ...any) {
	s.Degraded = append(s.Degraded, fmt.Sprintf(format, arguments...))
}

func (s *Status) addGateway(gateway GatewayAnswer) {
	if gateway.Status == nil {
		s.Unanswered = append(s.Unanswered, gateway.Address)
		s.addDegraded("gateway at %s does not answer its operators' port: restart it or its machine", gateway.Address)
		return
	}
	for _, reason := range gateway.Status.Degraded {
		s.addDegraded("gateway %s: %s", gateway.Status.Node, reason)
	}
	for _, load := range gateway.Status.Services {
		s.addLoad(load)
	}
}

// addLoad merges what several gateways say of one service in one region. Each
// gateway counts its own requests, so these add up. The rest is measured by each
// of them for the whole region, and the highest value is taken.
func (s *Status) addLoad(load api.ServiceLoad) {
	index := slices.IndexFunc(s.Regions, func(other api.ServiceLoad) bool {
		return other.Service == load.Service && other.Region == load.Region
	})
	if index < 0 {
		s.Regions = append(s.Regions, load)
		return
	}
	merged := &s.Regions[index]
	merged.InFlight += load.InFlight
	merged.Queued += load.Queued
	merged.Utilization = max(merged.Utilization, load.Utilization)
	merged.Spill = max(merged.Spill, load.Spill)
	merged.Limit = max(merged.Limit, load.Limit)
	merged.Usable = max(merged.Usable, load.Usable)
	merged.WarmingUp = max(merged.WarmingUp, load.WarmingUp)
	merged.Draining = max(merged.Draining, load.Draining)
	merged.Ejected = max(merged.Ejected, load.Ejected)
}

func (s *Status) checkUsableReplicas() {
	for _, load := range s.Regions {
		if load.Replicas > 0 && load.Usable == 0 {
			s.addDegraded("service %s has no usable replica in region %s: look at them with deckpulleyctl replicas list", load.Service, load.Region)
		}
	}
}

// checkSerials reports a newest serial that is not active at every lease holder.
func (s *Status) checkSerials() {
	switch {
	case s.Primary == "" || s.InForceSerial == s.Serial:
	case s.InForceSerial == 0:
		s.addDegraded("the primary does not know yet what is in force: usual for 3 s after an election")
	default:
		s.addDegraded("serial %d is in force, %d is the newest: usual for 3 s after a change, else look for a gateway that is behind", s.InForceSerial, s.Serial)
	}
}

func (s *Status) checkConditions() {
	for _, replica := range s.Replicas {
		if replica.Condition == string(catalog.ConditionDown) && !replica.Draining {
			s.addDegraded("replica %s of service %s in zone %s is down: restart it, or take it off the platform's list", replica.ID, replica.Service, replica.Zone)
		}
	}
}
