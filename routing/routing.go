// Package routing decides where a request runs: the region and, within the local
// region, the replica. It combines admission, queueing, fair shares, slow start,
// outlier ejection, spilling between regions and the retry budget. The packages
// that it calls for each decision are pure; Router adds the state, the lock and the
// waiting.
//
// One lock guards everything: a Router, its services, their replicas and the
// reservations. Exported methods take it; all others expect it to be held. The
// files follow the concerns:
//
//   - router.go, plan.go: the state and how a new plan changes it
//   - resolve.go, home.go, regions.go: from a request to regions
//   - acquire.go, admit.go, wait.go, waiter.go: from a request to a reservation
//   - service.go, queue.go, completion.go, choose.go: one service: its queue, its
//     estimates and the choice of a replica
//   - spill.go, remote.go: utilization, the spill controller, other regions' load
//   - replica.go, capacity.go, warmup.go, conditions.go, reports.go: one replica: its
//     reports, limits and slow start, and the conditions written to the registry
//   - reservation.go, result.go: a reservation and what its result teaches
//   - status.go: a copy of the state for metrics and operators
package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// Request describes a request to the router.
type Request struct {
	ID           string
	Tenant       string
	Model        string
	Service      string
	Class        api.Class
	Prefixes     []api.Prefix
	PromptTokens int // after the prefixes
	MaxTokens    int
	Stream       bool
	Client       string
	// RegionChosen is set if a ticket has already chosen the local region. That region
	// then comes first, so that a request is spilled at most once.
	RegionChosen bool
	// Home lists the only regions that may run the request; empty is any.
	Home []string
	// HomeRule is the home rule that the request itself names, if any.
	HomeRule string
	// Deadline must carry a monotonic clock reading, as times from time.Now do.
	Deadline time.Time
	// Attempt is 1 for the first attempt.
	Attempt int
	// ExcludedReplicas holds the names of the replicas already tried.
	ExcludedReplicas map[string]bool

	// resolved is the plan under which Home was found.
	resolved *Plan
}

// AttemptResult is the result of an attempt on a replica.
type AttemptResult uint8

const (
	ResultSuccess    AttemptResult = iota
	ResultNotStarted               // the replica itself rejected it: it never ran
	ResultFailed                   // the replica failed or the connection broke
	ResultCanceled                 // the caller canceled, or the reservation was not used
)
