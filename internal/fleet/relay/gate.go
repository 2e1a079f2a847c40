package relay

import (
	"context"
	"sync"
	"time"
)

// gate controls one direction of traffic between two nodes: whether it is blocked and by how
// much it is delayed.
type gate struct {
	mutex  sync.Mutex
	delay  time.Duration
	closed bool
	opened chan struct{} // closed while the gate is open
}

func newGate() *gate {
	opened := make(chan struct{})
	close(opened)
	return &gate{opened: opened}
}

func (g *gate) close() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.opened = make(chan struct{})
}

func (g *gate) open() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.closed {
		return
	}
	g.closed = false
	close(g.opened)
}

func (g *gate) setDelay(delay time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.delay = delay
}

func (g *gate) currentDelay() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.delay
}

// wait blocks until the gate is open. It returns the error of ctx if ctx ends first.
func (g *gate) wait(ctx context.Context) error {
	g.mutex.Lock()
	opened := g.opened
	g.mutex.Unlock()
	select {
	case <-opened:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// isOpen reports whether the gate is open now.
func (g *gate) isOpen() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !g.closed
}
