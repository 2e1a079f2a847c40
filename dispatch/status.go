package dispatch

import (
	"sort"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// Replicas returns what is held of every replica, by service and id.
func (d *Dispatcher) Replicas() []api.HTTPReplicaStatus {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	all := make([]api.HTTPReplicaStatus, 0, len(d.replicas))
	for _, r := range d.replicas {
		all = append(all, d.status(r, now))
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Service != all[j].Service {
			return all[i].Service < all[j].Service
		}
		return all[i].ID < all[j].ID
	})
	return all
}

func (d *Dispatcher) status(r *replica, now time.Time) api.HTTPReplicaStatus {
	return api.HTTPReplicaStatus{
		ID:        r.id,
		Service:   r.service,
		Zone:      r.zone,
		Region:    r.region,
		Address:   r.address,
		State:     d.state(r, now),
		Requests:  r.inFlight,
		PrefillMS: r.backlog.left(now).Milliseconds(),
		Slowness:  r.slowness,
	}
}

func (d *Dispatcher) state(r *replica, now time.Time) api.HTTPReplicaState {
	known, served := d.services[r.service]
	switch {
	case r.replaced:
		return api.HTTPReplicaReplaced
	case r.evacuated:
		return api.HTTPReplicaEvacuated
	case r.draining:
		return api.HTTPReplicaDraining
	case served && now.Before(known.outliers.EjectedUntil(r.id)):
		return api.HTTPReplicaEjected
	case now.Before(r.avoidedUntil) || r.silent(now, d.options.Backend.LastReceived(r.address)):
		return api.HTTPReplicaAvoided
	case now.Before(r.fullUntil):
		return api.HTTPReplicaFull
	case r.isCold(now):
		return api.HTTPReplicaCold
	default:
		return api.HTTPReplicaUsable
	}
}
