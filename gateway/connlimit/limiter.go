// Package connlimit bounds the open connections of an HTTP server, so that idle and
// slow clients can't keep others out.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limiter bounds the open connections of one server. A connection beyond the
// limit replaces the one that has been idle, or sending its request, for the longest
// time; if all are handling requests, the new one is closed.
type Limiter struct {
	limit int

	mutex sync.Mutex
	open  map[net.Conn]*connection
}

type connection struct {
	// handling means that a request was received completely and has no response yet.
	handling bool
	since    time.Time
}

// NewLimiter returns a limiter for at most limit open connections.
func NewLimiter(limit int) *Limiter {
	return &Limiter{limit: limit, open: make(map[net.Conn]*connection)}
}

// connectionKey is the context key of the connection of a request.
type connectionKey struct{}

// requestConnection is an open connection and its limiter.
type requestConnection struct {
	limiter *Limiter
	conn    net.Conn
}

// Attach makes the server use the limit. It sets ConnState and ConnContext, and must be
// called before the server serves.
func (l *Limiter) Attach(server *http.Server) {
	server.ConnState = l.track
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, requestConnection{limiter: l, conn: conn})
	}
}

// MarkHandling records that the request with this context was received completely: its
// connection is not evicted until the response was sent.
func MarkHandling(ctx context.Context) {
	current, ok := ctx.Value(connectionKey{}).(requestConnection)
	if !ok {
		return
	}
	current.limiter.mutex.Lock()
	defer current.limiter.mutex.Unlock()
	if tracked, open := current.limiter.open[current.conn]; open {
		tracked.handling = true
	}
}

// track is the ConnState hook of the server.
func (l *Limiter) track(conn net.Conn, state http.ConnState) {
	if evicted := l.update(conn, state); evicted != nil {
		evicted.Close()
	}
}

// update records the state of a connection and returns the one to close, if any.
func (l *Limiter) update(conn net.Conn, state http.ConnState) net.Conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	switch state {
	case http.StateNew:
		l.open[conn] = &connection{since: now}
		if len(l.open) > l.limit {
			return l.evict(conn)
		}
	case http.StateActive, http.StateIdle:
		if tracked, ok := l.open[conn]; ok {
			tracked.handling = false
			tracked.since = now
		}
	case http.StateClosed, http.StateHijacked:
		delete(l.open, conn)
	}
	return nil
}

// evict removes and returns the connection to close in favor of the newest. The
// caller holds the mutex.
func (l *Limiter) evict(newest net.Conn) net.Conn {
	evicted := newest
	var oldest time.Time
	for conn, tracked := range l.open {
		if conn == newest || tracked.handling {
			continue
		}
		if evicted == newest || tracked.since.Before(oldest) {
			evicted, oldest = conn, tracked.since
		}
	}
	delete(l.open, evicted)
	return evicted
}
