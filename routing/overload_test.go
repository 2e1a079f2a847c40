package routing

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
)

// overloadTest runs one gateway and four replicas with four slots each in virtual time.
type overloadTest struct {
	router   *Router
	mutex    sync.Mutex
	served   map[string]int // by tenant and class
	incoming map[string]int // by tenant and class
	// rejectedAfter holds how long rejected requests waited, and queued how long granted
	// ones did.
	rejectedAfter, queued []time.Duration
	codes                 map[api.Code]int
}

// newOverloadTest returns a test whose router has a plan but no reports yet.
func newOverloadTest(t *testing.T) *overloadTest {
	t.Helper()
	f := newFleet(t)
	f.set(catalog.LimitsRecord(catalog.Limits{QueueLength: 64}))
	f.set(catalog.TenantRecord("double", catalog.Tenant{Weight: 2}))
	for index := range 4 {
		f.replica(fmt.Sprint("r", index), "east-a", "east")
	}
	o := &overloadTest{
		router: newRouter("east", "g1"), served: map[string]int{}, incoming: map[string]int{},
		codes: map[api.Code]int{},
	}
	o.router.SetPlan(f.plan())
	return o
}

// reset discards the measurements so far.
func (o *overloadTest) reset() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.served, o.incoming, o.codes = map[string]int{}, map[string]int{}, map[api.Code]int{}
	o.rejectedAfter, o.queued = nil, nil
}

// requestStream describes requests that arrive at a constant rate.
type requestStream struct {
	tenant      string
	class       api.Class
	perSecond   float64
	serviceTime time.Duration
	wait        time.Duration // until the deadline
}

// run sends the requests of the streams for some seconds. It does not wait for those that
// are still queued or running at the end.
func (o *overloadTest) run(seconds int, streams ...requestStream) {
	credit := make([]float64, len(streams))
	for round := range seconds * 100 {
		if round%50 == 0 {
			o.poll()
		}
		for index, flow := range streams {
			credit[index] += flow.perSecond / 100
			for ; credit[index] >= 1; credit[index]-- {
				go o.sendRequest(flow, fmt.Sprint(flow.tenant, round, index))
			}
		}
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
	}
}

// poll reports the state of each replica to the router.
func (o *overloadTest) poll() {
	status := o.router.Status()
	for _, service := range status.Services {
		for _, member := range service.ReplicaStatuses {
			reported := report(member.Replica)
			reported.Running = member.InFlight
			reported.Sequence = uint64(time.Now().UnixMilli())
			o.router.RecordReport(member.Replica, reported, time.Now())
		}
	}
}

// sendRequest acquires a reservation for one request, runs it for its service time and
// records the outcome.
func (o *overloadTest) sendRequest(flow requestStream, id string) {
	start := time.Now()
	incoming := request(id)
	incoming.Tenant, incoming.Class, incoming.Deadline = flow.tenant, flow.class, start.Add(flow.wait)
	reservation, failure := o.router.Acquire(context.Background(), incoming)
	waited := time.Since(start)
	key := fmt.Sprint(flow.tenant, "/", flow.class)
	o.mutex.Lock()
	o.incoming[key]++
	if failure != nil {
		o.codes[failure.Code]++
		o.rejectedAfter = append(o.rejectedAfter, waited)
		o.mutex.Unlock()
		return
	}
	o.served[key]++
	o.queued = append(o.queued, waited)
	o.mutex.Unlock()
	time.Sleep(flow.serviceTime)
	reservation.Finish(ResultSuccess, nil, time.Now())
}

// quantile returns a quantile of the values, 0 for an empty list.
func quantile(values []time.Duration, fraction float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(fraction*float64(len(sorted)-1))]
}

// TestOverload checks that replicas stay fully used and that requests are rejected early
// when, after a period of low load, three times as many requests arrive as the replicas can
// serve, which is 40 per second.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOverloadTest(t)
		quick := requestStream{tenant: "a", class: api.ClassQuick, serviceTime: 400 * time.Millisecond, wait: 2 * time.Second}
		quick.perSecond = 10
		o.run(10, quick)
		if len(o.rejectedAfter) > 0 {
			t.Errorf("requests rejected at a quarter of the capacity, by code: %v", o.codes)
		}
		o.reset()
		quick.perSecond = 120
		o.run(10, quick)
		o.mutex.Lock()
		settled := slices.Clone(o.queued[len(o.queued)/2:])
		o.mutex.Unlock()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		served := len(o.queued)
		t.Logf("served %d of at most 400; queue wait p50 %v, p99 %v; rejected %v, time to rejection p50 %v, p99 %v",
			served, quantile(o.queued, 0.5), quantile(o.queued, 0.99), o.codes,
			quantile(o.rejectedAfter, 0.5), quantile(o.rejectedAfter, 0.99))
		if late := quantile(settled, 0.5); late < 500*time.Millisecond || late > 1100*time.Millisecond {
			t.Errorf("median queue wait settles at %v, want 0.5 s to 1.1 s, near the set point of 0.92 s", late)
		}
		if served < 380 {
			t.Errorf("served %d requests of at most 400, want at least 380", served)
		}
		if early := quantile(o.rejectedAfter, 0.9); early > 200*time.Millisecond {
			t.Errorf("90th percentile of the time to rejection is %v, want at most 200 ms", early)
		}
	})
}

// TestFairShares checks that the requests served for three tenants that overload the
// replicas are in proportion to the tenants' weights, whatever their request rates.
func TestFairShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOverloadTest(t)
		quick := func(tenant string, perSecond float64) requestStream {
			return requestStream{tenant: tenant, class: api.ClassQuick, perSecond: perSecond, serviceTime: 400 * time.Millisecond, wait: 5 * time.Second}
		}
		flows := []requestStream{quick("greedy", 200), quick("modest", 30), quick("double", 60)}
		o.run(5, flows...)
		o.reset()
		o.run(20, flows...)
		time.Sleep(6 * time.Second)
		synctest.Wait()
		t.Logf("served by tenant and class: %v", o.served)
		modest := float64(o.served["modest/quick"])
		if ratio := float64(o.served["greedy/quick"]) / modest; ratio < 0.8 || ratio > 1.25 {
			t.Errorf("requests served for tenant greedy divided by those for modest: %.2f, want about 1", ratio)
		}
		if ratio := float64(o.served["double/quick"]) / modest; ratio < 1.6 || ratio > 2.5 {
			t.Errorf("requests served for tenant double divided by those for modest: %.2f, want about 2", ratio)
		}
	})
}

// TestQuickRequestsDuringLongOverload checks that all of a few quick requests are served
// while long requests overload the replicas, and that these still use their slots.
func TestQuickRequestsDuringLongOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOverloadTest(t)
		long := requestStream{tenant: "a", class: api.ClassLong, perSecond: 20, serviceTime: 5 * time.Second, wait: 20 * time.Second}
		o.run(10, long)
		quick := requestStream{tenant: "b", class: api.ClassQuick, perSecond: 5, serviceTime: 400 * time.Millisecond, wait: 5 * time.Second}
		o.reset()
		o.run(20, quick, long)
		o.mutex.Lock()
		served, incoming := o.served["b/quick"], o.incoming["b/quick"]
		longServed, longAsked := o.served["a/long"], o.incoming["a/long"]
		o.mutex.Unlock()
		t.Logf("served %d of %d quick requests and %d of %d long ones", served, incoming, longServed, longAsked)
		if served < incoming || incoming < 95 {
			t.Errorf("served %d of %d quick requests during the overload with long ones, want all of at least 95", served, incoming)
		}
		if longServed < 40 { // twelve slots can serve 48 requests of 5 s in 20 s
			t.Errorf("served %d long requests of at most 48, want at least 40", longServed)
		}
		time.Sleep(30 * time.Second)
		synctest.Wait()
	})
}
