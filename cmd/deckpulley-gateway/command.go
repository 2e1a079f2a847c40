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
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
)

// usageError is an error in the settings or flags. Restarting the daemon does not fix
// it.
type usageError struct{ cause error }

// Error returns the text of the cause with the prefix "settings: ".
func (e *usageError) Error() string { return "settings: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

// execute runs the command and returns the program's exit status.
func execute(command *cobra.Command) int {
	err := command.Execute()
	if err == nil {
		return exitSuccess
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

// settingsSource is the source of the settings: a file, and flags that override its
// values.
type settingsSource struct {
	path      string
	overrides settings.Overrides
}

// load reads the settings. Every error that it returns is a usageError.
func (s *settingsSource) load() (*settings.Settings, error) {
	loaded, err := settings.LoadFor(settings.RoleGateway, s.path, s.overrides)
	if err != nil {
		return nil, &usageError{err}
	}
	return loaded, nil
}
