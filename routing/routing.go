// Package routing decides where a request runs: in which region and, within the local
// region, at which replica. It combines admission, fair queueing, slow start, outlier
// ejection, spilling of load to other regions and the retry budget. The packages that
// implement these have no locks and no goroutines; Router adds the shared state, the lock
// and the waiting.
//
// One lock guards everything: a Router, its services, their replicas and the
// reservations. Exported methods acquire it; unexported methods are called with the lock
// held unless they acquire it themselves. The files are divided by concern:
//
//   - router.go, plan.go: the state, and how a new plan is applied to it
//   - resolve.go, home.go, regions.go: how the regions for a request are chosen
//   - acquire.go, admit.go, wait.go, waiter.go: how a request gets a reservation
//   - service.go, queue.go, completion.go, choose.go: a service, its queue, its estimates
//     and the choice of a replica
//   - spill.go, remote.go: utilization, the spill controller and the load of other regions
//   - replica.go, capacity.go, warmup.go, conditions.go, reports.go: a replica, its reports,
//     limits and slow start, and the condition changes proposed to the registry
//   - reservation.go, result.go: a reservation, and how its result updates the estimates
//   - retry.go: the retry budget
//   - status.go: a copy of the state for metrics and operators
package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// Request is the part of a client's request that routing depends on.
type Request struct {
	ID           string
	Tenant       string
	Model        string
	Service      string
	Class        api.Class
	Prefixes     []api.Prefix
	PromptTokens int // not counting those of the prefixes
	MaxTokens    int
	Stream       bool
	Client       string
	// HasTicket is set if the request has a ticket, with which a gateway has already
	// chosen the local region. Regions then lists the local region first, so that a request
	// is spilled at most once.
	HasTicket bool
	// Home lists the only regions that may run the request. If it is empty, any may.
	Home []string
	// HomeRule is the home rule that the request itself names, if any.
	HomeRule string
	// Deadline must carry a monotonic clock reading, as times from time.Now do.
	Deadline time.Time
	// Attempt is 1 for the first attempt.
	Attempt int
	// ExcludedReplicas holds the names of the replicas that the request has already tried.
	ExcludedReplicas map[string]bool

	// resolvedPlan is the plan under which Resolve set Home.
	resolvedPlan *Plan
}

// AttemptResult is the result of an attempt on a replica.
type AttemptResult uint8

const (
	ResultSuccess    AttemptResult = iota
	ResultNotStarted               // the request was not executed, for example rejected by the replica
	ResultFailed                   // the replica failed or the connection broke
	ResultCanceled                 // the caller canceled, or the reservation was not used
)
