package lease

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRenew measures one renewal at a primary with various numbers of holders.
func BenchmarkRenew(b *testing.B) {
	for _, holders := range []int{8, 400} {
		b.Run(fmt.Sprint(holders), func(b *testing.B) {
			grantor, now := grantorAfterGracePeriod()
			requests := make([]RenewalRequest, holders)
			for i := range requests {
				requests[i] = renewalRequest(fmt.Sprint("gateway-", i), 5, 5)
			}
			step := DefaultConfig().RenewalInterval / time.Duration(holders)
			for i := 0; b.Loop(); i++ {
				now += step
				if !grantor.Renew(now, now, true, requests[i%holders]).QuorumConfirmed {
					b.Fatal("the decision is not confirmed by a quorum")
				}
			}
		})
	}
}
