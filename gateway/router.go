package gateway

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/routing"
)

// Router decides where requests run; *routing.Router implements it. It is safe for
// concurrent use.
type Router interface {
	// SetPlan makes the router decide by a newly activated state of the catalog.
	SetPlan(*routing.Plan)
	Placement
	ReplicaHealth
	RetryBudget
	RegionLoads
	RouterStatus
}

// Placement selects the region and the replica of a request.
type Placement interface {
	// Resolve applies the configuration to a request.
	Resolve(api.GenerateRequest, time.Time) (routing.Request, *api.Error)
	// Regions returns the regions to try, in this order; none if the request can't be
	// placed. The reason is then returned by Rejection.
	Regions(routing.Request) []string
	Rejection(routing.Request) *api.Error
	// Acquire waits in the queue for a replica of the own region.
	Acquire(context.Context, routing.Request) (*routing.Reservation, *api.Error)
	// Reserve returns a replica of the own region if there is one without waiting.
	Reserve(routing.Request) (*routing.Reservation, *api.Error)
	// WarmupGateways returns the other gateways of the region that send requests to
	// replicas of the service that warm up.
	WarmupGateways(service string) []string
}

// ReplicaHealth collects what is observed of the replicas of the own region.
type ReplicaHealth interface {
	// Watched returns the replicas to poll.
	Watched() []string
	Observe(replica string, report api.ReplicaReport, at time.Time)
	RecordPollFailure(replica string, at time.Time)
	// Suspect stops new requests to a replica until its next report. It reports false
	// if the replica has reported another incarnation.
	Suspect(replica, incarnation string, at time.Time) bool
	// Conditions returns the changes of conditions that this gateway has to report.
	Conditions(time.Time) []routing.ConditionChange
}

// RetryBudget bounds the retries by a fraction of the attempts.
type RetryBudget interface {
	AllowRetry() bool
	RecordAttempt()
}

// RegionLoads exchanges the loads of regions, by service.
type RegionLoads interface {
	Load() map[string]float64
	SetRemoteLoad(region string, load map[string]float64, at time.Time)
}

// RouterStatus describes the state of a router.
type RouterStatus interface {
	Status() routing.Status
}
