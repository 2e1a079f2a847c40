package lease

import (
	"testing"
	"time"
)

// TestReportNeedsLaterQuorumContact reports a new active serial after the quorum contact.
// Since then another primary may have been elected and may have granted a lease to a
// holder with an older active serial, so the new serial must not be in force yet.
func TestReportNeedsLaterQuorumContact(t *testing.T) {
	grantor, now := grantorAfterGracePeriod()
	grantor.Renew(now, now, true, renewalRequest("a", 5, 5))
	grantor.SetSerial(6)
	later := now + 100*ms
	grantor.Renew(later, now, true, renewalRequest("a", 6, 6))
	if serial, _ := grantor.SerialInForce(); serial != 5 {
		t.Fatalf("serial in force %d with a quorum contact before the report, want 5", serial)
	}
	wantInForce(t, grantor, later, 6, true)
}

// TestReleaseNeedsLaterQuorumContact releases a lease after the quorum contact. Since then
// another primary may have been elected and may have granted the holder a new lease, so
// the released lease must still count.
func TestReleaseNeedsLaterQuorumContact(t *testing.T) {
	grantor, now := grantorAfterGracePeriod()
	grantor.Renew(now, now, true, renewalRequest("a", 5, 5))
	grantor.Renew(now, now, true, renewalRequest("b", 5, 5))
	grantor.SetSerial(6)
	grantor.Renew(now, now, true, renewalRequest("a", 6, 6))
	wantInForce(t, grantor, now, 5, true)
	later := now + 100*ms
	release := renewalRequest("b", 5, 5)
	release.Release = true
	grantor.Renew(later, now, true, release)
	if serial, _ := grantor.SerialInForce(); serial != 5 {
		t.Fatalf("serial in force %d with a quorum contact before the release, want 5", serial)
	}
	wantInForce(t, grantor, later, 6, true)
}

// TestReleasedHolderFollows guards against a primary that tells a leaving holder nothing:
// the holder still acts on its active serial. It gets no lease, and is not waited for.
func TestReleasedHolderFollows(t *testing.T) {
	grantor := NewGrantor(DefaultConfig(), 1, 0, 10)
	grantor.ExpectReclaims(0, nil)
	now := DefaultConfig().GracePeriod() + time.Millisecond
	request := RenewalRequest{Holder: "g", Incarnation: "i", ReceivedSerial: 10, ActiveSerial: 10, Term: 1}
	if decision := grantor.Renew(now, now, true, request); decision.LeaseDuration == 0 {
		t.Fatal("the holder got no lease")
	}
	grantor.SetSerial(11)
	request.Release, request.Follows = true, true
	decision := grantor.Renew(now+10*time.Millisecond, now+20*time.Millisecond, true, request)
	if !decision.QuorumConfirmed || decision.ActivationSerial != 11 || decision.LeaseDuration != 0 {
		t.Errorf("a holder that follows gets %+v, want serial 11 without a lease", decision)
	}
	if serial, known := grantor.SerialInForce(); !known || serial != 11 {
		t.Errorf("serial in force is %d, %v; want 11, since the released lease is not waited for", serial, known)
	}
	if late := grantor.Renew(now+time.Second, now+20*time.Millisecond, true, request); late.QuorumConfirmed {
		t.Error("a grantor without recent quorum contact confirms a serial")
	}
	request.Follows = false
	if old := grantor.Renew(now+30*time.Millisecond, now+30*time.Millisecond, true, request); old.QuorumConfirmed {
		t.Error("a holder of an older release, which does not follow, is confirmed")
	}
}
