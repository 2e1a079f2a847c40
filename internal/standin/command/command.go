// Package command contains the code that the stand-in programs share: the root command,
// signal handling, exit statuses and closing the event log. The daemons do not import it.
package command

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// Exit statuses.
const (
	statusFailed = 1
	statusUsage  = 2
)

// readHeaderTimeout bounds how long a client may take to send its headers.
const readHeaderTimeout = 5 * time.Second

// ServingError wraps an error that occurred while serving, as opposed to an error in
// flags or files. The program exits with status 1 for a ServingError and with status 2
// for any other error.
type ServingError struct{ Err error }

// Error returns the text of the wrapped error.
func (e ServingError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e ServingError) Unwrap() error { return e.Err }

// New returns the root command of a stand-in. The context passed to run is canceled on
// SIGTERM and SIGINT.
func New(name, short string, run func(context.Context) error) *cobra.Command {
	return &cobra.Command{
		Use:           name,
		Short:         short,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(command *cobra.Command, _ []string) error { return run(command.Context()) },
	}
}

// Execute runs a root command. It ends the process with an error status if the command
// fails or a required flag is missing.
func Execute(command *cobra.Command, required ...string) {
	for _, name := range required {
		if err := command.MarkFlagRequired(name); err != nil {
			panic(err)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := command.ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", command.Name(), err)
		os.Exit(exitStatus(err))
	}
}

func exitStatus(err error) int {
	var serving ServingError
	if errors.As(err, &serving) {
		return statusFailed
	}
	return statusUsage
}

// NewServer returns an HTTP server for a stand-in, with a timeout for reading headers.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
}

// CloseLog closes an event log, and logs an error if events were lost.
func CloseLog(writer *eventlog.Writer, logger *slog.Logger) {
	if err := writer.Close(); err != nil {
		logger.Error("event log incomplete", "error", err)
	}
}
