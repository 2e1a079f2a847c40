package outlier

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// init sets a fixed seed for the property tests; the flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestEjectionsNeverExceedMaxFraction lets random replicas fail or be slow, in some runs
// all of them, and checks that the ejected fraction of the group stays within its bound.
func TestEjectionsNeverExceedMaxFraction(t *testing.T) {
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
			if ejected := group.EjectedCount(now); ejected > int(0.4*float64(size)) {
				t.Fatalf("%d of %d replicas are ejected, want at most 0.4 of them", ejected, size)
			}
		}
	})
}

// TestEjection checks each cause of an ejection, its end, and the doubling of its
// duration.
func TestEjection(t *testing.T) {
	group := NewGroup(DefaultConfig())
	group.SetMembers([]string{"a", "b", "c", "d", "e"})
	now := time.Unix(0, 0)
	if first := ejectByConsecutiveFailures(t, group, now); first != 2*time.Second {
		t.Fatalf("first ejection lasts %v, want 2s", first)
	}
	now = now.Add(3 * time.Second)
	if group.EjectedCount(now) != 0 {
		t.Fatal("the replica is still ejected after its ejection time")
	}
	if second := ejectByConsecutiveFailures(t, group, now); second != 4*time.Second {
		t.Fatalf("second ejection lasts %v, want 4s", second)
	}
	now = ejectByLatency(t, group, now)
	if ratio := group.FailureRatio(now, "a"); ratio > 0.5 {
		t.Fatalf("failure ratio %v long after the last failure, want at most 0.5", ratio)
	}
	recordRejections(t, group, now)
	ejectByErrorRate(t, group, now)
}

// ejectByConsecutiveFailures lets replica a fail until it is ejected, and returns the
// duration of the ejection.
func ejectByConsecutiveFailures(t *testing.T, group *Group, now time.Time) time.Duration {
	t.Helper()
	for count := range 5 {
		if group.RecordFailure(now, "a") != (count == 4) {
			t.Fatalf("wrong result of RecordFailure for failure %d; only the fifth one ejects", count+1)
		}
	}
	return group.EjectedUntil("a").Sub(now)
}

// ejectByLatency makes replica e fifteen times as slow as the others, checks that it is
// ejected, and returns the time after that.
func ejectByLatency(t *testing.T, group *Group, now time.Time) time.Time {
	t.Helper()
	ejected := false
	for range 20 {
		now = now.Add(time.Second)
		for _, name := range []string{"b", "c", "d"} {
			group.RecordLatency(now, name, 200*time.Millisecond)
		}
		ejected = ejected || group.RecordLatency(now, "e", 3*time.Second)
	}
	if !ejected {
		t.Fatal("a replica fifteen times as slow as the others was not ejected")
	}
	return now
}

// recordRejections lets replica c reject attempts. It checks that this raises the
// failure ratio, which then decays with its half-life, and does not eject the replica.
func recordRejections(t *testing.T, group *Group, now time.Time) {
	t.Helper()
	for range 20 {
		group.RecordRejection(now, "c")
	}
	recent, later := group.FailureRatio(now, "c"), group.FailureRatio(now.Add(FailureHalfLife), "c")
	if recent < 0.8 || later > recent*0.51 || later < recent*0.49 || group.EjectedUntil("c").After(now) {
		t.Fatalf("failure ratio %v after rejections, %v a half-life later", recent, later)
	}
}

// ejectByErrorRate lets two of three requests on replica b fail, and checks that it is
// ejected although its latency is normal and there are at most two failures in a row.
func ejectByErrorRate(t *testing.T, group *Group, now time.Time) {
	t.Helper()
	ejected := false
	for range 30 {
		now = now.Add(2 * time.Second)
		group.RecordSuccess(now, "b")
		for range 2 {
			ejected = group.RecordFailure(now, "b") || ejected
		}
	}
	if !ejected {
		t.Fatal("a replica that fails two of three requests was not ejected")
	}
}
