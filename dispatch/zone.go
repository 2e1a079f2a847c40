package dispatch

import "time"

// If a zone is partitioned or has lost power, each of its replicas stops responding, and
// each is detected only by a connection that times out. After a few such timeouts the whole
// zone is avoided: its replicas are used only if there are no others, until one of them
// responds or zoneAvoidance has passed.
const (
	// unresponsiveReplicas is the number of replicas of a zone after whose timeouts within
	// unresponsiveWindow the zone is avoided.
	unresponsiveReplicas = 3
	unresponsiveWindow   = 2 * time.Second
	// zoneAvoidance is how long the zone is avoided.
	zoneAvoidance = time.Second
)

// zoneHealth records connection timeouts to the replicas of one zone.
type zoneHealth struct {
	// noResponse holds the time of each replica's last connection timeout, by replica id.
	noResponse   map[string]time.Time
	avoidedUntil time.Time
}

// recordNoResponse records that a connection to a replica timed out. If that happened to
// unresponsiveReplicas of the zone recently, the zone is avoided.
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

// recordResponse records that a replica of the zone responded, which ends its avoidance.
func (z *zoneHealth) recordResponse() {
	clear(z.noResponse)
	z.avoidedUntil = time.Time{}
}

// zone returns the health of a zone. The caller holds the Dispatcher's mutex.
func (d *Dispatcher) zone(name string) *zoneHealth {
	health, found := d.zones[name]
	if !found {
		health = &zoneHealth{}
		d.zones[name] = health
	}
	return health
}
