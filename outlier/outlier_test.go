package outlier

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// init fixes the seed of the property tests; -rapid.seed overrules it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestNeverMoreThanPart lets random replicas fail or be slow, all of them at
// times: the ejected part never passes the stated one.
func TestNeverMoreThanPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 12).Draw(t, "size")
		group := NewGroup(DefaultConfig())
		names := make([]string, size)
		for index := range names {
			names[index] = fmt.Sprint(index)
		}
		group.SetMembers(names)
		now := time.Unix(0, 0)
		for range rapid.IntRange(50, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(t, "replica")
			if rapid.IntRange(0, 3).Draw(t, "fails") > 0 {
				group.RecordFailure(now, name)
			} else {
				group.RecordLatency(now, name, time.Duration(rapid.IntRange(1, 9000).Draw(t, "latency"))*time.Millisecond)
				group.RecordSuccess(now, name)
			}
			if ejected := group.Ejected(now); ejected > int(0.4*float64(size)) {
				t.Fatalf("%d of %d ejected", ejected, size)
			}
		}
	})
}

// TestEjects checks each cause, the return, and the doubling of the time.
func TestEjects(t *testing.T) {
	group := NewGroup(DefaultConfig())
	group.SetMembers([]string{"a", "b", "c", "d", "e"})
	now := time.Unix(0, 0)
	first := ejectByFailures(t, group, now)
	if first != 2*time.Second {
		t.Fatalf("first ejection of %v", first)
	}
	now = now.Add(3 * time.Second)
	if group.Ejected(now) != 0 {
		t.Fatal("did not return")
	}
	if second := ejectByFailures(t, group, now); second != 4*time.Second {
		t.Fatalf("second ejection of %v", second)
	}
	slow := false
	for range 20 {
		now = now.Add(time.Second)
		for _, name := range []string{"b", "c", "d"} {
			group.RecordLatency(now, name, 200*time.Millisecond)
		}
		slow = slow || group.RecordLatency(now, "e", 3*time.Second)
	}
	if !slow {
		t.Fatal("a replica fifteen times as slow as the others stayed")
	}
	if failing := group.FailureRatio(now, "a"); failing > 0.5 {
		t.Fatalf("failing %v long after the last failure", failing)
	}
	for range 20 {
		group.RecordRejection(now, "c")
	}
	recent, later := group.FailureRatio(now, "c"), group.FailureRatio(now.Add(FailureHalfLife), "c")
	if recent < 0.8 || later > recent*0.51 || later < recent*0.49 || group.EjectedUntil("c").After(now) {
		t.Fatalf("failing %v by refusals, %v a half life later", recent, later)
	}
	broken := false
	for range 30 { // first tokens arrive in time, and every other stream breaks twice
		now = now.Add(2 * time.Second)
		group.RecordSuccess(now, "b")
		for range 2 {
			broken = group.RecordFailure(now, "b") || broken
		}
	}
	if !broken {
		t.Fatal("a replica that breaks two of three requests stayed")
	}
}

func ejectByFailures(t *testing.T, group *Group, now time.Time) time.Duration {
	t.Helper()
	for count := range 5 {
		if group.RecordFailure(now, "a") != (count == 4) {
			t.Fatalf("failure %d", count+1)
		}
	}
	return group.EjectedUntil("a").Sub(now)
}
