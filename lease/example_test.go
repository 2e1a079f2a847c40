package lease_test

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/lease"
)

// A primary grants from its first proof of leadership on; what is in force it knows
// only once every lease of an earlier primary is over.
func Example() {
	terms := lease.DefaultTerms()
	grantor := lease.NewGrantor(terms, 1, 0, 5)
	holder := lease.NewHolder(terms)

	renew := func(now time.Duration) {
		request := lease.Request{Holder: "gateway-1", Incarnation: "1", Held: 5, Active: 5, Valid: holder.Valid(now), Term: holder.Term()}
		decision := grantor.Renew(now, now, true, request)
		if err := holder.Granted(now, now, grantor.Term(), "cluster", decision.Length); err != nil {
			fmt.Println(err)
		}
	}
	renew(0)
	_, known := grantor.InForce()
	fmt.Println(holder.Remaining(0), known)

	for now := time.Duration(0); now <= terms.Window(); now += terms.Renewal {
		renew(now)
	}
	now := terms.Window()
	grantor.SetContact(now)
	serial, known := grantor.InForce()
	fmt.Println(holder.Valid(now), serial, known)
	fmt.Println(holder.Valid(now + terms.Length))
	// Output:
	// 1.8s false
	// true 5 true
	// false
}
