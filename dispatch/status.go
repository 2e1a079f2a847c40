package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// Replicas returns the status of each replica, sorted by service and id.
func (d *Dispatcher) Replicas() []api.HTTPReplicaStatus {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	all := make([]api.HTTPReplicaStatus, 0, len(d.replicas))
	for _, r := range d.replicas {
		all = append(all, d.status(r, now))
	}
	slices.SortFunc(all, func(a, b api.HTTPReplicaStatus) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.ID, b.ID))
	})
	return all
}

// RetryBudget is the state of a service's retry budget in this gateway, for the window
// retry.Window.
type RetryBudget struct {
	// Ratio is the maximum ratio of retries to first attempts.
	Ratio float64
	// Used is the measured ratio, 0 without first attempts.
	Used float64
}

// RetryBudgets returns the state of the retry budget of each service, by its name.
func (d *Dispatcher) RetryBudgets() map[string]RetryBudget {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	budgets := make(map[string]RetryBudget, len(d.services))
	for name, service := range d.services {
		ratio, used := service.budget.Status(now)
		budgets[name] = RetryBudget{Ratio: ratio, Used: used}
	}
	return budgets
}

// status returns the status of one replica. The caller holds the mutex.
func (d *Dispatcher) status(r *replica, now time.Time) api.HTTPReplicaStatus {
	return api.HTTPReplicaStatus{
		ID:        r.id,
		Service:   r.service,
		Zone:      r.zone,
		Region:    r.region,
		Address:   r.address,
		State:     d.state(r, now),
		Requests:  r.inFlight,
		PrefillMS: r.backlog.remaining(now).Milliseconds(),
		Slowness:  r.slowdown,
	}
}

// state returns the state of a replica. If several states apply, the first case determines
// the result.
func (d *Dispatcher) state(r *replica, now time.Time) api.HTTPReplicaState {
	service, found := d.services[r.service]
	switch {
	case r.replaced:
		return api.HTTPReplicaReplaced
	case r.evacuated:
		return api.HTTPReplicaEvacuated
	case r.draining:
		return api.HTTPReplicaDraining
	case found && now.Before(service.outliers.EjectedUntil(r.id)):
		return api.HTTPReplicaEjected
	case now.Before(r.avoidedUntil) || r.isIdle(now, d.options.Backend.LastReceived(r.address)):
		return api.HTTPReplicaAvoided
	case now.Before(r.rejectedUntil):
		return api.HTTPReplicaFull
	case r.isWarmingUp(now):
		return api.HTTPReplicaCold
	default:
		return api.HTTPReplicaUsable
	}
}
