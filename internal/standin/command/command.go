// Package command is what the programs of the stand-ins share: the root command,
// signals, exit statuses and the event log. Daemons never import it.
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
	statusFailed  = 1
	statusInvalid = 2
)

// readHeaderTimeout bounds a slow client of a stand-in.
const readHeaderTimeout = 5 * time.Second

// ServingError marks an error that is not one of flags or files: the program
// ends with status 1 for it, and with 2 for all others.
type ServingError struct{ Err error }

// Error is the text of the marked error.
func (e ServingError) Error() string { return e.Err.Error() }

// Unwrap returns the marked error.
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

// Execute runs a root command with the flags it requires, and ends the process
// if that fails.
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
	return statusInvalid
}

// NewServer returns the HTTP server of a stand-in.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
}

// CloseLog closes an event log, and says so if it is not whole.
func CloseLog(writer *eventlog.Writer, logger *slog.Logger) {
	if err := writer.Close(); err != nil {
		logger.Error("the event log is not whole", "error", err)
	}
}
