// Command deckpulley-scale measures the cost of the control plane at increasing
// sizes, and the cost of relaying streams at a gateway; see package internal/scale.
// It prints the slopes, extrapolates them to the target size, and with --write
// replaces the tables between the markers of the capacity page.
//
// It is not part of a deployment. Exit status: 0 after a complete measurement, 1
// after a failure, 2 after a usage error.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/internal/scale"
)

const (
	exitFailure = 1
	exitUsage   = 2
	// runTimeout bounds the whole measurement, in case it hangs.
	runTimeout = 8 * time.Minute
)

func main() {
	// Child processes are started by a measurement and take no flags.
	if len(os.Args) == 2 && os.Args[1] == scale.ChildArgument {
		if err := scale.ServeChild(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "deckpulley-scale: child:", err)
			os.Exit(exitFailure)
		}
		return
	}
	measuring := false
	command := newCommand(&measuring)
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "deckpulley-scale:", err)
		if measuring {
			os.Exit(exitFailure)
		}
		os.Exit(exitUsage)
	}
}

// newCommand returns the root command. It sets measuring once the flags have been
// validated: later errors are failures, not usage errors.
func newCommand(measuring *bool) *cobra.Command {
	plan := scale.DefaultPlan()
	command := &cobra.Command{
		Use:           "deckpulley-scale",
		Short:         "Measure the cost of the control plane at increasing sizes",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := plan.Check(); err != nil {
				return err
			}
			*measuring = true
			ctx, stop := signal.NotifyContext(command.Context(), os.Interrupt)
			defer stop()
			ctx, cancel := context.WithTimeout(ctx, runTimeout)
			defer cancel()
			return plan.Run(ctx, command.OutOrStdout(), command.ErrOrStderr())
		},
	}
	flags := command.Flags()
	flags.IntSliceVar(&plan.Gateways, "gateways", plan.Gateways, "numbers of hollow gateways to measure")
	flags.IntSliceVar(&plan.Replicas, "replicas", plan.Replicas, "numbers of listed replicas to measure")
	flags.IntVar(&plan.BaseReplicas, "base-replicas", plan.BaseReplicas, "number of listed replicas while the number of gateways varies")
	flags.IntVar(&plan.BaseGateways, "base-gateways", plan.BaseGateways, "number of hollow gateways while the number of replicas varies")
	flags.IntSliceVar(&plan.Streams, "streams", plan.Streams, "numbers of streams through one real gateway to measure")
	flags.IntVar(&plan.Nodes, "nodes", plan.Nodes, "measure only this number of hollow gateways; requires a single value for --replicas")
	flags.StringVar(&plan.Page, "write", plan.Page, "file in which to replace the tables between the markers")
	return command
}
