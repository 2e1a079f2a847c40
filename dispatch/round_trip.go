package dispatch

import "time"

const (
	// Round-trip times that are assumed before the first measurement.
	initialZoneRoundTrip        = 500 * time.Microsecond // within the gateway's zone
	initialRegionRoundTrip      = 3 * time.Millisecond   // to another zone of the same region
	initialCrossRegionRoundTrip = 40 * time.Millisecond  // to another region

	// Weights of one measurement in the estimate. A shorter time than the estimate has a
	// higher weight than a longer one, which may include queueing delay.
	shorterWeight = 0.5
	longerWeight  = 0.05
	// maxRoundTripRatio is the limit to which a measurement is reduced, as a multiple of
	// the estimate.
	maxRoundTripRatio = 4

	// crossZonePenalty is the cost of a distant replica in the selection, as a multiple of
	// its round-trip time. It is added to the latency of the request itself, because the
	// transfer of request and response over a long path also affects other requests.
	crossZonePenalty = 2
)

// roundTrips are the estimated round-trip times to zones.
type roundTrips struct {
	estimates map[string]time.Duration
}

func newRoundTrips() roundTrips { return roundTrips{estimates: make(map[string]time.Duration)} }

// observe updates the estimate of a zone with a measurement. initial is used as the
// previous estimate if the zone has none.
func (r *roundTrips) observe(zone string, initial, took time.Duration) {
	previous := r.estimate(zone, initial)
	weight := longerWeight
	if took < previous {
		weight = shorterWeight
	}
	took = min(took, maxRoundTripRatio*previous)
	r.estimates[zone] = previous + time.Duration(weight*float64(took-previous))
}

// estimate returns the round-trip time to a zone, or initial if there is no estimate.
func (r *roundTrips) estimate(zone string, initial time.Duration) time.Duration {
	if estimate, found := r.estimates[zone]; found {
		return estimate
	}
	return initial
}

// initialRoundTrip returns the round-trip time that is assumed for a replica's zone.
func (d *Dispatcher) initialRoundTrip(r *replica) time.Duration {
	switch {
	case r.region != d.options.Region:
		return initialCrossRegionRoundTrip
	case r.zone != d.options.Zone:
		return initialRegionRoundTrip
	default:
		return initialZoneRoundTrip
	}
}

// roundTrip returns the estimated round-trip time to a replica. The caller holds the
// mutex.
func (d *Dispatcher) roundTrip(r *replica) time.Duration {
	return d.roundTrips.estimate(r.zone, d.initialRoundTrip(r))
}

// RecordConnect records how long it took to connect to an address.
func (d *Dispatcher) RecordConnect(address string, took time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, r := range d.replicas {
		if r.address == address {
			d.roundTrips.observe(r.zone, d.initialRoundTrip(r), took)
			return
		}
	}
}
