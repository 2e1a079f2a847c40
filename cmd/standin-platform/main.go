// Command standin-platform sends the list of a fleet's replicas to its control
// nodes, for tests and trials on one machine. It is not part of a deployment.
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
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/internal/standin"
	"github.com/deckpulley/deckpulley/internal/standin/command"
)

// options contains the command-line flags.
type options struct {
	control   []string
	replicas  string
	token     string
	tokenFile string
	listen    string
	log       string
	name      string
	verbose   bool
}

func main() {
	var flags options
	root := command.New("standin-platform", "Send the replica list of a fleet to its control nodes",
		func(ctx context.Context) error { return run(ctx, flags) })
	set := root.Flags()
	set.StringSliceVar(&flags.control, "control", nil, "operator addresses (host:port) of control nodes, tried in order")
	set.StringVar(&flags.replicas, "replicas", "", "file (YAML or JSON) with the replica list")
	set.StringVar(&flags.token, "token", "", "token of the platform; ignored if --token-file is set")
	set.StringVar(&flags.tokenFile, "token-file", "", "file with the token")
	set.StringVar(&flags.listen, "listen", "127.0.0.1:0", "address (host:port) of the control port")
	set.StringVar(&flags.log, "log", "", "file to append events to")
	set.StringVar(&flags.name, "name", "platform", "name of this process in the event log")
	set.BoolVar(&flags.verbose, "verbose", false, "log why nodes did not acknowledge the list")
	command.Execute(root, "control", "replicas")
}

// run sends the replica list and serves the control port until ctx is done.
func run(ctx context.Context, flags options) error {
	token, err := readToken(flags)
	if err != nil {
		return err
	}
	config := standin.PlatformConfig{
		Control:      flags.control,
		ReplicasFile: flags.replicas,
		Token:        token,
		Logger:       newLogger(flags.verbose),
	}
	if flags.log != "" {
		writer, err := eventlog.Open(flags.log, flags.name)
		if err != nil {
			return err
		}
		defer command.CloseLog(writer, config.Logger)
		config.Log = writer
	}
	platform := standin.NewPlatform(config)
	listener, err := net.Listen("tcp", flags.listen)
	if err != nil {
		return command.ServingError{Err: fmt.Errorf("listening: %w", err)}
	}
	server := command.NewServer(platform)
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			config.Logger.Error("HTTP server failed", "error", err)
		}
	})
	config.Logger.Info("serving", "address", listener.Addr().String())
	reloadLoop(ctx, platform, config.Logger)
	err = server.Close()
	serving.Wait()
	return err
}

// resendInterval is the delay before the list is resent if no node acknowledged it.
const resendInterval = time.Second

// reloadLoop sends the list immediately and on each SIGHUP, until ctx is done. A
// list that no node has acknowledged is resent after resendInterval.
func reloadLoop(ctx context.Context, platform *standin.Platform, logger *slog.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		var resend <-chan time.Time
		if err := platform.Reload(ctx); err != nil {
			logger.Error("replica list not acknowledged", "error", err)
			resend = time.After(resendInterval)
		} else {
			logger.Info("replica list acknowledged")
		}
		select {
		case <-hangup:
		case <-resend:
		case <-ctx.Done():
			return
		}
	}
}

// readToken returns the content of --token-file, or the value of --token if no file
// is given.
func readToken(flags options) (string, error) {
	if flags.tokenFile == "" {
		return flags.token, nil
	}
	content, err := os.ReadFile(flags.tokenFile)
	if err != nil {
		return "", fmt.Errorf("reading the token file: %w", err)
	}
	return strings.TrimSpace(string(content)), nil
}

func newLogger(verbose bool) *slog.Logger {
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}
