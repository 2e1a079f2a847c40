package lease

import "testing"

// TestReportCountsOnlyWithALaterProof: another primary may have been elected after the
// newest quorum contact, and may have let a holder in that is behind. What is
// reported since is not in force.
func TestReportCountsOnlyWithALaterProof(t *testing.T) {
	grantor, now := grantorAfterGracePeriod()
	grantor.Renew(now, now, true, renewalRequest("a", 5, 5))
	grantor.SetSerial(6)
	later := now + 100*ms
	grantor.Renew(later, now, true, renewalRequest("a", 6, 6))
	if serial, _ := grantor.SerialInForce(); serial != 5 {
		t.Fatalf("in force %d on a proof from before the report, want 5", serial)
	}
	wantInForce(t, grantor, later, 6, true)
}

// TestReleaseCountsOnlyWithALaterProof: the holder that gives its lease up may get
// another one from a primary that was elected after the newest quorum contact.
func TestReleaseCountsOnlyWithALaterProof(t *testing.T) {
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
		t.Fatalf("in force %d on a proof from before the release, want 5", serial)
	}
	wantInForce(t, grantor, later, 6, true)
}
