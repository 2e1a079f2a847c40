package command

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/client"
	"github.com/deckpulley/deckpulley/cmd/deckpulleyctl/fleetstatus"
	"github.com/deckpulley/deckpulley/cmd/deckpulleyctl/printer"
)

// gatewayTimeout bounds the request to one gateway, so that an unreachable gateway does
// not delay the status by the whole --timeout.
const gatewayTimeout = 2 * time.Second

// Values of api.MemberStatus.Role.
const (
	roleControl = "control"
	roleGateway = "gateway"
)

func newStatusCommand(flags *globalFlags) *cobra.Command {
	var check bool
	command := &cobra.Command{
		Use:   "status",
		Short: "Show the status of the whole fleet",
		Long: `Show the status of the whole fleet: the primary, voters and learners with their
replication lag, the lease and the active configuration version of each gateway, the
load and replicas of each region, and the degraded components with a suggested remedy.

Load, spill and queues are read from the gateways given with --gateways. Without that
flag, only the replicas' conditions are shown.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return flags.withControlClient(command, func(ctx context.Context, control *client.Client) error {
				status, err := fetchStatus(ctx, flags, control)
				if err != nil {
					return err
				}
				err = flags.print(command.OutOrStdout(), status, func() []*printer.Table { return statusTables(status) })
				if err != nil {
					return err
				}
				if check && len(status.Degraded) > 0 {
					return errDegraded
				}
				return nil
			})
		},
	}
	command.Flags().BoolVar(&check, "check", false, "exit with status 6 if the fleet is degraded")
	return command
}

// fetchStatus queries the control plane and all gateways concurrently. It returns after
// all requests have completed.
func fetchStatus(ctx context.Context, flags *globalFlags, control *client.Client) (*fleetstatus.Status, error) {
	addresses := flags.gateways()
	gateways := make([]fleetstatus.GatewayAnswer, len(addresses))
	var requests sync.WaitGroup
	for i, address := range addresses {
		requests.Go(func() {
			gateways[i] = fleetstatus.GatewayAnswer{Address: address, Status: fetchGatewayStatus(ctx, flags, address)}
		})
	}
	answers, err := fetchControlAnswers(ctx, control)
	requests.Wait()
	if err != nil {
		return nil, err
	}
	return fleetstatus.Merge(answers, gateways), nil
}

func fetchControlAnswers(ctx context.Context, control *client.Client) (answers fleetstatus.ControlAnswers, err error) {
	if answers.Status, err = control.Status(ctx); err != nil {
		return answers, err
	}
	if answers.Members, err = control.Members(ctx); err != nil {
		return answers, err
	}
	answers.Replicas, err = control.Replicas(ctx)
	return answers, err
}

// fetchGatewayStatus returns a gateway's status, or nil if the request fails or exceeds
// gatewayTimeout.
func fetchGatewayStatus(ctx context.Context, flags *globalFlags, address string) *api.StatusAnswer {
	ctx, cancel := context.WithTimeout(ctx, gatewayTimeout)
	defer cancel()
	gateway, err := flags.newClient([]string{address})
	if err != nil {
		return nil
	}
	answer, err := gateway.Status(ctx)
	if err != nil {
		return nil
	}
	return answer
}

func statusTables(status *fleetstatus.Status) []*printer.Table {
	tables := []*printer.Table{
		summaryTable(status),
		controlTable(status),
		gatewaysTable(status),
		conditionsTable(status.Replicas),
	}
	if len(status.Regions) > 0 {
		tables = append(tables, loadTable(status.Regions))
	}
	return append(tables, degradedTable(status.Degraded))
}

func summaryTable(status *fleetstatus.Status) *printer.Table {
	table := printer.NewTable("FIELD", "VALUE")
	table.AddRow("answered by", status.Node)
	table.AddRow("primary", cmp.Or(status.Primary, "none known"))
	table.AddRow("primary address", status.PrimaryAddress)
	table.AddRow("term", status.Term)
	table.AddRow("committed index", status.CommitIndex)
	table.AddRow("serial", status.Serial)
	table.AddRow("serial in force", status.InForceSerial)
	table.AddRow("configuration version", status.Version)
	table.AddRow("leases", status.Leases)
	table.AddRow("repair done", printer.YesNo(status.RepairDone))
	return table
}

func controlTable(status *fleetstatus.Status) *printer.Table {
	table := printer.NewTable("CONTROL", "ZONE", "UP", "VOTES", "LAG", "PEERS", "IDENTITY")
	for _, member := range status.Members {
		if member.Role != roleControl {
			continue
		}
		table.AddRow(member.Name, member.Zone, printer.YesNo(member.Up), printer.YesNo(member.Voter),
			replicationLag(member.MatchIndex, status.CommitIndex), member.PeerAddress, member.Identity)
	}
	return table
}

// replicationLag returns the number of committed log entries that a node has not
// replicated yet.
func replicationLag(matchIndex, commitIndex uint64) uint64 {
	if matchIndex >= commitIndex {
		return 0
	}
	return commitIndex - matchIndex
}

func gatewaysTable(status *fleetstatus.Status) *printer.Table {
	table := printer.NewTable("GATEWAY", "ZONE", "REGION", "UP", "LEASE MS", "HELD", "ACTIVE", "VERSION", "CALLERS")
	for _, member := range status.Members {
		if member.Role != roleGateway {
			continue
		}
		table.AddRow(member.Name, member.Zone, member.Region, printer.YesNo(member.Up), member.LeaseMS,
			member.ReceivedSerial, member.ActiveSerial, member.ActiveVersion, member.HTTPAddress)
	}
	return table
}

// conditionsTable shows the replica counts by the conditions stored in the registry.
func conditionsTable(replicas []api.ReplicaStatus) *printer.Table {
	table := printer.NewTable("REGION", "SERVICE", "REPLICAS UP", "COLD", "DRAINING", "DOWN", "UNSEEN")
	for _, counts := range fleetstatus.CountReplicas(replicas) {
		table.AddRow(counts.Region, counts.Service, counts.Up, counts.Cold, counts.Draining, counts.Down, counts.Unobserved)
	}
	return table
}

// loadTable shows the load that the gateways measure in their regions.
func loadTable(loads []api.ServiceLoad) *printer.Table {
	table := printer.NewTable("REGION", "SERVICE", "LOAD", "AIM", "SPILL", "IN FLIGHT", "QUEUED", "LIMIT", "USABLE", "COLD", "DRAINING", "EJECTED")
	for _, load := range loads {
		table.AddRow(load.Region, load.Service, printer.Percent(load.Utilization), printer.Percent(load.SetPoint), printer.Percent(load.Spill),
			load.InFlight, load.Queued, load.Limit, fmt.Sprintf("%d of %d", load.Usable, load.Replicas), load.WarmingUp, load.Draining, load.Ejected)
	}
	return table
}

func degradedTable(reasons []string) *printer.Table {
	table := printer.NewTable("DEGRADED, AND WHAT TO DO")
	for _, reason := range reasons {
		table.AddRow(reason)
	}
	if len(reasons) == 0 {
		table.AddRow("nothing")
	}
	return table
}
