package gateway

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ticketCheckInterval is the time between two counts of the unused tickets during the
// shutdown.
const ticketCheckInterval = 20 * time.Millisecond

// errStopping is the cause of cancellations by Stop.
var errStopping = errors.New("gateway: stopping")

// Drain makes the gateway refuse new requests. Requests with tickets that it issued
// before are accepted for the ticket grace period.
func (g *Gateway) Drain() {
	g.drainedAt.Store(int64(g.options.Clock()))
	g.draining.Store(true)
}

// inTicketGracePeriod reports whether a draining gateway still accepts requests with
// its tickets.
func (g *Gateway) inTicketGracePeriod() bool {
	return g.options.Clock()-time.Duration(g.drainedAt.Load()) < g.options.TicketGracePeriod
}

// awaitTickets waits until every issued ticket was used or the grace period is over.
func (g *Gateway) awaitTickets(ctx context.Context) {
	for g.inTicketGracePeriod() && g.tickets.unused() > 0 {
		if !sleep(ctx, ticketCheckInterval) {
			return
		}
	}
}

// Stop drains the gateway, waits up to the shutdown timeout for active requests,
// releases the lease and ends all goroutines of the gateway. The lease is released
// only after the wait, since requests need it to be sent to replicas. The end of ctx
// ends the wait early.
func (g *Gateway) Stop(ctx context.Context) {
	g.Drain()
	waitContext, cancel := context.WithTimeout(ctx, g.options.ShutdownTimeout)
	defer cancel()
	g.awaitTickets(waitContext)
	if !g.active.waitIdle(waitContext) {
		g.log.Warn("requests aborted by the shutdown", "requests", g.active.current())
	}
	g.agent.ReleaseLease(context.WithoutCancel(ctx))
	g.cancelRun(errStopping)
	g.loops.Wait()
	g.active.waitIdle(context.WithoutCancel(ctx))
	g.replicas.close()
}

// detachedContext returns a context for a request that outlasts the connection of its
// caller. It ends with its last reader, at the deadline or by Stop.
func (g *Gateway) detachedContext(deadline time.Time) (context.Context, context.CancelCauseFunc) {
	withDeadline, release := context.WithDeadline(g.runContext, deadline)
	ctx, cancel := context.WithCancelCause(withDeadline)
	return ctx, func(cause error) {
		cancel(cause)
		release()
	}
}

// activity counts active requests, so that Stop can wait for them. Unlike a
// sync.WaitGroup it may grow from zero while another goroutine waits.
type activity struct {
	mutex       sync.Mutex
	count       int
	idleChanged chan struct{} // closed and replaced when nothing runs any more
}

func newActivity() *activity { return &activity{idleChanged: make(chan struct{})} }

func (a *activity) begin() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.count++
}

func (a *activity) end() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.count--
	if a.count == 0 {
		close(a.idleChanged)
		a.idleChanged = make(chan struct{})
	}
}

func (a *activity) current() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.count
}

// waitIdle waits until nothing is active and reports false if the context ended
// first.
func (a *activity) waitIdle(ctx context.Context) bool {
	a.mutex.Lock()
	running, changed := a.count, a.idleChanged
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
