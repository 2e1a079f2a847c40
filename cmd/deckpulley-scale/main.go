// Command deckpulley-scale measures what the control plane costs at growing
// sizes and what relaying costs a gateway; see package internal/scale. It prints
// the slopes, works out the target size from them, and with --write puts the
// tables into the capacity page between its markers.
//
// It is no part of a deployment. Exit status: 0 after a whole measurement, 1
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
	// runLimit ends a measurement that hangs.
	runLimit = 8 * time.Minute
)

func main() {
	if len(os.Args) == 2 && os.Args[1] == scale.ChildArgument {
		if err := scale.ServeChild(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "deckpulley-scale: child:", err)
			os.Exit(exitFailure)
		}
		return
	}
	usage := true
	command := newCommand(&usage)
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "deckpulley-scale:", err)
		if usage {
			os.Exit(exitUsage)
		}
		os.Exit(exitFailure)
	}
}

func newCommand(usage *bool) *cobra.Command {
	chosen := scale.DefaultPlan()
	command := &cobra.Command{
		Use:           "deckpulley-scale",
		Short:         "Measure the control plane at growing sizes",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := chosen.Check(); err != nil {
				return err
			}
			*usage = false
			ctx, stop := signal.NotifyContext(command.Context(), os.Interrupt)
			defer stop()
			ctx, cancel := context.WithTimeout(ctx, runLimit)
			defer cancel()
			return chosen.Run(ctx, command.OutOrStdout(), command.ErrOrStderr())
		},
	}
	flags := command.Flags()
	flags.IntSliceVar(&chosen.Gateways, "gateways", chosen.Gateways, "numbers of hollow gateways")
	flags.IntSliceVar(&chosen.Replicas, "replicas", chosen.Replicas, "numbers of listed replicas")
	flags.IntVar(&chosen.BaseReplicas, "base-replicas", chosen.BaseReplicas, "listed replicas while the gateways grow")
	flags.IntVar(&chosen.BaseGateways, "base-gateways", chosen.BaseGateways, "hollow gateways while the replicas grow")
	flags.IntSliceVar(&chosen.Streams, "streams", chosen.Streams, "numbers of streams through one real gateway")
	flags.IntVar(&chosen.Nodes, "nodes", chosen.Nodes, "measure this one number of hollow gateways, with one number of --replicas")
	flags.StringVar(&chosen.Page, "write", chosen.Page, "page to put the tables into, between its markers")
	return command
}
