// Package connlimit limits the number of open connections of an HTTP server, so that
// idle or slow clients cannot exhaust the server's connections.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limiter limits the number of open connections of one server. A new connection beyond
// the limit evicts the connection that has been idle, or receiving a request, for the
// longest time. If all others are handling requests, the new connection is closed.
// Limiter is safe for concurrent use.
type Limiter struct {
	limit int // maximum number of open connections

	mutex       sync.Mutex
	connections map[net.Conn]*connectionState
}

// connectionState is the state of an open connection.
type connectionState struct {
	// handling is set while a completely received request has no response yet.
	handling bool
	// since is the time at which the connection was opened, last became idle or last
	// began to receive a request.
	since time.Time
}

// NewLimiter returns a limiter that allows at most limit open connections.
func NewLimiter(limit int) *Limiter {
	return &Limiter{limit: limit, connections: make(map[net.Conn]*connectionState)}
}

// connectionKey is the context key of the requestConnection of a request.
type connectionKey struct{}

// requestConnection identifies the connection of a request and the connection's
// limiter.
type requestConnection struct {
	limiter *Limiter
	conn    net.Conn
}

// Attach applies the limit to the server. It sets the server's ConnState and
// ConnContext and must be called before the server starts to serve.
func (l *Limiter) Attach(server *http.Server) {
	server.ConnState = l.track
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, requestConnection{limiter: l, conn: conn})
	}
}

// MarkHandling records that the request with this context was received completely. Its
// connection is not evicted until the response has been sent. If the server has no
// limiter, MarkHandling does nothing.
func MarkHandling(ctx context.Context) {
	current, ok := ctx.Value(connectionKey{}).(requestConnection)
	if !ok {
		return
	}
	current.limiter.mutex.Lock()
	defer current.limiter.mutex.Unlock()
	if tracked, open := current.limiter.connections[current.conn]; open {
		tracked.handling = true
	}
}

// track is the ConnState callback of the server. It closes the evicted connection, if
// any.
func (l *Limiter) track(conn net.Conn, state http.ConnState) {
	if evicted := l.update(conn, state); evicted != nil {
		evicted.Close()
	}
}

// update records a new state of a connection. It returns the connection to close, or
// nil.
func (l *Limiter) update(conn net.Conn, state http.ConnState) net.Conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	switch state {
	case http.StateNew:
		l.connections[conn] = &connectionState{since: now}
		if len(l.connections) > l.limit {
			return l.evict(conn)
		}
	case http.StateActive, http.StateIdle:
		if tracked, ok := l.connections[conn]; ok {
			tracked.handling = false
			tracked.since = now
		}
	case http.StateClosed, http.StateHijacked:
		delete(l.connections, conn)
	}
	return nil
}

// evict selects the connection to close so that the limit holds again, removes it from
// the open ones and returns it. That is newest itself if all others are handling
// requests. The caller holds the mutex.
func (l *Limiter) evict(newest net.Conn) net.Conn {
	evicted := newest
	var oldest time.Time
	for conn, tracked := range l.connections {
		if conn == newest || tracked.handling {
			continue
		}
		if evicted == newest || tracked.since.Before(oldest) {
			evicted, oldest = conn, tracked.since
		}
	}
	delete(l.connections, evicted)
	return evicted
}
