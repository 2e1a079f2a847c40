package gateway

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/routing"
)

// versionWaitTimeout bounds the wait for a newer configuration to become active.
const versionWaitTimeout = time.Second

// seenVersion is the newest configuration that replicas of a service have seen.
func (g *Gateway) seenVersion(service string) uint64 {
	if planted.Active(planted.KeepOldConfiguration) {
		return 0
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.seenVersions[service]
}

func (g *Gateway) recordVersion(service string, version uint64) {
	g.mutex.Lock()
	newer := version > g.seenVersions[service]
	if newer {
		g.seenVersions[service] = version
	}
	g.mutex.Unlock()
	if newer {
		g.agent.ConfirmVersion(version)
	}
}

func (g *Gateway) recordReport(service string, report *api.ReplicaReport) {
	if report != nil {
		g.recordVersion(service, report.ConfigurationVersion)
	}
}

// refreshSeenVersion asks a replica that refused a stale configuration which one it
// has seen. It reports false if the time is over.
func (g *Gateway) refreshSeenVersion(ctx context.Context, service string, reservation *routing.Reservation) bool {
	changed := g.agent.Changed()
	waitContext, cancel := context.WithTimeout(ctx, versionWaitTimeout)
	defer cancel()
	report, err := g.replicas.report(waitContext, reservation.Address)
	if err == nil {
		g.recordVersion(service, report.ConfigurationVersion)
		return ctx.Err() == nil
	}
	select {
	case <-changed:
	case <-waitContext.Done():
	}
	return ctx.Err() == nil
}

// awaitSeenVersion waits, for a short time, until the newest configuration that replicas
// of the service have seen is active here. Nothing is placed by an older one.
func (r *runner) awaitSeenVersion(ctx context.Context) *api.Error {
	version := r.gateway.seenVersion(r.route.Service)
	if r.gateway.agent.ConfirmVersion(version) {
		return nil
	}
	waitContext, cancel := context.WithTimeout(ctx, versionWaitTimeout)
	defer cancel()
	if err := r.gateway.agent.AwaitVersion(waitContext, version); err != nil {
		return newRetryableError(api.CodeNoLease, "a replica has seen configuration %d, which is not active here yet", version)
	}
	return nil
}
