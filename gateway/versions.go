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

// observedVersion returns the highest configuration version that replicas of a service
// have reported; 0 if none.
func (g *Gateway) observedVersion(service string) uint64 {
	if planted.Active(planted.KeepOldConfiguration) {
		return 0
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.observedVersions[service]
}

// recordVersion records a configuration version that a replica of the service has
// seen.
func (g *Gateway) recordVersion(service string, version uint64) {
	g.mutex.Lock()
	newer := version > g.observedVersions[service]
	if newer {
		g.observedVersions[service] = version
	}
	g.mutex.Unlock()
	if newer {
		g.agent.ConfirmVersion(version)
	}
}

// recordReport records the configuration version of a report, if there is one.
func (g *Gateway) recordReport(service string, report *api.ReplicaReport) {
	if report != nil {
		g.recordVersion(service, report.ConfigurationVersion)
	}
}

// refreshObservedVersion asks a replica that refused a stale configuration for the
// version that it has seen. If it does not answer, it waits for the next activation.
// It reports false if ctx ended.
func (g *Gateway) refreshObservedVersion(ctx context.Context, service string, reservation *routing.Reservation) bool {
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

// awaitObservedVersion waits up to versionWaitTimeout until the highest configuration
// version seen by replicas of the service is active here. Requests are not placed by
// an older one.
func (r *runner) awaitObservedVersion(ctx context.Context) *api.Error {
	version := r.gateway.observedVersion(r.route.Service)
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
