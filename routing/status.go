package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/feedback"
	"github.com/deckpulley/deckpulley/placement"
)

// Status is a snapshot of a router's state for metrics and operators.
type Status struct {
	Version  uint64
	Serial   uint32
	Services []ServiceStatus
	// Retry is the retry ratio over the last window, and its set point.
	Retry feedback.Status
}

// ServiceStatus is the state of a service in the local region, as known to this gateway.
type ServiceStatus struct {
	Service string
	// Limit is the sum of the concurrency limits of the usable replicas. InFlight counts
	// this gateway's requests at all replicas, and Queued those in its queue.
	Limit    int
	InFlight int
	Queued   int
	// Utilization is the number of requests divided by the limit: 1 means that all capacity
	// is in use.
	Utilization float64
	// Replicas counts all replicas, and Usable those to which this gateway may send new
	// requests.
	Replicas  int
	Usable    int
	Ejected   int
	WarmingUp int
	Draining  int
	// Controllers has the set points, measured values and outputs of the controllers.
	Controllers []feedback.Status
	// ReplicaStatuses holds the replicas, sorted by name.
	ReplicaStatuses []ReplicaStatus
	// Regions holds all regions of the plan as known to this gateway, sorted by name.
	Regions []placement.Region
}

// ReplicaStatus is the state of a replica, as known to this gateway.
type ReplicaStatus struct {
	Replica           string
	Incarnation       string
	Usable            bool
	WarmingUp         bool
	Draining          bool
	Ejected           bool
	StateUnknown      bool
	InFlight          int
	InFlightElsewhere int
	Limit             int
	// Suspicion is the phi value of the failure detector.
	Suspicion float64
	// Delay is the smoothed queueing delay before the first token.
	Delay time.Duration
	// Candidate holds the inputs of the cost estimate for a prompt without a cached
	// prefix.
	Candidate placement.Candidate
}

// Status returns a snapshot of the current state, with services and replicas sorted by
// name.
func (r *Router) Status() Status {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tick(now)
	setPoint, measured := r.retryBudget.Status(now)
	status := Status{
		Version: r.version,
		Serial:  r.serial,
		Retry:   feedback.Status{Name: "retry_ratio", SetPoint: setPoint, Measured: measured, Output: measured},
	}
	for _, service := range r.services {
		status.Services = append(status.Services, service.status(now))
	}
	slices.SortFunc(status.Services, func(a, b ServiceStatus) int {
		return strings.Compare(a.Service, b.Service)
	})
	return status
}

func (s *service) status(now time.Time) ServiceStatus {
	status := ServiceStatus{
		Service:     s.name,
		Queued:      s.queue.Len(),
		Utilization: s.utilization,
		Replicas:    len(s.replicas),
	}
	for _, target := range s.replicas {
		member := target.status(now)
		status.ReplicaStatuses = append(status.ReplicaStatuses, member)
		status.InFlight += member.InFlight
		if member.Usable {
			status.Usable++
			status.Limit += member.Limit
		}
		status.Ejected += count(member.Ejected)
		status.WarmingUp += count(member.WarmingUp)
		status.Draining += count(member.Draining)
	}
	slices.SortFunc(status.ReplicaStatuses, func(a, b ReplicaStatus) int {
		return strings.Compare(a.Replica, b.Replica)
	})
	for _, region := range s.regions {
		status.Regions = append(status.Regions, *region)
	}
	slices.SortFunc(status.Regions, func(a, b placement.Region) int {
		return strings.Compare(a.Name, b.Name)
	})
	status.Controllers = []feedback.Status{
		s.spillController.Status(),
		{
			Name:     "first_token_seconds",
			SetPoint: s.firstTokenTarget.Seconds(),
			Measured: s.firstTokenDelay,
			Output:   float64(status.Limit),
		},
		{
			Name:     "queue_wait_seconds",
			SetPoint: s.firstTokenTarget.Seconds(),
			Measured: s.queueWait,
			Output:   float64(s.queue.StandingQueueLimit()),
		},
	}
	return status
}

func (r *replica) status(now time.Time) ReplicaStatus {
	return ReplicaStatus{
		Replica:           r.name,
		Incarnation:       r.report.Incarnation,
		Usable:            r.usable(now),
		WarmingUp:         r.reported && r.warmingUp(),
		Draining:          r.report.Draining || r.service.router.plan.IsDraining(r.name),
		Ejected:           r.service.outlierGroup.EjectedUntil(r.name).After(now),
		StateUnknown:      !r.reported || r.stateUnknown,
		InFlight:          r.inFlight,
		InFlightElsewhere: r.inFlightElsewhere,
		Limit:             r.concurrencyLimit(),
		Suspicion:         r.detector.Phi(now),
		Delay:             r.limit.Delay(),
		Candidate:         r.candidate(0, 0),
	}
}

// count returns 1 if the condition is true and 0 otherwise.
func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
