// Command deckpulley-fleet runs a whole deployment on one machine: the ordinary
// path under load, fault scenarios and planted defects. It is not part of a
// deployment.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit statuses.
const (
	statusFailed = 1
	statusUsage  = 2
)

func main() {
	command := &cobra.Command{
		Use:           "deckpulley-fleet",
		Short:         "Run a complete deployment on one machine",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.AddCommand(newRunCommand(), newFaultsCommand(), newCheckCommand(), newListCommand(), newPlantedCommand(), newResultsCommand())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	err := command.ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "deckpulley-fleet:", err)
		os.Exit(exitStatus(err))
	}
}

func exitStatus(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return statusUsage
	}
	return statusFailed
}
