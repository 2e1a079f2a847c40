package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connections bounds the open connections of one server. A connection beyond the
// limit replaces the one that has been idle, or sending its request, for the longest
// time; if all are handling requests, the new one is closed.
type connections struct {
	limit int

	mutex sync.Mutex
	open  map[net.Conn]*connection
}

type connection struct {
	// handling means that a request was received completely and has no response yet.
	handling bool
	since    time.Time
}

func newConnections(limit int) *connections {
	return &connections{limit: limit, open: make(map[net.Conn]*connection)}
}

// connectionKey is the context key of the connection of a request.
type connectionKey struct{}

// connectionOf is an open connection and the set that tracks it.
type connectionOf struct {
	set  *connections
	conn net.Conn
}

// attach makes a server use the limit.
func (c *connections) attach(server *http.Server) {
	server.ConnState = c.track
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, connectionOf{set: c, conn: conn})
	}
}

// markHandling records that a request was received completely.
func markHandling(ctx context.Context) {
	of, ok := ctx.Value(connectionKey{}).(connectionOf)
	if !ok {
		return
	}
	of.set.mutex.Lock()
	defer of.set.mutex.Unlock()
	if entry, open := of.set.open[of.conn]; open {
		entry.handling = true
	}
}

// track is the ConnState hook of the server.
func (c *connections) track(conn net.Conn, state http.ConnState) {
	if evicted := c.update(conn, state); evicted != nil {
		evicted.Close()
	}
}

// update records the state of a connection and returns the one to close, if any.
func (c *connections) update(conn net.Conn, state http.ConnState) net.Conn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	switch state {
	case http.StateNew:
		c.open[conn] = &connection{since: now}
		if len(c.open) > c.limit {
			return c.evict(conn)
		}
	case http.StateActive, http.StateIdle:
		if tracked, ok := c.open[conn]; ok {
			tracked.handling = false
			tracked.since = now
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
	return nil
}

// evict removes and returns the connection to close in favor of the newest. The
// caller holds the mutex.
func (c *connections) evict(newest net.Conn) net.Conn {
	evicted := newest
	var oldest time.Time
	for conn, entry := range c.open {
		if conn == newest || entry.handling {
			continue
		}
		if evicted == newest || entry.since.Before(oldest) {
			evicted, oldest = conn, entry.since
		}
	}
	delete(c.open, evicted)
	return evicted
}
