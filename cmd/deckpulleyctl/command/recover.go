package command

import (
	"fmt"

	"github.com/spf13/cobra"
)

// recoverText is what the recover command prints. The command does nothing itself:
// the disk that is recovered belongs to a node that is stopped.
const recoverText = `Recovery makes a group of one from the copy on one surviving disk. It is for the
loss of most disks for good, and gives up what is not in that copy. It is done on
the machine that has the disk:

 1. Stop every control node.
 2. If more than one copy survives, choose the one whose
    deckpulley_control_applied_index was the highest when it was last read.
 3. There: deckpulley-control recover --settings FILE --yes-i-lose-unreplicated-data
 4. Start that node, restart every gateway, then start the other control nodes
    with empty data folders; they join one by one.

If most control nodes can be started again with their disks, do that in its place.
`

func newRecoverCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "recover",
		Short: "Say how to go on after most disks were lost for good",
		Long:  recoverText,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			_, err := fmt.Fprint(command.OutOrStdout(), recoverText)
			return err
		},
	}
}
