package transport

import (
	"context"
	"sync"
	"time"
)

const (
	// openerIdleTimeout is well below listenerIdleTimeout, so that no request is
	// written to a connection that the listener is about to close.
	openerIdleTimeout = 30 * time.Second
	maxIdlePerAddress = 16 // connections
)

// streamPool holds, by address, idle connections whose last stream ended cleanly, so
// that later streams can reuse them.
type streamPool struct {
	mutex sync.Mutex
	idle  map[string][]idleConn
}

type idleConn struct {
	connection *conn
	since      time.Time
}

// take removes and returns the most recently used idle connection to the address. It
// returns false if there is none.
func (p *streamPool) take(address string) (idleConn, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return idleConn{}, false
	}
	newest := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return newest, true
}

// put adds an idle connection. It returns false if the pool already has
// maxIdlePerAddress connections to the address.
func (p *streamPool) put(address string, connection *conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]idleConn)
	}
	if len(p.idle[address]) >= maxIdlePerAddress {
		return false
	}
	p.idle[address] = append(p.idle[address], idleConn{connection: connection, since: time.Now()})
	return true
}

// streamConnection returns a connection for one stream: an idle one if any is still
// usable, otherwise a new one.
func (n *Node) streamConnection(ctx context.Context, address string) (*conn, error) {
	for {
		idle, found := n.streams.take(address)
		if !found {
			return n.connect(ctx, address, purposeStreams, n.config.DialTimeout)
		}
		if time.Since(idle.since) < openerIdleTimeout && n.fabric.reusable(idle.connection.raw) {
			return idle.connection, nil
		}
		n.release(idle.connection.raw)
	}
}
