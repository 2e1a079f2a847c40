package lease

import "testing"

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
