// Package routing decides where a request runs: the region, and within the own
// region the replica, with admission, queueing, fair shares, cold ramps, outlier
// ejection and the retry budget. The decisions of its sub-packages are pure;
// Router adds the lock and the waiting around them.
package routing

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
)

// Plan is everything routing needs from the registry's active table. It is
// immutable: a new activation brings a new Plan.
type Plan = catalog.State

// Request is what routing must know of one request.
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
	// RegionChosen is set when a ticket has chosen the own region already: it comes
	// first then, so that a request is spilled once at the most.
	RegionChosen bool
	// Home lists the only regions that may run it; empty is any.
	Home []string
	// HomeRule is the home rule that the request itself named, if any.
	HomeRule string
	// Deadline is monotonic (time.Now carries the reading).
	Deadline time.Time
	// Attempt is 1 for the first attempt.
	Attempt int
	// ExcludedReplicas names replicas already tried.
	ExcludedReplicas map[string]bool

	// resolved is the plan under which Home was found.
	resolved *Plan
}

// AttemptResult says how an attempt on a replica ended.
type AttemptResult uint8

const (
	ResultSuccess    AttemptResult = iota
	ResultNotStarted               // the replica itself said refused: it never ran
	ResultFailed                   // the replica failed or broke
	ResultCanceled                 // the caller went away, or the slot was not used
)
