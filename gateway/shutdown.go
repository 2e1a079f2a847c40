package gateway

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ticketCheckInterval is the time between two looks at the unused tickets during the
// shutdown.
const ticketCheckInterval = 20 * time.Millisecond

// errStopping is the cause of a cancellation by the end of the process.
var errStopping = errors.New("gateway: stopping")

// Drain takes nothing new from now on, except what comes with a ticket that was
// issued before, for a short time.
func (g *Gateway) Drain() {
	g.drainedAt.Store(int64(g.options.Clock()))
	g.draining.Store(true)
}

// inTicketGracePeriod tells that a leaving gateway still takes requests with its tickets.
func (g *Gateway) inTicketGracePeriod() bool {
	return g.options.Clock()-time.Duration(g.drainedAt.Load()) < g.options.TicketGracePeriod
}

// awaitTickets waits until every issued ticket is used or no longer honored.
func (g *Gateway) awaitTickets(ctx context.Context) {
	for g.inTicketGracePeriod() && g.unusedTickets() > 0 {
		if !sleep(ctx, ticketCheckInterval) {
			return
		}
	}
}

// unusedTickets counts the tickets that may still be used for the first time.
func (g *Gateway) unusedTickets() int {
	g.tickets.mutex.Lock()
	defer g.tickets.mutex.Unlock()
	return g.tickets.table.Unused(g.options.Clock())
}

// Stop drains, lets what runs finish for a bounded time, gives the lease up and
// ends everything. The context ends the waiting early.
func (g *Gateway) Stop(ctx context.Context) {
	g.Drain()
	waitContext, cancel := context.WithTimeout(ctx, g.options.ShutdownTimeout)
	defer cancel()
	g.awaitTickets(waitContext)
	if !g.active.waitIdle(waitContext) {
		g.log.Warn("requests are cut off", "requests", g.active.current())
	}
	g.agent.ReleaseLease(context.WithoutCancel(ctx))
	g.cancelRun(errStopping)
	g.loops.Wait()
	g.active.waitIdle(context.WithoutCancel(ctx))
	g.replicas.close()
}

// detachedContext runs a deadline-bound request apart from its caller's connection; it
// ends with the last reader, the deadline or the process.
func (g *Gateway) detachedContext(deadline time.Time) (context.Context, context.CancelCauseFunc) {
	withDeadline, release := context.WithDeadline(g.runContext, deadline)
	ctx, cancel := context.WithCancelCause(withDeadline)
	return ctx, func(cause error) {
		cancel(cause)
		release()
	}
}

// activity counts what runs, so that stopping can wait for it. Unlike a
// sync.WaitGroup it may be entered while it is being waited for.
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

// waitIdle waits until nothing runs; it reports false if the context ended first.
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
