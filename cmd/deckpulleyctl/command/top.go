package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/client"
	"github.com/deckpulley/deckpulley/cmd/deckpulleyctl/fleetstatus"
	"github.com/deckpulley/deckpulley/cmd/deckpulleyctl/printer"
)

// clearScreen moves a terminal's cursor to the top left corner and clears the screen.
const clearScreen = "\x1b[H\x1b[2J"

const (
	defaultInterval = time.Second
	// minInterval limits the load that top puts on the fleet.
	minInterval = 200 * time.Millisecond
)

func newTopCommand(flags *globalFlags) *cobra.Command {
	var interval time.Duration
	var count int
	command := &cobra.Command{
		Use:   "top",
		Short: "Show load, leases and degraded components, refreshed periodically",
		Long: `Show load, leases and degraded components, refreshed periodically until interrupted
or until --count refreshes. A failed request is shown and retried at the next refresh.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if interval < minInterval || count < 0 {
				return &usageError{fmt.Errorf("--interval must be at least %v, and --count must not be negative", minInterval)}
			}
			control, err := flags.newControlClient()
			if err != nil {
				return err
			}
			m := &monitor{flags: flags, control: control, output: command.OutOrStdout()}
			return m.run(command.Context(), interval, count)
		},
	}
	command.Flags().DurationVar(&interval, "interval", defaultInterval, "time between two refreshes")
	command.Flags().IntVar(&count, "count", 0, "number of refreshes; 0 refreshes until interrupted")
	return command
}

// monitor prints the status of the fleet repeatedly.
type monitor struct {
	flags   *globalFlags
	control *client.Client
	output  io.Writer
}

// run refreshes count times, or until the context is canceled if count is 0. It returns
// the error of the last refresh, or nil if the context is canceled.
func (m *monitor) run(ctx context.Context, interval time.Duration, count int) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for refreshes := 1; ; refreshes++ {
		err := m.refresh(ctx)
		if refreshes == count {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// refresh fetches and prints the status. If the fetch fails, it prints the error
// instead.
func (m *monitor) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, min(m.flags.timeout, 2*gatewayTimeout))
	defer cancel()
	status, err := fetchStatus(ctx, m.flags, m.control)
	if isTerminal(m.output) {
		fmt.Fprint(m.output, clearScreen)
	}
	if err != nil {
		fmt.Fprintln(m.output, err)
		return err
	}
	if m.flags.outputFormat() != printer.FormatTable {
		return m.flags.print(m.output, status, nil)
	}
	return printTop(m.output, status)
}

func printTop(output io.Writer, status *fleetstatus.Status) error {
	fmt.Fprintf(output, "primary %s, term %d, version %d, serial %d, in force %d, leases %d\n",
		status.Primary, status.Term, status.Version, status.Serial, status.InForceSerial, status.Leases)
	loads := loadTable(status.Regions)
	if len(status.Regions) == 0 {
		loads = conditionsTable(status.Replicas)
	}
	return errors.Join(loads.Print(output), degradedTable(status.Degraded).Print(output))
}

func isTerminal(output io.Writer) bool {
	file, isFile := output.(*os.File)
	if !isFile {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
