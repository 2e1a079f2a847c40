package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/outlier"
	"github.com/deckpulley/deckpulley/placement"
	"github.com/deckpulley/deckpulley/retry"
	"github.com/deckpulley/deckpulley/routemap"
)

const (
	// snapshotTimeout is how long a request waits for the first snapshot.
	snapshotTimeout = 400 * time.Millisecond
	// slowStartMargin is added to SlowStartDuration after the evacuation of a zone ended.
	// Until then its replicas are assumed to be warming up. The margin allows for the
	// delay until the registry reports which of them are warm.
	slowStartMargin = 1500 * time.Millisecond
)

// snapshot holds the routes and gateways of the registry at one serial. It is immutable.
type snapshot struct {
	// version is the configuration version.
	version uint64
	routes  *routemap.Table
	// gateways holds the names of the gateways that are up.
	gateways         []string
	gatewaysByRegion map[string][]string
}

// slowStartOwner returns the gateway that alone sends requests to a replica while it is
// warming up. It is a gateway of the replica's region, or of any region if none is up there.
func (s *snapshot) slowStartOwner(r *replica) string {
	if local := s.gatewaysByRegion[r.region]; len(local) > 0 {
		return placement.Owner(r.id, local)
	}
	return placement.Owner(r.id, s.gateways)
}

// service is one service with its replicas. The Dispatcher's mutex guards it.
type service struct {
	spec     routemap.Service
	replicas []*replica // sorted by id
	outliers *outlier.Group
	// budget limits the attempts that arrive at replicas of the service after the first one
	// of the same request.
	budget *retry.Budget
	// index estimates which shared prefixes each replica has in its cache.
	index *placement.Index
	// serviceTime is the smoothed time in seconds for which a request occupies a slot.
	serviceTime float64
	prefill     prefillEstimator
}

// Update makes state the current state of the registry, by which requests are forwarded.
func (d *Dispatcher) Update(state *catalog.State) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.updateServices(state)
	d.updateReplicas(state, time.Now())
	if state.Version() == 0 {
		return
	}
	next := &snapshot{version: state.Version()}
	next.gateways, next.gatewaysByRegion = gatewaysUp(state)
	previous := d.snapshot.Load()
	if previous != nil && previous.version == next.version {
		next.routes = previous.routes
	} else {
		next.routes = newRouteTable(state)
	}
	d.snapshot.Store(next)
	if previous == nil {
		close(d.ready)
	}
}

// awaitSnapshot returns the current snapshot, or nil if there is none. It waits up to
// snapshotTimeout for the first one, which usually arrives soon after the start: clients
// retry only a few times.
func (d *Dispatcher) awaitSnapshot(ctx context.Context) *snapshot {
	if current := d.snapshot.Load(); current != nil {
		return current
	}
	timer := time.NewTimer(snapshotTimeout)
	defer timer.Stop()
	select {
	case <-d.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.snapshot.Load()
}

func newRouteTable(state *catalog.State) *routemap.Table {
	routes := make([]routemap.Route, 0, len(state.PathRoutes()))
	for _, route := range state.PathRoutes() {
		routes = append(routes, route)
	}
	return routemap.NewTable(routes)
}

// gatewaysUp returns the names of the gateways that are up.
func gatewaysUp(state *catalog.State) (all []string, byRegion map[string][]string) {
	byRegion = make(map[string][]string)
	for name, gateway := range state.Gateways() {
		if gateway.Up {
			all = append(all, name)
			byRegion[gateway.Region] = append(byRegion[gateway.Region], name)
		}
	}
	return all, byRegion
}

// updateServices adds, updates and removes services. Existing services retain their
// measurements.
func (d *Dispatcher) updateServices(state *catalog.State) {
	for name, spec := range state.HTTPServices() {
		service, found := d.services[name]
		if !found {
			service = newService(d.options.Bounds.retryRatio())
			d.services[name] = service
		}
		service.spec = spec
	}
	for name := range d.services {
		if _, listed := state.HTTPServices()[name]; !listed {
			delete(d.services, name)
		}
	}
}

// newService returns a service without replicas and measurements.
func newService(retryRatio float64) *service {
	return &service{
		budget:      retry.NewBudget(retryRatio),
		outliers:    outlier.NewGroup(outlier.DefaultConfig()),
		index:       placement.NewIndex(0),
		serviceTime: initialServiceTime,
		prefill:     newPrefillEstimator(),
	}
}

// updateReplicas adds, updates and removes replicas. Existing replicas retain their load and
// measurements.
func (d *Dispatcher) updateReplicas(state *catalog.State, now time.Time) {
	for id := range d.replicas {
		if _, listed := state.Replicas()[id]; !listed {
			d.removeReplica(id)
		}
	}
	for id, listed := range state.Replicas() {
		r, found := d.replicas[id]
		if !found {
			r = newReplica(id)
			d.replicas[id] = r
			d.byKey[r.key] = r
		}
		d.updateReplica(r, listed, state, now)
	}
	d.groupReplicas()
}

// removeReplica removes a replica, and closes the idle connections to its address unless
// another replica has the same address.
func (d *Dispatcher) removeReplica(id string) {
	address := d.replicas[id].address
	delete(d.byKey, d.replicas[id].key)
	delete(d.replicas, id)
	for _, other := range d.replicas {
		if other.address == address {
			return
		}
	}
	d.options.Backend.CloseIdleConnections(address)
}

// updateReplica copies the registry's records to a replica. When the evacuation of its zone
// has ended, it assumes that the replica is warming up for a while.
func (d *Dispatcher) updateReplica(r *replica, listed catalog.Replica, state *catalog.State, now time.Time) {
	r.service = listed.Service
	r.zone = listed.Zone
	r.region = listed.Region
	r.address = listed.Address
	r.slots = listed.Slots
	r.draining = state.IsDraining(r.id)
	condition, _ := state.Condition(r.id)
	r.warmingUp = condition.State == catalog.ConditionWarmingUp
	evacuated := state.IsEvacuated(listed.Zone)
	if r.evacuated && !evacuated {
		if service, found := d.services[r.service]; found {
			r.warmingUpUntil = now.Add(service.spec.SlowStartDuration + slowStartMargin)
		}
	}
	r.evacuated = evacuated
}

// groupReplicas rebuilds the list of replicas of each service.
func (d *Dispatcher) groupReplicas() {
	for _, service := range d.services {
		service.replicas = service.replicas[:0:0]
	}
	for _, r := range d.replicas {
		if service, found := d.services[r.service]; found {
			service.replicas = append(service.replicas, r)
		}
	}
	for _, service := range d.services {
		service.numberReplicas()
	}
}

// numberReplicas sorts the replicas by id, updates the members of outlier detection, and
// assigns the lowest free numbers in the prefix index to new replicas.
func (s *service) numberReplicas() {
	slices.SortFunc(s.replicas, func(a, b *replica) int { return cmp.Compare(a.id, b.id) })
	ids := make([]string, 0, len(s.replicas))
	used := make(map[int]bool, len(s.replicas))
	for _, r := range s.replicas {
		ids = append(ids, r.id)
		if r.number >= 0 {
			used[r.number] = true
		}
	}
	s.outliers.SetMembers(ids)
	for _, r := range s.replicas {
		if r.number < 0 {
			r.number = lowestFree(used)
			used[r.number] = true
			s.index.Forget(r.number)
		}
	}
	s.index.SetCount(len(s.replicas))
}

// lowestFree returns the lowest number that is not in used.
func lowestFree(used map[int]bool) int {
	number := 0
	for used[number] {
		number++
	}
	return number
}
