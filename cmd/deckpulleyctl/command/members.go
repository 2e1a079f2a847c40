package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/client"
	"github.com/deckpulley/deckpulley/cmd/deckpulleyctl/printer"
)

func newMembersCommand(flags *globalFlags) *cobra.Command {
	command := &cobra.Command{Use: "members", Short: "Show the control nodes and gateways"}
	command.AddCommand(newReadCommand(flags, "list", "List the control nodes and gateways", (*client.Client).Members, membersTable))
	return command
}

func membersTable(answer *api.MembersAnswer) *printer.Table {
	table := printer.NewTable("NAME", "ROLE", "ZONE", "REGION", "UP", "PEERS", "HTTP", "DETAIL")
	for _, member := range answer.Members {
		table.AddRow(member.Name, member.Role, member.Zone, member.Region, printer.YesNo(member.Up), member.PeerAddress, member.HTTPAddress, memberDetail(member))
	}
	table.AddRow("repair done", "", "", "", printer.YesNo(answer.RepairDone), "", "", "")
	return table
}

// memberDetail returns the log index of a control node, or the remaining lease and the
// serials of a gateway.
func memberDetail(member api.MemberStatus) string {
	switch {
	case member.Learner:
		return fmt.Sprintf("learner, index %d", member.MatchIndex)
	case member.Voter:
		return fmt.Sprintf("voter, index %d", member.MatchIndex)
	case member.LeaseMS > 0:
		return fmt.Sprintf("lease %d ms, serial %d held, %d active", member.LeaseMS, member.ReceivedSerial, member.ActiveSerial)
	default:
		return ""
	}
}
