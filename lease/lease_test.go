package lease

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const ms = time.Millisecond

// renewalRequest returns a renewal request of a holder that knows term 7 and has no valid
// lease.
func renewalRequest(holder string, received, active uint32) RenewalRequest {
	return RenewalRequest{Holder: holder, Incarnation: "1", ReceivedSerial: received, ActiveSerial: active, Term: 7}
}

// grantorAfterGracePeriod returns a grantor of term 7 with serial 5, and the time at which
// its grace period is over, which is also its quorum contact.
func grantorAfterGracePeriod() (*Grantor, time.Duration) {
	config := DefaultConfig()
	grantor := NewGrantor(config, 7, 0, 5)
	now := config.GracePeriod()
	grantor.SetQuorumContact(now)
	return grantor, now
}

func wantInForce(t *testing.T, grantor *Grantor, now time.Duration, want uint32, wantKnown bool) {
	t.Helper()
	grantor.SetQuorumContact(now)
	if serial, known := grantor.SerialInForce(); serial != want || known != wantKnown {
		t.Fatalf("serial in force at %v: %d (known: %v), want %d (known: %v)", now, serial, known, want, wantKnown)
	}
}

func TestActivationTakesTwoSteps(t *testing.T) {
	grantor, now := grantorAfterGracePeriod()
	want := func(got Decision, activation uint32) {
		t.Helper()
		expected := Decision{QuorumConfirmed: true, LeaseDuration: 1800 * ms, ActivationSerial: activation}
		if diff := cmp.Diff(expected, got); diff != "" {
			t.Fatal(diff)
		}
	}
	want(grantor.Renew(now, now, true, renewalRequest("a", 5, 5)), 5)
	want(grantor.Renew(now, now, true, renewalRequest("b", 5, 5)), 5)
	grantor.SetSerial(6)
	want(grantor.Renew(now, now, true, renewalRequest("a", 6, 5)), 5)
	wantInForce(t, grantor, now, 5, true)
	want(grantor.Renew(now, now, true, renewalRequest("b", 6, 5)), 6)
	want(grantor.Renew(now, now, true, renewalRequest("a", 6, 6)), 6)
	wantInForce(t, grantor, now, 5, true)
	want(grantor.Renew(now, now, true, renewalRequest("b", 6, 6)), 6)
	wantInForce(t, grantor, now, 6, true)
}

func TestPartitionedHolderDelaysUntilItsLeaseExpires(t *testing.T) {
	grantor, now := grantorAfterGracePeriod()
	grantor.Renew(now, now, true, renewalRequest("a", 5, 5))
	grantor.Renew(now, now, true, renewalRequest("partitioned", 5, 5))
	grantor.SetSerial(6)
	end := now + 2000*ms
	if got := grantor.NextDeadline(now); got != end {
		t.Fatalf("next deadline %v, want %v", got, end)
	}
	grantor.Renew(end-ms, end-ms, true, renewalRequest("a", 6, 5))
	wantInForce(t, grantor, end-ms, 5, true)
	if expired := grantor.Expired(end - ms); len(expired) != 0 {
		t.Fatalf("leases expired too early: %v", expired)
	}
	wantInForce(t, grantor, end, 5, true) // holder a has not reported 6 as active yet
	if activation := grantor.ActivationSerial(); activation != 6 {
		t.Fatalf("activation serial %d, want 6", activation)
	}
	if diff := cmp.Diff([]HolderID{{Holder: "partitioned", Incarnation: "1"}}, grantor.Expired(end)); diff != "" {
		t.Fatal(diff)
	}
	if again := grantor.Expired(end); len(again) != 0 {
		t.Fatalf("expired leases were returned again: %v", again)
	}
	grantor.Renew(end, end, true, renewalRequest("a", 6, 6))
	wantInForce(t, grantor, end, 6, true)

	returned := grantor.Renew(end, end, true, renewalRequest("partitioned", 5, 5))
	if diff := cmp.Diff(Decision{QuorumConfirmed: true, ActivationSerial: 6}, returned); diff != "" {
		t.Fatalf("decision for a holder with an older active serial (-want +got):\n%s", diff)
	}
}

func TestNoGrantAndNoExpiryWithoutQuorumContact(t *testing.T) {
	grantor, now := grantorAfterGracePeriod()
	grantor.Renew(now, now, true, renewalRequest("a", 5, 5))
	grantor.SetSerial(6)
	late := now + 5*time.Second
	if got := grantor.Renew(late, now, true, renewalRequest("b", 6, 6)); got != (Decision{}) {
		t.Fatalf("decision with an old quorum contact: %+v, want the zero Decision", got)
	}
	if serial, known := grantor.SerialInForce(); serial != 5 || !known {
		t.Fatalf("serial in force %d (known: %v), want 5: a lease counted as expired after the quorum contact", serial, known)
	}
	unknown := NewGrantor(DefaultConfig(), 1, 0, 1)
	if got := unknown.Renew(0, 0, false, renewalRequest("a", 1, 1)); got != (Decision{}) {
		t.Fatalf("decision without a quorum contact: %+v, want the zero Decision", got)
	}
}

// TestReportsAndReleasesNeedLaterQuorumContact reports a new active serial and releases a
// lease after the quorum contact. Since then another primary may have granted a lease to a
// holder with an older active serial, so the serial in force must not increase.
func TestReportsAndReleasesNeedLaterQuorumContact(t *testing.T) {
	grantor, now := grantorAfterGracePeriod()
	grantor.Renew(now, now, true, renewalRequest("a", 5, 5))
	grantor.Renew(now, now, true, renewalRequest("b", 5, 5))
	grantor.SetSerial(6)
	later := now + 100*ms
	grantor.Renew(later, now, true, renewalRequest("a", 6, 6))
	release := renewalRequest("b", 5, 5)
	release.Release = true
	grantor.Renew(later, now, true, release)
	if serial, _ := grantor.SerialInForce(); serial != 5 {
		t.Fatalf("serial in force %d with a quorum contact before the reports, want 5", serial)
	}
	wantInForce(t, grantor, later, 6, true)
}

func TestNewPrimaryWaitsForGracePeriod(t *testing.T) {
	config := DefaultConfig()
	grantor := NewGrantor(config, 7, 0, 5)
	now := config.GracePeriod() - ms
	cases := []struct {
		name    string
		request RenewalRequest
		want    Decision
	}{
		{"fresh", renewalRequest("fresh", 0, 0), Decision{QuorumConfirmed: true}},
		{"no valid lease, older active serial", renewalRequest("expired", 4, 4), Decision{QuorumConfirmed: true, ActivationSerial: 4}},
		{"valid lease, older active serial, sent before the holder knew the current term", RenewalRequest{Holder: "b", ReceivedSerial: 4, ActiveSerial: 4, LeaseValid: true, Term: 6}, Decision{QuorumConfirmed: true, ActivationSerial: 4}},
		{"valid lease, older active serial", RenewalRequest{Holder: "c", ReceivedSerial: 5, ActiveSerial: 4, LeaseValid: true, Term: 7}, Decision{QuorumConfirmed: true, LeaseDuration: config.Duration, ActivationSerial: 4}},
		{"no valid lease, current active serial", renewalRequest("d", 5, 5), Decision{QuorumConfirmed: true, LeaseDuration: config.Duration, ActivationSerial: 5}},
	}
	for _, c := range cases {
		if diff := cmp.Diff(c.want, grantor.Renew(now, now, true, c.request)); diff != "" {
			t.Errorf("%s: decision differs (-want +got):\n%s", c.name, diff)
		}
	}
	wantInForce(t, grantor, now, 0, false)
	wantInForce(t, grantor, now+ms, 4, true)
}

func TestActivationSerialIsNotBelowActiveSerial(t *testing.T) {
	grantor, now := grantorAfterGracePeriod()
	grantor.Renew(now, now, true, renewalRequest("a", 5, 5))
	got := grantor.Renew(now, now, true, renewalRequest("ahead", 9, 9))
	if got.ActivationSerial != 9 {
		t.Fatalf("activation serial %d, want 9", got.ActivationSerial)
	}
	if diff := cmp.Diff([]HolderStatus{
		{Holder: "a", Incarnation: "1", Remaining: 2000 * ms, ReceivedSerial: 5, ActiveSerial: 5},
		{Holder: "ahead", Incarnation: "1", Remaining: 2000 * ms, ReceivedSerial: 9, ActiveSerial: 9},
	}, grantor.Holders(now)); diff != "" {
		t.Fatal(diff)
	}
}

func TestReleaseEndsLeaseAtOnce(t *testing.T) {
	grantor, now := grantorAfterGracePeriod()
	grantor.Renew(now, now, true, renewalRequest("a", 5, 5))
	grantor.Renew(now, now, true, renewalRequest("b", 5, 5))
	grantor.SetSerial(6)
	grantor.Renew(now, now, true, renewalRequest("b", 6, 6))
	release := renewalRequest("a", 5, 5)
	release.Release = true
	grantor.Renew(now, now, true, release)
	wantInForce(t, grantor, now, 6, true)
	if got := grantor.Renew(now, now, true, renewalRequest("a", 6, 6)); got.LeaseDuration != 0 {
		t.Fatal("a delayed renewal of a holder that has released its lease got a lease")
	}
}

func TestSerialsWrapAround(t *testing.T) {
	const last = ^uint32(0)
	grantor := NewGrantor(DefaultConfig(), 7, 0, last)
	now := DefaultConfig().GracePeriod()
	grantor.Renew(now, now, true, renewalRequest("a", last, last))
	grantor.SetSerial(1)
	grantor.Renew(now, now, true, renewalRequest("a", 1, 1))
	wantInForce(t, grantor, now, 1, true)
}

func TestHolderCountsLeaseFromSending(t *testing.T) {
	holder := NewHolder(DefaultConfig())
	if holder.Valid(0) || holder.Remaining(0) != 0 {
		t.Fatal("the lease is valid before any grant")
	}
	steps := []struct {
		name      string
		now, sent time.Duration
		term      uint64
		cluster   string
		duration  time.Duration
		want      error
		expiry    time.Duration
	}{
		{"first", 100 * ms, 50 * ms, 3, "x", 1800 * ms, nil, 1850 * ms},
		{"older term", 200 * ms, 200 * ms, 2, "x", 1800 * ms, ErrStaleTerm, 1850 * ms},
		{"other cluster", 200 * ms, 200 * ms, 3, "y", 1800 * ms, ErrOtherCluster, 1850 * ms},
		{"zero duration", 300 * ms, 250 * ms, 4, "x", 0, nil, 1850 * ms},
		{"delayed reply to an old renewal", 400 * ms, 10 * ms, 4, "x", 1800 * ms, nil, 1850 * ms},
		{"duration longer than configured", 500 * ms, 400 * ms, 4, "x", time.Hour, nil, 2200 * ms},
	}
	for _, step := range steps {
		err := holder.HandleGrant(step.now, step.sent, step.term, step.cluster, step.duration)
		if !errors.Is(err, step.want) {
			t.Fatalf("%s: HandleGrant returned %v, want %v", step.name, err, step.want)
		}
		if !holder.Valid(step.expiry-1) || holder.Valid(step.expiry) {
			t.Fatalf("%s: the lease does not expire at %v", step.name, step.expiry)
		}
	}
	if holder.Term() != 4 || holder.Cluster() != "x" {
		t.Fatalf("term %d of cluster %q, want term 4 of cluster x", holder.Term(), holder.Cluster())
	}
	holder.Release()
	if holder.Valid(500*ms) || !errors.Is(holder.HandleGrant(500*ms, 500*ms, 5, "x", 1800*ms), ErrReleased) {
		t.Fatal("the lease is valid, or a grant is accepted, after the release")
	}
}

func TestConfigIsValidated(t *testing.T) {
	if err := DefaultConfig().Validate(); err != nil {
		t.Fatal(err)
	}
	for name, edit := range map[string]func(*Config){
		"no duration":           func(config *Config) { config.Duration = 0 },
		"negative margin":       func(config *Config) { config.ClockDriftMargin = -1 },
		"no quorum contact age": func(config *Config) { config.MaxQuorumContactAge = 0 },
		"one renewal per lease": func(config *Config) { config.RenewalInterval = config.Duration },
		"no renewals":           func(config *Config) { config.RenewalInterval = 0 },
	} {
		config := DefaultConfig()
		edit(&config)
		if config.Validate() == nil {
			t.Errorf("%s: Validate accepted the configuration", name)
		}
	}
}
