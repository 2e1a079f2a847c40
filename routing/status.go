package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/feedback"
	"github.com/deckpulley/deckpulley/placement"
)

// Status is a copy of a router's state for metrics and operators.
type Status struct {
	Version  uint64
	Serial   uint32
	Services []ServiceStatus
	// Retry is the retry ratio over the last window, and its set point.
	Retry feedback.Status
}

// ServiceStatus is the state of a service in the local region, as this gateway sees
// it.
type ServiceStatus struct {
	Service string
	// Limit is the sum of the usable replicas' concurrency limits, InFlight the number
	// of this gateway's requests on all replicas and Queued that of its queue.
	Limit    int
	InFlight int
	Queued   int
	// Utilization is the number of requests over the limit; 1 is full.
	Utilization float64
	// Replicas counts all replicas, Usable those that may get new requests from this
	// gateway.
	Replicas  int
	Usable    int
	Ejected   int
	WarmingUp int
	Draining  int
	// Controllers has the set points and the measured values.
	Controllers []feedback.Status
	// Members has the replicas, sorted by name.
	Members []ReplicaStatus
	// Regions has all regions of the plan as known to this gateway, sorted by name.
	Regions []placement.Region
}

// ReplicaStatus is the state of a replica, as this gateway sees it.
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
	// Suspicion is the phi of the failure detector.
	Suspicion float64
	Delay     time.Duration
	// Expected is the expected cost of a prompt without a cached prefix.
	Expected placement.Candidate
}

// Status returns a copy of the present state, services and replicas sorted by name.
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
		status.Members = append(status.Members, member)
		status.InFlight += member.InFlight
		if member.Usable {
			status.Usable++
			status.Limit += member.Limit
		}
		status.Ejected += count(member.Ejected)
		status.WarmingUp += count(member.WarmingUp)
		status.Draining += count(member.Draining)
	}
	slices.SortFunc(status.Members, func(a, b ReplicaStatus) int {
		return strings.Compare(a.Replica, b.Replica)
	})
	for _, region := range s.regions {
		status.Regions = append(status.Regions, *region)
	}
	slices.SortFunc(status.Regions, func(a, b placement.Region) int {
		return strings.Compare(a.Name, b.Name)
	})
	status.Controllers = []feedback.Status{
		s.spill.Status(),
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

func (t *replica) status(now time.Time) ReplicaStatus {
	return ReplicaStatus{
		Replica:           t.name,
		Incarnation:       t.report.Incarnation,
		Usable:            t.usable(now),
		WarmingUp:         t.reported && t.warmingUp(),
		Draining:          t.report.Draining || t.service.router.plan.IsDraining(t.name),
		Ejected:           t.service.group.EjectedUntil(t.name).After(now),
		StateUnknown:      !t.reported || t.stateUnknown,
		InFlight:          t.inFlight,
		InFlightElsewhere: t.inFlightElsewhere,
		Limit:             t.concurrencyLimit(),
		Suspicion:         t.detector.Phi(now),
		Delay:             t.limit.Delay(),
		Expected:          t.candidate(0, 0),
	}
}

func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
