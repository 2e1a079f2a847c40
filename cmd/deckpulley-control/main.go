// Command deckpulley-control runs one control node: a member of the group that
// keeps the registry, and, while it leads, the primary.
//
// Exit status: 0 after a stop, 1 after a failure, 2 for settings or usage.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/settings"
)

const (
	exitFailure  = 1
	exitSettings = 2
)

// usageError marks errors of settings and flags.
type usageError struct {
	cause error
}

func (e *usageError) Error() string { return e.cause.Error() }

func (e *usageError) Unwrap() error { return e.cause }

func main() {
	os.Exit(execute(newCommand()))
}

func execute(command *cobra.Command) int {
	err := command.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "deckpulley-control:", err)
	var usage *usageError
	if errors.As(err, &usage) {
		return exitSettings
	}
	return exitFailure
}

// newCommand builds the command line.
func newCommand() *cobra.Command {
	var path string
	var overrides settings.Overrides
	command := &cobra.Command{
		Use:           "deckpulley-control --settings FILE",
		Short:         "Run one control node",
		Args:          noArguments,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			return serve(command.Context(), path, overrides)
		},
	}
	command.PersistentFlags().StringVar(&path, "settings", "", "settings file (YAML)")
	overrides.AddFlags(command.PersistentFlags(), settings.RoleControl)
	command.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{cause: err} })
	command.AddCommand(newRecoverCommand(&path, &overrides))
	return command
}

func noArguments(_ *cobra.Command, arguments []string) error {
	if len(arguments) > 0 {
		return &usageError{cause: fmt.Errorf("unexpected argument %q", arguments[0])}
	}
	return nil
}

func load(path string, overrides settings.Overrides) (*settings.Settings, error) {
	loaded, err := settings.LoadFor(settings.RoleControl, path, overrides)
	if err != nil {
		return nil, &usageError{cause: err}
	}
	return loaded, nil
}
