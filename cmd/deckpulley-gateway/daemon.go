package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/deckpulley/deckpulley/dispatch"
	"github.com/deckpulley/deckpulley/gateway"
	"github.com/deckpulley/deckpulley/httpgateway"
	"github.com/deckpulley/deckpulley/internal/daemonsignal"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/settings"
	"github.com/deckpulley/deckpulley/transport"
)

const (
	// incarnationBytes is the size of the random ID that identifies one process.
	incarnationBytes = 8
	// shutdownTimeout bounds closing the ports after all requests have completed.
	shutdownTimeout = 2 * time.Second
	// proxyDrainTimeout bounds the wait for requests in flight at the HTTP address.
	proxyDrainTimeout = 20 * time.Second
)

// port is a listener and the HTTP server that accepts its connections.
type port struct {
	listener net.Listener
	server   *http.Server
}

// daemon is a gateway with its ports.
type daemon struct {
	running   *settings.Settings // as applied last
	source    *settingsSource
	logger    *slog.Logger
	level     *slog.LevelVar
	tokens    atomic.Pointer[settings.Tokens]
	network   *transport.Node
	gateway   *gateway.Gateway
	callers   port
	operators port
	// proxy serves the HTTP address. Its listener and server are nil if the settings
	// have no HTTP address.
	proxy port
	// serving waits for the goroutines of the servers; serveFailures receives the errors
	// of servers that ended without a shutdown.
	serving       sync.WaitGroup
	serveFailures chan error
}

// runDaemon runs a gateway until SIGTERM or SIGINT, or until a port fails.
func runDaemon(source *settingsSource) error {
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
	return d.run(signals)
}

// newDaemon binds all ports and creates the gateway. It closes nothing after an error,
// since the process then exits.
func newDaemon(source *settingsSource, loaded *settings.Settings) (*daemon, error) {
	keys, err := loaded.Keys()
	if err != nil {
		return nil, &usageError{err}
	}
	tokens, err := loaded.Tokens()
	if err != nil {
		return nil, &usageError{err}
	}
	d := &daemon{running: loaded, source: source, level: new(slog.LevelVar)}
	d.level.Set(loaded.LogLevel())
	d.logger = loaded.NewLogger(os.Stderr, d.level).With("region", loaded.Region)
	d.tokens.Store(&tokens)
	for _, warning := range loaded.Warnings() {
		d.logger.Warn(warning)
	}
	if err := d.bind(loaded, keys); err != nil {
		return nil, err
	}
	if err := d.prepareGateway(loaded, keys); err != nil {
		return nil, err
	}
	return d, nil
}

// bind binds all ports. An address in use is thus reported before the gateway starts.
func (d *daemon) bind(loaded *settings.Settings, keys [][]byte) error {
	var err error
	if d.callers.listener, err = net.Listen("tcp", loaded.CallerAddress); err != nil {
		return fmt.Errorf("binding the callers' port: %w", err)
	}
	if d.operators.listener, err = net.Listen("tcp", loaded.OperatorAddress); err != nil {
		return fmt.Errorf("binding the operators' port: %w", err)
	}
	if loaded.HTTPAddress != "" {
		if d.proxy.listener, err = net.Listen("tcp", loaded.HTTPAddress); err != nil {
			return fmt.Errorf("binding the HTTP port: %w", err)
		}
	}
	d.network, err = transport.Listen(transport.Config{
		Name:             loaded.Name,
		Listen:           loaded.PeerAddress,
		Keys:             keys,
		AddressOverrides: loaded.DialOverrides,
	}, d.logger)
	if err != nil {
		return fmt.Errorf("binding the peers' port: %w", err)
	}
	return nil
}

func (d *daemon) prepareGateway(loaded *settings.Settings, keys [][]byte) error {
	incarnation, seed := randomIdentity()
	info := peer.GatewayInfo{
		Name:        loaded.Name,
		Incarnation: incarnation,
		Zone:        loaded.Zone,
		Region:      loaded.Region,
		PeerAddress: loaded.PeerAddress,
		HTTPAddress: loaded.CallerAddress,
		LinkMbps:    loaded.LinkMbps,
	}
	var err error
	d.gateway, err = gateway.New(gateway.Options{
		Info:          info,
		HTTPProxy:     d.newProxy(info, loaded.HTTPBounds),
		Seeds:         loaded.Seeds,
		TicketKeys:    keys,
		LeaseConfig:   loaded.LeaseConfig(),
		Network:       d.network,
		DialOverrides: loaded.DialOverrides,
		Tokens:        func() gateway.Authenticator { return d.tokens.Load() },
		Seed:          seed,
		PollInterval:  loaded.Watch.PollInterval(),
		PollTimeout:   loaded.Watch.PollTimeout(),
		Logger:        d.logger,
	})
	if err != nil {
		return fmt.Errorf("creating the gateway: %w", err)
	}
	d.callers.server = d.gateway.CallersServer()
	d.operators.server = d.gateway.OperatorsServer()
	return nil
}

// newProxy creates the proxy that serves the HTTP address. It returns nil if the
// settings have no HTTP address.
func (d *daemon) newProxy(info peer.GatewayInfo, bounds settings.HTTPBounds) gateway.HTTPProxy {
	if d.proxy.listener == nil {
		return nil
	}
	proxy := httpgateway.NewProxy(httpgateway.ProxyOptions{
		Info:    info,
		Network: d.network,
		Bounds:  dispatch.Bounds{RetryRatio: bounds.RetryRatio, WarmupOvershoot: bounds.WarmupOvershoot},
		Logger:  d.logger,
	})
	d.proxy.server = proxy.Server()
	return proxy
}

// randomIdentity returns a random ID for this process and the seed of its random
// number generator.
func randomIdentity() (incarnation string, seed uint64) {
	var random [incarnationBytes]byte
	_, _ = rand.Read(random[:]) // never fails; see package crypto/rand
	return hex.EncodeToString(random[:]), binary.LittleEndian.Uint64(random[:])
}

// run serves until a signal terminates the daemon or a server fails, and then shuts down.
// It reloads the settings for each SIGHUP.
func (d *daemon) run(signals daemonsignal.Signals) error {
	if err := d.gateway.Start(); err != nil {
		return fmt.Errorf("starting the gateway: %w", err)
	}
	d.serve()
	d.logger.Info("gateway started", "callers", d.callers.listener.Addr().String(), "operators", d.operators.listener.Addr().String())
	for {
		select {
		case <-signals.HangUp:
			d.reload()
		case received := <-signals.Terminate:
			d.logger.Info("shutting down", "signal", received.String())
			d.shutDown()
			return nil
		case err := <-d.serveFailures:
			d.logger.Info("shutting down", "error", err)
			d.shutDown()
			return fmt.Errorf("serving HTTP: %w", err)
		}
	}
}

// serve starts the servers. serveFailures has room for one error of each server, so
// that a server's goroutine never blocks on it.
func (d *daemon) serve() {
	ports := []port{d.callers, d.operators}
	if d.proxy.server != nil {
		ports = append(ports, d.proxy)
	}
	d.serveFailures = make(chan error, len(ports))
	for _, served := range ports {
		d.serving.Go(func() {
			if err := served.server.Serve(served.listener); !errors.Is(err, http.ErrServerClosed) {
				d.serveFailures <- err
			}
		})
	}
}

// reload reads the settings again and applies the log level, the keys and the tokens.
// After an error none of them has changed.
func (d *daemon) reload() {
	if err := d.applySettings(); err != nil {
		d.logger.Error("settings not reloaded", "error", err)
		return
	}
	d.logger.Info("settings reloaded")
}

func (d *daemon) applySettings() error {
	loaded, err := d.source.load()
	if err != nil {
		return err
	}
	if err := d.running.CheckReload(loaded); err != nil {
		return err
	}
	keys, err := loaded.Keys()
	if err != nil {
		return err
	}
	tokens, err := loaded.Tokens()
	if err != nil {
		return err
	}
	if err := d.gateway.SetTicketKeys(keys); err != nil {
		return err
	}
	d.running = loaded
	d.network.SetKeys(keys)
	d.gateway.Agent().SetSeeds(loaded.Seeds)
	d.tokens.Store(&tokens)
	d.level.Set(loaded.LogLevel())
	return nil
}

// shutDown waits for the requests in flight, releases the lease and closes the ports.
// The ports are closed last, so that a draining gateway can still respond to callers
// that it is draining.
func (d *daemon) shutDown() {
	drained := d.drainProxy()
	d.gateway.Stop(context.Background())
	<-drained
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	d.closeServer(ctx, d.callers.server)
	d.closeServer(ctx, d.operators.server)
	d.serving.Wait()
	if err := d.network.Close(); err != nil {
		d.logger.Warn("closing the peers' port failed", "error", err)
	}
	d.logger.Info("shutdown complete")
}

// drainProxy stops accepting requests at the HTTP address, so that callers use other
// gateways, and waits for those in flight. The returned channel is closed when the
// drain is complete.
func (d *daemon) drainProxy() <-chan struct{} {
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		if d.proxy.server == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), proxyDrainTimeout)
		defer cancel()
		d.closeServer(ctx, d.proxy.server)
	}()
	return drained
}

// closeServer waits for the requests in flight until ctx is canceled, and aborts those
// that remain.
func (d *daemon) closeServer(ctx context.Context, server *http.Server) {
	if err := server.Shutdown(ctx); err != nil {
		d.logger.Warn("requests in flight aborted by the shutdown", "error", errors.Join(err, server.Close()))
	}
}
