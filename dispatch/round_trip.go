package dispatch

import "time"

const (
	// Round-trip times that are assumed before any connection was made.
	initialZoneRoundTrip        = 500 * time.Microsecond // within the own zone
	initialRegionRoundTrip      = 3 * time.Millisecond   // to another zone of the own region
	initialCrossRegionRoundTrip = 40 * time.Millisecond  // to another region

	// The estimate follows shorter times faster than longer ones, which may have been
	// queued somewhere: these are the weights of one measurement.
	shorterWeight = 0.5
	longerWeight  = 0.05
	// maxRoundTripRatio bounds a longer measurement, as a multiple of the estimate.
	maxRoundTripRatio = 4

	// crossZonePenalty is what a request to another zone costs others, in round trips:
	// the bytes of the request and of its response take the long way.
	crossZonePenalty = 2
)

// roundTrips are the estimated round-trip times to zones.
type roundTrips struct {
	estimates map[string]time.Duration
}

func newRoundTrips() roundTrips { return roundTrips{estimates: make(map[string]time.Duration)} }

// observe updates the estimate of a zone with a measurement. initial stands for the
// estimate of a zone that has none.
func (r *roundTrips) observe(zone string, initial, took time.Duration) {
	known := r.estimate(zone, initial)
	weight := longerWeight
	if took < known {
		weight = shorterWeight
	}
	took = min(took, maxRoundTripRatio*known)
	r.estimates[zone] = known + time.Duration(weight*float64(took-known))
}

// estimate returns the round-trip time to a zone, or initial if there is no estimate.
func (r *roundTrips) estimate(zone string, initial time.Duration) time.Duration {
	if known, found := r.estimates[zone]; found {
		return known
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
