// Command standin-replica serves one emulated replica, for tests and trials of
// a fleet on one machine. It is not part of a deployment.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/deckpulley/deckpulley/internal/emulator"
	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/internal/standin"
	"github.com/deckpulley/deckpulley/internal/standin/command"
)

// statusCrash is the exit status of an injected crash: the status that a shell
// reports for a process killed by SIGKILL.
const statusCrash = 137

// shutdownTimeout bounds the time for in-flight requests to finish at shutdown.
const shutdownTimeout = 5 * time.Second

// options contains the command-line flags.
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
	root := command.New("standin-replica", "Serve one emulated replica",
		func(ctx context.Context) error { return run(ctx, flags) })
	set := root.Flags()
	set.StringVar(&flags.id, "id", "", "name of the replica")
	set.StringVar(&flags.service, "service", "", "service that the replica belongs to")
	set.StringVar(&flags.zone, "zone", "", "availability zone of the replica")
	set.StringVar(&flags.region, "region", "", "region to record in the event log")
	set.StringVar(&flags.listen, "listen", "127.0.0.1:0", "address (host:port) to listen on")
	set.StringVar(&flags.log, "log", "", "file to append events to")
	set.StringVar(&flags.parameters, "parameters", "", "file (YAML or JSON) with the model's parameters")
	set.StringVar(&flags.kind, "kind", string(emulator.KindModel), "kind of replica, one of: model, web")
	set.Uint64Var(&flags.seed, "seed", 1, "seed of the replica's random number generator")
	set.BoolVar(&flags.cold, "cold", false, "start as a cold replica")
	command.Execute(root, "id", "service")
}

// run serves the replica until ctx is done.
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
		defer command.CloseLog(writer, slog.Default())
		config.Log = writer
		config.Exit = func() {
			command.CloseLog(writer, slog.Default())
			os.Exit(statusCrash)
		}
	}
	listener, err := net.Listen("tcp", flags.listen)
	if err != nil {
		return command.ServingError{Err: fmt.Errorf("listening: %w", err)}
	}
	replica := standin.NewServer(config)
	defer replica.Close()
	slog.Info("serving", "replica", flags.id, "address", listener.Addr().String(), "incarnation", replica.Incarnation())
	return serve(ctx, listener, replica)
}

// loadParameters returns the parameters of the file, or the defaults of the kind if
// no file is given.
func loadParameters(flags options) (emulator.Parameters, error) {
	kind := emulator.Kind(flags.kind)
	if flags.parameters != "" {
		return emulator.LoadParameters(flags.parameters, kind)
	}
	parameters := emulator.DefaultParameters(kind)
	return parameters, parameters.Validate()
}

// serve serves requests until ctx is done, then drains for at most shutdownTimeout.
func serve(ctx context.Context, listener net.Listener, replica *standin.Server) error {
	server := command.NewServer(replica)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return command.ServingError{Err: fmt.Errorf("serving: %w", err)}
	case <-ctx.Done():
	}
	replica.SetDraining(true)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return server.Close()
	}
	return nil
}
