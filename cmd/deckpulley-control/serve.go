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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/deckpulley/deckpulley/control"
	"github.com/deckpulley/deckpulley/settings"
	"github.com/deckpulley/deckpulley/storage"
	"github.com/deckpulley/deckpulley/transport"
)

// leaveTimeout bounds handing leadership over and ending the running answers.
const leaveTimeout = 4 * time.Second

// daemon is a running control node with its two ports.
type daemon struct {
	path      string
	overrides settings.Overrides
	logger    *slog.Logger
	level     *slog.LevelVar
	tokens    atomic.Pointer[settings.Tokens]
	network   *transport.Node
	node      *control.Node
	server    *http.Server
}

// serve runs until SIGTERM or SIGINT, or until the node fails.
func serve(ctx context.Context, path string, overrides settings.Overrides) error {
	loaded, err := load(path, overrides)
	if err != nil {
		return err
	}
	d := &daemon{path: path, overrides: overrides, level: new(slog.LevelVar)}
	d.level.Set(loaded.LogLevel())
	d.logger = loaded.NewLogger(os.Stderr, d.level)
	for _, warning := range loaded.Warnings() {
		d.logger.Warn(warning)
	}
	listener, err := d.open(loaded)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	if err := d.node.Start(); err != nil {
		return err
	}
	serverFailed := make(chan error, 1)
	go func() { serverFailed <- d.server.Serve(listener) }()
	return d.supervise(ctx, signals, serverFailed)
}

// open binds both ports and reads the disk.
func (d *daemon) open(loaded *settings.Settings) (net.Listener, error) {
	keys, err := loaded.Keys()
	if err != nil {
		return nil, &usageError{cause: err}
	}
	tokens, err := loaded.Tokens()
	if err != nil {
		return nil, &usageError{cause: err}
	}
	d.tokens.Store(&tokens)
	listener, err := net.Listen("tcp", loaded.OperatorAddress)
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
	d.node, err = control.New(control.Options{
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
		Lease:           loaded.LeaseTerms(),
	})
	if err != nil {
		return nil, err
	}
	d.server = d.node.Server()
	return listener, nil
}

// supervise waits for a reason to end, and reloads on SIGHUP.
func (d *daemon) supervise(ctx context.Context, signals <-chan os.Signal, serverFailed <-chan error) error {
	for {
		select {
		case received := <-signals:
			if received == syscall.SIGHUP {
				d.reload()
				continue
			}
			d.logger.Info("leaving", "signal", received.String())
			return d.leave(ctx)
		case err := <-serverFailed:
			return errors.Join(fmt.Errorf("operators' port: %w", err), d.node.Stop())
		case <-d.node.Done():
			// A failed write leaves the disk in doubt: end at once.
			_ = d.server.Close()
			return d.node.Err()
		}
	}
}

// leave hands leadership over, ends the answers on their way, and stops.
func (d *daemon) leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	d.node.HandOver(ctx)
	if err := d.server.Shutdown(ctx); err != nil {
		d.logger.Warn("answers cut short", "error", err)
		_ = d.server.Close()
	}
	return d.node.Stop()
}

// reload takes over the log level, the keys and the tokens. Anything wrong
// leaves all of them as they were.
func (d *daemon) reload() {
	loaded, err := settings.LoadFor(settings.RoleControl, d.path, d.overrides)
	if err != nil {
		d.logger.Error("settings not reloaded", "error", err)
		return
	}
	keys, keysErr := loaded.Keys()
	tokens, tokensErr := loaded.Tokens()
	if err := errors.Join(keysErr, tokensErr); err != nil {
		d.logger.Error("settings not reloaded", "error", err)
		return
	}
	d.level.Set(loaded.LogLevel())
	d.tokens.Store(&tokens)
	d.network.SetKeys(keys)
	d.logger.Info("settings reloaded", "keys", len(keys))
}
