package command

import (
	"fmt"

	"github.com/spf13/cobra"
)

// recoverText is the output of the recover command. The command itself changes nothing,
// since recovery runs on the machine of a stopped control node.
const recoverText = `Recovery restores the control plane from one surviving disk, after a majority of the
control nodes have permanently lost theirs. Writes that are missing from that disk
are lost. Run it on the machine that has the disk:

 1. Stop every control node.
 2. If more than one disk survives, choose the one whose node last reported the
    highest deckpulley_control_applied_index.
 3. On that machine, run:
    deckpulley-control recover --settings FILE --yes-i-lose-unreplicated-data
 4. Start that node, restart every gateway, then start the other control nodes
    with empty data folders; they join one by one.

If a majority of the control nodes can be restarted with their disks, do that
instead.
`

func newRecoverCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "recover",
		Short: "Show how to recover after a permanent loss of most disks",
		Long:  recoverText,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			_, err := fmt.Fprint(command.OutOrStdout(), recoverText)
			return err
		},
	}
}
