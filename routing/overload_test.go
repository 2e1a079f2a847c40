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

// overload is one gateway with four replicas of four slots, in virtual time.
type overload struct {
	router   *Router
	mutex    sync.Mutex
	served   map[string]int // by tenant and class
	incoming map[string]int
	// rejectedAfter are the waits of rejected requests, queued the waits of
	// granted ones.
	rejectedAfter, queued []time.Duration
	codes                 map[api.Code]int
}

func newOverload(t *testing.T) *overload {
	t.Helper()
	f := newFleet(t)
	f.set(catalog.LimitsRecord(catalog.Limits{QueueLength: 64}))
	f.set(catalog.TenantRecord("double", catalog.Tenant{Weight: 2}))
	for index := range 4 {
		f.replica(fmt.Sprint("r", index), "east-a", "east")
	}
	o := &overload{
		router: newRouter("east", "g1"), served: map[string]int{}, incoming: map[string]int{},
		codes: map[api.Code]int{},
	}
	o.router.SetPlan(f.plan())
	return o
}

func (o *overload) reset() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.served, o.incoming, o.codes = map[string]int{}, map[string]int{}, map[api.Code]int{}
	o.rejectedAfter, o.queued = nil, nil
}

// stream is a steady flow of requests.
type stream struct {
	tenant      string
	class       api.Class
	perSecond   float64
	serviceTime time.Duration
	wait        time.Duration
}

// run plays the streams for some seconds and lets the rest come to its end.
func (o *overload) run(seconds int, streams ...stream) {
	credit := make([]float64, len(streams))
	for round := range seconds * 100 {
		if round%50 == 0 {
			o.poll()
		}
		for index, flow := range streams {
			credit[index] += flow.perSecond / 100
			for ; credit[index] >= 1; credit[index]-- {
				go o.ask(flow, fmt.Sprint(flow.tenant, round, index))
			}
		}
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
	}
}

func (o *overload) poll() {
	status := o.router.Status()
	for _, service := range status.Services {
		for _, member := range service.Members {
			reported := report(member.Replica)
			reported.Running = member.InFlight
			reported.Sequence = uint64(time.Now().UnixMilli())
			o.router.Observe(member.Replica, reported, time.Now())
		}
	}
}

func (o *overload) ask(flow stream, id string) {
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

func quantile(values []time.Duration, part float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(part*float64(len(sorted)-1))]
}

// TestOverload sends three times what the replicas can serve (40 a second) after a
// quiet time: they stay fully used, and refusals come early.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOverload(t)
		quick := stream{tenant: "a", class: api.ClassQuick, serviceTime: 400 * time.Millisecond, wait: 2 * time.Second}
		quick.perSecond = 10
		o.run(10, quick)
		if len(o.rejectedAfter) > 0 {
			t.Errorf("%v rejected at a quarter of the load", o.codes)
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
		t.Logf("served %d of 400 possible, queued p50 %v p99 %v; rejected %v after p50 %v p99 %v",
			served, quantile(o.queued, 0.5), quantile(o.queued, 0.99), o.codes,
			quantile(o.rejectedAfter, 0.5), quantile(o.rejectedAfter, 0.99))
		if late := quantile(settled, 0.5); late < 500*time.Millisecond || late > 1100*time.Millisecond {
			t.Errorf("queue wait settles at %v, want near the set point of 0.92 s", late)
		}
		if served < 380 {
			t.Errorf("served %d, want the replicas kept busy", served)
		}
		if early := quantile(o.rejectedAfter, 0.9); early > 200*time.Millisecond {
			t.Errorf("nine of ten refusals within %v, want them early", early)
		}
	})
}

// TestFairShares overloads the replicas by three tenants and two classes: shares
// follow the weights, and quick requests hardly wait behind long ones.
func TestFairShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOverload(t)
		quick := func(tenant string, perSecond float64) stream {
			return stream{tenant: tenant, class: api.ClassQuick, perSecond: perSecond, serviceTime: 400 * time.Millisecond, wait: 5 * time.Second}
		}
		flows := []stream{quick("greedy", 200), quick("modest", 30), quick("double", 60)}
		o.run(5, flows...)
		o.reset()
		o.run(20, flows...)
		time.Sleep(6 * time.Second)
		synctest.Wait()
		t.Logf("served %v", o.served)
		modest := float64(o.served["modest/quick"])
		if ratio := float64(o.served["greedy/quick"]) / modest; ratio < 0.8 || ratio > 1.25 {
			t.Errorf("greedy over modest is %.2f, want 1", ratio)
		}
		if ratio := float64(o.served["double/quick"]) / modest; ratio < 1.6 || ratio > 2.5 {
			t.Errorf("double over modest is %.2f, want 2", ratio)
		}
	})
}

// TestQuickRequestsDuringLongOverload floods with long requests and sends a few quick ones.
func TestQuickRequestsDuringLongOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOverload(t)
		long := stream{tenant: "a", class: api.ClassLong, perSecond: 20, serviceTime: 5 * time.Second, wait: 20 * time.Second}
		o.run(10, long)
		quick := stream{tenant: "b", class: api.ClassQuick, perSecond: 5, serviceTime: 400 * time.Millisecond, wait: 5 * time.Second}
		o.reset()
		o.run(20, quick, long)
		o.mutex.Lock()
		served, incoming := o.served["b/quick"], o.incoming["b/quick"]
		longServed, longAsked := o.served["a/long"], o.incoming["a/long"]
		o.mutex.Unlock()
		t.Logf("quick served %d of %d, long %d of %d", served, incoming, longServed, longAsked)
		if served < incoming || incoming < 95 {
			t.Errorf("quick served %d of %d beside long ones", served, incoming)
		}
		if longServed < 40 { // twelve slots for 20 s at 5 s each are 48
			t.Errorf("long served %d, want their slots kept busy", longServed)
		}
		time.Sleep(30 * time.Second)
		synctest.Wait()
	})
}
