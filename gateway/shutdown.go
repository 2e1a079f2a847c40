package gateway

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ticketCheckInterval is the time between two checks for unused tickets during the
// shutdown.
const ticketCheckInterval = 20 * time.Millisecond

// errStopping is the cause with which Stop cancels requests and loops.
var errStopping = errors.New("gateway: stopping")

// Drain makes the gateway refuse new requests. Requests with tickets that it has issued
// are still accepted for the ticket grace period.
func (g *Gateway) Drain() {
	g.drainedAt.Store(int64(g.options.Clock()))
	g.draining.Store(true)
}

// inTicketGracePeriod reports whether a draining gateway still accepts requests with
// tickets that it issued. It is meaningful only after Drain.
func (g *Gateway) inTicketGracePeriod() bool {
	return g.options.Clock()-time.Duration(g.drainedAt.Load()) < g.options.TicketGracePeriod
}

// awaitTickets waits until all issued tickets were used or have expired, the grace period
// is over, or ctx ends.
func (g *Gateway) awaitTickets(ctx context.Context) {
	for g.inTicketGracePeriod() && g.tickets.unused() > 0 {
		if !sleep(ctx, ticketCheckInterval) {
			return
		}
	}
}

// Stop drains the gateway, waits up to the shutdown timeout for active requests, releases
// the lease and waits for all goroutines of the gateway to end. The lease is released
// after the wait for requests, which need it to be sent to replicas. If ctx ends, that
// wait ends early.
func (g *Gateway) Stop(ctx context.Context) {
	g.Drain()
	waitContext, cancel := context.WithTimeout(ctx, g.options.ShutdownTimeout)
	defer cancel()
	g.awaitTickets(waitContext)
	if !g.activity.waitIdle(waitContext) {
		g.log.Warn("shutdown aborts active requests", "requests", g.activity.current())
	}
	g.agent.ReleaseLease(context.WithoutCancel(ctx))
	g.cancelRun(errStopping)
	g.loops.Wait()
	g.activity.waitIdle(context.WithoutCancel(ctx))
	g.replicas.close()
}

// detachedContext returns a context for an execution that may outlast the connection of
// the caller that started it. It ends at the deadline, in Stop, or when the returned
// function is called, as an execution does when its last follower leaves.
func (g *Gateway) detachedContext(deadline time.Time) (context.Context, context.CancelCauseFunc) {
	withDeadline, release := context.WithDeadline(g.runContext, deadline)
	ctx, cancel := context.WithCancelCause(withDeadline)
	return ctx, func(cause error) {
		cancel(cause)
		release()
	}
}

// activityCounter counts requests and their background work, so that Stop can wait for
// them. Unlike in a sync.WaitGroup, the count may grow from zero while a goroutine waits.
type activityCounter struct {
	mutex       sync.Mutex
	count       int
	idleChanged chan struct{} // closed and replaced when count becomes 0
}

func newActivityCounter() *activityCounter { return &activityCounter{idleChanged: make(chan struct{})} }

func (a *activityCounter) begin() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.count++
}

func (a *activityCounter) end() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.count--
	if a.count == 0 {
		close(a.idleChanged)
		a.idleChanged = make(chan struct{})
	}
}

func (a *activityCounter) current() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.count
}

// waitIdle waits until the count is 0. It reports false if the context ended first.
func (a *activityCounter) waitIdle(ctx context.Context) bool {
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
