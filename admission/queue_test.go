package admission

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"pgregory.net/rapid"
)

// init sets a fixed seed for the property tests, which the flag -rapid.seed overrides.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// newItem returns an item with a cost of 1.
func newItem(tenant string, class api.Class, weight float64, deadline time.Time) *Item[string] {
	return &Item[string]{Tenant: tenant, Class: class, Weight: weight, Cost: 1, Deadline: deadline}
}

// TestTenantsGetFairShares checks that the starts of three tenants that overload a short
// queue are in proportion to their weights, although one sends ten times as many requests
// as another.
func TestTenantsGetFairShares(t *testing.T) {
	queue := NewQueue[string](16)
	now := time.Unix(0, 0)
	deadline := now.Add(time.Hour)
	weights := map[string]float64{"heavy sender": 1, "light sender": 1, "double weight": 2}
	requests := map[string]int{"heavy sender": 10, "light sender": 1, "double weight": 2}
	starts := map[string]int{}
	for range 4000 {
		for _, tenant := range []string{"heavy sender", "double weight", "light sender"} {
			for range requests[tenant] {
				queue.Enqueue(now, newItem(tenant, api.ClassQuick, weights[tenant], deadline), 0)
			}
		}
		item := queue.Dequeue(func(*Item[string]) bool { return true })
		starts[item.Tenant]++
	}
	want := map[string]int{"heavy sender": 1000, "light sender": 1000, "double weight": 2000}
	for tenant, count := range want {
		if got := starts[tenant]; got < count*9/10 || got > count*11/10 {
			t.Errorf("tenant %q: %d starts, want %d within 10%%", tenant, got, count)
		}
	}
}

// TestQuickClassIsServedBesideLong checks that quick requests are still queued and get three
// of four starts while long requests overload the queue, and that Dequeue skips items that
// are not accepted.
func TestQuickClassIsServedBesideLong(t *testing.T) {
	queue := NewQueue[string](16)
	now := time.Unix(0, 0)
	deadline := now.Add(time.Hour)
	starts := map[api.Class]int{}
	for range 400 {
		for range 3 {
			queue.Enqueue(now, newItem("a", api.ClassLong, 1, deadline), 0)
		}
		if _, rejection := queue.Enqueue(now, newItem("a", api.ClassQuick, 1, deadline), 0); rejection == RejectedFull && queue.ClassLen(api.ClassQuick) < 4 {
			t.Fatal("a quick request was rejected although fewer than four are queued")
		}
		starts[queue.Dequeue(func(*Item[string]) bool { return true }).Class]++
	}
	if starts[api.ClassQuick] < 290 || starts[api.ClassLong] < 90 {
		t.Fatalf("starts by class are %v, want a ratio of quick to long of 3", starts)
	}
	item := queue.Dequeue(func(i *Item[string]) bool { return i.Class == api.ClassLong })
	if item == nil || item.Class != api.ClassLong {
		t.Fatal("Dequeue returned no long item although only long items are accepted")
	}
}

// TestItemsMissingDeadlineAreRejected checks that items that cannot meet their deadline are
// rejected when they arrive, and removed if the completion rate falls later.
func TestItemsMissingDeadlineAreRejected(t *testing.T) {
	queue := NewQueue[string](64)
	now := time.Unix(0, 0)
	const rate = 10.0
	admitted := 0
	for range 40 {
		if _, rejection := queue.Enqueue(now, newItem("a", api.ClassQuick, 1, now.Add(2*time.Second)), rate); rejection == Admitted {
			admitted++
		}
	}
	if admitted < 20 || admitted > 21 {
		t.Fatalf("%d items admitted, want the 20 or 21 that complete within 2 s at 10 per second", admitted)
	}
	if expired := queue.RemoveExpired(now, rate/2); len(expired) < 9 || len(expired) > 11 {
		t.Fatalf("%d items removed at half the rate, want 9 to 11", len(expired))
	}
	slow := newItem("b", api.ClassQuick, 1, now.Add(time.Second))
	slow.ExpectedFirstToken = 2 * time.Second
	if _, rejection := queue.Enqueue(now, slow, 0); rejection != RejectedDeadline {
		t.Fatal("an item whose expected time to the first token exceeds its deadline was not rejected")
	}
	if estimate := queue.RetryAfter(rate); estimate < time.Second || estimate > 1500*time.Millisecond {
		t.Fatalf("RetryAfter returned %v with %d items waiting at %v completions per second, want 1 s to 1.5 s", estimate, queue.Len(), rate)
	}
}

// TestQueueProperties applies random operations and checks that the queue never exceeds its
// length and that each item leaves it exactly once, by the operation that returns it.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(1, 12).Draw(t, "length")
		queue := NewQueue[string](length)
		now := time.Unix(0, 0)
		waiting := map[*Item[string]]bool{}
		leave := func(i *Item[string], operation string) {
			if !waiting[i] {
				t.Fatalf("%s returned an item that was not waiting", operation)
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
				i := newItem(tenant, class, rapid.Float64Range(0, 4).Draw(t, "weight"), now.Add(left))
				displaced, rejection := queue.Enqueue(now, i, rate)
				if displaced != nil {
					leave(displaced, "Enqueue")
				}
				if rejection == Admitted {
					waiting[i] = true
				}
			case 2:
				if i := queue.Dequeue(func(*Item[string]) bool { return rapid.Bool().Draw(t, "accepts") }); i != nil {
					leave(i, "Dequeue")
				}
			case 3:
				for _, i := range queue.RemoveExpired(now, rate) {
					leave(i, "RemoveExpired")
				}
			case 4:
				for i := range waiting {
					if !queue.Remove(i) || queue.Remove(i) {
						t.Fatal("Remove did not report true once and false afterwards")
					}
					delete(waiting, i)
					break
				}
			}
			if queue.Len() != len(waiting) || queue.Len() > length {
				t.Fatalf("Len is %d with a maximum of %d and %d items waiting", queue.Len(), length, len(waiting))
			}
		}
	})
}
