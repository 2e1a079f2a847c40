package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/deckpulley/deckpulley/control"
	"github.com/deckpulley/deckpulley/internal/daemonsignal"
	"github.com/deckpulley/deckpulley/settings"
	"github.com/deckpulley/deckpulley/storage"
	"github.com/deckpulley/deckpulley/transport"
)

// shutdownTimeout bounds the total time for transferring leadership and completing
// the HTTP requests in flight.
const shutdownTimeout = 4 * time.Second

// daemon is a control node with its operators' port and its peers' port.
type daemon struct {
	running  *settings.Settings // as applied last
	source   *settingsSource
	logger   *slog.Logger
	level    *slog.LevelVar
	tokens   atomic.Pointer[settings.Tokens]
	network  *transport.Node
	node     *control.Node
	listener net.Listener
	server   *http.Server
	// serving waits for the goroutine that runs server.Serve; serveResult receives its
	// error.
	serving     sync.WaitGroup
	serveResult chan error
}

// runDaemon runs a control node until SIGTERM or SIGINT, or until the node fails.
func runDaemon(ctx context.Context, source *settingsSource) error {
	signals, stop := daemonsignal.Notify(source.path)
	defer stop()
	loaded, err := source.load()
	if err != nil {
		return err
	}
	d, err := newDaemon(source, loaded)
	if err != nil {
		return err
	}
	if err := d.node.Start(); err != nil {
		return err
	}
	d.serving.Go(func() { d.serveResult <- d.server.Serve(d.listener) })
	return d.supervise(ctx, signals)
}

// newDaemon binds both ports, opens the data folder and creates the node. It closes
// nothing after an error, since the process then exits.
func newDaemon(source *settingsSource, loaded *settings.Settings) (*daemon, error) {
	d := &daemon{running: loaded, source: source, level: new(slog.LevelVar), serveResult: make(chan error, 1)}
	d.level.Set(loaded.LogLevel())
	d.logger = loaded.NewLogger(os.Stderr, d.level)
	for _, warning := range loaded.Warnings() {
		d.logger.Warn(warning)
	}
	keys, err := loaded.Keys()
	if err != nil {
		return nil, &usageError{err}
	}
	tokens, err := loaded.Tokens()
	if err != nil {
		return nil, &usageError{err}
	}
	d.tokens.Store(&tokens)
	d.listener, err = net.Listen("tcp", loaded.OperatorAddress)
	if err != nil {
		return nil, fmt.Errorf("binding the operators' port: %w", err)
	}
	store, err := storage.Open(loaded.DataFolder)
	if err != nil {
		return nil, fmt.Errorf("opening the data folder: %w", err)
	}
	d.network, err = transport.Listen(transport.Config{
		Name:             loaded.Name,
		Listen:           loaded.PeerAddress,
		Keys:             keys,
		AddressOverrides: loaded.DialOverrides,
	}, d.logger)
	if err != nil {
		return nil, fmt.Errorf("binding the peers' port: %w", err)
	}
	d.node, err = d.newNode(loaded, store)
	if err != nil {
		return nil, err
	}
	d.server = d.node.Server()
	return d, nil
}

func (d *daemon) newNode(loaded *settings.Settings, store storage.Store) (*control.Node, error) {
	return control.New(control.Options{
		Name:            loaded.Name,
		Zone:            loaded.Zone,
		Region:          loaded.Region,
		PeerAddress:     loaded.PeerAddress,
		OperatorAddress: loaded.OperatorAddress,
		Seeds:           loaded.Seeds,
		InitialControl:  loaded.InitialControl,
		Network:         d.network,
		Store:           store,
		Logger:          d.logger,
		Tokens:          func() settings.Tokens { return *d.tokens.Load() },
		Lease:           loaded.LeaseConfig(),
	})
}

// supervise reloads the settings on SIGHUP, and returns after a termination signal or
// a failure of the server or the node.
func (d *daemon) supervise(ctx context.Context, signals daemonsignal.Signals) error {
	for {
		select {
		case <-signals.HangUp:
			d.reload()
		case received := <-signals.Terminate:
			d.logger.Info("shutting down", "signal", received.String())
			return d.shutDown(ctx)
		case err := <-d.serveResult:
			return errors.Join(fmt.Errorf("operators' port: %w", err), d.node.Stop())
		case <-d.node.Done():
			// A failed write leaves the state of the disk unknown: exit at once and
			// abort the requests in flight.
			_ = d.server.Close()
			d.serving.Wait()
			return d.node.Err()
		}
	}
}

// shutDown transfers leadership, waits for the HTTP requests in flight, and stops the
// node. Leadership is transferred first, so that the group has a primary during the
// wait.
func (d *daemon) shutDown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	d.node.TransferLeadership(ctx)
	if err := d.server.Shutdown(ctx); err != nil {
		d.logger.Warn("requests in flight aborted by the shutdown", "error", err)
		_ = d.server.Close()
	}
	d.serving.Wait()
	return d.node.Stop()
}

// reload reads the settings again and applies the seeds, the log level, the keys and the tokens.
// After an error none of them has changed.
func (d *daemon) reload() {
	loaded, err := d.source.load()
	if err != nil {
		d.logger.Error("settings not reloaded", "error", err)
		return
	}
	keys, keysErr := loaded.Keys()
	tokens, tokensErr := loaded.Tokens()
	if err := errors.Join(d.running.CheckReload(loaded), keysErr, tokensErr); err != nil {
		d.logger.Error("settings not reloaded", "error", err)
		return
	}
	d.running = loaded
	d.level.Set(loaded.LogLevel())
	d.tokens.Store(&tokens)
	d.network.SetKeys(keys)
	d.node.SetSeeds(loaded.Seeds)
	d.logger.Info("settings reloaded", "keys", len(keys))
}
