package lease_test

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/lease"
)

// A primary grants leases as soon as it has a quorum contact. It returns a serial in force
// only once the grace period is over.
func Example() {
	config := lease.DefaultConfig()
	grantor := lease.NewGrantor(config, 1, 0, 5)
	holder := lease.NewHolder(config)

	renew := func(now time.Duration) {
		request := lease.RenewalRequest{Holder: "gateway-1", Incarnation: "1", ReceivedSerial: 5, ActiveSerial: 5, LeaseValid: holder.Valid(now), Term: holder.Term()}
		decision := grantor.Renew(now, now, true, request)
		if err := holder.HandleGrant(now, now, grantor.Term(), "cluster", decision.LeaseDuration); err != nil {
			fmt.Println(err)
		}
	}
	renew(0)
	_, known := grantor.SerialInForce()
	fmt.Println(holder.Remaining(0), known)

	for now := time.Duration(0); now <= config.GracePeriod(); now += config.RenewalInterval {
		renew(now)
	}
	now := config.GracePeriod()
	grantor.SetQuorumContact(now)
	serial, known := grantor.SerialInForce()
	fmt.Println(holder.Valid(now), serial, known)
	fmt.Println(holder.Valid(now + config.Duration))
	// Output:
	// 1.8s false
	// true 5 true
	// false
}
