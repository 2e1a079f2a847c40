// Command deckpulley-experiment compares placement policies and plots the step
// response of the controllers, on emulated replicas under generated load. It is
// not part of a deployment.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/internal/experiment"
)

func main() {
	command := &cobra.Command{
		Use:           "deckpulley-experiment",
		Short:         "Compare placement policies and plot controller responses on emulated replicas",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	var figures figureOutput
	command.PersistentFlags().StringVar(&figures.folder, "out", "out", "folder to write figures to")
	command.PersistentFlags().StringVar(&figures.format, "format", "svg", "format of figures, one of: svg, png")
	command.AddCommand(placementCommand(&figures))
	for _, disturbance := range experiment.Disturbances() {
		command.AddCommand(responseCommand(&figures, disturbance))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := command.ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "deckpulley-experiment:", err)
		os.Exit(1)
	}
}

func placementCommand(figures *figureOutput) *cobra.Command {
	config := experiment.DefaultPlacementConfig()
	command := &cobra.Command{
		Use:   "placement",
		Short: "Compare placement policies on the same seeded load, in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return comparePlacement(command.OutOrStdout(), figures, config)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&config.Deployments, "deployments", config.Deployments, "deployments to simulate, any of: kodovka, georgia, skewed")
	flags.Float64SliceVar(&config.Loads, "loads", config.Loads, "loads to apply, as fractions of the capacity")
	flags.IntVar(&config.Seeds, "seeds", config.Seeds, "number of seeded runs per data point")
	flags.IntVar(&config.Parallel, "parallel", config.Parallel, "number of runs in parallel")
	return command
}

// comparePlacement runs the comparison, prints its tables and plots its figure.
func comparePlacement(out io.Writer, figures *figureOutput, config experiment.PlacementConfig) error {
	points, err := experiment.RunPlacement(config)
	if err != nil {
		return err
	}
	if err := experiment.WritePlacementTable(out, points); err != nil {
		return err
	}
	fmt.Fprintln(out)
	if err := experiment.WriteComparisons(out, experiment.Compare(points)); err != nil {
		return err
	}
	path, err := figures.path("placement")
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "\nfigure:", path)
	return experiment.PlotPlacement(path, points)
}

func responseCommand(figures *figureOutput, disturbance experiment.Disturbance) *cobra.Command {
	var deployment string
	var seed uint64
	command := &cobra.Command{
		Use:   string(disturbance),
		Short: "Plot the response of the controllers, with real routers in real time",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return showResponse(command.Context(), command.OutOrStdout(), figures, deployment, disturbance, seed)
		},
	}
	command.Flags().StringVar(&deployment, "deployment", "kodovka", "deployment to emulate, one of: kodovka, georgia")
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the generated load")
	return command
}

// showResponse runs one disturbance, prints the response and plots its figure.
func showResponse(
	ctx context.Context, out io.Writer, figures *figureOutput,
	deployment string, disturbance experiment.Disturbance, seed uint64,
) error {
	response, err := experiment.RunResponse(ctx, deployment, disturbance, seed)
	if err != nil {
		return err
	}
	if err := experiment.WriteResponse(out, response); err != nil {
		return err
	}
	path, err := figures.path(string(disturbance) + "-" + deployment)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "figure:", path)
	return experiment.PlotResponse(path, response)
}

// figureOutput configures the folder and the format of figures.
type figureOutput struct {
	folder string
	format string // svg or png
}

// path creates the folder if needed and returns the path of a figure in it.
func (o *figureOutput) path(name string) (string, error) {
	if o.format != "svg" && o.format != "png" {
		return "", fmt.Errorf("invalid value %q for --format: must be svg or png", o.format)
	}
	if err := os.MkdirAll(o.folder, 0o755); err != nil {
		return "", fmt.Errorf("creating the output folder: %w", err)
	}
	return filepath.Join(o.folder, name+"."+o.format), nil
}
