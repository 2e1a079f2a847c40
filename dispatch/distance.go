package dispatch

import "time"

const (
	// Round trips before any connection was made.
	firstZoneTrip   = 500 * time.Microsecond // in the own zone
	firstRegionTrip = 3 * time.Millisecond   // to another zone of the own region
	firstFarTrip    = 40 * time.Millisecond  // to another region
	// A round trip is the least of those that were seen lately: shorter ones count
	// more than longer ones, which may have waited somewhere.
	shorterTrip = 0.5
	longerTrip  = 0.05
	// longestTrip bounds a longer one, in multiples of what is known.
	longestTrip = 4
	// crossing is what a request costs others on its way to another zone, in round
	// trips: its bytes and its answer's go the long way.
	crossing = 2
)

// distances are the measured round trips to zones.
type distances struct {
	trips map[string]time.Duration
}

func newDistances() distances { return distances{trips: make(map[string]time.Duration)} }

// note takes one measured round trip in; guess is taken for the zone before.
func (d *distances) note(zone string, guess, took time.Duration) {
	known := d.to(zone, guess)
	weight := longerTrip
	if took < known {
		weight = shorterTrip
	}
	took = min(took, longestTrip*known)
	d.trips[zone] = known + time.Duration(weight*float64(took-known))
}

// to is the round trip to a zone.
func (d *distances) to(zone string, guess time.Duration) time.Duration {
	if known, found := d.trips[zone]; found {
		return known
	}
	return guess
}

// firstTrip is the guess for a replica's zone.
func (d *Dispatcher) firstTrip(r *replica) time.Duration {
	switch {
	case r.region != d.options.Region:
		return firstFarTrip
	case r.zone != d.options.Zone:
		return firstRegionTrip
	default:
		return firstZoneTrip
	}
}

// trip is the round trip to a replica. The dispatcher's mutex is held.
func (d *Dispatcher) trip(r *replica) time.Duration {
	return d.distances.to(r.zone, d.firstTrip(r))
}

// RecordConnect notes how long it took to connect to an address.
func (d *Dispatcher) RecordConnect(address string, took time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, r := range d.replicas {
		if r.address == address {
			d.distances.note(r.zone, d.firstTrip(r), took)
			return
		}
	}
}
