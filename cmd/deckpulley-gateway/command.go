package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/settings"
)

// Exit statuses. The service manager does not restart a daemon after exitUsage.
const (
	exitStopped = 0
	exitFailure = 1
	exitUsage   = 2
)

// usageError is a mistake in settings or flags, which a restart does not repair.
type usageError struct{ cause error }

// Error returns the text of the cause, marked as one of the settings.
func (e *usageError) Error() string { return "settings: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

// execute runs the command line and returns the exit status of the program.
func execute(command *cobra.Command) int {
	err := command.Execute()
	if err == nil {
		return exitStopped
	}
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailure
}

func newCommand() *cobra.Command {
	source := &settingsSource{}
	command := &cobra.Command{
		Use:           "deckpulley-gateway",
		Short:         "Run one gateway of a deckpulley fleet",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			err := runDaemon(source)
			if err != nil {
				printError(err)
			}
			return err
		},
	}
	command.Flags().StringVar(&source.path, "settings", "", "settings file (YAML)")
	source.overrides.AddFlags(command.Flags(), settings.RoleGateway)
	command.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		printError(err)
		return &usageError{err}
	})
	return command
}

func printError(err error) { fmt.Fprintln(os.Stderr, "deckpulley-gateway:", err) }

// settingsSource is where the settings come from: a file, and flags that override
// it.
type settingsSource struct {
	path      string
	overrides settings.Overrides
}

// load reads the settings. Its error is a usageError.
func (s *settingsSource) load() (*settings.Settings, error) {
	loaded, err := settings.LoadFor(settings.RoleGateway, s.path, s.overrides)
	if err != nil {
		return nil, &usageError{err}
	}
	return loaded, nil
}
