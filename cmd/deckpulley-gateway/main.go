// Command deckpulley-gateway runs one gateway: it answers callers where to go,
// carries their requests to replicas, and watches the replicas of its region.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/settings"
)

// Exit statuses.
const (
	exitFailure  = 1
	exitSettings = 2
)

// errSettings marks errors that end the program before anything is started.
var errSettings = errors.New("settings")

func main() {
	err := command().Execute()
	switch {
	case err == nil:
		return
	case errors.Is(err, errSettings):
		os.Exit(exitSettings)
	default:
		os.Exit(exitFailure)
	}
}

func command() *cobra.Command {
	var path string
	var overrides settings.Overrides
	cmd := &cobra.Command{
		Use:           "deckpulley-gateway",
		Short:         "Run one gateway of a deckpulley fleet",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			err := run(cmd.Context(), path, overrides)
			if err != nil {
				fmt.Fprintln(os.Stderr, "deckpulley-gateway:", err)
			}
			return err
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file (YAML)")
	overrides.AddFlags(cmd.Flags(), settings.RoleGateway)
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		fmt.Fprintln(os.Stderr, "deckpulley-gateway:", err)
		return fmt.Errorf("%w: %w", errSettings, err)
	})
	return cmd
}

func run(parent context.Context, path string, overrides settings.Overrides) error {
	if parent == nil {
		parent = context.Background()
	}
	load := func() (*settings.Settings, error) {
		return settings.LoadFor(settings.RoleGateway, path, overrides)
	}
	loaded, err := load()
	if err != nil {
		return fmt.Errorf("%w: %w", errSettings, err)
	}
	node, err := newDaemon(loaded)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(parent, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	return node.run(ctx, hangUp, load)
}
