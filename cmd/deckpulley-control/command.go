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

// usageError is an error in the settings or on the command line. Restarting the
// daemon does not fix it.
type usageError struct{ cause error }

// Error returns the text of the cause.
func (e *usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

// execute runs the command, prints its error and returns the program's exit status.
func execute(command *cobra.Command) int {
	err := command.Execute()
	if err == nil {
		return exitSuccess
	}
	fmt.Fprintln(os.Stderr, "deckpulley-control:", err)
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailure
}

func newCommand() *cobra.Command {
	source := &settingsSource{}
	command := &cobra.Command{
		Use:           "deckpulley-control --settings FILE",
		Short:         "Run one control node",
		Args:          noArguments,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			return runDaemon(command.Context(), source)
		},
	}
	command.PersistentFlags().StringVar(&source.path, "settings", "", "settings file (YAML)")
	source.overrides.AddFlags(command.PersistentFlags(), settings.RoleControl)
	command.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err} })
	command.AddCommand(newRecoverCommand(source))
	return command
}

func noArguments(_ *cobra.Command, arguments []string) error {
	if len(arguments) > 0 {
		return &usageError{fmt.Errorf("unexpected argument %q", arguments[0])}
	}
	return nil
}

// settingsSource is the source of the settings: a file, and flags that override its
// values.
type settingsSource struct {
	path      string
	overrides settings.Overrides
}

// load reads the settings. Every error that it returns is a usageError.
func (s *settingsSource) load() (*settings.Settings, error) {
	loaded, err := settings.LoadFor(settings.RoleControl, s.path, s.overrides)
	if err != nil {
		return nil, &usageError{err}
	}
	return loaded, nil
}
