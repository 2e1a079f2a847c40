package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxBodyBytesInFlight bounds the request bodies held at once over all callers.
const maxBodyBytesInFlight = 64 << 20

// errBudget means that the bodies of all callers together are too large.
var errBudget = errors.New("gateway: too many bytes of request bodies at once")

// byteBudget bounds a sum of bytes.
type byteBudget struct {
	mutex sync.Mutex
	free  int64
}

func newByteBudget(total int64) *byteBudget { return &byteBudget{free: total} }

// take reports whether the bytes were free.
func (b *byteBudget) take(size int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if size > b.free {
		return false
	}
	b.free -= size
	return true
}

func (b *byteBudget) give(size int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.free += size
}

// budgetReader charges what has arrived, so that a body that is announced and
// not sent costs nothing. The charge lasts until release.
type budgetReader struct {
	source io.Reader
	budget *byteBudget
	taken  int64
}

// Read implements io.Reader.
func (r *budgetReader) Read(into []byte) (int, error) {
	n, err := r.source.Read(into)
	if n > 0 && !r.budget.take(int64(n)) {
		return 0, errBudget
	}
	r.taken += int64(n)
	return n, err
}

func (r *budgetReader) release() { r.budget.give(r.taken) }

// activity counts what runs, so that stopping can wait for it. Unlike a
// sync.WaitGroup it may be entered while it is being waited for.
type activity struct {
	mutex   sync.Mutex
	running int
	changed chan struct{} // closed and replaced when nothing runs any more
}

func newActivity() *activity { return &activity{changed: make(chan struct{})} }

func (a *activity) begin() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.running++
}

func (a *activity) end() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.running--
	if a.running == 0 {
		close(a.changed)
		a.changed = make(chan struct{})
	}
}

func (a *activity) count() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.running
}

// idle waits until nothing runs; it reports false if the context ended first.
func (a *activity) idle(ctx context.Context) bool {
	a.mutex.Lock()
	running, changed := a.running, a.changed
	a.mutex.Unlock()
	if running == 0 {
		return true
	}
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// connections bounds the open connections of one server. A new one beyond the
// bound takes the place of the one that has been silent, idle or sending its
// request for the longest time; if all are being served it is closed itself.
type connections struct {
	limit int

	mutex sync.Mutex
	open  map[net.Conn]*connection
}

type connection struct {
	// served means that the request was read whole and has no answer yet.
	served bool
	since  time.Time
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

// markServed notes that a request was read whole.
func markServed(ctx context.Context) {
	of, ok := ctx.Value(connectionKey{}).(connectionOf)
	if !ok {
		return
	}
	of.set.mutex.Lock()
	defer of.set.mutex.Unlock()
	if entry, open := of.set.open[of.conn]; open {
		entry.served = true
	}
}

// track is the server's ConnState hook.
func (c *connections) track(conn net.Conn, state http.ConnState) {
	if victim := c.note(conn, state); victim != nil {
		victim.Close()
	}
}

func (c *connections) note(conn net.Conn, state http.ConnState) net.Conn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	switch state {
	case http.StateNew:
		c.open[conn] = &connection{since: now}
		if len(c.open) > c.limit {
			return c.victim(conn)
		}
	case http.StateActive, http.StateIdle:
		if entry, ok := c.open[conn]; ok {
			entry.served = false
			entry.since = now
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
	return nil
}

func (c *connections) victim(newest net.Conn) net.Conn {
	victim := newest
	var oldest time.Time
	for conn, entry := range c.open {
		if conn == newest || entry.served {
			continue
		}
		if victim == newest || entry.since.Before(oldest) {
			victim, oldest = conn, entry.since
		}
	}
	delete(c.open, victim)
	return victim
}
