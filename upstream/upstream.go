// Package upstream keeps HTTP/1.1 connections to replicas and sends one request
// at a time on each. Unlike a general client it never sends a request twice, and
// its errors say whether the replica may have seen any of it.
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

// Defaults of Config.
const (
	DefaultDialTimeout           = 300 * time.Millisecond
	DefaultUnacknowledgedTimeout = 1500 * time.Millisecond
	DefaultIdleTimeout           = 4 * time.Second
)

// idlePart is the part of the idle time that a replica announces for which a
// connection is used again: it may be closed at the announced time.
const idlePart = 0.6

// Probes of a connection on which nothing is sent.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Config sets up a Pool. Every zero field stands for its default.
type Config struct {
	// DialTimeout bounds making a connection.
	DialTimeout time.Duration
	// UnacknowledgedTimeout is how long sent bytes may stay unacknowledged before the
	// connection is given up.
	UnacknowledgedTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept when its replica does not
	// announce a time.
	IdleTimeout time.Duration
	// OnConnect, if set, is told how long each connection took to make. It must not
	// block.
	OnConnect func(address string, took time.Duration)
	// Dial replaces the dialling of TCP, for tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// RequestError is a request that got no answer.
type RequestError struct {
	// Sent says that the replica may have seen a part of the request, and may
	// have carried it out.
	Sent bool
	Err  error
}

func (e *RequestError) Error() string {
	if e.Sent {
		return "upstream: no answer: " + e.Err.Error()
	}
	return "upstream: not sent: " + e.Err.Error()
}

func (e *RequestError) Unwrap() error { return e.Err }

// Pool holds the connections of one process. It is safe for concurrent use.
type Pool struct {
	config Config
	mutex  sync.Mutex
	peers  map[string]*peer
}

// peer is what is kept of one address.
type peer struct {
	idle  []*connection // the most recently used last
	open  int
	heard time.Time
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

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// dialTCP connects so that a dead peer is noticed on the connection itself.
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

// LastReceived returns when bytes last came from an address, the zero time for never.
func (p *Pool) LastReceived(address string) time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if known, found := p.peers[address]; found {
		return known.heard
	}
	return time.Time{}
}

// HasIdleConnection says whether a connection to an address is open and free.
func (p *Pool) HasIdleConnection(address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, found := p.peers[address]
	return found && len(known.idle) > 0 && time.Now().Before(known.idle[len(known.idle)-1].usableUntil)
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
	if known.open == 0 {
		delete(p.peers, address)
	}
}

// CloseExpired closes the connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, known := range p.peers {
		kept := known.idle[:0]
		for _, idle := range known.idle {
			if now.Before(idle.usableUntil) {
				kept = append(kept, idle)
				continue
			}
			p.closeLocked(idle)
		}
		known.idle = kept
		if known.open == 0 {
			delete(p.peers, address)
		}
	}
}

// Do sends one request to an address and returns when the head of the answer is
// here. request has no body; body is sent with its length. The error is an
// *Error. The end of ctx breaks the request off, also while the answer is read.
func (p *Pool) Do(ctx context.Context, address string, request *http.Request, body []byte) (*http.Response, error) {
	conn, err := p.acquire(ctx, address)
	if err != nil {
		return nil, &RequestError{Err: err}
	}
	response, err := conn.exchange(ctx, request, body)
	if err != nil {
		conn.discard()
		return nil, &RequestError{Sent: true, Err: err}
	}
	return response, nil
}

// acquire takes the connection that was used last, or makes one.
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
		if now.Before(last.usableUntil) {
			return last
		}
		p.closeLocked(last)
	}
	return nil
}

func (p *Pool) connect(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.DialTimeout)
	defer cancel()
	began := time.Now()
	raw, err := p.config.Dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	if p.config.OnConnect != nil {
		p.config.OnConnect(address, time.Since(began))
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

func (p *Pool) note(address string) {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if known, found := p.peers[address]; found {
		known.heard = now
	}
}

// keep makes a connection idle.
func (p *Pool) keep(conn *connection, limit time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, found := p.peers[conn.address]
	if !found {
		_ = conn.raw.Close()
		return
	}
	conn.usableUntil = time.Now().Add(limit)
	known.idle = append(known.idle, conn)
}

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
