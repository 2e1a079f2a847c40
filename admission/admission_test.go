package admission

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"pgregory.net/rapid"
)

// init fixes the seed of the property tests; -rapid.seed overrules it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// simulatedReplica runs workers side by side and lets the rest wait in order.
type simulatedReplica struct {
	workers int
	hold    time.Duration
	free    []time.Time // when each worker is free
}

// send returns when a request starts and ends.
func (s *simulatedReplica) send(now time.Time) (started, ended time.Time) {
	if len(s.free) != s.workers {
		s.free = make([]time.Time, s.workers)
	}
	earliest := 0
	for index := range s.free {
		if s.free[index].Before(s.free[earliest]) {
			earliest = index
		}
	}
	started = now
	if s.free[earliest].After(now) {
		started = s.free[earliest]
	}
	s.free[earliest] = started.Add(s.hold)
	return started, s.free[earliest]
}

// loop drives a limit against a simulated replica in steps of 10 ms.
type loop struct {
	limit        *Limit
	replica      simulatedReplica
	now          time.Time
	inFlight     int
	starts, ends []simulatedRequest
}

type simulatedRequest struct {
	due, sent time.Time
	inFlight  int
}

// run offers requests at a rate for some seconds and returns the highest and
// the mean delay to the first token, and the number of first tokens.
func (l *loop) run(seconds int, perSecond float64) (highest, mean time.Duration, served int) {
	var total time.Duration
	budget := 0.0
	for range seconds * 100 {
		l.now = l.now.Add(10 * time.Millisecond)
		budget = min(budget+perSecond/100, 50)
		for _, request := range l.due(&l.starts) {
			delay := request.due.Sub(request.sent)
			l.limit.Observe(l.now, delay, request.inFlight)
			highest = max(highest, delay)
			total += delay
			served++
		}
		l.inFlight -= len(l.due(&l.ends))
		for ; budget >= 1 && l.inFlight < l.limit.Value(); budget-- {
			l.inFlight++
			started, ended := l.replica.send(l.now)
			l.starts = append(l.starts, simulatedRequest{started, l.now, l.inFlight})
			l.ends = append(l.ends, simulatedRequest{ended, l.now, l.inFlight})
		}
	}
	return highest, total / time.Duration(max(1, served)), served
}

// due removes and returns what has happened by now.
func (l *loop) due(list *[]simulatedRequest) []simulatedRequest {
	var happened []simulatedRequest
	*list = slices.DeleteFunc(*list, func(request simulatedRequest) bool {
		if request.due.After(l.now) {
			return false
		}
		happened = append(happened, request)
		return true
	})
	return happened
}

// TestLimitStepResponse offers a replica whose bound is far above what it does
// at full speed twice what it can serve: the limit must come down until the
// delay is near the set point, and go up when the replica becomes faster.
func TestLimitStepResponse(t *testing.T) {
	const setPoint = 920 * time.Millisecond
	l := &loop{
		limit:   NewLimit(64, setPoint),
		replica: simulatedReplica{workers: 6, hold: 500 * time.Millisecond},
		now:     time.Unix(0, 0),
	}
	l.run(10, 8)
	if l.limit.Value() != 64 {
		t.Fatalf("limit fell to %d without load", l.limit.Value())
	}
	peak, _, _ := l.run(10, 24)
	highest, mean, served := l.run(20, 24)
	t.Logf("overload: peak %v; then limit %d, delay mean %v highest %v", peak, l.limit.Value(), mean, highest)
	if mean < setPoint/2 || mean > setPoint*11/10 || highest > 2*setPoint {
		t.Errorf("delay mean %v, highest %v; want near %v", mean, highest, setPoint)
	}
	if served < 20*12*9/10 {
		t.Errorf("served %d in 20 s of 240 possible", served)
	}
	before := l.limit.Value()
	l.replica.hold = 100 * time.Millisecond
	l.run(30, 80)
	if l.limit.Value() < 2*before {
		t.Errorf("limit %d did not follow the faster replica from %d", l.limit.Value(), before)
	}
}

func TestClassLimit(t *testing.T) {
	for limit := 2; limit < 50; limit++ {
		long := ClassLimit(limit, api.ClassLong)
		if long < 1 || long >= limit || ClassLimit(limit, api.ClassQuick) != limit {
			t.Fatalf("limit %d leaves %d to long requests", limit, long)
		}
	}
	if ClassLimit(1, api.ClassLong) != 1 {
		t.Fatal("a limit of one shuts long requests out")
	}
}

func item(tenant string, class api.Class, weight float64, deadline time.Time) *Item[string] {
	return &Item[string]{Tenant: tenant, Class: class, Weight: weight, Cost: 1, Deadline: deadline}
}

// TestFairShares keeps a queue short while three tenants ask for far more than
// there is, one of them ten times as much: starts follow the weights.
func TestFairShares(t *testing.T) {
	queue := NewQueue[string](16)
	now := time.Unix(0, 0)
	deadline := now.Add(time.Hour)
	weights := map[string]float64{"greedy": 1, "modest": 1, "heavy": 2}
	asks := map[string]int{"greedy": 10, "modest": 1, "heavy": 2}
	starts := map[string]int{}
	for range 4000 {
		for _, tenant := range []string{"greedy", "heavy", "modest"} {
			for range asks[tenant] {
				queue.Enqueue(now, item(tenant, api.ClassQuick, weights[tenant], deadline), 0)
			}
		}
		taken := queue.Dequeue(func(*Item[string]) bool { return true })
		starts[taken.Tenant]++
	}
	want := map[string]int{"greedy": 1000, "modest": 1000, "heavy": 2000}
	for tenant, count := range want {
		if got := starts[tenant]; got < count*9/10 || got > count*11/10 {
			t.Errorf("%s started %d, want %d within a tenth", tenant, got, count)
		}
	}
}

// TestClasses fills the queue with long requests: quick ones still find a place
// and three of four starts.
func TestClasses(t *testing.T) {
	queue := NewQueue[string](16)
	now := time.Unix(0, 0)
	deadline := now.Add(time.Hour)
	starts := map[api.Class]int{}
	for range 400 {
		for range 3 {
			queue.Enqueue(now, item("a", api.ClassLong, 1, deadline), 0)
		}
		if _, refused := queue.Enqueue(now, item("a", api.ClassQuick, 1, deadline), 0); refused == RejectedFull && queue.ClassLen(api.ClassQuick) < 4 {
			t.Fatal("long requests took the places of quick ones")
		}
		starts[queue.Dequeue(func(*Item[string]) bool { return true }).Class]++
	}
	if starts[api.ClassQuick] < 290 || starts[api.ClassLong] < 90 {
		t.Fatalf("starts %v, want three to one", starts)
	}
	taken := queue.Dequeue(func(i *Item[string]) bool { return i.Class == api.ClassLong })
	if taken == nil || taken.Class != api.ClassLong {
		t.Fatal("an item that cannot start blocks the others")
	}
}

// TestDeadlines refuses early what cannot make its time, and later what has
// become hopeless.
func TestDeadlines(t *testing.T) {
	queue := NewQueue[string](64)
	now := time.Unix(0, 0)
	const rate = 10.0
	admitted := 0
	for range 40 {
		if _, refused := queue.Enqueue(now, item("a", api.ClassQuick, 1, now.Add(2*time.Second)), rate); refused == Admitted {
			admitted++
		}
	}
	if admitted < 20 || admitted > 21 {
		t.Fatalf("admitted %d, want what two seconds at ten a second allow", admitted)
	}
	if hopeless := queue.RemoveExpired(now, rate/2); len(hopeless) < 9 || len(hopeless) > 11 {
		t.Fatalf("%d given up at half the rate, want about half", len(hopeless))
	}
	slow := item("b", api.ClassQuick, 1, now.Add(time.Second))
	slow.ExpectedFirstToken = 2 * time.Second
	if _, refused := queue.Enqueue(now, slow, 0); refused != RejectedDeadline {
		t.Fatal("took a request that needs longer than it has")
	}
	if estimate := queue.RetryAfter(rate); estimate < time.Second || estimate > 1500*time.Millisecond {
		t.Fatalf("retry after %v with %d waiting at %v a second", estimate, queue.Len(), rate)
	}
}

// TestQueueProperties plays random operations: the bound holds, and every item
// leaves exactly once by the way that was told.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(1, 12).Draw(t, "length")
		queue := NewQueue[string](length)
		now := time.Unix(0, 0)
		waiting := map[*Item[string]]bool{}
		leave := func(i *Item[string], how string) {
			if !waiting[i] {
				t.Fatalf("%s gave out an item that was not waiting", how)
			}
			delete(waiting, i)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			rate := rapid.SampledFrom([]float64{0, 0.5, 5, 50}).Draw(t, "rate")
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0, 1:
				tenant := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "tenant"))
				class := rapid.SampledFrom([]api.Class{api.ClassQuick, api.ClassLong, api.ClassFetch}).Draw(t, "class")
				left := time.Duration(rapid.IntRange(-100, 3000).Draw(t, "left")) * time.Millisecond
				i := item(tenant, class, rapid.Float64Range(0, 4).Draw(t, "weight"), now.Add(left))
				pushedOut, refused := queue.Enqueue(now, i, rate)
				if pushedOut != nil {
					leave(pushedOut, "offer")
				}
				if refused == Admitted {
					waiting[i] = true
				}
			case 2:
				if i := queue.Dequeue(func(*Item[string]) bool { return rapid.Bool().Draw(t, "accepts") }); i != nil {
					leave(i, "take")
				}
			case 3:
				for _, i := range queue.RemoveExpired(now, rate) {
					leave(i, "sweep")
				}
			case 4:
				for i := range waiting {
					if !queue.Remove(i) || queue.Remove(i) {
						t.Fatal("remove is not exactly once")
					}
					delete(waiting, i)
					break
				}
			}
			if queue.Len() != len(waiting) || queue.Len() > length {
				t.Fatalf("%d in the queue of %d, %d waiting", queue.Len(), length, len(waiting))
			}
		}
	})
}

func TestRate(t *testing.T) {
	var rate Rate
	now := time.Unix(0, 0)
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		rate.Record(now)
	}
	if got := rate.PerSecond(now); got < 18 || got > 22 {
		t.Fatalf("rate %v, want 20", got)
	}
	if got := rate.PerSecond(now.Add(30 * time.Second)); got > 0.01 {
		t.Fatalf("rate %v half a minute later", got)
	}
}
