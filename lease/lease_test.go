package lease

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const ms = time.Millisecond

// ask renews as a holder that has made active what it holds.
func ask(holder string, held, active uint32) Request {
	return Request{Holder: holder, Incarnation: "1", ReceivedSerial: held, ActiveSerial: active, Term: 7}
}

// settled is a grantor of term 7 with serial 5 whose window is over at the
// returned time.
func settled() (*Grantor, time.Duration) {
	terms := DefaultConfig()
	grantor := NewGrantor(terms, 7, 0, 5)
	now := terms.GracePeriod()
	grantor.SetQuorumContact(now)
	return grantor, now
}

func wantInForce(t *testing.T, grantor *Grantor, now time.Duration, want uint32, wantKnown bool) {
	t.Helper()
	grantor.SetQuorumContact(now)
	if serial, known := grantor.SerialInForce(); serial != want || known != wantKnown {
		t.Fatalf("in force at %v: %d (%v), want %d (%v)", now, serial, known, want, wantKnown)
	}
}

func TestActivationTakesTwoSteps(t *testing.T) {
	grantor, now := settled()
	want := func(got Decision, activate uint32) {
		t.Helper()
		expected := Decision{Authoritative: true, LeaseDuration: 1800 * ms, ActivationSerial: activate}
		if diff := cmp.Diff(expected, got); diff != "" {
			t.Fatal(diff)
		}
	}
	want(grantor.Renew(now, now, true, ask("a", 5, 5)), 5)
	want(grantor.Renew(now, now, true, ask("b", 5, 5)), 5)
	grantor.SetSerial(6)
	want(grantor.Renew(now, now, true, ask("a", 6, 5)), 5)
	wantInForce(t, grantor, now, 5, true)
	want(grantor.Renew(now, now, true, ask("b", 6, 5)), 6)
	want(grantor.Renew(now, now, true, ask("a", 6, 6)), 6)
	wantInForce(t, grantor, now, 5, true)
	want(grantor.Renew(now, now, true, ask("b", 6, 6)), 6)
	wantInForce(t, grantor, now, 6, true)
}

func TestCutOffHolderDelaysOnlyUntilItsLeaseRanOut(t *testing.T) {
	grantor, now := settled()
	grantor.Renew(now, now, true, ask("a", 5, 5))
	grantor.Renew(now, now, true, ask("gone", 5, 5))
	grantor.SetSerial(6)
	end := now + 2000*ms
	if got := grantor.NextDeadline(now); got != end {
		t.Fatalf("next deadline %v, want %v", got, end)
	}
	grantor.Renew(end-ms, end-ms, true, ask("a", 6, 5))
	wantInForce(t, grantor, end-ms, 5, true)
	if expired := grantor.Expired(end - ms); len(expired) != 0 {
		t.Fatalf("expired too early: %v", expired)
	}
	wantInForce(t, grantor, end, 5, true) // a has not reported 6 yet
	if activate := grantor.ActivationSerial(); activate != 6 {
		t.Fatalf("activate %d, want 6", activate)
	}
	if diff := cmp.Diff([]HolderID{{Holder: "gone", Incarnation: "1"}}, grantor.Expired(end)); diff != "" {
		t.Fatal(diff)
	}
	if again := grantor.Expired(end); len(again) != 0 {
		t.Fatalf("expired twice: %v", again)
	}
	grantor.Renew(end, end, true, ask("a", 6, 6))
	wantInForce(t, grantor, end, 6, true)

	back := grantor.Renew(end, end, true, ask("gone", 5, 5))
	if diff := cmp.Diff(Decision{Authoritative: true, ActivationSerial: 6}, back); diff != "" {
		t.Fatalf("a holder that is behind: %s", diff)
	}
}

func TestWithoutProofOfLeadershipNothingIsGrantedNorExpired(t *testing.T) {
	grantor, now := settled()
	grantor.Renew(now, now, true, ask("a", 5, 5))
	grantor.SetSerial(6)
	late := now + 5*time.Second
	if got := grantor.Renew(late, now, true, ask("b", 6, 6)); got != (Decision{}) {
		t.Fatalf("granted on an old proof: %+v", got)
	}
	if serial, known := grantor.SerialInForce(); serial != 5 || !known {
		t.Fatalf("in force %d (%v): judged beyond the proof of leadership", serial, known)
	}
	unknown := NewGrantor(DefaultConfig(), 1, 0, 1)
	if got := unknown.Renew(0, 0, false, ask("a", 1, 1)); got != (Decision{}) {
		t.Fatalf("granted without a proof: %+v", got)
	}
}

// Another primary may let a holder in that is behind, after the newest proof of
// leadership of this one. So what is reported later must not raise what is in force.
func TestReportsAndLeavesCountOnlyWithALaterProof(t *testing.T) {
	grantor, now := settled()
	grantor.Renew(now, now, true, ask("a", 5, 5))
	grantor.Renew(now, now, true, ask("b", 5, 5))
	grantor.SetSerial(6)
	later := now + 100*ms
	grantor.Renew(later, now, true, ask("a", 6, 6))
	leaving := ask("b", 5, 5)
	leaving.Release = true
	grantor.Renew(later, now, true, leaving)
	if serial, _ := grantor.SerialInForce(); serial != 5 {
		t.Fatalf("in force %d on a proof from before the reports", serial)
	}
	wantInForce(t, grantor, later, 6, true)
}

func TestNewPrimaryWaitsOutOlderLeases(t *testing.T) {
	terms := DefaultConfig()
	grantor := NewGrantor(terms, 7, 0, 5)
	now := terms.GracePeriod() - ms
	cases := []struct {
		name    string
		request Request
		want    Decision
	}{
		{"fresh", ask("fresh", 0, 0), Decision{Authoritative: true}},
		{"lapsed and behind", ask("lapsed", 4, 4), Decision{Authoritative: true, ActivationSerial: 4}},
		{"valid but asked before it knew the term", Request{Holder: "b", ReceivedSerial: 4, ActiveSerial: 4, LeaseValid: true, Term: 6}, Decision{Authoritative: true, ActivationSerial: 4}},
		{"valid and behind", Request{Holder: "c", ReceivedSerial: 5, ActiveSerial: 4, LeaseValid: true, Term: 7}, Decision{Authoritative: true, LeaseDuration: terms.Duration, ActivationSerial: 4}},
		{"lapsed and up to date", ask("d", 5, 5), Decision{Authoritative: true, LeaseDuration: terms.Duration, ActivationSerial: 5}},
	}
	for _, c := range cases {
		if diff := cmp.Diff(c.want, grantor.Renew(now, now, true, c.request)); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
	wantInForce(t, grantor, now, 0, false)
	wantInForce(t, grantor, now+ms, 4, true)
}

func TestActivateNeverFallsBelowWhatIsActive(t *testing.T) {
	grantor, now := settled()
	grantor.Renew(now, now, true, ask("a", 5, 5))
	got := grantor.Renew(now, now, true, ask("ahead", 9, 9))
	if got.ActivationSerial != 9 {
		t.Fatalf("activate %d, want 9", got.ActivationSerial)
	}
	if diff := cmp.Diff([]HolderStatus{
		{Holder: "a", Incarnation: "1", Remaining: 2000 * ms, ReceivedSerial: 5, ActiveSerial: 5},
		{Holder: "ahead", Incarnation: "1", Remaining: 2000 * ms, ReceivedSerial: 9, ActiveSerial: 9},
	}, grantor.Holders(now)); diff != "" {
		t.Fatal(diff)
	}
}

func TestLeavingGivesTheLeaseUpAtOnce(t *testing.T) {
	grantor, now := settled()
	grantor.Renew(now, now, true, ask("a", 5, 5))
	grantor.Renew(now, now, true, ask("b", 5, 5))
	grantor.SetSerial(6)
	grantor.Renew(now, now, true, ask("b", 6, 6))
	leaving := ask("a", 5, 5)
	leaving.Release = true
	grantor.Renew(now, now, true, leaving)
	wantInForce(t, grantor, now, 6, true)
	if got := grantor.Renew(now, now, true, ask("a", 6, 6)); got.LeaseDuration != 0 {
		t.Fatal("a late renewal of a holder that has left was granted")
	}
}

func TestSerialsWrapAround(t *testing.T) {
	const last = ^uint32(0)
	grantor := NewGrantor(DefaultConfig(), 7, 0, last)
	now := DefaultConfig().GracePeriod()
	grantor.Renew(now, now, true, ask("a", last, last))
	grantor.SetSerial(1)
	grantor.Renew(now, now, true, ask("a", 1, 1))
	wantInForce(t, grantor, now, 1, true)
}

func TestHolderCountsFromTheSending(t *testing.T) {
	holder := NewHolder(DefaultConfig())
	if holder.Valid(0) || holder.Remaining(0) != 0 {
		t.Fatal("valid before any grant")
	}
	steps := []struct {
		name      string
		now, sent time.Duration
		term      uint64
		cluster   string
		length    time.Duration
		want      error
		until     time.Duration
	}{
		{"first", 100 * ms, 50 * ms, 3, "x", 1800 * ms, nil, 1850 * ms},
		{"older term", 200 * ms, 200 * ms, 2, "x", 1800 * ms, ErrStaleTerm, 1850 * ms},
		{"other cluster", 200 * ms, 200 * ms, 3, "y", 1800 * ms, ErrOtherCluster, 1850 * ms},
		{"no length keeps the lease", 300 * ms, 250 * ms, 4, "x", 0, nil, 1850 * ms},
		{"late reply to an old renewal", 400 * ms, 10 * ms, 4, "x", 1800 * ms, nil, 1850 * ms},
		{"longer than the terms allow", 500 * ms, 400 * ms, 4, "x", time.Hour, nil, 2200 * ms},
	}
	for _, step := range steps {
		err := holder.HandleGrant(step.now, step.sent, step.term, step.cluster, step.length)
		if !errors.Is(err, step.want) {
			t.Fatalf("%s: %v, want %v", step.name, err, step.want)
		}
		if !holder.Valid(step.until-1) || holder.Valid(step.until) {
			t.Fatalf("%s: not valid until %v exactly", step.name, step.until)
		}
	}
	if holder.Term() != 4 || holder.Cluster() != "x" {
		t.Fatalf("term %d of %q", holder.Term(), holder.Cluster())
	}
	holder.Release()
	if holder.Valid(500*ms) || !errors.Is(holder.HandleGrant(500*ms, 500*ms, 5, "x", 1800*ms), ErrReleased) {
		t.Fatal("valid after leaving")
	}
}

func TestTermsAreChecked(t *testing.T) {
	if err := DefaultConfig().Validate(); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*Config){
		"length": func(terms *Config) { terms.Duration = 0 },
		"margin": func(terms *Config) { terms.ClockDriftMargin = -1 },
		"quorum": func(terms *Config) { terms.MaxQuorumContactAge = 0 },
		"renew":  func(terms *Config) { terms.RenewalInterval = terms.Duration },
		"never":  func(terms *Config) { terms.RenewalInterval = 0 },
	} {
		terms := DefaultConfig()
		spoil(&terms)
		if terms.Validate() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
