package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/client"
)

// clearScreen moves the cursor of a terminal home and clears what is there.
const clearScreen = "\x1b[H\x1b[2J"

// leastInterval keeps top from loading the fleet.
const leastInterval = 200 * time.Millisecond

func topCommand(shared *options) *cobra.Command {
	interval, count := time.Second, 0
	command := &cobra.Command{
		Use:   "top",
		Short: "Show load, leases and what is degraded, again and again",
		Long: `Show load, leases and what is degraded, again and again, until interrupted or
--count times. A node that does not answer is shown as such and asked again.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if interval < leastInterval || count < 0 {
				return usageError{fmt.Errorf("--interval must be %v or more, --count 0 or more", leastInterval)}
			}
			connection, err := shared.control()
			if err != nil {
				return err
			}
			return shared.watch(command, connection, interval, count)
		},
	}
	command.Flags().DurationVar(&interval, "interval", interval, "time between two tables")
	command.Flags().IntVar(&count, "count", 0, "number of tables; 0 goes on until interrupted")
	return command
}

// watch shows the fleet until it has done so count times or the context ends.
// The error is that of the last round.
func (o *options) watch(command *cobra.Command, connection *client.Client, interval time.Duration, count int) error {
	output := command.OutOrStdout()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for shown := 1; ; shown++ {
		err := o.showRound(command.Context(), output, connection)
		if shown == count {
			return err
		}
		select {
		case <-ticker.C:
		case <-command.Context().Done():
			return nil
		}
	}
}

// showRound collects once and shows it, or why it cannot.
func (o *options) showRound(ctx context.Context, output io.Writer, connection *client.Client) error {
	ctx, cancel := context.WithTimeout(ctx, min(o.timeout, 2*gatewayTimeout))
	defer cancel()
	status, err := o.collect(ctx, connection)
	if isTerminal(output) {
		fmt.Fprint(output, clearScreen)
	}
	if err != nil {
		fmt.Fprintln(output, err)
		return err
	}
	if o.format != formatTable {
		return o.show(output, status, nil)
	}
	fmt.Fprintf(output, "primary %s, term %d, version %d, serial %d, in force %d, leases %d\n",
		status.Primary, status.Term, status.Version, status.Serial, status.InForceSerial, status.Leases)
	loads := loadTable(status.Regions)
	if len(status.Regions) == 0 {
		loads = conditionTable(status)
	}
	return errors.Join(loads.write(output), degradedTable(status).write(output))
}

func isTerminal(output io.Writer) bool {
	file, isFile := output.(*os.File)
	if !isFile {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
