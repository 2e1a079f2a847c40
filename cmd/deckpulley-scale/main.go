// Command deckpulley-scale measures the cost of the control plane at growing
// sizes, and that of relaying streams at a gateway; see package internal/scale. It
// prints the slopes, extrapolates them to the target size, and with --write
// replaces the tables between the markers of the capacity page.
//
// It is no part of a deployment. Exit status: 0 after a complete measurement, 1
// after a failure, 2 for usage.
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
	// runTimeout bounds a measurement, so that one that hangs ends.
	runTimeout = 8 * time.Minute
)

func main() {
	// Children of a measurement are started by it, not by a person: no flags.
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

// newCommand returns the root command. It sets measuring once the flags were
// accepted: errors from then on are failures, not errors of usage.
func newCommand(measuring *bool) *cobra.Command {
	plan := scale.DefaultPlan()
	command := &cobra.Command{
		Use:           "deckpulley-scale",
		Short:         "Measure the control plane at growing sizes",
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
	flags.IntSliceVar(&plan.Gateways, "gateways", plan.Gateways, "numbers of hollow gateways")
	flags.IntSliceVar(&plan.Replicas, "replicas", plan.Replicas, "numbers of listed replicas")
	flags.IntVar(&plan.BaseReplicas, "base-replicas", plan.BaseReplicas, "listed replicas while the gateways grow")
	flags.IntVar(&plan.BaseGateways, "base-gateways", plan.BaseGateways, "hollow gateways while the replicas grow")
	flags.IntSliceVar(&plan.Streams, "streams", plan.Streams, "numbers of streams through one real gateway")
	flags.IntVar(&plan.Nodes, "nodes", plan.Nodes, "measure this one number of hollow gateways, with one number of --replicas")
	flags.StringVar(&plan.Page, "write", plan.Page, "page to put the tables into, between its markers")
	return command
}
