// Package fleetstatus merges the status answers of the control plane and the gateways
// into the status of the whole fleet. It does no I/O: the caller fetches the answers.
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
	// StatusAnswer is the control plane's answer. Its field Degraded also has the problems
	// of gateways and replicas, each with a suggested remedy.
	api.StatusAnswer
	RepairDone bool `json:"repair_done"`
	// Regions is the load of each service in each region, ordered by region and service.
	Regions  []api.ServiceLoad   `json:"regions"`
	Replicas []api.ReplicaStatus `json:"replicas"`
	// Unanswered lists the addresses of the gateways that did not respond.
	Unanswered []string `json:"unanswered,omitempty"`
}

// ControlAnswers holds the control plane's answers.
type ControlAnswers struct {
	Status   *api.StatusAnswer
	Members  *api.MembersAnswer
	Replicas *api.ReplicasAnswer
}

// GatewayAnswer is one gateway's answer.
type GatewayAnswer struct {
	// Address is the operator address (host:port) that the request was sent to.
	Address string
	// Status is nil if the gateway did not respond.
	Status *api.StatusAnswer
}

// Merge returns the status of the fleet. It does not modify the answers.
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
		s.addDegraded("gateway at %s does not respond on its operators' port: restart the gateway or its machine", gateway.Address)
		return
	}
	for _, reason := range gateway.Status.Degraded {
		s.addDegraded("gateway %s: %s", gateway.Status.Node, reason)
	}
	for _, load := range gateway.Status.Services {
		s.addLoad(load)
	}
}

// addLoad merges the loads that several gateways report for one service in one region.
// Each gateway counts only its own requests, so these counts are added. Every other
// value is a gateway's measurement of the whole region, so the maximum is used.
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
			s.addDegraded("service %s has no usable replica in region %s: inspect them with deckpulleyctl replicas list", load.Service, load.Region)
		}
	}
}

// checkSerials reports if the newest serial is not active at every lease holder yet.
func (s *Status) checkSerials() {
	switch {
	case s.Primary == "" || s.InForceSerial == s.Serial:
	case s.InForceSerial == 0:
		s.addDegraded("the primary has not determined the serial in force yet: normal for 3 s after an election")
	default:
		s.addDegraded("serial %d is in force, %d is the newest: normal for 3 s after a change, otherwise look for a gateway that lags behind", s.InForceSerial, s.Serial)
	}
}

func (s *Status) checkConditions() {
	for _, replica := range s.Replicas {
		if replica.Condition == string(catalog.ConditionDown) && !replica.Draining {
			s.addDegraded("replica %s of service %s in zone %s is down: restart it, or remove it from the platform's list", replica.ID, replica.Service, replica.Zone)
		}
	}
}
