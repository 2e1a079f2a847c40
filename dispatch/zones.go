package dispatch

import "time"

// A zone that is cut off or without power shows as replicas that give no sign at all,
// one after the other, each at the cost of a connection that hangs. After a few of
// them the zone's other replicas are only used when nothing else is left, until one
// is heard or the time for another try has come.
const (
	// silentReplicas is how many replicas of a zone must be silent, and silentWindow
	// how long one counts.
	silentReplicas = 3
	silentWindow   = 2 * time.Second
	// zoneAvoidance is how long a silent zone is avoided.
	zoneAvoidance = time.Second
)

// zoneWatch is what a gateway has noticed of one zone.
type zoneWatch struct {
	silent       map[string]time.Time // when a connection to a replica hung, by its id
	avoidedUntil time.Time
}

// noteSilent notes a replica that gave no sign.
func (w *zoneWatch) noteSilent(now time.Time, replica string) {
	for id, at := range w.silent {
		if now.Sub(at) > silentWindow {
			delete(w.silent, id)
		}
	}
	if w.silent == nil {
		w.silent = make(map[string]time.Time)
	}
	w.silent[replica] = now
	if len(w.silent) >= silentReplicas {
		w.avoidedUntil = now.Add(zoneAvoidance)
	}
}

// noteHeard notes that a replica of the zone answered.
func (w *zoneWatch) noteHeard() {
	clear(w.silent)
	w.avoidedUntil = time.Time{}
}

// zone returns the watch of a zone. The dispatcher's mutex is held.
func (d *Dispatcher) zone(name string) *zoneWatch {
	known, found := d.zones[name]
	if !found {
		known = &zoneWatch{}
		d.zones[name] = known
	}
	return known
}
