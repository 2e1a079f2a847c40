package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/client"
)

// gatewayTimeout bounds asking one gateway, so that a lost one does not hold up
// the others.
const gatewayTimeout = 2 * time.Second

// Roles of members, as the API writes them.
const (
	roleControl = "control"
	roleGateway = "gateway"
)

// errDegraded makes status --check fail.
var errDegraded = errors.New("something is degraded")

// fleetStatus is the whole screen: what the control plane says, what is known of
// the replicas, and what each gateway says of its region.
type fleetStatus struct {
	api.StatusAnswer
	RepairDone bool                `json:"repair_done"`
	Regions    []api.ServiceLoad   `json:"regions"`
	Replicas   []api.ReplicaStatus `json:"replicas"`
	// Unanswered are the gateways' addresses that did not answer.
	Unanswered []string `json:"unanswered,omitempty"`
}

func statusCommand(shared *options) *cobra.Command {
	check := false
	command := &cobra.Command{
		Use:   "status",
		Short: "Show the whole fleet on one screen",
		Long: `Show the whole fleet on one screen: primary, voters and learners with their lag,
leases and the configuration version in force at each gateway, regions with load
and replicas, and what is degraded with what to do about it.

Load, spill and queues come from the gateways given with --gateways; without them
only the replicas' conditions are shown.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			connection, ctx, cancel, err := shared.connect(command)
			if err != nil {
				return err
			}
			defer cancel()
			status, err := shared.collect(ctx, connection)
			if err != nil {
				return err
			}
			if err := shared.showStatus(command.OutOrStdout(), status); err != nil {
				return err
			}
			if check && len(status.Degraded) > 0 {
				return errDegraded
			}
			return nil
		},
	}
	command.Flags().BoolVar(&check, "check", false, "exit with status 6 if anything is degraded")
	return command
}

// collect asks the control plane and, at the same time, the gateways.
func (o *options) collect(ctx context.Context, connection *client.Client) (*fleetStatus, error) {
	addresses := o.gatewayAddresses()
	answers := make([]*api.StatusAnswer, len(addresses))
	var asked sync.WaitGroup
	for i, address := range addresses {
		asked.Go(func() { answers[i] = o.askGateway(ctx, address) })
	}
	defer asked.Wait()
	answer, err := connection.Status(ctx)
	if err != nil {
		return nil, err
	}
	members, err := connection.Members(ctx)
	if err != nil {
		return nil, err
	}
	replicas, err := connection.Replicas(ctx)
	if err != nil {
		return nil, err
	}
	asked.Wait()
	status := &fleetStatus{StatusAnswer: *answer, RepairDone: members.RepairDone, Replicas: replicas.Replicas}
	status.addGateways(addresses, answers)
	status.addConditions()
	return status, nil
}

// askGateway returns nil if the gateway does not answer in time.
func (o *options) askGateway(ctx context.Context, address string) *api.StatusAnswer {
	ctx, cancel := context.WithTimeout(ctx, gatewayTimeout)
	defer cancel()
	connection, err := o.clientOf([]string{address})
	if err != nil {
		return nil
	}
	answer, err := connection.Status(ctx)
	if err != nil {
		return nil
	}
	return answer
}

// addGateways joins what the gateways say, and adds to what is degraded.
func (s *fleetStatus) addGateways(addresses []string, answers []*api.StatusAnswer) {
	for i, answer := range answers {
		if answer == nil {
			s.Unanswered = append(s.Unanswered, addresses[i])
			s.Degraded = append(s.Degraded, fmt.Sprintf("gateway at %s does not answer its operators' port: restart it or its machine", addresses[i]))
			continue
		}
		for _, reason := range answer.Degraded {
			s.Degraded = append(s.Degraded, fmt.Sprintf("gateway %s: %s", answer.Node, reason))
		}
		for _, load := range answer.Services {
			s.addLoad(load)
		}
	}
	slices.SortFunc(s.Regions, func(a, b api.ServiceLoad) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Service, b.Service))
	})
	for _, load := range s.Regions {
		if load.Replicas > 0 && load.Usable == 0 {
			s.Degraded = append(s.Degraded, fmt.Sprintf("service %s has no usable replica in region %s: look at them with deckpulleyctl replicas list", load.Service, load.Region))
		}
	}
	s.addSerials()
}

// addSerials adds a newest serial that is not in force everywhere.
func (s *fleetStatus) addSerials() {
	switch {
	case s.Primary == "" || s.InForceSerial == s.Serial:
	case s.InForceSerial == 0:
		s.Degraded = append(s.Degraded, "the primary does not know yet what is in force: usual for 3 s after an election")
	default:
		s.Degraded = append(s.Degraded, fmt.Sprintf("serial %d is in force, %d is the newest: usual for 3 s after a change, else look for a gateway that is behind", s.InForceSerial, s.Serial))
	}
}

// addConditions adds the replicas that are down to what is degraded.
func (s *fleetStatus) addConditions() {
	for _, replica := range s.Replicas {
		if replica.Condition == string(catalog.ConditionDown) && !replica.Draining {
			s.Degraded = append(s.Degraded, fmt.Sprintf("replica %s of service %s in zone %s is down: restart it, or take it off the platform's list", replica.ID, replica.Service, replica.Zone))
		}
	}
}

// addLoad joins what several gateways say of one service in one region: requests
// add up, the rest is the view of the one that sees most.
func (s *fleetStatus) addLoad(load api.ServiceLoad) {
	for i := range s.Regions {
		known := &s.Regions[i]
		if known.Service != load.Service || known.Region != load.Region {
			continue
		}
		known.InFlight += load.InFlight
		known.Queued += load.Queued
		known.Utilization = max(known.Utilization, load.Utilization)
		known.Spill = max(known.Spill, load.Spill)
		known.Limit = max(known.Limit, load.Limit)
		known.Usable = max(known.Usable, load.Usable)
		known.Cold = max(known.Cold, load.Cold)
		known.Draining = max(known.Draining, load.Draining)
		known.Ejected = max(known.Ejected, load.Ejected)
		return
	}
	s.Regions = append(s.Regions, load)
}

func (o *options) showStatus(output io.Writer, status *fleetStatus) error {
	if o.format != formatTable {
		return o.show(output, status, nil)
	}
	tables := []*table{summaryTable(status), controlTable(status), gatewayTable(status), conditionTable(status)}
	if len(status.Regions) > 0 {
		tables = append(tables, loadTable(status.Regions))
	}
	tables = append(tables, degradedTable(status))
	for i, rows := range tables {
		if i > 0 {
			fmt.Fprintln(output)
		}
		if err := rows.write(output); err != nil {
			return err
		}
	}
	return nil
}

func summaryTable(status *fleetStatus) *table {
	rows := &table{header: []string{"FIELD", "VALUE"}}
	rows.add("answered by", status.Node)
	rows.add("primary", cmp.Or(status.Primary, "none known"))
	rows.add("primary address", status.PrimaryAddress)
	rows.add("term", status.Term)
	rows.add("committed index", status.CommitIndex)
	rows.add("serial", status.Serial)
	rows.add("serial in force", status.InForceSerial)
	rows.add("configuration version", status.Version)
	rows.add("leases", status.Leases)
	rows.add("repair done", yesNo(status.RepairDone))
	return rows
}

func controlTable(status *fleetStatus) *table {
	rows := &table{header: []string{"CONTROL", "ZONE", "UP", "VOTES", "LAG", "PEERS", "IDENTITY"}}
	for _, member := range status.Members {
		if member.Role != roleControl {
			continue
		}
		lag := uint64(0)
		if member.MatchIndex < status.CommitIndex {
			lag = status.CommitIndex - member.MatchIndex
		}
		rows.add(member.Name, member.Zone, yesNo(member.Up), yesNo(member.Voter), lag, member.PeerAddress, member.Identity)
	}
	return rows
}

func gatewayTable(status *fleetStatus) *table {
	rows := &table{header: []string{"GATEWAY", "ZONE", "REGION", "UP", "LEASE MS", "HELD", "ACTIVE", "VERSION", "CALLERS"}}
	for _, member := range status.Members {
		if member.Role == roleGateway {
			rows.add(member.Name, member.Zone, member.Region, yesNo(member.Up), member.LeaseMS, member.ReceivedSerial, member.ActiveSerial, member.ActiveVersion, member.HTTPAddress)
		}
	}
	return rows
}

// conditionUnseen is the condition of a replica of which no gateway wrote one yet.
const conditionUnseen = "unseen"

// conditionCount counts the replicas of a region and service by condition, as the
// registry has them.
type conditionCount struct {
	region, service string
	counts          map[string]int
}

func countConditions(replicas []api.ReplicaStatus) []conditionCount {
	var counted []conditionCount
	for _, replica := range replicas {
		state := cmp.Or(replica.Condition, conditionUnseen)
		if replica.Draining {
			state = string(catalog.ConditionDraining)
		}
		place := slices.IndexFunc(counted, func(c conditionCount) bool {
			return c.region == replica.Region && c.service == replica.Service
		})
		if place < 0 {
			place = len(counted)
			counted = append(counted, conditionCount{replica.Region, replica.Service, map[string]int{}})
		}
		counted[place].counts[state]++
	}
	slices.SortFunc(counted, func(a, b conditionCount) int {
		return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.service, b.service))
	})
	return counted
}

func conditionTable(status *fleetStatus) *table {
	rows := &table{header: []string{"REGION", "SERVICE", "REPLICAS UP", "COLD", "DRAINING", "DOWN", "UNSEEN"}}
	for _, counted := range countConditions(status.Replicas) {
		of := func(state catalog.ConditionState) int { return counted.counts[string(state)] }
		rows.add(counted.region, counted.service, of(catalog.ConditionUp), of(catalog.ConditionWarmingUp),
			of(catalog.ConditionDraining), of(catalog.ConditionDown), of(conditionUnseen))
	}
	return rows
}

// loadTable is what gateways see of their regions.
func loadTable(loads []api.ServiceLoad) *table {
	rows := &table{header: []string{"REGION", "SERVICE", "LOAD", "AIM", "SPILL", "IN FLIGHT", "QUEUED", "LIMIT", "USABLE", "COLD", "DRAINING", "EJECTED"}}
	for _, load := range loads {
		rows.add(load.Region, load.Service, percent(load.Utilization), percent(load.SetPoint), percent(load.Spill),
			load.InFlight, load.Queued, load.Limit, fmt.Sprintf("%d of %d", load.Usable, load.Replicas), load.Cold, load.Draining, load.Ejected)
	}
	return rows
}

func percent(part float64) string { return fmt.Sprintf("%.0f%%", 100*part) }

func degradedTable(status *fleetStatus) *table {
	rows := &table{header: []string{"DEGRADED, AND WHAT TO DO"}}
	for _, note := range status.Degraded {
		rows.add(note)
	}
	if len(status.Degraded) == 0 {
		rows.add("nothing")
	}
	return rows
}
