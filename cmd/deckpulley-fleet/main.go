// Command deckpulley-fleet runs a whole deployment on one machine: the ordinary
// path under load, and fault scenarios. No deployment runs it.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/internal/fleet"
)

// Exit statuses.
const (
	statusBroken  = 1
	statusInvalid = 2
)

// errBroken ends the program after its report said why.
var errBroken = errors.New("the run did not keep what it should")

// invalidError marks wrong flags.
type invalidError struct{ error }

// common are the flags of every run.
type common struct {
	deployment string
	programs   string
	folder     string
	seed       uint64
	logLevel   string
}

func (c *common) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&c.deployment, "deployment", "kodovka", fmt.Sprintf("one of %v", fleet.Deployments()))
	flags.StringVar(&c.programs, "programs", programFolder(), "folder of the built programs")
	flags.StringVar(&c.folder, "out", "out", "folder for run folders")
	flags.Uint64Var(&c.seed, "seed", 1, "seed of load and faults")
	flags.StringVar(&c.logLevel, "log-level", "info", "level of the daemons' logs")
}

// programFolder is where this program is.
func programFolder() string {
	path, err := os.Executable()
	if err != nil {
		return "bin"
	}
	return filepath.Dir(path)
}

// runFolder names a new folder for one run.
func (c *common) runFolder(name string) (string, error) {
	stamp := time.Now().Format("20060102-150405")
	path, err := filepath.Abs(filepath.Join(c.folder, fmt.Sprintf("%s-%s-%s-%d", stamp, c.deployment, name, os.Getpid())))
	if err != nil {
		return "", fmt.Errorf("naming the run folder: %w", err)
	}
	return path, nil
}

func main() {
	command := &cobra.Command{
		Use:           "deckpulley-fleet",
		Short:         "Run a whole deployment on one machine",
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
	var invalid invalidError
	if errors.As(err, &invalid) {
		return statusInvalid
	}
	return statusBroken
}
