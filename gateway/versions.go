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
// have reported to have seen; 0 if there is none.
func (g *Gateway) observedVersion(service string) uint64 {
	if planted.Active(planted.KeepOldConfiguration) {
		return 0
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.observedVersions[service]
}

// recordObservedVersion records that a replica of the service has seen a configuration
// version. A new highest version may be activated here at once.
func (g *Gateway) recordObservedVersion(service string, version uint64) {
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

// recordReportedVersion records the configuration version in a report of a replica. The
// report may be nil.
func (g *Gateway) recordReportedVersion(service string, report *api.ReplicaReport) {
	if report != nil {
		g.recordObservedVersion(service, report.ConfigurationVersion)
	}
}

// refreshObservedVersion requests the report of a replica that refused a stale
// configuration, to obtain the version that the replica has seen. If the replica does not
// answer, it waits for the next activation, up to versionWaitTimeout in total. It reports
// false if ctx ended.
func (g *Gateway) refreshObservedVersion(ctx context.Context, service string, reservation *routing.Reservation) bool {
	changed := g.agent.Activated()
	waitContext, cancel := context.WithTimeout(ctx, versionWaitTimeout)
	defer cancel()
	report, err := g.replicas.report(waitContext, reservation.Address)
	if err == nil {
		g.recordObservedVersion(service, report.ConfigurationVersion)
		return ctx.Err() == nil
	}
	select {
	case <-changed:
	case <-waitContext.Done():
	}
	return ctx.Err() == nil
}

// awaitObservedVersion waits up to versionWaitTimeout until the highest configuration
// version that replicas of the service have seen is active here. Requests must not be
// placed according to an older one.
func (r *runner) awaitObservedVersion(ctx context.Context) *api.Error {
	version := r.gateway.observedVersion(r.route.Service)
	if r.gateway.agent.ConfirmVersion(version) {
		return nil
	}
	waitContext, cancel := context.WithTimeout(ctx, versionWaitTimeout)
	defer cancel()
	if err := r.gateway.agent.AwaitVersion(waitContext, version); err != nil {
		return newRetryableError(api.CodeNoLease, "a replica has seen configuration version %d, which is not active here yet", version)
	}
	return nil
}
