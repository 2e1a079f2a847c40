package dispatch

import (
	"context"
	"sort"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/outlier"
	"github.com/deckpulley/deckpulley/placement"
	"github.com/deckpulley/deckpulley/routemap"
)

// plan is what one serial of the registry decides. It is immutable.
type plan struct {
	version  uint64
	routes   *routemap.Table
	gateways []string // names of those that are up
	byRegion map[string][]string
}

// feeder is the one gateway that sends to a replica while it is cold: of its
// region, or of all if none is up there.
func (p *plan) feeder(r *replica) string {
	if near := p.byRegion[r.region]; len(near) > 0 {
		return placement.Owner(r.id, near)
	}
	return placement.Owner(r.id, p.gateways)
}

// service is one service with its replicas, as decided and as seen.
type service struct {
	spec     routemap.Service
	replicas []*replica // in the order of their names
	outliers *outlier.Group
	index    *placement.Index
	hold     float64 // smoothed time that a request occupies a slot, seconds
	pace     paceLearner
}

// coldMargin is added to the time for which replicas are taken to be cold when
// their zone takes part again: how long the news of warm ones may take.
const coldMargin = 1500 * time.Millisecond

// Update makes a newer reading of the registry decide.
func (d *Dispatcher) Update(contents *catalog.State) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.updateServices(contents)
	d.updateReplicas(contents, time.Now())
	if contents.Version() == 0 {
		return
	}
	next := &plan{version: contents.Version()}
	next.gateways, next.byRegion = gatewaysUp(contents)
	old := d.plan.Load()
	if old != nil && old.version == next.version {
		next.routes = old.routes
	} else {
		next.routes = tableOf(contents)
	}
	d.plan.Store(next)
	if old == nil {
		close(d.planned)
	}
}

// awaitPlan returns the plan that decides. A gateway that has just started waits
// for its first one for a moment: it is nearly there, and clients have few tries.
func (d *Dispatcher) awaitPlan(ctx context.Context) *plan {
	if decided := d.plan.Load(); decided != nil {
		return decided
	}
	timer := time.NewTimer(startWait)
	defer timer.Stop()
	select {
	case <-d.planned:
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.plan.Load()
}

// startWait is how long a request may wait for the first plan.
const startWait = 400 * time.Millisecond

func tableOf(contents *catalog.State) *routemap.Table {
	routes := make([]routemap.Route, 0, len(contents.PathRoutes()))
	for _, route := range contents.PathRoutes() {
		routes = append(routes, route)
	}
	return routemap.NewTable(routes)
}

func gatewaysUp(contents *catalog.State) (all []string, byRegion map[string][]string) {
	byRegion = make(map[string][]string)
	for name, gateway := range contents.Gateways() {
		if gateway.Up {
			all = append(all, name)
			byRegion[gateway.Region] = append(byRegion[gateway.Region], name)
		}
	}
	return all, byRegion
}

func (d *Dispatcher) updateServices(contents *catalog.State) {
	for name, spec := range contents.Pools() {
		known, found := d.services[name]
		if !found {
			known = &service{
				outliers: outlier.NewGroup(outlier.DefaultConfig()),
				index:    placement.NewIndex(0),
				hold:     firstHold,
				pace:     newPaceLearner(),
			}
			d.services[name] = known
		}
		known.spec = spec
	}
	for name := range d.services {
		if _, wanted := contents.Pools()[name]; !wanted {
			delete(d.services, name)
		}
	}
}

// updateReplicas brings the replicas in line with the list, and keeps what was
// seen of those that stay.
func (d *Dispatcher) updateReplicas(contents *catalog.State, now time.Time) {
	for id := range d.replicas {
		if _, listed := contents.Replicas()[id]; !listed {
			d.dropReplica(id)
		}
	}
	for id, listed := range contents.Replicas() {
		known, found := d.replicas[id]
		if !found {
			known = newReplica(id)
			d.replicas[id] = known
			d.byKey[known.key] = known
		}
		d.describe(known, listed, contents, now)
	}
	d.groupReplicas()
}

func (d *Dispatcher) dropReplica(id string) {
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

// describe takes over what the registry says of a replica.
func (d *Dispatcher) describe(r *replica, listed catalog.Replica, contents *catalog.State, now time.Time) {
	r.service = listed.Service
	r.zone = listed.Zone
	r.region = listed.Region
	r.address = listed.Address
	r.slots = listed.Slots
	r.draining = contents.IsDraining(r.id)
	condition, _ := contents.Condition(r.id)
	r.cold = condition.State == catalog.ConditionWarmingUp
	evacuated := contents.IsEvacuated(listed.Zone)
	if r.evacuated && !evacuated {
		if known, found := d.services[r.service]; found {
			r.coldUntil = now.Add(known.spec.SlowStartDuration + coldMargin)
		}
	}
	r.evacuated = evacuated
}

// groupReplicas lists the replicas of each service anew.
func (d *Dispatcher) groupReplicas() {
	for _, known := range d.services {
		known.replicas = known.replicas[:0:0]
	}
	for _, r := range d.replicas {
		if known, found := d.services[r.service]; found {
			known.replicas = append(known.replicas, r)
		}
	}
	for _, known := range d.services {
		known.settle()
	}
}

// settle numbers the replicas of a service for its index of prompts.
func (s *service) settle() {
	sort.Slice(s.replicas, func(i, j int) bool { return s.replicas[i].id < s.replicas[j].id })
	names := make([]string, 0, len(s.replicas))
	used := make(map[int]bool, len(s.replicas))
	for _, r := range s.replicas {
		names = append(names, r.id)
		if r.number >= 0 {
			used[r.number] = true
		}
	}
	s.outliers.SetMembers(names)
	for _, r := range s.replicas {
		if r.number < 0 {
			r.number = lowestFree(used)
			used[r.number] = true
			s.index.Forget(r.number)
		}
	}
	s.index.SetCount(len(s.replicas))
}

func lowestFree(used map[int]bool) int {
	number := 0
	for used[number] {
		number++
	}
	return number
}
