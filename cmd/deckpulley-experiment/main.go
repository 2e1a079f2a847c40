// Command deckpulley-experiment compares and tunes decisions on emulated
// replicas and generated callers. No deployment runs it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/internal/experiment"
)

func main() {
	command := &cobra.Command{
		Use:           "deckpulley-experiment",
		Short:         "Compare and tune decisions on emulated replicas",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	var out output
	command.PersistentFlags().StringVar(&out.folder, "out", "out", "folder for figures")
	command.PersistentFlags().StringVar(&out.format, "format", "svg", "form of figures: svg or png")
	command.AddCommand(placementCommand(&out))
	for _, disturbance := range experiment.Disturbances() {
		command.AddCommand(responseCommand(&out, disturbance))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := command.ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "deckpulley-experiment:", err)
		os.Exit(1)
	}
}

func placementCommand(out *output) *cobra.Command {
	config := experiment.DefaultPlacementConfig()
	command := &cobra.Command{
		Use:   "placement",
		Short: "Compare placement policies on the same seeded load, in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			points, err := experiment.Placement(config)
			if err != nil {
				return err
			}
			if err := experiment.WritePlacementTable(command.OutOrStdout(), points); err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout())
			if err := experiment.WriteComparisons(command.OutOrStdout(), experiment.Compare(points)); err != nil {
				return err
			}
			path, err := out.path("placement")
			if err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), "\nfigure:", path)
			return experiment.PlotPlacement(path, points)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&config.Deployments, "deployments", config.Deployments, "kodovka, georgia, skewed")
	flags.Float64SliceVar(&config.Loads, "loads", config.Loads, "parts of the capacity")
	flags.IntVar(&config.Seeds, "seeds", config.Seeds, "runs per point")
	flags.IntVar(&config.Parallel, "parallel", config.Parallel, "runs at a time")
	return command
}

func responseCommand(out *output, disturbance experiment.Disturbance) *cobra.Command {
	var deployment string
	var seed uint64
	command := &cobra.Command{
		Use:   string(disturbance),
		Short: "Show how the controllers respond, with real routers in real time",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			response, err := experiment.Respond(command.Context(), deployment, disturbance, seed)
			if err != nil {
				return err
			}
			if err := experiment.WriteResponse(command.OutOrStdout(), response); err != nil {
				return err
			}
			path, err := out.path(string(disturbance) + "-" + deployment)
			if err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), "figure:", path)
			return experiment.PlotResponse(path, response)
		},
	}
	command.Flags().StringVar(&deployment, "deployment", "kodovka", "kodovka or georgia")
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the traffic")
	return command
}

// output says where figures go.
type output struct {
	folder string
	format string
}

// path makes the folder and returns the path of a figure in it.
func (o *output) path(name string) (string, error) {
	if o.format != "svg" && o.format != "png" {
		return "", fmt.Errorf("--format: %q is neither svg nor png", o.format)
	}
	if err := os.MkdirAll(o.folder, 0o755); err != nil {
		return "", fmt.Errorf("making the output folder: %w", err)
	}
	return filepath.Join(o.folder, name+"."+o.format), nil
}
