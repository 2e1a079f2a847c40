// Package upstream keeps HTTP/1.1 connections to replicas and sends one request at
// a time on each of them. Unlike a general HTTP client it never sends a request
// twice, and its errors say whether the replica may have received any of it.
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

// Keep-alive probes of a connection on which nothing is sent.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Pool holds the connections of one process. It is safe for concurrent use.
type Pool struct {
	config Config
	mutex  sync.Mutex
	peers  map[string]*peer // by address
}

// peer is the state of one address. Pool.mutex guards it.
type peer struct {
	idle         []*connection // the most recently used last
	open         int           // connections in use and idle
	lastReceived time.Time
}

// NewPool returns an empty pool.
func NewPool(config Config) *Pool {
	setDefault(&config.DialTimeout, DefaultDialTimeout)
	setDefault(&config.UnacknowledgedTimeout, DefaultUnacknowledgedTimeout)
	setDefault(&config.IdleTimeout, DefaultIdleTimeout)
	pool := &Pool{config: config, peers: make(map[string]*peer)}
	if pool.config.Dial == nil {
		pool.config.Dial = pool.dialTCP
	}
	return pool
}

// Do sends one request to an address and returns once the header of the response
// was read. The request must have no body; the given one is sent with its length.
// The error is a *RequestError. The end of ctx aborts the request, also while the
// body of the response is read.
func (p *Pool) Do(ctx context.Context, address string, request *http.Request, body []byte) (*http.Response, error) {
	conn, err := p.acquire(ctx, address)
	if err != nil {
		return nil, &RequestError{Err: err}
	}
	response, err := conn.roundTrip(ctx, request, body)
	if err != nil {
		conn.discard()
		return nil, &RequestError{Sent: true, Err: err}
	}
	return response, nil
}

// LastReceived returns when bytes were last received from an address; the zero
// time if the pool knows of none. It is dropped when CloseIdleConnections or
// CloseExpired leaves the address without connections.
func (p *Pool) LastReceived(address string) time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if known, found := p.peers[address]; found {
		return known.lastReceived
	}
	return time.Time{}
}

// HasIdleConnection reports whether there is an idle connection to an address that
// can be used.
func (p *Pool) HasIdleConnection(address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, found := p.peers[address]
	return found && len(known.idle) > 0 && time.Now().Before(known.idle[len(known.idle)-1].idleDeadline)
}

// CloseIdleConnections closes the idle connections to an address.
func (p *Pool) CloseIdleConnections(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, found := p.peers[address]
	if !found {
		return
	}
	for _, idle := range known.idle {
		p.closeLocked(idle)
	}
	known.idle = nil
	p.removeUnusedLocked(address, known)
}

// CloseExpired closes the connections whose idle timeout is over at now.
func (p *Pool) CloseExpired(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, known := range p.peers {
		kept := known.idle[:0]
		for _, idle := range known.idle {
			if now.Before(idle.idleDeadline) {
				kept = append(kept, idle)
				continue
			}
			p.closeLocked(idle)
		}
		known.idle = kept
		p.removeUnusedLocked(address, known)
	}
}

// removeUnusedLocked drops the state of an address without connections.
func (p *Pool) removeUnusedLocked(address string, known *peer) {
	if known.open == 0 {
		delete(p.peers, address)
	}
}

// acquire returns the most recently used idle connection that is still intact, or
// a new one.
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

// takeIdle removes the most recently used idle connection that has not expired from
// the pool and returns it; nil if there is none.
func (p *Pool) takeIdle(address string) *connection {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, found := p.peers[address]
	if !found {
		return nil
	}
	for len(known.idle) > 0 {
		last := known.idle[len(known.idle)-1]
		known.idle = known.idle[:len(known.idle)-1]
		if now.Before(last.idleDeadline) {
			return last
		}
		p.closeLocked(last)
	}
	return nil
}

// connect establishes a connection and counts it as open.
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
	known, found := p.peers[address]
	if !found {
		known = &peer{}
		p.peers[address] = known
	}
	known.open++
	return newConnection(p, address, raw), nil
}

// dialTCP connects with keep-alive probes and a bound on unacknowledged data, so
// that the failure of a replica's host fails the connection.
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

// recordReceived records that bytes were received from an address now.
func (p *Pool) recordReceived(address string) {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if known, found := p.peers[address]; found {
		known.lastReceived = now
	}
}

// putIdle makes a connection available to other requests for idleTimeout.
func (p *Pool) putIdle(conn *connection, idleTimeout time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, found := p.peers[conn.address]
	if !found {
		_ = conn.raw.Close()
		return
	}
	conn.idleDeadline = time.Now().Add(idleTimeout)
	known.idle = append(known.idle, conn)
}

// close closes a connection that is not idle.
func (p *Pool) close(conn *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closeLocked(conn)
}

func (p *Pool) closeLocked(conn *connection) {
	_ = conn.raw.Close()
	if known, found := p.peers[conn.address]; found {
		known.open--
	}
}
