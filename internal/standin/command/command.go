// Package command has what the programs of the stand-ins share: the root command,
// signals, exit statuses and closing the event log. Daemons never import it.
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

// ServingError wraps an error of serving, as opposed to one of flags or files: the
// program exits with status 1 for it, and with 2 for all others.
type ServingError struct{ Err error }

// Error returns the text of the wrapped error.
func (e ServingError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e ServingError) Unwrap() error { return e.Err }

// New returns the root command of a stand-in. The context of run ends at SIGTERM
// and SIGINT.
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

// Execute runs a root command. It ends the process if the command fails or one of
// the required flags is missing.
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

// NewServer returns an HTTP server for a stand-in, with bounded header reads.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
}

// CloseLog closes an event log, and logs an error if events of it are lost.
func CloseLog(writer *eventlog.Writer, logger *slog.Logger) {
	if err := writer.Close(); err != nil {
		logger.Error("event log incomplete", "error", err)
	}
}
