package dispatch

import "time"

// A zone that is partitioned or without power shows as replicas that do not respond, one
// after the other, each at the cost of a connection that times out. After a few of them
// the zone's other replicas are used only if no others are left, until one of them
// responds or the time for another try has come.
const (
	// unresponsiveReplicas is how many replicas of a zone must not respond within
	// unresponsiveWindow for the zone to be avoided.
	unresponsiveReplicas = 3
	unresponsiveWindow   = 2 * time.Second
	// zoneAvoidance is how long the zone is avoided.
	zoneAvoidance = time.Second
)

// zoneHealth is what the gateway has observed of one zone.
type zoneHealth struct {
	// noResponse has the times at which replicas did not respond, by id.
	noResponse   map[string]time.Time
	avoidedUntil time.Time
}

// recordNoResponse records that a connection to a replica timed out.
func (z *zoneHealth) recordNoResponse(now time.Time, replica string) {
	for id, at := range z.noResponse {
		if now.Sub(at) > unresponsiveWindow {
			delete(z.noResponse, id)
		}
	}
	if z.noResponse == nil {
		z.noResponse = make(map[string]time.Time)
	}
	z.noResponse[replica] = now
	if len(z.noResponse) >= unresponsiveReplicas {
		z.avoidedUntil = now.Add(zoneAvoidance)
	}
}

// recordResponse records that a replica of the zone responded.
func (z *zoneHealth) recordResponse() {
	clear(z.noResponse)
	z.avoidedUntil = time.Time{}
}

// zone returns the health of a zone. The caller holds the mutex.
func (d *Dispatcher) zone(name string) *zoneHealth {
	known, found := d.zones[name]
	if !found {
		known = &zoneHealth{}
		d.zones[name] = known
	}
	return known
}
