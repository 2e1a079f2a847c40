package routing

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// RecordReport records a report of a replica that arrived at the given time, as the
// response to a poll or together with an answer. It ignores reports that are older than
// the newest one.
func (r *Router) RecordReport(replica string, report api.ReplicaReport, at time.Time) {
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

// RecordPollFailure records that a replica did not respond to a poll. The replica may have
// restarted, so it gets no new requests until its next report.
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

// RecordConnectionFailure records that the connection to the given incarnation of a
// replica broke, or that the replica answered as another incarnation. The replica gets no
// new requests until its next report. If another incarnation has reported in the
// meantime, RecordConnectionFailure does nothing and returns false, since the failure
// concerns the previous incarnation.
func (r *Router) RecordConnectionFailure(replica, incarnation string, at time.Time) bool {
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

// LocalReplicas returns the names of all replicas of the local region, sorted. The
// gateway polls each of them itself instead of relying on what other gateways observe.
// This does not depend on which gateway proposes a replica's condition.
func (r *Router) LocalReplicas() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	names := make([]string, 0, len(r.replicas))
	for name := range r.replicas {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
