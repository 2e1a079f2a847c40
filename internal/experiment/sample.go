package experiment

import (
	"time"

	"github.com/deckpulley/deckpulley/routing"
)

// Sample describes the state of the fleet at one time.
type Sample struct {
	At time.Duration
	// Utilization is, by region, the mean of the utilization that the region's gateways
	// measure. 1 means fully utilized.
	Utilization map[string]float64
	// FirstTokenP95 is the 95th percentile of the time to first token since the previous
	// sample, or 0 if there was no first token.
	FirstTokenP95 time.Duration
	// Answers, Refusals, Failures and Spills are rates per second.
	Answers, Refusals, Failures, Spills float64
	// Cold is the number of cold replicas. ColdInFlight is the highest number of requests
	// on one of them, and ColdLimit the slow-start limit of that replica.
	Cold, ColdInFlight, ColdLimit int
}

// sample takes a sample of the routers, the replicas and the meter.
func (l *liveFleet) sample(at time.Duration) Sample {
	window := l.meter.takeWindow()
	perSecond := 1 / sampleInterval.Seconds()
	sample := Sample{
		At:            at,
		Utilization:   make(map[string]float64),
		FirstTokenP95: quantile(window.firstTokens, 0, 0.95),
		Answers:       float64(window.answers) * perSecond,
		Refusals:      float64(window.refusals) * perSecond,
		Failures:      float64(window.failures) * perSecond,
		Spills:        float64(window.spills) * perSecond,
	}
	service := l.profile.Mixes[0].Service
	for _, gateway := range l.gateways {
		for _, status := range gateway.router.Status().Services {
			if status.Service == service && !l.isDisconnected(gateway.region) {
				sample.Utilization[gateway.region] += min(status.Utilization, maxUtilization) / gatewaysPerRegion
				l.sampleColdReplicas(&sample, status)
			}
		}
	}
	return sample
}

// maxUtilization is the upper limit of the utilization in samples. The measured
// utilization of a region without a usable replica has no upper limit.
const maxUtilization = 2

// sampleColdReplicas adds the cold replicas in the status of one gateway to a sample.
func (l *liveFleet) sampleColdReplicas(sample *Sample, status routing.ServiceStatus) {
	for _, member := range status.ReplicaStatuses {
		if !member.WarmingUp || !member.Usable {
			continue
		}
		report := l.replicaNamed(member.Replica).Report()
		sample.Cold++
		if inFlight := report.Running + report.Queued; inFlight >= sample.ColdInFlight {
			sample.ColdInFlight = inFlight
			sample.ColdLimit = member.Limit
		}
	}
}
