package gateway

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/routing"
)

// Router decides where requests run. *routing.Router implements it. Implementations must
// be safe for concurrent use.
type Router interface {
	// SetPlan replaces the state of the registry according to which the router decides.
	SetPlan(*routing.Plan)
	Placement
	ReplicaHealth
	RetryBudget
	RegionLoads
	RouterStatus
}

// Placement selects the region and the replica of a request.
type Placement interface {
	// Resolve determines the service, the class and the home regions of a request from the
	// configuration.
	Resolve(api.GenerateRequest, time.Time) (routing.Request, *api.Error)
	// Regions returns the regions to try, best first. The list is empty if no region can
	// serve the request.
	Regions(routing.Request) []string
	// Rejection returns the error for a request for which Regions is empty.
	Rejection(routing.Request) *api.Error
	// Acquire reserves a replica of this gateway's region, and waits in the queue for one if
	// necessary.
	Acquire(context.Context, routing.Request) (*routing.Reservation, *api.Error)
	// Reserve is like Acquire, but returns an error instead of waiting.
	Reserve(routing.Request) (*routing.Reservation, *api.Error)
	// WarmupGateways returns the other gateways of the region that serve replicas of the
	// service in their warm-up. To limit the load on such a replica, only one gateway sends
	// requests to it.
	WarmupGateways(service string) []string
}

// ReplicaHealth collects observations of the replicas in this gateway's region.
type ReplicaHealth interface {
	// LocalReplicas returns the names of the replicas to poll.
	LocalReplicas() []string
	// RecordReport records a report of a replica.
	RecordReport(replica string, report api.ReplicaReport, at time.Time)
	// RecordPollFailure records that a poll of a replica failed.
	RecordPollFailure(replica string, at time.Time)
	// RecordConnectionFailure prevents new requests to a replica until its next report.
	// It does nothing and reports false if the replica has reported another incarnation
	// since.
	RecordConnectionFailure(replica, incarnation string, at time.Time) bool
	// ProposeConditions returns the changes of replica conditions that this gateway must
	// report to the primary.
	ProposeConditions(time.Time) []routing.ConditionChange
}

// RetryBudget limits the retries to a fraction of the first attempts.
type RetryBudget interface {
	// AllowRetry reports whether a request may be retried, and spends the budget for it.
	AllowRetry() bool
	// RecordAttempt counts a first attempt, which adds to the budget.
	RecordAttempt()
}

// RegionLoads gives access to the utilization of regions. The maps are by service; 1 is
// fully utilized.
type RegionLoads interface {
	// Utilization returns the utilization of this gateway's region.
	Utilization() map[string]float64
	// RecordRemoteUtilization records the utilization of another region.
	RecordRemoteUtilization(region string, load map[string]float64, at time.Time)
}

// RouterStatus exports the state of a router.
type RouterStatus interface {
	// Status returns the current state.
	Status() routing.Status
}
