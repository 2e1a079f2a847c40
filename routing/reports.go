package routing

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// Observe records a report of a replica, polled or sent with an answer, that arrived
// at a time. It ignores reports that are older than the newest.
func (r *Router) Observe(replica string, report api.ReplicaReport, at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	target := r.replicas[replica]
	if target == nil {
		return
	}
	target.observe(at, report)
	r.tick(at)
	target.service.dispatch(at)
}

// RecordPollFailure records that a replica did not respond to a poll. Its incarnation
// is then unknown, and it gets no new requests until it reports.
func (r *Router) RecordPollFailure(replica string, at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	target := r.replicas[replica]
	if target == nil {
		return
	}
	target.stateUnknown = true
	target.refresh(at)
	r.tick(at)
	target.service.rejectInadmissible(at)
}

// Suspect records that the connection to an incarnation of a replica broke, or that
// the replica turned out to be of another incarnation. It gets no new requests until
// it reports. Suspect does nothing and returns false if another incarnation has
// reported meanwhile, since the suspicion is about its predecessor.
func (r *Router) Suspect(replica, incarnation string, at time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	target := r.replicas[replica]
	if target == nil || target.report.Incarnation != incarnation {
		return false
	}
	target.stateUnknown = true
	target.refresh(at)
	target.service.rejectInadmissible(at)
	return true
}

// Watched lists the replicas that this gateway polls, sorted: all of the local
// region, so that it need not rely on other gateways' reports.
func (r *Router) Watched() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	names := make([]string, 0, len(r.replicas))
	for name := range r.replicas {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
