// Package upstream maintains a pool of HTTP/1.1 connections to replicas and sends one
// request at a time on each of them. Unlike a general-purpose HTTP client, it never
// retries a request, and its errors report whether the replica may have received a part
// of the request.
package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/internal/sockets"
)

// Parameters of the TCP keep-alive probes on connections without traffic.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Pool is a pool of connections, grouped by the address of the replica. It is safe for
// concurrent use.
type Pool struct {
	config    Config
	mutex     sync.Mutex
	addresses map[string]*addressState // by address
}

// addressState is the pool's state for one address. Pool.mutex guards it.
type addressState struct {
	idle         []*connection // in the order of their last use, the most recent last
	open         int           // number of connections, in use and idle
	lastReceived time.Time
}

// NewPool returns a pool without connections.
func NewPool(config Config) *Pool {
	setDefault(&config.DialTimeout, DefaultDialTimeout)
	setDefault(&config.UnacknowledgedTimeout, DefaultUnacknowledgedTimeout)
	setDefault(&config.IdleTimeout, DefaultIdleTimeout)
	setDefault(&config.MaxResponseHeaderBytes, DefaultMaxResponseHeaderBytes)
	pool := &Pool{config: config, addresses: make(map[string]*addressState)}
	if pool.config.Dial == nil {
		pool.config.Dial = pool.dialTCP
	}
	return pool
}

// Do sends a request to an address and returns when it has read the header of the
// response. The request must have no body of its own: the parameter body is sent, with
// its Content-Length. If request.RequestURI is set, it is sent as the request target
// unchanged, in place of that of request.URL. The error is always a *RequestError. If ctx ends, the request is
// aborted, even while the caller reads the body of the response. The caller must close
// the response's body.
func (p *Pool) Do(ctx context.Context, address string, request *http.Request, body []byte) (*http.Response, error) {
	conn, err := p.acquire(ctx, address)
	if err != nil {
		return nil, &RequestError{Err: err}
	}
	response, err := newExchange(ctx, conn).roundTrip(request, body)
	if err != nil {
		return nil, &RequestError{Sent: true, Err: err}
	}
	return response, nil
}

// LastReceived returns when bytes were last received from an address, or the zero time
// if that is not known. The time is discarded when CloseIdleConnections or CloseExpired
// leaves the address without connections.
func (p *Pool) LastReceived(address string) time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if state, found := p.addresses[address]; found {
		return state.lastReceived
	}
	return time.Time{}
}

// HasIdleConnection reports whether the pool has an idle connection to an address that
// has not expired.
func (p *Pool) HasIdleConnection(address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state, found := p.addresses[address]
	return found && len(state.idle) > 0 && time.Now().Before(state.idle[len(state.idle)-1].idleDeadline)
}

// CloseIdleConnections closes the idle connections to an address.
func (p *Pool) CloseIdleConnections(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state, found := p.addresses[address]
	if !found {
		return
	}
	for _, idle := range state.idle {
		p.closeLocked(idle)
	}
	state.idle = nil
	p.removeUnusedLocked(address, state)
}

// CloseExpired closes the idle connections whose idle timeout has passed at the time now.
func (p *Pool) CloseExpired(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, state := range p.addresses {
		kept := state.idle[:0]
		for _, idle := range state.idle {
			if now.Before(idle.idleDeadline) {
				kept = append(kept, idle)
				continue
			}
			p.closeLocked(idle)
		}
		state.idle = kept
		p.removeUnusedLocked(address, state)
	}
}

// removeUnusedLocked removes the state of an address if it has no connections. The caller
// holds the mutex.
func (p *Pool) removeUnusedLocked(address string, state *addressState) {
	if state.open == 0 {
		delete(p.addresses, address)
	}
}

// acquire returns the most recently used idle connection that is still open and has no
// unread bytes, or else a new connection.
func (p *Pool) acquire(ctx context.Context, address string) (*connection, error) {
	for {
		idle := p.takeIdle(address)
		if idle == nil {
			return p.connect(ctx, address)
		}
		if sockets.Quiet(idle.raw) {
			return idle, nil
		}
		p.close(idle)
	}
}

// takeIdle removes the most recently used idle connection that has not expired from the
// pool and returns it. It returns nil if there is none.
func (p *Pool) takeIdle(address string) *connection {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state, found := p.addresses[address]
	if !found {
		return nil
	}
	for len(state.idle) > 0 {
		last := state.idle[len(state.idle)-1]
		state.idle = state.idle[:len(state.idle)-1]
		if now.Before(last.idleDeadline) {
			return last
		}
		p.closeLocked(last)
	}
	return nil
}

// connect establishes a connection and adds it to the open connections of its address.
func (p *Pool) connect(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.DialTimeout)
	defer cancel()
	start := time.Now()
	raw, err := p.config.Dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	if p.config.OnConnect != nil {
		p.config.OnConnect(address, time.Since(start))
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state, found := p.addresses[address]
	if !found {
		state = &addressState{}
		p.addresses[address] = state
	}
	state.open++
	return newConnection(p, address, raw), nil
}

// dialTCP connects with keep-alive probes and a timeout for unacknowledged data, so that
// the connection fails soon after the replica's host does.
func (p *Pool) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	sockets.BoundUnacknowledged(raw, p.config.UnacknowledgedTimeout)
	return raw, nil
}

// recordReceived sets the time of the last received bytes of an address to now.
func (p *Pool) recordReceived(address string) {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if state, found := p.addresses[address]; found {
		state.lastReceived = now
	}
}

// putIdle makes a connection available to later requests for the duration idleTimeout.
func (p *Pool) putIdle(conn *connection, idleTimeout time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state, found := p.addresses[conn.address]
	if !found {
		_ = conn.raw.Close()
		return
	}
	conn.idleDeadline = time.Now().Add(idleTimeout)
	state.idle = append(state.idle, conn)
}

// close closes a connection that is not idle.
func (p *Pool) close(conn *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closeLocked(conn)
}

// closeLocked closes a connection. The caller holds the mutex, and removes the connection
// from the idle ones if it is among them.
func (p *Pool) closeLocked(conn *connection) {
	_ = conn.raw.Close()
	if state, found := p.addresses[conn.address]; found {
		state.open--
	}
}
