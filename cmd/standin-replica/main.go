// Command standin-replica serves one emulated replica, for tests and trials of
// a fleet on one machine. No deployment runs it.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/internal/emulator"
	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/internal/standin"
)

// Exit statuses.
const (
	statusFailed  = 1
	statusInvalid = 2
	// statusCrash is that of the told crash.
	statusCrash = 137
)

// Time limits of the HTTP server.
const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 5 * time.Second
)

// options are the flags.
type options struct {
	id, service, zone, region string
	listen                    string
	log                       string
	parameters                string
	kind                      string
	seed                      uint64
	cold                      bool
}

func main() {
	var flags options
	command := &cobra.Command{
		Use:           "standin-replica",
		Short:         "Serve one emulated replica",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(command *cobra.Command, _ []string) error { return run(command.Context(), flags) },
	}
	set := command.Flags()
	set.StringVar(&flags.id, "id", "", "name of the replica")
	set.StringVar(&flags.service, "service", "", "service that the replica belongs to")
	set.StringVar(&flags.zone, "zone", "", "availability zone")
	set.StringVar(&flags.region, "region", "", "region, for the event log")
	set.StringVar(&flags.listen, "listen", "127.0.0.1:0", "address (host:port) to serve at")
	set.StringVar(&flags.log, "log", "", "file to append events to")
	set.StringVar(&flags.parameters, "parameters", "", "file (YAML or JSON) with the model's parameters")
	set.StringVar(&flags.kind, "kind", string(emulator.KindModel), "model or web")
	set.Uint64Var(&flags.seed, "seed", 1, "seed of the replica's randomness")
	set.BoolVar(&flags.cold, "cold", false, "start cold")
	for _, name := range []string{"id", "service"} {
		if err := command.MarkFlagRequired(name); err != nil {
			panic(err)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin-replica:", err)
		os.Exit(exitStatus(err))
	}
}

// servingError marks an error that is not one of flags or files.
type servingError struct{ error }

func exitStatus(err error) int {
	var serving servingError
	if errors.As(err, &serving) {
		return statusFailed
	}
	return statusInvalid
}

func run(ctx context.Context, flags options) error {
	parameters, err := loadParameters(flags)
	if err != nil {
		return err
	}
	config := standin.Config{
		ID:         flags.id,
		Service:    flags.service,
		Zone:       flags.zone,
		Region:     flags.region,
		Parameters: parameters,
		Seed:       flags.seed,
		Cold:       flags.cold,
		Exit:       func() { os.Exit(statusCrash) },
	}
	if flags.log != "" {
		writer, err := eventlog.Open(flags.log, flags.id)
		if err != nil {
			return err
		}
		defer closeLog(writer)
		config.Log = writer
		config.Exit = func() {
			closeLog(writer)
			os.Exit(statusCrash)
		}
	}
	listener, err := net.Listen("tcp", flags.listen)
	if err != nil {
		return servingError{fmt.Errorf("listening: %w", err)}
	}
	replica := standin.NewServer(config)
	defer replica.Close()
	slog.Info("serving", "replica", flags.id, "address", listener.Addr().String(), "incarnation", replica.Incarnation())
	return serve(ctx, listener, replica)
}

func closeLog(writer *eventlog.Writer) {
	if err := writer.Close(); err != nil {
		slog.Error("the event log is not whole", "error", err)
	}
}

func loadParameters(flags options) (emulator.Parameters, error) {
	kind := emulator.Kind(flags.kind)
	if flags.parameters != "" {
		return emulator.LoadParameters(flags.parameters, kind)
	}
	parameters := emulator.DefaultParameters(kind)
	return parameters, parameters.Validate()
}

// serve answers until ctx ends, then drains for a bounded time.
func serve(ctx context.Context, listener net.Listener, replica *standin.Server) error {
	server := &http.Server{Handler: replica, ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return servingError{fmt.Errorf("serving: %w", err)}
	case <-ctx.Done():
	}
	replica.SetDraining(true)
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdown); err != nil {
		return server.Close()
	}
	return nil
}
