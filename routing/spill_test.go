package routing

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
)

// spillRegion is a region with one gateway in the spill simulation.
type spillRegion struct {
	router   *Router
	replicas map[string]*simulatedReplica
	arrivals float64        // per second
	credit   float64        // arrivals that are due but not yet sent
	sent     map[string]int // requests by the region that was tried first
	rejected int
	measured []float64 // utilization, once per round
}

// spillServiceTime is the service time of every request in the spill simulations.
const spillServiceTime = 400 * time.Millisecond

// newSpillFleet returns three regions of five, four and three replicas with four slots each,
// which can serve 50, 40 and 30 requests per second.
func newSpillFleet(t *testing.T) (map[string]*spillRegion, []string) {
	t.Helper()
	f := newFleet(t)
	sizes := map[string]int{"east": 5, "west": 4, "south": 3}
	names := []string{"east", "south", "west"}
	for _, name := range names {
		others := slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
		f.set(catalog.RegionRecord(name, catalog.Region{Spill: others, Capacity: sizes[name]}))
		f.set(catalog.ZoneRecord(name+"-a", catalog.Zone{Region: name}))
		f.gateway("g-"+name, name+"-a", name, true)
		for index := range sizes[name] {
			f.replica(fmt.Sprint(name, index), name+"-a", name)
		}
	}
	f.remove(catalog.GatewayName("g1"), catalog.TypeGateway)
	f.remove(catalog.GatewayName("g2"), catalog.TypeGateway)
	plan := f.plan()
	regions := map[string]*spillRegion{}
	for _, name := range names {
		region := &spillRegion{
			router: newRouter(name, "g-"+name), replicas: map[string]*simulatedReplica{},
			sent: map[string]int{},
		}
		region.router.SetPlan(plan)
		for index := range sizes[name] {
			replica := &simulatedReplica{name: fmt.Sprint(name, index), completed: warmAfterCompletions}
			region.replicas[replica.name] = replica
		}
		regions[name] = region
	}
	return regions, names
}

// runSpill simulates the arrivals of all regions for some seconds in rounds of 20 ms.
func runSpill(s *simulation, regions map[string]*spillRegion, names []string, seconds int) {
	for round := range seconds * 50 {
		for _, name := range names {
			region := regions[name]
			if round%25 == 0 {
				exchangeLoads(regions, names, name)
			}
			region.credit += region.arrivals / 50
			for ; region.credit >= 1; region.credit-- {
				s.arrive(regions, name)
			}
			region.measured = append(region.measured, region.router.Utilization()["large"])
		}
		s.advance(20 * time.Millisecond)
	}
}

// exchangeLoads polls a region's replicas and reports its load to the other regions.
func exchangeLoads(regions map[string]*spillRegion, names []string, name string) {
	region := regions[name]
	for _, id := range slices.Sorted(maps.Keys(region.replicas)) {
		replica := region.replicas[id]
		reported := replica.report()
		reported.Slots = 4
		region.router.RecordReport(replica.name, reported, time.Now())
	}
	for _, other := range names {
		regions[other].router.RecordRemoteUtilization(name, region.router.Utilization(), time.Now())
	}
}

// arrive sends one request as a gateway does: it tries the listed regions in order.
func (s *simulation) arrive(regions map[string]*spillRegion, name string) {
	region := regions[name]
	incoming := request(fmt.Sprint(name, s.random.Uint64()))
	incoming.Class = api.ClassQuick
	for position, target := range region.router.Regions(incoming) {
		if position == 0 {
			region.sent[target]++
		}
		reservation, failure := regions[target].router.Reserve(incoming)
		if failure != nil {
			continue
		}
		replica := regions[target].replicas[reservation.Replica]
		replica.running++
		s.after(spillServiceTime, func() {
			replica.running--
			reservation.Finish(ResultSuccess, nil, time.Now())
		})
		return
	}
	region.rejected++
}

// reset discards the measurements so far.
func (r *spillRegion) reset() {
	r.sent, r.rejected, r.measured = map[string]int{}, 0, nil
}

// mean returns the arithmetic mean, 0 for an empty list.
func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(max(1, len(values)))
}

// TestSpillStep triples the load of one region, so that it exceeds what the region can
// serve. The test checks that the region's utilization settles near the set point, that the
// rest is spilled and not rejected, that west, which has more capacity than south, gets more
// of it, and that these two, which have a load of their own but spare capacity, send nothing
// back.
func TestSpillStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		regions, names := newSpillFleet(t)
		s := newSimulation(t, 1, 0)
		regions["east"].arrivals = 20
		regions["west"].arrivals = 12
		regions["south"].arrivals = 9
		runSpill(s, regions, names, 10)
		for _, name := range names {
			if away := len(regions[name].sent); away != 1 {
				t.Errorf("%s spills at low load; requests by region: %v", name, regions[name].sent)
			}
			regions[name].reset()
		}
		regions["east"].arrivals = 60
		runSpill(s, regions, names, 10)
		settling := regions["east"]
		t.Logf("first 10 s: utilization %.2f, requests by region tried first %v, rejected %d", mean(settling.measured), settling.sent, settling.rejected)
		for _, name := range names {
			regions[name].reset()
		}
		runSpill(s, regions, names, 30)
		east := regions["east"]
		t.Logf("next 30 s: utilization of east %.2f, west %.2f, south %.2f; requests by region tried first %v",
			mean(east.measured), mean(regions["west"].measured), mean(regions["south"].measured), east.sent)
		if load := mean(east.measured); load < 0.7 || load > 0.9 {
			t.Errorf("the utilization of east settles at %.2f, want 0.7 to 0.9", load)
		}
		if east.rejected > 0 {
			t.Errorf("%d requests rejected while other regions had capacity", east.rejected)
		}
		for _, name := range []string{"west", "south"} {
			if back := regions[name].sent["east"]; back > 0 {
				t.Errorf("%s sent %d requests back to the overloaded region", name, back)
			}
		}
		if east.sent["west"] <= east.sent["south"] {
			t.Errorf("requests by region %v: the larger region west did not get more than south", east.sent)
		}
		east.arrivals = 20
		runSpill(s, regions, names, 8)
		east.reset()
		runSpill(s, regions, names, 5)
		if east.sent["west"]+east.sent["south"] > 0 {
			t.Errorf("east still spills after its load has fallen; requests by region: %v", east.sent)
		}
	})
}

// TestFullRegionsDoNotExchangeSpill checks that regions that are all loaded beyond their
// set point do not continue to try other regions first.
func TestFullRegionsDoNotExchangeSpill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		regions, names := newSpillFleet(t)
		s := newSimulation(t, 2, 0)
		regions["east"].arrivals = 47
		regions["west"].arrivals = 38
		regions["south"].arrivals = 28
		runSpill(s, regions, names, 10)
		for _, name := range names {
			regions[name].reset()
		}
		runSpill(s, regions, names, 30)
		for _, name := range names {
			total := 0
			for _, count := range regions[name].sent {
				total += count
			}
			away := total - regions[name].sent[name]
			t.Logf("%s: utilization %.2f, %d of %d requests tried another region first, rejected %d", name, mean(regions[name].measured), away, total, regions[name].rejected)
			if away*50 > total {
				t.Errorf("%s sends %d of %d requests to other regions first while all are full", name, away, total)
			}
		}
	})
}

// queueingRegions simulates requests that wait in queues as those of a gateway do: in their
// own region until their deadline, and in a region that they are spilled to for spillWait.
type queueingRegions struct {
	regions map[string]*spillRegion
	names   []string
	random  *rand.Rand
	mutex   sync.Mutex                // guards ran and the replicas
	ran     map[string]map[string]int // requests by own region, then by the region that ran them
	running sync.WaitGroup
}

// spillWait is how long a request waits in the queue of a region that it is spilled to.
const spillWait = 2 * time.Second

// runArrivals starts the arriving requests of some seconds in rounds of 20 ms.
func (q *queueingRegions) runArrivals(t *testing.T, seconds int) {
	t.Helper()
	for round := range seconds * 50 {
		for _, name := range q.names {
			region := q.regions[name]
			if round%10 == 0 {
				q.withLock(func() { exchangeLoads(q.regions, q.names, name) })
			}
			region.credit += region.arrivals / 50
			for ; region.credit >= 1; region.credit-- {
				incoming := request(fmt.Sprint(name, q.random.Uint64()))
				incoming.Class = api.ClassQuick
				q.running.Go(func() { q.runRequest(t.Context(), name, incoming) })
				synctest.Wait()
			}
			region.measured = append(region.measured, region.router.Utilization()["large"])
		}
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
	}
}

// runRequest tries the listed regions in order and runs the request in the first one that
// grants a reservation.
func (q *queueingRegions) runRequest(ctx context.Context, name string, incoming Request) {
	regions := q.regions[name].router.Regions(incoming)
	for position, target := range regions {
		reservation := q.acquire(ctx, name, target, incoming, position)
		if reservation == nil {
			continue
		}
		replica := q.regions[target].replicas[reservation.Replica]
		q.withLock(func() {
			replica.running++
			q.ran[name][target]++
		})
		time.Sleep(spillServiceTime)
		q.withLock(func() { replica.running-- })
		reservation.Finish(ResultSuccess, nil, time.Now())
		return
	}
	q.withLock(func() { q.regions[name].rejected++ })
}

// withLock calls work with the mutex held.
func (q *queueingRegions) withLock(work func()) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	work()
}

// acquire gets a reservation in the target region, nil if it is rejected. The request
// waits in its own region, and in another one only if that is the first one tried.
func (q *queueingRegions) acquire(ctx context.Context, name, target string, incoming Request, position int) *Reservation {
	router := q.regions[target].router
	if target != name && position > 0 {
		reservation, _ := router.Reserve(incoming)
		return reservation
	}
	if target != name {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, spillWait)
		defer cancel()
	}
	reservation, _ := router.Acquire(ctx, incoming)
	return reservation
}

// TestUnequalRegionsShareOverload gives all regions the same load, in total 1.25 times what
// they can serve together, so that the smallest gets nearly twice what it can serve. The
// test checks that their utilizations become similar and that no two regions exchange many
// requests with each other.
func TestUnequalRegionsShareOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &queueingRegions{random: rand.New(rand.NewPCG(3, 1)), ran: map[string]map[string]int{}}
		q.regions, q.names = newSpillFleet(t)
		for _, name := range q.names {
			q.ran[name] = map[string]int{}
			q.regions[name].arrivals = 50
		}
		q.runArrivals(t, 10)
		for _, name := range q.names {
			q.withLock(func() {
				q.regions[name].reset()
				clear(q.ran[name])
			})
		}
		q.runArrivals(t, 20)
		q.running.Wait()
		least, most := math.Inf(1), 0.0
		for _, name := range q.names {
			load := mean(q.regions[name].measured)
			least, most = min(least, load), max(most, load)
			t.Logf("%s: utilization %.2f, requests by the region that ran them %v, rejected %d", name, load, q.ran[name], q.regions[name].rejected)
		}
		if most > 1.25*least {
			t.Errorf("utilizations range from %.2f to %.2f, want a ratio of at most 1.25", least, most)
		}
		for i, a := range q.names {
			for _, b := range q.names[i+1:] {
				traded := min(q.ran[a][b], q.ran[b][a])
				if traded*20 > q.ran[a][a]+q.ran[b][b] {
					t.Errorf("%s and %s each ran at least %d requests of the other, want at most a twentieth of all requests of their own that they ran", a, b, traded)
				}
			}
		}
	})
}
