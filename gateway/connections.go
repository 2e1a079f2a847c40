package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connections bounds the open connections of one server. A new one beyond the
// bound takes the place of the one that has been silent, idle or sending its
// request for the longest time; if all are being served it is closed itself.
type connections struct {
	limit int

	mutex sync.Mutex
	open  map[net.Conn]*connection
}

type connection struct {
	// handling means that the request was read whole and has no answer yet.
	handling bool
	since    time.Time
}

func newConnections(limit int) *connections {
	return &connections{limit: limit, open: make(map[net.Conn]*connection)}
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// connectionOf is one open connection and the set that bounds it.
type connectionOf struct {
	set  *connections
	conn net.Conn
}

// attach makes a server use the bound.
func (c *connections) attach(server *http.Server) {
	server.ConnState = c.track
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, connectionOf{set: c, conn: conn})
	}
}

// markHandling notes that a request was read whole.
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

// track is the server's ConnState hook.
func (c *connections) track(conn net.Conn, state http.ConnState) {
	if evicted := c.update(conn, state); evicted != nil {
		evicted.Close()
	}
}

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
