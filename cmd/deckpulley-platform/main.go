// Command deckpulley-platform runs deckpulley's processes on the platform of
// Kodovka Labs, from the platform's settings file.
//
// Exit status: 0 after a normal shutdown, 1 after a failure, 2 for invalid settings
// or a usage error.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	_ "github.com/deckpulley/deckpulley/internal/startsignal" // for its effect
	"github.com/deckpulley/deckpulley/platform"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

// errUsage is wrapped by every usage error of the command line.
var errUsage = errors.New("usage")

func main() {
	err := newCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "deckpulley-platform:", err)
	var settings *platform.SettingsError
	if errors.As(err, &settings) || errors.Is(err, errUsage) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailure)
}

// runFunc runs the process of one role, control node or gateway, until the context is
// canceled.
type runFunc func(ctx context.Context, settings *platform.Settings, watcher *platform.SettingsWatcher, logger *slog.Logger) error

func newCommand() *cobra.Command {
	level := "warn"
	command := &cobra.Command{
		Use:           "deckpulley-platform",
		Short:         "Run deckpulley on the platform of Kodovka Labs",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.PersistentFlags().StringVar(&level, "log-level", level, "minimum level of logged messages: debug, info, warn or error")
	command.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errUsage, err) })
	command.AddCommand(
		newRunCommand("control", "Run a control node", &level, platform.RunControl),
		newRunCommand("gateway", "Run a gateway", &level, platform.RunGateway),
		newCheckCommand(),
	)
	return command
}

func newRunCommand(name, short string, level *string, run runFunc) *cobra.Command {
	return &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var minimum slog.Level
			if err := minimum.UnmarshalText([]byte(*level)); err != nil {
				return fmt.Errorf("%w: --log-level: %w", errUsage, err)
			}
			path := os.Getenv(platform.SettingsVariable)
			settings, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			logger := platform.NewLogger(settings, minimum)
			signal.Ignore(syscall.SIGPIPE)
			return run(ctx, settings, platform.NewSettingsWatcher(path, logger), logger)
		},
	}
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a settings file",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			_, err := platform.LoadSettings(arguments[0])
			return err
		},
	}
}
