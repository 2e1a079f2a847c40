package lease_test

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/lease"
)

// A primary grants from its first proof of leadership on; what is in force it knows
// only once every lease of an earlier primary is over.
func Example() {
	terms := lease.DefaultConfig()
	grantor := lease.NewGrantor(terms, 1, 0, 5)
	holder := lease.NewHolder(terms)

	renew := func(now time.Duration) {
		request := lease.Request{Holder: "gateway-1", Incarnation: "1", ReceivedSerial: 5, ActiveSerial: 5, LeaseValid: holder.Valid(now), Term: holder.Term()}
		decision := grantor.Renew(now, now, true, request)
		if err := holder.HandleGrant(now, now, grantor.Term(), "cluster", decision.LeaseDuration); err != nil {
			fmt.Println(err)
		}
	}
	renew(0)
	_, known := grantor.SerialInForce()
	fmt.Println(holder.Remaining(0), known)

	for now := time.Duration(0); now <= terms.GracePeriod(); now += terms.RenewalInterval {
		renew(now)
	}
	now := terms.GracePeriod()
	grantor.SetQuorumContact(now)
	serial, known := grantor.SerialInForce()
	fmt.Println(holder.Valid(now), serial, known)
	fmt.Println(holder.Valid(now + terms.Duration))
	// Output:
	// 1.8s false
	// true 5 true
	// false
}
