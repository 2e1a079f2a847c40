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
	"sync/atomic"
	"time"

	"github.com/deckpulley/deckpulley/dispatch"
	"github.com/deckpulley/deckpulley/gateway"
	"github.com/deckpulley/deckpulley/httpgateway"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/settings"
	"github.com/deckpulley/deckpulley/transport"
)

const (
	// incarnationBytes is the size of the random name of one process.
	incarnationBytes = 8
	// shutdownTimeout bounds closing the ports after all requests ended.
	shutdownTimeout = 2 * time.Second
	// proxyDrainTimeout bounds how long requests of the HTTP address may finish.
	proxyDrainTimeout = 20 * time.Second
)

// daemon is one gateway with its ports.
type daemon struct {
	log       *slog.Logger
	level     *slog.LevelVar
	tokens    atomic.Pointer[settings.Tokens]
	network   *transport.Node
	gateway   *gateway.Gateway
	callers   *http.Server
	operators *http.Server
	callerAt  net.Listener
	operateAt net.Listener
	// proxied and proxyAt are the HTTP address; nil without one.
	proxied *http.Server
	proxyAt net.Listener
}

func newDaemon(loaded *settings.Settings) (*daemon, error) {
	keys, err := loaded.Keys()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSettings, err)
	}
	tokens, err := loaded.Tokens()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSettings, err)
	}
	d := &daemon{level: new(slog.LevelVar)}
	d.level.Set(loaded.LogLevel())
	d.log = loaded.NewLogger(os.Stderr, d.level).With("region", loaded.Region)
	d.tokens.Store(&tokens)
	for _, warning := range loaded.Warnings() {
		d.log.Warn(warning)
	}
	if err := d.listen(loaded, keys); err != nil {
		return nil, err
	}
	return d, nil
}

// listen binds all ports, so that an address in use is found before anything runs.
func (d *daemon) listen(loaded *settings.Settings, keys [][]byte) error {
	var err error
	if d.callerAt, err = net.Listen("tcp", loaded.CallerAddress); err != nil {
		return fmt.Errorf("callers' port: %w", err)
	}
	if d.operateAt, err = net.Listen("tcp", loaded.OperatorAddress); err != nil {
		return fmt.Errorf("operators' port: %w", err)
	}
	if loaded.HTTPAddress != "" {
		if d.proxyAt, err = net.Listen("tcp", loaded.HTTPAddress); err != nil {
			return fmt.Errorf("HTTP port: %w", err)
		}
	}
	d.network, err = transport.Listen(transport.Config{
		Name:             loaded.Name,
		Listen:           loaded.PeerAddress,
		Keys:             keys,
		AddressOverrides: loaded.DialOverrides,
	}, d.log)
	if err != nil {
		return fmt.Errorf("peers' port: %w", err)
	}
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
		Logger:        d.log,
	})
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	d.callers = d.gateway.CallersServer()
	d.operators = d.gateway.OperatorsServer()
	return nil
}

// newProxy prepares what serves the HTTP address; nil without one.
func (d *daemon) newProxy(info peer.GatewayInfo, granted settings.HTTPBounds) gateway.HTTPProxy {
	if d.proxyAt == nil {
		return nil
	}
	proxy := httpgateway.NewProxy(httpgateway.ProxyOptions{
		Info:    info,
		Network: d.network,
		Bounds:  dispatch.Bounds{RetryRatio: granted.RetryRatio, WarmupOvershoot: granted.WarmupOvershoot},
		Logger:  d.log,
	})
	d.proxied = proxy.Server()
	return proxy
}

// randomIdentity names this process and seeds its choices.
func randomIdentity() (incarnation string, seed uint64) {
	var random [incarnationBytes]byte
	_, _ = rand.Read(random[:]) // never fails; see package crypto/rand
	return hex.EncodeToString(random[:]), binary.LittleEndian.Uint64(random[:])
}

// run serves until the context ends, then drains and leaves.
func (d *daemon) run(ctx context.Context, hangUp <-chan os.Signal, load func() (*settings.Settings, error)) error {
	if err := d.gateway.Start(); err != nil {
		return fmt.Errorf("starting: %w", err)
	}
	failures := make(chan error, 3)
	serve := func(server *http.Server, listener net.Listener) {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failures <- err
		}
	}
	go serve(d.callers, d.callerAt)
	go serve(d.operators, d.operateAt)
	if d.proxied != nil {
		go serve(d.proxied, d.proxyAt)
	}
	d.log.Info("gateway started", "callers", d.callerAt.Addr().String(), "operators", d.operateAt.Addr().String())
	for {
		select {
		case <-ctx.Done():
			d.leave()
			return nil
		case <-hangUp:
			d.reload(load)
		case err := <-failures:
			d.leave()
			return fmt.Errorf("serving: %w", err)
		}
	}
}

// reload takes over what may change while running: log level, tokens and keys
// of tickets. An error leaves everything as it is.
func (d *daemon) reload(load func() (*settings.Settings, error)) {
	if err := d.tryReload(load); err != nil {
		d.log.Error("reload refused", "error", err)
		return
	}
	d.log.Info("reloaded")
}

func (d *daemon) tryReload(load func() (*settings.Settings, error)) error {
	loaded, err := load()
	if err != nil {
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
	d.network.SetKeys(keys)
	d.tokens.Store(&tokens)
	d.level.Set(loaded.LogLevel())
	return nil
}

// leave lets requests finish, gives the lease up and closes the ports.
func (d *daemon) leave() {
	d.log.Info("leaving")
	drained := d.drainProxy()
	d.gateway.Stop(context.Background())
	<-drained
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, server := range []*http.Server{d.callers, d.operators} {
		d.shutDown(ctx, server)
	}
	if err := d.network.Close(); err != nil {
		d.log.Warn("closing the peers' port", "error", err)
	}
	d.log.Info("left")
}

// drainProxy lets the requests of the HTTP address finish; new ones go elsewhere.
// The channel is closed when it is done.
func (d *daemon) drainProxy() <-chan struct{} {
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		if d.proxied == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), proxyDrainTimeout)
		defer cancel()
		d.shutDown(ctx, d.proxied)
	}()
	return drained
}

func (d *daemon) shutDown(ctx context.Context, server *http.Server) {
	if err := server.Shutdown(ctx); err != nil {
		d.log.Warn("a port is closed with connections open", "error", err, "close", server.Close())
	}
}
