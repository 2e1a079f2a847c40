package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/feedback"
	"github.com/deckpulley/deckpulley/placement"
)

// Status is the state of a router for metrics and people.
type Status struct {
	Version  uint64
	Serial   uint32
	Services []ServiceStatus
	// Retry is the retry ratio beside its aim over the last window.
	Retry feedback.Status
}

// ServiceStatus is one service in the own region, as this gateway sees it.
type ServiceStatus struct {
	Service string
	// Limit is the sum of the replicas' ceilings, InFlight what this gateway has
	// on them and Queued what waits here.
	Limit    int
	InFlight int
	Queued   int
	// Utilization is work over limit, 1 is full.
	Utilization float64
	// Replicas counts all, Usable those that may get new work from here.
	Replicas  int
	Usable    int
	Ejected   int
	WarmingUp int
	Draining  int
	// Controllers show the set point beside the measured value.
	Controllers []feedback.Status
	// Members are the replicas one by one.
	Members []ReplicaStatus
	// Regions are all regions of the plan as known here, sorted by name.
	Regions []placement.Region
}

// ReplicaStatus is one replica.
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
	// Expected is what is expected of it for a prompt of which it has nothing cached.
	Expected placement.Candidate
}

// Status returns a copy of the present state, services and replicas sorted by name.
func (r *Router) Status() Status {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tick(now)
	aim, measured := r.budget.Status(now)
	status := Status{
		Version: r.version,
		Serial:  r.serial,
		Retry:   feedback.Status{Name: "retry_ratio", SetPoint: aim, Measured: measured, Output: measured},
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
			SetPoint: s.firstToken.Seconds(),
			Measured: s.delay,
			Output:   float64(status.Limit),
		},
		{
			Name:     "queue_wait_seconds",
			SetPoint: s.firstToken.Seconds(),
			Measured: s.waited,
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
		WarmingUp:         t.reported && t.cold(),
		Draining:          t.report.Draining || t.service.router.plan.IsDraining(t.name),
		Ejected:           t.service.group.EjectedUntil(t.name).After(now),
		StateUnknown:      !t.reported || t.unknown,
		InFlight:          t.inFlight,
		InFlightElsewhere: t.others,
		Limit:             t.ceiling(),
		Suspicion:         t.watch.Phi(now),
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
